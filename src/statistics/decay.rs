//! Exponential decay of a value over time.

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// The fraction of a value that is left `elapsed_ms` after it was recorded: `e^(-elapsed / time
/// constant)`.
///
/// The result is 1 with no time elapsed, about 0.37 after one time constant, and 0 after an
/// infinite time.
#[must_use]
pub fn exponential_decay(elapsed_ms: f64, time_constant_ms: f64) -> f64 {
    (-elapsed_ms / time_constant_ms).exp()
}

/// A value that decays exponentially from the time of its last update.
///
/// With [`DecayingValue::add_event`] it estimates a rate per second: each event adds its share of
/// one time constant, so that events of total amount `a` each second settle at about `a`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct DecayingValue {
    value: f64,
    updated_at_ms: f64,
}

impl DecayingValue {
    /// A value as of a time.
    #[must_use]
    pub fn new(value: f64, updated_at_ms: f64) -> Self {
        DecayingValue {
            value,
            updated_at_ms,
        }
    }

    /// The value as of its last update.
    #[must_use]
    pub fn last_value(&self) -> f64 {
        self.value
    }

    /// When the value was last updated; 0 for a default value.
    #[must_use]
    pub fn updated_at_ms(&self) -> f64 {
        self.updated_at_ms
    }

    /// What is left of the value now. This does not count as an update.
    #[must_use]
    pub fn at(&self, now_ms: f64, time_constant_ms: f64) -> f64 {
        self.value * exponential_decay(now_ms - self.updated_at_ms, time_constant_ms)
    }

    /// Replaces the value.
    pub fn set(&mut self, value: f64, now_ms: f64) {
        self.value = value;
        self.updated_at_ms = now_ms;
    }

    /// Sets the value to zero and keeps the time of its last update.
    pub fn clear(&mut self) {
        self.value = 0.0;
    }

    /// Replaces the value by what is left of it now.
    pub fn decay_to(&mut self, now_ms: f64, time_constant_ms: f64) {
        self.set(self.at(now_ms, time_constant_ms), now_ms);
    }

    /// Decays the value and then adds `amount` spread over one time constant, in units per second.
    pub fn add_event(&mut self, amount: f64, now_ms: f64, time_constant_ms: f64) {
        let remaining = self.at(now_ms, time_constant_ms);
        let per_second = amount * MILLISECONDS_PER_SECOND / time_constant_ms;
        self.set(remaining + per_second, now_ms);
    }
}
