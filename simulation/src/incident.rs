//! Incidents: changes and faults that a scenario causes.

use crate::Fault;
use marlshelf::{GatewayId, Timestamp};

/// The index of an endpoint in the order of its first start. Endpoints that are added later follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointIndex(pub usize);

/// A change or a fault.
#[derive(Clone, Copy, Debug)]
pub enum Incident {
    /// An endpoint starts to drain and is removed three seconds later.
    Drain(EndpointIndex),
    /// An endpoint is removed. It still completes its requests in flight.
    Remove(EndpointIndex),
    /// An endpoint like this one is added under a new name.
    Add(EndpointIndex),
    /// An endpoint is removed, and another one with a new name takes its place.
    Replace(EndpointIndex),
    /// An endpoint's process exits, which resets its connections, and starts again a second later.
    Restart(EndpointIndex),
    /// The service time of an endpoint is multiplied by this factor from now on.
    Slow(EndpointIndex, f64),
    /// An endpoint has this fault from now on.
    Fault(EndpointIndex, Fault),
    /// A gateway restarts without its state.
    RestartGateway(GatewayId),
    /// All gateways receive a snapshot of the endpoint list.
    Snapshot,
    /// All gateways receive the result of a health check of an endpoint.
    HealthCheck(EndpointIndex),
}

/// An incident with its time.
#[derive(Clone, Copy, Debug)]
pub struct PlannedIncident {
    /// When it happens.
    pub at: Timestamp,
    /// What happens.
    pub incident: Incident,
}

impl PlannedIncident {
    /// An incident at this time.
    #[must_use]
    pub fn at(at: Timestamp, incident: Incident) -> PlannedIncident {
        PlannedIncident { at, incident }
    }
}
