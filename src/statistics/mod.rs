//! Generic estimators: decaying values, moving averages, a sliding window and a weighted random order.
//!
//! The types here only store and compute. They read no clock and hold no tuning constants: the
//! caller passes the time, on a clock that only moves forward, together with the time constant or
//! the weight. Choices that are made from the results belong to the caller.

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
