//! Generic estimators: decaying values, moving averages, a sliding window and a weighted random order.
//!
//! The types here only store and compute. They read no clock and define no tuning constants. The caller
//! passes the time, which must not decrease, together with a time constant or a weight. Decisions based on
//! the results are left to the caller.

mod decay;
mod moving_average;
mod ring;
mod sliding_window;
mod time_averaged_gauge;
mod timestamped_sample;

pub use decay::{DecayingValue, exponential_decay};
pub use moving_average::{arithmetic_step, geometric_step};
pub use ring::RingArc;
pub use sliding_window::{SlidingWindow, Tally, WindowShape};
pub use time_averaged_gauge::TimeAveragedGauge;
pub use timestamped_sample::TimestampedSample;
