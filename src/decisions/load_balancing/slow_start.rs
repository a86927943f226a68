//! Slow start: an endpoint that has just started has only part of its capacity and gets fewer requests.

use crate::settings::Settings;
use crate::units::{Milliseconds, Timestamp};
use rand::Rng;

/// The fraction of its proportional share of requests that an endpoint gets while warming up.
const WARMING_UP_FRACTION: f64 = 0.9;
/// The capacity that a warming endpoint is expected to have beyond the guaranteed minimum, as a fraction of
/// the missing capacity times that minimum. Judged by the minimum alone, an endpoint looks too slow until it
/// is warm.
const EXPECTED_WARMUP_EXCESS: f64 = 0.6;

/// Returns the minimum fraction of its capacity that an endpoint is guaranteed to have at `now`: 1 without a
/// warm-up duration or a start time, otherwise rising linearly from the initial warmth to 1.
pub(super) fn warmup_fraction(started_at: Timestamp, settings: &Settings, now: Timestamp) -> f64 {
    let warmup = settings.warmup_duration;
    if started_at <= Timestamp::ZERO || warmup <= Milliseconds::ZERO {
        return 1.0;
    }
    let progress = (now - started_at).ratio_to(warmup).clamp(0.0, 1.0);
    settings.initial_warmth + (1.0 - settings.initial_warmth) * progress
}

/// Returns the fraction of its capacity that an endpoint is expected to have. Most endpoints have more than
/// the guaranteed minimum. The correction is smaller in small fleets, where a gateway soon has enough
/// responses to estimate the latency instead.
pub(super) fn expected_warmup_fraction(minimum: f64, fleet_scale: f64) -> f64 {
    minimum + (1.0 - minimum) * EXPECTED_WARMUP_EXCESS * fleet_scale * minimum
}

/// Limits how many warming endpoints one choice compares.
///
/// Each warming endpoint is compared with a low probability; otherwise it would get more than its fraction of
/// a warm endpoint's share. The number of random draws is limited too: if nearly all endpoints are warming
/// up, a draw for each of them would nearly always select one.
pub(super) struct SlowStartLimiter {
    draws_left: f64,
    to_compare: f64,
}

impl SlowStartLimiter {
    /// Creates a limiter for a choice that compares `to_compare` endpoints. It allows `draws_per_endpoint`
    /// times as many draws.
    pub(super) fn new(to_compare: f64, draws_per_endpoint: f64) -> SlowStartLimiter {
        SlowStartLimiter {
            draws_left: to_compare * draws_per_endpoint,
            to_compare,
        }
    }

    /// Returns whether an endpoint with this warm-up fraction may be compared. A warm endpoint always may,
    /// and uses no random number.
    pub(super) fn permits(&mut self, warmup_fraction: f64, rng: &mut impl Rng) -> bool {
        if warmup_fraction >= 1.0 {
            return true;
        }
        self.draws_left -= 1.0;
        let probability = WARMING_UP_FRACTION * warmup_fraction / self.to_compare;
        self.draws_left >= 0.0 && rng.random::<f64>() < probability
    }
}
