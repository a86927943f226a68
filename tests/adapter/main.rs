//! Tests of the simulator adapter as a separate process, through its standard input and output.

mod actions;
mod batches;
mod invalid_input;
mod support;
