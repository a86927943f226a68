//! A sample whose weight decays with its age.

use super::exponential_decay;
use crate::units::{Milliseconds, Timestamp};

/// A value and the time at which it was observed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimestampedSample {
    /// The observed value.
    pub value: f64,
    /// When it was observed.
    pub observed_at: Timestamp,
}

impl TimestampedSample {
    /// Creates a sample of `value` at `observed_at`.
    #[must_use]
    pub fn new(value: f64, observed_at: Timestamp) -> Self {
        TimestampedSample { value, observed_at }
    }

    /// Returns the [weighted mean](TimestampedSample::weighted_mean) of the sample and the fallback value, or
    /// the fallback value without a sample.
    #[must_use]
    pub fn estimate(
        sample: Option<Self>,
        fallback: f64,
        now: Timestamp,
        time_constant: Milliseconds,
    ) -> f64 {
        sample.map_or(fallback, |sample| {
            sample.weighted_mean(fallback, now, time_constant)
        })
    }

    /// Returns the weighted mean of the sample and a fallback value. The weight of the sample is 1 at first
    /// and decays exponentially with its age. The fallback value has the remaining weight.
    #[must_use]
    pub fn weighted_mean(&self, fallback: f64, now: Timestamp, time_constant: Milliseconds) -> f64 {
        let sample_weight = exponential_decay(now - self.observed_at, time_constant);
        self.value * sample_weight + fallback * (1.0 - sample_weight)
    }
}
