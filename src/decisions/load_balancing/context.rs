//! What the estimates and the choice of an endpoint take from the settings, computed once.

use crate::decisions::fleet_scale::fleet_scale;
use crate::events::ClassIndex;
use crate::settings::Settings;
use crate::units::Milliseconds;
use std::sync::Arc;

/// The latency to expect at an endpoint may be this fraction of the latency objective, as latencies scatter
/// widely around it. With many gateways, which can only guess at an endpoint's load, half as much again.
const OBJECTIVE_FRACTION: f64 = 0.19;
/// The number of peers that are assumed to load the endpoints as this gateway does. What one of hundreds of
/// gateways has in flight says nothing about the load from the others.
pub(super) const MAX_SIMILAR_PEERS: f64 = 3.0;

/// The settings, and what follows from them.
pub(super) struct ModelContext {
    pub settings: Arc<Settings>,
    /// The number of other gateways that are assumed to load the endpoints as this one does.
    pub similar_peers: f64,
    /// How large the fleet of gateways is, from 0 (one gateway) to 1 (large).
    pub fleet_scale: f64,
    /// The fraction of a latency objective beyond which an idle endpoint seems to have no capacity.
    pub capacity_fraction: f64,
}

impl ModelContext {
    pub(super) fn new(settings: Arc<Settings>) -> ModelContext {
        ModelContext {
            similar_peers: f64::from(settings.gateway_count - 1).min(MAX_SIMILAR_PEERS),
            fleet_scale: fleet_scale(&settings),
            capacity_fraction: capacity_fraction(&settings),
            settings,
        }
    }

    /// The latency objective of a class.
    pub(super) fn latency_objective(&self, class: ClassIndex) -> Milliseconds {
        self.settings.class(class).latency_objective
    }

    /// The expected latency up to which an endpoint has capacity for a first attempt of a class.
    pub(super) fn acceptable_latency(&self, class: ClassIndex) -> Milliseconds {
        self.latency_objective(class) * self.capacity_fraction
    }
}

fn capacity_fraction(settings: &Settings) -> f64 {
    let known_fraction = (MAX_SIMILAR_PEERS / f64::from(settings.gateway_count)).min(1.0);
    OBJECTIVE_FRACTION * (1.5 - 0.5 * known_fraction)
}
