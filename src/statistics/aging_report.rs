//! A reported value that loses its weight as it ages.

use super::exponential_decay;

/// A value and the time at which it was reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AgingReport {
    /// When the report arrived.
    pub received_at_ms: f64,
    /// The value that it gave.
    pub value: f64,
}

impl AgingReport {
    /// A value that has just been reported.
    #[must_use]
    pub fn new(value: f64, received_at_ms: f64) -> Self {
        AgingReport {
            received_at_ms,
            value,
        }
    }

    /// The reported value while the report is fresh, blending into `guess` as the report ages.
    #[must_use]
    pub fn blended_with(&self, guess: f64, now_ms: f64, time_constant_ms: f64) -> f64 {
        let freshness = exponential_decay(now_ms - self.received_at_ms, time_constant_ms);
        self.value * freshness + guess * (1.0 - freshness)
    }

    /// The same where there may be no report yet: then the guess alone.
    #[must_use]
    pub fn blend(report: Option<Self>, guess: f64, now_ms: f64, time_constant_ms: f64) -> f64 {
        report.map_or(guess, |report| {
            report.blended_with(guess, now_ms, time_constant_ms)
        })
    }
}
