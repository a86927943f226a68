//! Tests of the statistical estimators and the token bucket.

mod assertions;
mod averages;
mod ring_arc;
mod sliding_window;
mod token_bucket;
