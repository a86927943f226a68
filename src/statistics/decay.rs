//! Exponential decay of a value over time.

use crate::units::{Milliseconds, Timestamp};

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// Returns the fraction of a value that remains after `elapsed`: `e^(-elapsed / time_constant)`.
///
/// The result is 1 without elapsed time, about 0.37 after one time constant, and 0 after an infinite time.
#[must_use]
pub fn exponential_decay(elapsed: Milliseconds, time_constant: Milliseconds) -> f64 {
    (-elapsed).ratio_to(time_constant).exp()
}

/// A value that decays exponentially from the time of its last update.
///
/// With [`DecayingValue::add_event`] it estimates a rate per second: each event adds its amount divided by
/// the time constant. A constant flow of `a` units per second converges to about `a`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct DecayingValue {
    value: f64,
    updated_at: Timestamp,
}

impl DecayingValue {
    /// Creates a value that was last updated at `updated_at`.
    #[must_use]
    pub fn new(value: f64, updated_at: Timestamp) -> Self {
        DecayingValue { value, updated_at }
    }

    /// Returns the value at its last update, without decay.
    #[must_use]
    pub fn last_value(&self) -> f64 {
        self.value
    }

    /// Returns the time of the last update, [`Timestamp::ZERO`] for a default value.
    #[must_use]
    pub fn updated_at(&self) -> Timestamp {
        self.updated_at
    }

    /// Returns the decayed value at `now`. It does not count as an update.
    #[must_use]
    pub fn at(&self, now: Timestamp, time_constant: Milliseconds) -> f64 {
        self.value * exponential_decay(now - self.updated_at, time_constant)
    }

    /// Replaces the value and the time of its last update.
    pub fn set(&mut self, value: f64, now: Timestamp) {
        self.value = value;
        self.updated_at = now;
    }

    /// Sets the value to zero and keeps the time of its last update.
    pub fn clear(&mut self) {
        self.value = 0.0;
    }

    /// Decays the value and adds an event of `amount` units, spread over one time constant.
    pub fn add_event(&mut self, amount: f64, now: Timestamp, time_constant: Milliseconds) {
        let remaining = self.at(now, time_constant);
        let per_second = amount * MILLISECONDS_PER_SECOND / time_constant.as_f64();
        self.set(remaining + per_second, now);
    }
}
