//! The events of a simulated fleet.

use super::attempts::AttemptId;
use crate::{ArrivalSource, ClientRequest, Datagram, EndpointIndex};
use marlshelf::{AttemptResult, Endpoint, EndpointListKind, GatewayId, RequestId, TimerToken};

/// An event that a fleet handles at its time.
pub enum FleetEvent {
    /// The next new request from this source arrives.
    Arrival(ArrivalSource),
    /// A client retries.
    ClientRetry(ClientRequest),
    /// A client disconnects, if its request is still unanswered.
    ClientDisconnect(RequestId),
    /// An attempt ends.
    AttemptEnd {
        /// The attempt.
        attempt: AttemptId,
        /// Its result.
        result: AttemptResult,
    },
    /// A gossip datagram reaches a gateway.
    Gossip(Datagram),
    /// A timer of a gateway fires.
    Timer {
        /// The gateway.
        gateway: GatewayId,
        /// The incarnation of the gateway that set the timer.
        incarnation: u32,
        /// The gateway's token for the timer.
        token: TimerToken,
    },
    /// A list of endpoints reaches a gateway.
    EndpointList {
        /// The gateway.
        gateway: GatewayId,
        /// Whether the entries are all endpoints or only the changed ones.
        kind: EndpointListKind,
        /// The entries of the list.
        endpoints: Vec<Endpoint>,
    },
    /// The planned incident with this index happens.
    PlannedIncident(usize),
    /// A draining endpoint is removed.
    EndpointDrained(EndpointIndex),
    /// A restarted endpoint is ready again.
    EndpointStarted(EndpointIndex),
}
