//! The interface of the decision engine: the [`Event`]s that it handles and the [`Action`]s that it returns.
//!
//! The caller reports everything that a gateway observes as an event and carries out the resulting actions in their
//! order. It reports the end of each attempt that an [`Action::Forward`] started as an [`Event::AttemptFinished`], and
//! the end of each delay that an [`Action::SetTimer`] asked for as an [`Event::TimerFired`].
//!
//! All points in time are on the caller's clock, which has no particular origin and only moves forward.

use crate::units::{Milliseconds, Timestamp, Tokens};
use derive_more::Display;
use std::sync::Arc;

/// The name of an endpoint. Only the equality and the order of names are used.
pub type EndpointName = Arc<str>;

/// The name of a tenant. Only the equality of names is used.
pub type TenantName = Arc<str>;

/// The id of a request. The caller never uses an id twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RequestId(pub u64);

/// The number of a gateway in its fleet, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct GatewayId(pub u32);

/// The position of a request class in [`Settings::classes`](crate::Settings::classes).
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ClassIndex(pub usize);

/// The position of a plan in [`Settings::plans`](crate::Settings::plans).
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct PlanIndex(pub usize);

/// The number of a zone.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ZoneId(pub u32);

/// The number of a cell, a group of endpoints within a zone.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct CellId(pub u32);

/// The number of a hardware model. Endpoints of one model are expected to be equally fast.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct HardwareId(pub u32);

/// A value that the engine chooses for a timer and gets back when the timer fires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);

/// What the endpoint list says about an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EndpointState {
    /// It accepts requests.
    #[default]
    Ready,
    /// It completes the requests that it has and accepts no new ones.
    Draining,
    /// It has left the fleet.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// The name that identifies the endpoint.
    pub name: EndpointName,
    /// The number of its zone.
    pub zone: ZoneId,
    /// The number of its cell.
    pub cell: CellId,
    /// The number of its hardware model.
    pub hardware: HardwareId,
    /// Its registered size, relative to the sizes of other endpoints.
    pub weight: f64,
    /// What the list says about it.
    pub state: EndpointState,
    /// When it last started; 0 means long ago.
    pub started_at: Timestamp,
}

/// Which endpoints an [`Event::EndpointsChanged`] contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointListKind {
    /// All endpoints. An endpoint that is missing has left the fleet.
    Snapshot,
    /// Only the endpoints that have changed.
    Delta,
}

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Request {
    /// The id of the request, which is never used twice.
    pub id: RequestId,
    /// The tenant whose quota the request counts against.
    pub tenant: TenantName,
    /// Its class.
    pub class: ClassIndex,
    /// The tenant's plan.
    pub plan: PlanIndex,
    /// Its cost. It may be an estimate: see [`AttemptOutcome::actual_cost`].
    pub cost: Tokens,
    /// The first gateway of the tenant's shard, which is the set of gateways that receive the tenant's requests.
    pub shard_start: GatewayId,
    /// The number of gateways in the shard. They follow the first one in numerical order, and gateway 0 follows the
    /// last gateway of the fleet.
    pub shard_size: u32,
    /// When the client stops waiting for an answer.
    pub client_deadline: Timestamp,
    /// Whether the client has marked the request as a retry.
    pub is_retry: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The endpoint answered, and the answer went to the client.
    Success,
    /// The endpoint answered with an error. The request may have executed.
    Error,
    /// The endpoint rejected the request before executing it.
    Overloaded,
    /// No answer came in time. The request may have executed, or still execute.
    TimedOut,
    /// No connection could be established. The request has not executed.
    ConnectFailed,
    /// The connection was lost during the attempt. The request may have executed.
    ConnectionReset,
    /// The gateway abandoned the attempt. The request may have executed.
    Cancelled,
    /// The attempt was never sent. The request has not executed.
    NeverSent,
}

/// The load that an endpoint reports about itself. Values that it does not report are absent.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// The number of requests in progress.
    pub in_flight: Option<f64>,
    /// The fraction of CPU time in use, from 0 to 1. The engine does not read it at present.
    pub utilization: Option<f64>,
    /// The number of requests completed per second. The engine does not read it at present.
    pub requests_per_second: Option<f64>,
}

/// How an attempt ended, and what the endpoint reported with its answer.
#[derive(Debug, Clone)]
pub struct AttemptOutcome {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The number of the attempt among the attempts of the request, from 0.
    pub attempt: u32,
    /// The endpoint that the attempt went to.
    pub endpoint: EndpointName,
    /// How the attempt ended.
    pub result: AttemptResult,
    /// How long the attempt took.
    pub latency: Milliseconds,
    /// Whether the request has ended as well, so that no answer is owed any more.
    pub request_ended: bool,
    /// The tenant's metered use over all gateways, as a fraction of its refill rate, or of its concurrency limit if it
    /// has no rate. The engine does not read it at present.
    pub metered_use: Option<f64>,
    /// The actual cost, if the cost of the request was an estimate.
    pub actual_cost: Option<Tokens>,
    /// The load report that came with the answer.
    pub load_report: Option<LoadReport>,
}

/// An observation of a gateway.
#[derive(Debug, Clone)]
pub enum Event {
    /// Discovery has sent a list of endpoints.
    EndpointsChanged {
        /// Whether the list is complete or holds only changes.
        kind: EndpointListKind,
        /// The entries of the list.
        endpoints: Vec<Endpoint>,
    },
    /// A client has sent a request, to which exactly one final answer is owed.
    RequestReceived(Request),
    /// An attempt has ended.
    AttemptFinished(AttemptOutcome),
    /// The client has disconnected or stopped waiting. The request has ended, and no answer is owed any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A health check has finished. The engine requests no health checks at present and ignores their results.
    HealthChecked {
        /// The endpoint that was checked.
        endpoint: EndpointName,
        /// Whether the endpoint is healthy.
        ok: bool,
        /// The load report that came with the result.
        load_report: Option<LoadReport>,
    },
    /// A gossip message has arrived from another gateway.
    GossipReceived {
        /// The gateway that sent it.
        from: GatewayId,
        /// The text of the message.
        text: String,
    },
    /// A timer has fired.
    TimerFired {
        /// The token that the timer was set with.
        token: TimerToken,
    },
}

/// An action that the caller has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt. The attempts of a request are numbered from 0 in the order of these actions.
    Forward {
        /// The request to forward.
        request: RequestId,
        /// The endpoint to forward it to.
        endpoint: EndpointName,
        /// When to abandon the attempt.
        deadline: Timestamp,
    },
    /// Answer the request with a rejection, which is final and means that a retry is safe.
    Reject {
        /// The request to answer.
        request: RequestId,
        /// How long the client should wait before it retries; 0 gives no advice.
        retry_after: Milliseconds,
    },
    /// Answer the request with a failure, which is final and leaves open whether the request has executed.
    Fail {
        /// The request to answer.
        request: RequestId,
    },
    /// Send a gossip message to another gateway.
    SendGossip {
        /// The gateway to send it to.
        to: GatewayId,
        /// The text of the message, at most 256 bytes.
        text: String,
    },
    /// Report [`Event::TimerFired`] after a delay. Timers cannot be cancelled.
    SetTimer {
        /// The token to report.
        token: TimerToken,
        /// The delay from now.
        delay: Milliseconds,
    },
}
