//! The settings that the decisions depend on, and their validation.
//!
//! [`Settings`] is what [`DecisionEngine::new`](crate::DecisionEngine::new) takes. It holds only what decisions
//! read, in the terms of this library. [`SettingsDocument`] is the serialized form that the
//! deployment and the simulator write, and converts into it.

mod document;
mod validation;

pub use document::{
    ClassDocument, DiscoveryMode, IdempotencyDocument, LimitsDocument, PlanDocument, RulesDocument,
    SettingsDocument,
};
pub use validation::{SettingsError, SettingsField, SettingsSection};

use crate::events::{ClassIndex, GatewayId, PlanIndex, ZoneId};
use crate::units::{Milliseconds, Tokens, TokensPerSecond};

/// The greatest cost of a request where the settings state none.
const DEFAULT_MAX_REQUEST_COST: Tokens = Tokens(1e6);

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Idempotency {
    /// Executing the request again has no further effect, so it may be retried freely.
    Idempotent,
    /// The request carries an idempotency key: the endpoints of one scope discard duplicates of it within the
    /// [deduplication window](RequestClass::deduplication_window) of its class.
    Keyed(DeduplicationScope),
    /// Executing the request again takes effect again, so it may be retried only if no attempt can have executed.
    #[default]
    NonIdempotent,
}

/// The set of endpoints that discard duplicates of each other's keyed requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// A class of requests: how much its answers count, and whether its requests may be retried.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RequestClass {
    /// The value of an answer in time, before the weight of the tenant's plan is applied. No unit; values are only
    /// compared with each other.
    pub priority_weight: f64,
    /// An answer within this time has its full value. Must be more than 0.
    pub latency_objective: Milliseconds,
    /// The fraction of its value that a later answer still has.
    pub late_answer_weight: f64,
    /// Whether requests of this class may be executed more than once.
    pub idempotency: Idempotency,
    /// How long endpoints discard duplicates of a keyed request, counted from the start of the first
    /// attempt that may have executed. Must be more than 0 if the class is [keyed](Idempotency::Keyed).
    pub deduplication_window: Milliseconds,
}

/// A plan: the quota that each of its tenants has over all gateways together.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Plan {
    /// The rate at which a tenant's token bucket fills; 0 means that the rate is not limited.
    pub refill_rate: TokensPerSecond,
    /// The capacity of the token bucket. Must be more than 0 if there is a refill rate.
    pub burst: Tokens,
    /// The number of attempts that a tenant may have in flight at once; 0 means that concurrency is not limited.
    pub max_concurrency: u32,
    /// A factor on the value of the tenant's requests.
    pub weight: f64,
    /// The fraction of its value that forwarding a request beyond the quota costs.
    pub over_quota_penalty: f64,
    /// The rate at which the token bucket of the hard limit fills; 0 means no hard limit.
    pub hard_limit_rate: TokensPerSecond,
    /// The capacity of the hard limit's token bucket.
    pub hard_limit_burst: Tokens,
    /// How far the hard limit's token bucket may be overdrawn.
    pub hard_limit_slack: Tokens,
}

/// The settings of one gateway.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// The number of this gateway in the fleet, from 0.
    pub gateway: GatewayId,
    /// The number of gateways in the fleet. Must be more than 0.
    pub gateway_count: u32,
    /// The number of the zone that this gateway runs in.
    pub zone: ZoneId,
    /// The request classes. A request names its class by the index in this list, which must not be empty.
    pub classes: Vec<RequestClass>,
    /// The plans. A request names its tenant's plan by the index in this list.
    pub plans: Vec<Plan>,
    /// The greatest number of attempts for one request; 0 means that it is not limited.
    pub max_attempts: u32,
    /// Whether gateways may send each other gossip.
    pub gossip_enabled: bool,
    /// The greatest cost of a request; 0 or less means that it is not stated.
    pub max_request_cost: Tokens,
    /// The number of gossip messages that a gateway receives per second before further ones are dropped.
    pub gossip_intake_per_second: f64,
    /// The fraction of its capacity that an endpoint has at least when it starts.
    pub initial_warmth: f64,
    /// An endpoint has its full capacity no later than this after its start.
    pub warmup_duration: Milliseconds,
    /// An endpoint that is warming up fails when its load exceeds this multiple of its present capacity; 0 means that
    /// the multiple is not stated.
    pub warmup_overload_multiple: f64,
}

impl Settings {
    /// The greatest cost that any request can have, also where the settings state none.
    #[must_use]
    pub fn largest_request_cost(&self) -> Tokens {
        if self.max_request_cost > Tokens::ZERO {
            self.max_request_cost
        } else {
            DEFAULT_MAX_REQUEST_COST
        }
    }

    /// The class with this index.
    ///
    /// # Panics
    /// When there is no such class.
    #[must_use]
    pub fn class(&self, class: ClassIndex) -> &RequestClass {
        &self.classes[class.0]
    }

    /// The plan with this index.
    ///
    /// # Panics
    /// When there is no such plan.
    #[must_use]
    pub fn plan(&self, plan: PlanIndex) -> &Plan {
        &self.plans[plan.0]
    }
}
