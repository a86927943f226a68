//! A sample that loses its weight as it ages.

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
    /// A sample that was observed at this time.
    #[must_use]
    pub fn new(value: f64, observed_at: Timestamp) -> Self {
        TimestampedSample { value, observed_at }
    }

    /// The [weighted mean](TimestampedSample::weighted_mean) of a sample and a fallback value, or the
    /// fallback value if there is no sample.
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

    /// The mean of the sample and a fallback value. The sample's weight is 1 when it is new and decays
    /// exponentially with its age; the rest of the weight belongs to the fallback value.
    #[must_use]
    pub fn weighted_mean(&self, fallback: f64, now: Timestamp, time_constant: Milliseconds) -> f64 {
        let sample_weight = exponential_decay(now - self.observed_at, time_constant);
        self.value * sample_weight + fallback * (1.0 - sample_weight)
    }
}
