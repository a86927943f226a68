//! Settings of the load balancer, and values derived from them once.

use crate::decisions::fleet_scale::fleet_scale;
use crate::events::ClassIndex;
use crate::settings::Settings;
use crate::units::Milliseconds;
use std::sync::Arc;

/// The maximum expected latency of an endpoint with capacity, as a fraction of the latency objective. It is
/// low because latencies scatter widely. It increases to 1.5 times this value in large fleets, where a
/// gateway can only guess at an endpoint's load.
const OBJECTIVE_FRACTION: f64 = 0.19;
/// The maximum number of peers that are assumed to load the endpoints as this gateway does. In a fleet of
/// hundreds, one gateway's attempts in flight say nothing about the load from the others.
pub(super) const MAX_SIMILAR_PEERS: f64 = 3.0;

/// The settings and values derived from them.
pub(super) struct LoadBalancingContext {
    pub settings: Arc<Settings>,
    /// The number of other gateways assumed to load the endpoints as this one does.
    pub similar_peers: f64,
    /// The size of the gateway fleet, from 0 (one gateway) to 1 (large).
    pub fleet_scale: f64,
    /// The expected latency, as a fraction of the latency objective, up to which an endpoint has capacity.
    pub capacity_fraction: f64,
}

impl LoadBalancingContext {
    pub(super) fn new(settings: Arc<Settings>) -> LoadBalancingContext {
        LoadBalancingContext {
            similar_peers: f64::from(settings.gateway_count - 1).min(MAX_SIMILAR_PEERS),
            fleet_scale: fleet_scale(&settings),
            capacity_fraction: capacity_fraction(&settings),
            settings,
        }
    }

    pub(super) fn latency_objective(&self, class: ClassIndex) -> Milliseconds {
        self.settings.class(class).latency_objective
    }

    /// Returns the highest expected latency at which an endpoint has capacity for a first attempt of a class.
    pub(super) fn acceptable_latency(&self, class: ClassIndex) -> Milliseconds {
        self.latency_objective(class) * self.capacity_fraction
    }
}

fn capacity_fraction(settings: &Settings) -> f64 {
    let known_fraction = (MAX_SIMILAR_PEERS / f64::from(settings.gateway_count)).min(1.0);
    OBJECTIVE_FRACTION * (1.5 - 0.5 * known_fraction)
}
