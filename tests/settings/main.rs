//! The settings: how they are read from their serialized form, and which of them are rejected with which error.

mod documents;
mod programs;
mod samples;
mod validation;
