//! The mean of a level over time.

use super::exponential_decay;

/// An exponentially weighted mean, over time, of a level that stays constant between its changes.
///
/// The owner of the level calls [`TimeAveragedGauge::advance`] with the old level before each
/// change.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TimeAveragedGauge {
    mean: f64,
    updated_at_ms: f64,
}

impl TimeAveragedGauge {
    /// The mean as of now, given that the level has been `level` since the last advance.
    #[must_use]
    pub fn mean(&self, level: f64, now_ms: f64, time_constant_ms: f64) -> f64 {
        let past_weight = exponential_decay(now_ms - self.updated_at_ms, time_constant_ms);
        self.mean * past_weight + level * (1.0 - past_weight)
    }

    /// Takes the time up to now into the mean, during which the level has been `level`.
    pub fn advance(&mut self, level: f64, now_ms: f64, time_constant_ms: f64) {
        self.mean = self.mean(level, now_ms, time_constant_ms);
        self.updated_at_ms = now_ms;
    }

    /// Sets the mean to zero and keeps the time up to which the level has been taken in.
    pub fn clear(&mut self) {
        self.mean = 0.0;
    }
}
