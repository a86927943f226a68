//! Deterministic subsetting: each gateway prefers a subset of the endpoints, which limits its connections and
//! gives it frequent samples of each endpoint. Together the subsets cover every endpoint in proportion to its
//! weight. They change little when the endpoint list changes.

use crate::settings::Settings;
use crate::statistics::RingArc;

/// The number of gateways that prefer each endpoint in a large fleet. With more, each gateway would use an
/// endpoint too rarely to estimate its latency, over a separate connection. In a fleet of 20 gateways,
/// subsets of at least 10 endpoints open 10% more connections and serve no better.
const GATEWAYS_PER_ENDPOINT: f64 = 13.0;
/// The minimum number of endpoints in a subset.
const MIN_SUBSET_SIZE: f64 = 7.0;

/// Returns the arc of the endpoint ring that this gateway prefers. The arcs of a shard's gateways, which are
/// numbered consecutively, are spread evenly over the ring.
pub(super) fn preferred_arc(settings: &Settings, ready_endpoints: f64) -> RingArc {
    let length = GATEWAYS_PER_ENDPOINT / f64::from(settings.gateway_count);
    let min_length = MIN_SUBSET_SIZE / ready_endpoints;
    RingArc::evenly_spaced(settings.gateway.0, length.max(min_length).min(1.0))
}
