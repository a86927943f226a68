//! Interface of the decision engine: the [`Event`]s that it handles and the [`Action`]s that it returns.
//!
//! The caller reports everything that the gateway observes as events, and executes the returned actions in
//! order. It must report the end of each attempt started by [`Action::Forward`] as
//! [`Event::AttemptFinished`], and the expiry of each timer set by [`Action::SetTimer`] as
//! [`Event::TimerFired`].
//!
//! All timestamps are on the caller's clock, which has an arbitrary origin and never goes backwards.

use crate::units::{Milliseconds, Timestamp, Tokens};
use derive_more::Display;
use std::sync::Arc;

/// Name of an endpoint. The engine only compares and orders names.
pub type EndpointName = Arc<str>;

/// Name of a tenant. The engine compares names and hashes them to select the owner of the tenant's quota.
pub type TenantName = Arc<str>;

/// Id of a request. The caller must not reuse ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RequestId(pub u64);

/// Index of a gateway in the fleet, starting at 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct GatewayId(pub u32);

/// Index of a request class in [`Settings::classes`](crate::Settings::classes).
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ClassIndex(pub usize);

/// Index of a plan in [`Settings::plans`](crate::Settings::plans).
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct PlanIndex(pub usize);

/// Index of a zone in [`SettingsDocument::zones`](crate::SettingsDocument::zones).
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ZoneId(pub u32);

/// Id of a cell, which is a group of endpoints within a zone.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct CellId(pub u32);

/// Index of a hardware model in
/// [`SettingsDocument::hardware_kinds`](crate::SettingsDocument::hardware_kinds). Endpoints of the same model
/// are expected to be equally fast.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct HardwareId(pub u32);

/// Timer id chosen by the engine and returned by the caller when the timer fires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);

/// State of an endpoint according to the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EndpointState {
    /// The endpoint accepts requests.
    #[default]
    Ready,
    /// The endpoint finishes its requests in flight and accepts no new ones.
    Draining,
    /// The endpoint has left the fleet.
    Removed,
}

/// An endpoint as described by the endpoint list.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Unique name of the endpoint.
    pub name: EndpointName,
    /// Zone in which the endpoint runs.
    pub zone: ZoneId,
    /// Cell that the endpoint belongs to.
    pub cell: CellId,
    /// Hardware model that the endpoint runs on.
    pub hardware: HardwareId,
    /// Registered capacity relative to other endpoints.
    pub weight: f64,
    /// State according to the endpoint list.
    pub state: EndpointState,
    /// Time of the last start; 0 means long ago.
    pub started_at: Timestamp,
}

impl Endpoint {
    /// Whether an endpoint has restarted between two lists, given its start time in each.
    ///
    /// A start time becomes 0 when it is long ago. After a restart it may be earlier than before, because the wall
    /// clock may have been set back.
    #[must_use]
    pub fn has_restarted(previous: Timestamp, listed: Timestamp) -> bool {
        listed != Timestamp::ZERO && listed != previous
    }
}

/// Whether an [`Event::EndpointsChanged`] contains all endpoints or only changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointListKind {
    /// All endpoints. Endpoints that are missing have left the fleet.
    Snapshot,
    /// Only the endpoints that have changed.
    Delta,
}

/// A client request as received by the gateway.
#[derive(Debug, Clone)]
pub struct Request {
    /// Unique id; the caller must not reuse it.
    pub id: RequestId,
    /// Tenant whose quota is charged.
    pub tenant: TenantName,
    /// Request class, which sets the priority, latency objective and retry safety.
    pub class: ClassIndex,
    /// Plan that sets the tenant's quota.
    pub plan: PlanIndex,
    /// Cost in quota tokens. It may be an estimate; see [`AttemptOutcome::actual_cost`].
    pub cost: Tokens,
    /// First gateway of the tenant's shard, the set of gateways that receive the tenant's requests.
    pub shard_start: GatewayId,
    /// Number of gateways in the shard; 0 means the whole fleet. The shard consists of consecutive gateways
    /// and wraps around from the last gateway of the fleet to gateway 0.
    pub shard_size: u32,
    /// Time at which the client stops waiting for an answer.
    pub client_deadline: Timestamp,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
}

/// How an attempt ended, and whether the request may have executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The endpoint answered and the answer was passed to the client.
    Success,
    /// The endpoint answered with an error. The request may have executed.
    Error,
    /// The endpoint rejected the request without executing it.
    Overloaded,
    /// No answer arrived in time. The request may have executed or may still be executing.
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

impl AttemptResult {
    /// Returns the name of the result for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptResult::Success => "success",
            AttemptResult::Error => "error",
            AttemptResult::Overloaded => "overloaded",
            AttemptResult::TimedOut => "timed_out",
            AttemptResult::ConnectFailed => "connect_failed",
            AttemptResult::ConnectionReset => "connection_reset",
            AttemptResult::Cancelled => "cancelled",
            AttemptResult::NeverSent => "never_sent",
        }
    }
}

/// Load that an endpoint reports about itself. Fields that the endpoint does not report are `None`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Number of requests in progress at the endpoint.
    pub in_flight: Option<f64>,
    /// Fraction of CPU time in use, from 0 to 1. Currently ignored by the engine.
    pub utilization: Option<f64>,
    /// Number of requests completed per second. Currently ignored by the engine.
    pub requests_per_second: Option<f64>,
}

/// Outcome of an attempt, with the data that the endpoint returned.
#[derive(Debug, Clone)]
pub struct AttemptOutcome {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within the request, starting at 0.
    pub attempt: u32,
    /// Endpoint to which the attempt was sent.
    pub endpoint: EndpointName,
    /// How the attempt ended, which determines whether the request may have executed.
    pub result: AttemptResult,
    /// Time from the start of the attempt to its end.
    pub latency: Milliseconds,
    /// Whether the request has ended too, so that the client expects no further answer.
    pub request_ended: bool,
    /// Metered fleet-wide usage of the tenant, as a fraction of its refill rate or, if the rate is unlimited,
    /// of its concurrency limit. Currently ignored by the engine.
    pub metered_use: Option<f64>,
    /// Actual cost, if [`Request::cost`] was an estimate.
    pub actual_cost: Option<Tokens>,
    /// Load report returned with the answer.
    pub load_report: Option<LoadReport>,
}

/// An observation of the gateway, which the caller reports to the engine.
#[derive(Debug, Clone)]
pub enum Event {
    /// Discovery sent a list of endpoints.
    EndpointsChanged {
        /// Whether the list is a complete snapshot or a set of changes.
        kind: EndpointListKind,
        /// The listed endpoints, interpreted according to `kind`.
        endpoints: Vec<Endpoint>,
    },
    /// A client sent a request, which must get exactly one final answer.
    RequestReceived(Request),
    /// An attempt started by [`Action::Forward`] ended.
    AttemptFinished(AttemptOutcome),
    /// The client disconnected or stopped waiting. The request has ended and must not be answered.
    ClientDisconnected {
        /// Id of the [`Request`] whose client is gone.
        request: RequestId,
    },
    /// A health check finished. The engine currently requests no health checks and ignores their results.
    HealthChecked {
        /// Endpoint that was checked.
        endpoint: EndpointName,
        /// Whether the endpoint passed the check.
        ok: bool,
        /// Load report returned with the result.
        load_report: Option<LoadReport>,
    },
    /// A gossip datagram arrived from another gateway.
    GossipReceived {
        /// Gateway that sent the datagram.
        from: GatewayId,
        /// Content of the datagram.
        text: String,
    },
    /// A timer set by [`Action::SetTimer`] expired.
    TimerFired {
        /// Token from the [`Action::SetTimer`] that set the timer.
        token: TimerToken,
    },
}

/// Why the engine rejects a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// The settings have no such class or plan.
    UnknownClassOrPlan,
    /// The tenant has too few tokens, as decided here or by the owner of its quota.
    QuotaExceeded,
    /// The owner of the quota or a concurrency permit was waited for in vain.
    QuotaTimeout,
    /// The tenant's hard limit, as far as this gateway may use it without asking.
    HardLimitExceeded,
    /// The tenant has too many requests in flight, and a permit is not expected in time.
    ConcurrencyLimit,
    /// Load shedding: endpoints fail or reject too many requests of this priority or a higher one.
    LoadShed,
    /// No endpoint is known, or none is expected to answer in time.
    NoEndpointCapacity,
    /// All attempts failed, and a retry by the client is safe.
    AttemptsFailed,
}

impl RejectReason {
    /// Returns the name of the reason for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            RejectReason::UnknownClassOrPlan => "unknown_class_or_plan",
            RejectReason::QuotaExceeded => "quota_exceeded",
            RejectReason::QuotaTimeout => "quota_timeout",
            RejectReason::HardLimitExceeded => "hard_limit_exceeded",
            RejectReason::ConcurrencyLimit => "concurrency_limit",
            RejectReason::LoadShed => "load_shed",
            RejectReason::NoEndpointCapacity => "no_endpoint_capacity",
            RejectReason::AttemptsFailed => "attempts_failed",
        }
    }
}

/// Action for the caller to execute.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt. Attempts of a request are numbered from 0 in the order of these actions.
    Forward {
        /// Id of the [`Request`] to forward.
        request: RequestId,
        /// Endpoint to which the attempt is sent.
        endpoint: EndpointName,
        /// Time at which the caller must abandon the attempt.
        deadline: Timestamp,
    },
    /// Reject the request. This is a final answer, which tells the client that a retry is safe.
    Reject {
        /// Id of the [`Request`] to answer.
        request: RequestId,
        /// Time that the client should wait before it retries; 0 means no advice.
        retry_after: Milliseconds,
        /// The cause, for logs and metrics. The client is not told.
        reason: RejectReason,
    },
    /// Fail the request. This is a final answer, which leaves open whether the request has executed.
    Fail {
        /// Id of the [`Request`] to answer.
        request: RequestId,
    },
    /// Send a gossip datagram to another gateway.
    SendGossip {
        /// Gateway that receives the datagram.
        to: GatewayId,
        /// Content of the datagram, at most 256 bytes.
        text: String,
    },
    /// Report [`Event::TimerFired`] after a delay. Timers cannot be cancelled.
    SetTimer {
        /// Token to report when the timer fires.
        token: TimerToken,
        /// Delay relative to the time of the current event.
        delay: Milliseconds,
    },
}

/// Numbers of tenants with quota state at a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TenantStatistics {
    /// Tenants whose state is kept.
    pub known: usize,
    /// Tenants whose state was dropped since the start because there were too many. Those that were idle for
    /// long do not count.
    pub displaced: u64,
}
