//! The size of the fleet, on a scale from small to large.

use crate::settings::Settings;

/// A fleet of more gateways than this is large: each of them observes only a small fraction of the traffic.
const LARGE_FLEET: u32 = 16;

/// How large the fleet is: 0 for a single gateway, 1 for a large fleet, in proportion between.
pub(crate) fn fleet_scale(settings: &Settings) -> f64 {
    (f64::from(settings.gateway_count - 1) / f64::from(LARGE_FLEET)).min(1.0)
}
