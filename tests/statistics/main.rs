//! The generic estimators, each on its own.

mod assertions;
mod averages;
mod ratio_bands;
mod ring_arc;
mod savings_budget;
mod sliding_window;
mod token_bucket;
