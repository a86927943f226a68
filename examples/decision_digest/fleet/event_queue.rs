//! The queue of future events of a simulated fleet, in virtual time.

use crate::clients::ClientRequest;
use crate::fleet::attempts::AttemptId;
use marlshelf::{AttemptResult, Endpoint, EndpointListKind, GatewayId, RequestId, TimerToken};
use std::collections::BTreeMap;

/// An event that a fleet handles at its time.
pub enum FleetEvent {
    /// The next new request arrives.
    NewRequest,
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
    Gossip {
        /// The index of the receiving gateway.
        to: usize,
        /// The sender that the datagram states.
        from: GatewayId,
        /// The content.
        text: String,
    },
    /// A timer of a gateway fires.
    Timer {
        /// The index of the gateway.
        gateway: usize,
        /// The incarnation of the gateway that set the timer.
        incarnation: u32,
        /// The gateway's token for the timer.
        token: TimerToken,
    },
    /// Changes of the endpoint list reach a gateway.
    EndpointList {
        /// The index of the gateway.
        gateway: usize,
        /// Whether the entries are all endpoints or only the changed ones.
        kind: EndpointListKind,
        /// The entries of the list.
        endpoints: Vec<Endpoint>,
    },
    /// The planned incident with this index happens.
    PlannedIncident(usize),
    /// A draining endpoint is removed.
    EndpointDrained(usize),
    /// A restarted endpoint is ready again.
    EndpointStarted(usize),
}

/// An event with its time.
pub struct ScheduledEvent {
    /// The time, in milliseconds.
    pub at_ms: f64,
    /// The event.
    pub event: FleetEvent,
}

/// The order of events: by time, and events of the same microsecond as they were scheduled.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    at_us: u64,
    serial: u64,
}

/// All events that have not happened yet.
#[derive(Default)]
pub struct EventQueue {
    entries: BTreeMap<QueueKey, FleetEvent>,
    last_serial: u64,
}

impl EventQueue {
    /// Schedules an event. The time is rounded down to a whole microsecond.
    pub fn schedule(&mut self, at_ms: f64, event: FleetEvent) {
        self.last_serial += 1;
        let key = QueueKey {
            at_us: (at_ms * 1000.0) as u64,
            serial: self.last_serial,
        };
        self.entries.insert(key, event);
    }

    /// Removes the next event.
    pub fn pop(&mut self) -> Option<ScheduledEvent> {
        let (key, event) = self.entries.pop_first()?;
        Some(ScheduledEvent {
            at_ms: key.at_us as f64 / 1000.0,
            event,
        })
    }
}
