//! The generic estimators, each on its own.

mod assertions;
mod averages;
mod ring_arc;
mod sliding_window;
mod token_bucket;
