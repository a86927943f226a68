//! Exponential decay of a value over time.

use crate::units::{Milliseconds, Timestamp};

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// The fraction of a value that is left when `elapsed` has passed since it was recorded: `e^(-elapsed / time
/// constant)`.
///
/// The result is 1 with no time elapsed, about 0.37 after one time constant, and 0 after an
/// infinite time.
#[must_use]
pub fn exponential_decay(elapsed: Milliseconds, time_constant: Milliseconds) -> f64 {
    (-elapsed).ratio_to(time_constant).exp()
}

/// A value that decays exponentially from the time of its last update.
///
/// With [`DecayingValue::add_event`] it estimates a rate per second: each event adds its amount
/// divided by the time constant, so that events of total amount `a` each second settle at about `a`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct DecayingValue {
    value: f64,
    updated_at: Timestamp,
}

impl DecayingValue {
    /// A value as of a time.
    #[must_use]
    pub fn new(value: f64, updated_at: Timestamp) -> Self {
        DecayingValue { value, updated_at }
    }

    /// The value as of its last update.
    #[must_use]
    pub fn last_value(&self) -> f64 {
        self.value
    }

    /// When the value was last updated; [`Timestamp::ZERO`] for a default value.
    #[must_use]
    pub fn updated_at(&self) -> Timestamp {
        self.updated_at
    }

    /// What is left of the value now. This does not count as an update.
    #[must_use]
    pub fn at(&self, now: Timestamp, time_constant: Milliseconds) -> f64 {
        self.value * exponential_decay(now - self.updated_at, time_constant)
    }

    /// Replaces the value.
    pub fn set(&mut self, value: f64, now: Timestamp) {
        self.value = value;
        self.updated_at = now;
    }

    /// Sets the value to zero and keeps the time of its last update.
    pub fn clear(&mut self) {
        self.value = 0.0;
    }

    /// Decays the value and then adds `amount` spread over one time constant, in units per second.
    pub fn add_event(&mut self, amount: f64, now: Timestamp, time_constant: Milliseconds) {
        let remaining = self.at(now, time_constant);
        let per_second = amount * MILLISECONDS_PER_SECOND / time_constant.as_f64();
        self.set(remaining + per_second, now);
    }
}
