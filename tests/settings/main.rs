//! Parsing of the settings document and validation of the settings.

mod documents;
mod programs;
mod samples;
mod validation;
