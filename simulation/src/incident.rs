//! Faults and changes of the fleet that a scenario schedules.

use crate::Fault;
use marlshelf::{GatewayId, Timestamp};

/// Index of an endpoint: first the endpoints that exist from the start, then those added later in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointIndex(pub usize);

/// A fault or a change of the fleet.
#[derive(Clone, Copy, Debug)]
pub enum Incident {
    /// Drains the endpoint, and removes it three seconds later.
    Drain(EndpointIndex),
    /// Removes the endpoint. The endpoint still completes its requests in flight.
    Remove(EndpointIndex),
    /// Adds an endpoint with a new name and the same properties as the given endpoint.
    Add(EndpointIndex),
    /// Removes the endpoint and adds one with a new name and the same properties.
    Replace(EndpointIndex),
    /// Stops the endpoint's process, which resets its connections, and restarts it one second later.
    Restart(EndpointIndex),
    /// Sets the factor by which all later service times of the endpoint are multiplied.
    Slow(EndpointIndex, f64),
    /// Sets the endpoint's fault. [`Fault::None`] ends the current one.
    Fault(EndpointIndex, Fault),
    /// Restarts the gateway, which loses all its state.
    RestartGateway(GatewayId),
    /// Sends a snapshot of the endpoint list to all gateways.
    Snapshot,
    /// Sends all gateways a health check result for the endpoint.
    HealthCheck(EndpointIndex),
}

/// An incident and the time at which it occurs.
#[derive(Clone, Copy, Debug)]
pub struct PlannedIncident {
    /// Virtual time of the incident.
    pub at: Timestamp,
    /// The fault or change, with the endpoint or gateway that it affects.
    pub incident: Incident,
}

impl PlannedIncident {
    /// Schedules `incident` for time `at`.
    #[must_use]
    pub fn at(at: Timestamp, incident: Incident) -> PlannedIncident {
        PlannedIncident { at, incident }
    }
}
