//! The time average of a level.

use super::exponential_decay;
use crate::units::{Milliseconds, Timestamp};

/// An exponentially weighted time average of a level that is constant between its changes.
///
/// The caller must call [`TimeAveragedGauge::advance`] with the old level before each change.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TimeAveragedGauge {
    mean: f64,
    updated_at: Timestamp,
}

impl TimeAveragedGauge {
    /// Returns the mean at `now`, if the level has been `level` since the last advance.
    #[must_use]
    pub fn mean(&self, level: f64, now: Timestamp, time_constant: Milliseconds) -> f64 {
        let past_weight = exponential_decay(now - self.updated_at, time_constant);
        self.mean * past_weight + level * (1.0 - past_weight)
    }

    /// Updates the mean up to `now`, if the level has been `level` since the last advance.
    pub fn advance(&mut self, level: f64, now: Timestamp, time_constant: Milliseconds) {
        self.mean = self.mean(level, now, time_constant);
        self.updated_at = now;
    }

    /// Sets the mean to zero. The time of the last advance stays the same.
    pub fn clear(&mut self) {
        self.mean = 0.0;
    }
}
