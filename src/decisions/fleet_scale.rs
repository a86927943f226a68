//! The size of the gateway fleet, normalized to the range from 0 to 1.

use crate::settings::Settings;

/// The number of peers from which a fleet counts as large: each gateway then observes only a small fraction
/// of the traffic.
const LARGE_FLEET: u32 = 16;

/// Returns the size of the fleet: 0 for a single gateway, 1 from [`LARGE_FLEET`] peers on, linear in between.
pub(crate) fn fleet_scale(settings: &Settings) -> f64 {
    (f64::from(settings.gateway_count - 1) / f64::from(LARGE_FLEET)).min(1.0)
}
