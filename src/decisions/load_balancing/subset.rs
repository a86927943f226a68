//! Deterministic subsetting: each gateway prefers some of the endpoints, so that it has connections to few
//! of them and uses each often. All subsets together cover every endpoint by its weight, and change little
//! when the list changes.

use crate::settings::Settings;
use crate::statistics::RingArc;

/// The number of gateways that prefer each endpoint, where the gateways are many. With more, a gateway
/// would use each endpoint too seldom to know it, over a connection of its own: 20 gateways with subsets of
/// at least 10 open a tenth more connections and serve no better.
const GATEWAYS_PER_ENDPOINT: f64 = 13.0;
/// The least number of endpoints that a gateway prefers.
const MIN_SUBSET_SIZE: f64 = 7.0;

/// The arc of the ring of endpoints that a gateway prefers. The gateways of a shard, a range of their
/// numbers, are spread evenly over the ring.
pub(super) fn preferred_arc(settings: &Settings, ready_endpoints: f64) -> RingArc {
    let length = GATEWAYS_PER_ENDPOINT / f64::from(settings.gateway_count);
    let min_length = MIN_SUBSET_SIZE / ready_endpoints;
    RingArc::evenly_spaced(settings.gateway.0, length.max(min_length).min(1.0))
}
