//! Slow start: an endpoint that has just started has a fraction of its capacity and gets fewer requests.

use crate::settings::Settings;
use crate::units::{Milliseconds, Timestamp};
use rand::Rng;

/// An endpoint that is warming up gets this fraction of what its share of capacity would allow.
const WARMING_UP_FRACTION: f64 = 0.9;
/// How much of the missing capacity, times the guaranteed minimum, an endpoint is expected to have beyond
/// that minimum. By the minimum alone it looks too slow until it is warm.
const WARMUP_OPTIMISM: f64 = 0.6;

/// The guaranteed minimum of the fraction of its capacity that an endpoint has by now.
pub(super) fn warmup_fraction(started_at: Timestamp, settings: &Settings, now: Timestamp) -> f64 {
    let warmup = settings.warmup_duration;
    if started_at <= Timestamp::ZERO || warmup <= Milliseconds::ZERO {
        return 1.0;
    }
    let progress = (now - started_at).ratio_to(warmup).clamp(0.0, 1.0);
    settings.initial_warmth + (1.0 - settings.initial_warmth) * progress
}

/// The fraction of its capacity that an endpoint is expected to have. The guaranteed minimum is too little
/// for most endpoints. One of few gateways soon has answers of its own and needs no such guess.
pub(super) fn expected_warmup_fraction(minimum: f64, fleet_scale: f64) -> f64 {
    minimum + (1.0 - minimum) * WARMUP_OPTIMISM * fleet_scale * minimum
}

/// Limits how often endpoints that are warming up are compared within one choice.
///
/// If each were compared whenever it is a candidate, it would get more than its fraction of a warm
/// endpoint's share. And if nearly all endpoints are warming up, a chance for each would nearly always end
/// with one of them, hence a limit on the chances.
pub(super) struct SlowStartLimiter {
    chances_left: f64,
    to_compare: f64,
}

impl SlowStartLimiter {
    /// A limiter for a choice that compares `to_compare` endpoints, with `chances_per_endpoint` times as
    /// many chances.
    pub(super) fn new(to_compare: f64, chances_per_endpoint: f64) -> SlowStartLimiter {
        SlowStartLimiter {
            chances_left: to_compare * chances_per_endpoint,
            to_compare,
        }
    }

    /// Whether an endpoint with this warm-up fraction may be compared. Always true of a warm one, without a
    /// draw.
    pub(super) fn permits(&mut self, warmup_fraction: f64, rng: &mut impl Rng) -> bool {
        if warmup_fraction >= 1.0 {
            return true;
        }
        self.chances_left -= 1.0;
        let probability = WARMING_UP_FRACTION * warmup_fraction / self.to_compare;
        self.chances_left >= 0.0 && rng.random::<f64>() < probability
    }
}
