//! The simulator adapter as a process: frames in, lines out.

mod actions;
mod batches;
mod invalid_input;
mod support;
