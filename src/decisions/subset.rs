//! Deterministic subsetting: each gateway prefers some of the endpoints, so that it has connections to few
//! and meets them often. All subsets together cover every endpoint by its weight, and change little with the
//! list.

use crate::settings::Settings;
use crate::statistics::RingArc;

/// So many gateways prefer each endpoint, and each gateway prefers so many endpoints at the least. With more
/// it would meet each too seldom to know it, over a connection of its own: 20 and 10 open a tenth more, and
/// serve no better.
const GATEWAYS_PER_ENDPOINT: f64 = 13.0;
const MIN_SUBSET_SIZE: f64 = 7.0;
/// The arc of the ring of endpoints that a gateway prefers. The gateways of a shard, a range of their
/// numbers, are spread evenly over the ring.
pub(super) fn preferred_arc(settings: &Settings, ready_endpoints: f64) -> RingArc {
    let length = GATEWAYS_PER_ENDPOINT / f64::from(settings.gateway_count);
    RingArc::spread(
        settings.gateway.0,
        length.max(MIN_SUBSET_SIZE / ready_endpoints).min(1.0),
    )
}
