//! Events in the queue of a simulated fleet.

use super::attempts::AttemptId;
use crate::{ArrivalSource, ClientRequest, Datagram, EndpointIndex};
use marlshelf::{AttemptResult, Endpoint, EndpointListKind, GatewayId, RequestId, TimerToken};

pub enum FleetEvent {
    Arrival(ArrivalSource),
    ClientRetry(ClientRequest),
    /// A client disconnects. The event is ignored if the request has its final response.
    ClientDisconnect(RequestId),
    AttemptEnd {
        attempt: AttemptId,
        result: AttemptResult,
    },
    /// A gossip datagram arrives at a gateway.
    Gossip(Datagram),
    /// A timer fires. The event is ignored if the gateway has restarted since it set the timer.
    Timer {
        gateway: GatewayId,
        /// Incarnation of the gateway that set the timer.
        incarnation: u32,
        token: TimerToken,
    },
    /// An endpoint list from discovery arrives at a gateway.
    EndpointList {
        gateway: GatewayId,
        kind: EndpointListKind,
        endpoints: Vec<Endpoint>,
    },
    /// Index into [`FleetScenario::incidents`](crate::FleetScenario::incidents).
    PlannedIncident(usize),
    /// A draining endpoint has completed its drain time and is removed.
    EndpointDrained(EndpointIndex),
    /// A restarted endpoint is ready again.
    EndpointStarted(EndpointIndex),
}
