//! The mean of a level over time.

use super::exponential_decay;
use crate::units::{Milliseconds, Timestamp};

/// An exponentially weighted mean, over time, of a level that stays constant between its changes.
///
/// The owner of the level calls [`TimeAveragedGauge::advance`] with the old level before each
/// change.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TimeAveragedGauge {
    mean: f64,
    updated_at: Timestamp,
}

impl TimeAveragedGauge {
    /// The mean as of now, given that the level has been `level` since the last advance.
    #[must_use]
    pub fn mean(&self, level: f64, now: Timestamp, time_constant: Milliseconds) -> f64 {
        let past_weight = exponential_decay(now - self.updated_at, time_constant);
        self.mean * past_weight + level * (1.0 - past_weight)
    }

    /// Includes the time up to now in the mean, during which the level has been `level`.
    pub fn advance(&mut self, level: f64, now: Timestamp, time_constant: Milliseconds) {
        self.mean = self.mean(level, now, time_constant);
        self.updated_at = now;
    }

    /// Sets the mean to zero and keeps the time up to which the level has been included.
    pub fn clear(&mut self) {
        self.mean = 0.0;
    }
}
