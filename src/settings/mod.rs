//! Settings of the decision engine and their validation.
//!
//! [`Settings`] is the input of [`DecisionEngine::new`](crate::DecisionEngine::new) and contains only values
//! that the engine reads. [`SettingsDocument`] is the JSON form written by deployments and by the simulator;
//! [`SettingsDocument::settings`] converts it.

mod document;
mod validation;

pub use document::{
    ClassDocument, DiscoveryMode, IdempotencyDocument, LimitsDocument, PlanDocument, RulesDocument,
    SettingsDocument,
};
pub use validation::{SettingsError, SettingsField, SettingsSection};

use crate::events::{ClassIndex, GatewayId, PlanIndex, ZoneId};
use crate::units::{Milliseconds, Tokens, TokensPerSecond};

/// Assumed maximum cost of a request if [`Settings::max_request_cost`] is not set.
const DEFAULT_MAX_REQUEST_COST: Tokens = Tokens(1e6);

/// Memory for the state of tenants if [`Settings::tenant_memory_bytes`] is not set.
const DEFAULT_TENANT_MEMORY_BYTES: usize = 24 << 20;

/// Whether a request can safely be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Idempotency {
    /// Executing the request again has no further effect, so retries are always safe.
    Idempotent,
    /// The request carries an idempotency key. Endpoints within the scope discard duplicates during the
    /// [deduplication window](RequestClass::deduplication_window) of the request's class.
    Keyed(DeduplicationScope),
    /// Each execution has an effect, so the request may be retried only if no earlier attempt can have
    /// executed.
    #[default]
    NonIdempotent,
}

/// Set of endpoints that share the detection of duplicate keyed requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints of the fleet.
    All,
    /// The endpoints in the same zone.
    Zone,
    /// The endpoints in the same cell.
    Cell,
}

/// Request class: the priority, latency objective and retry safety of its requests.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RequestClass {
    /// Value of a timely answer, before the plan's weight is applied. It has no unit; values are only
    /// compared with each other.
    pub priority_weight: f64,
    /// Latency up to which an answer has its full value. Must be positive.
    pub latency_objective: Milliseconds,
    /// Value of an answer after the latency objective, as a fraction of its full value.
    pub late_answer_weight: f64,
    /// Determines how requests of this class may be retried.
    pub idempotency: Idempotency,
    /// Time for which endpoints discard duplicates of a keyed request, measured from the start of the first
    /// attempt that may have executed. Must be positive if the class is [keyed](Idempotency::Keyed).
    pub deduplication_window: Milliseconds,
}

/// Plan: the fleet-wide quota of each of its tenants.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Plan {
    /// Refill rate of the tenant's token bucket; 0 means that the rate is unlimited.
    pub refill_rate: TokensPerSecond,
    /// Capacity of the tenant's token bucket. Must be positive if `refill_rate` is.
    pub burst: Tokens,
    /// Maximum number of attempts of a tenant in flight at once; 0 means unlimited.
    pub max_concurrency: u32,
    /// Factor applied to the value of the tenant's requests.
    pub weight: f64,
    /// Penalty for forwarding a request beyond the quota, as a fraction of the request's value.
    pub over_quota_penalty: f64,
    /// Refill rate of the hard limit's token bucket; 0 means that there is no hard limit.
    pub hard_limit_rate: TokensPerSecond,
    /// Capacity of the hard limit's token bucket.
    pub hard_limit_burst: Tokens,
    /// Maximum debt of the hard limit's token bucket.
    pub hard_limit_slack: Tokens,
}

/// Settings of the decision engine of one gateway.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// Index of this gateway in the fleet, starting at 0.
    pub gateway: GatewayId,
    /// Number of gateways in the fleet. Must be positive.
    pub gateway_count: u32,
    /// Zone in which this gateway runs.
    pub zone: ZoneId,
    /// Request classes, indexed by [`ClassIndex`]. Must not be empty.
    pub classes: Vec<RequestClass>,
    /// Plans, indexed by [`PlanIndex`].
    pub plans: Vec<Plan>,
    /// Maximum number of attempts per request; 0 means unlimited.
    pub max_attempts: u32,
    /// Whether gateways exchange gossip.
    pub gossip_enabled: bool,
    /// Maximum cost of a request; 0 or less means that no maximum is set.
    pub max_request_cost: Tokens,
    /// Rate limit on the gossip datagrams that a gateway receives, per second. Datagrams above it are
    /// dropped.
    pub gossip_intake_per_second: f64,
    /// Minimum fraction of its capacity that an endpoint has when it starts.
    pub initial_warmth: f64,
    /// Maximum time from an endpoint's start until it has its full capacity.
    pub warmup_duration: Milliseconds,
    /// An endpoint that is warming up fails if its load exceeds this multiple of its current capacity; 0
    /// means that the multiple is unknown.
    pub warmup_overload_multiple: f64,
    /// Limit on the memory for the quota state of tenants, in bytes; 0 means that no limit is set, and the
    /// default applies. The engine keeps to it approximately, at 512 bytes for each tenant, and forgets
    /// other tenants first if one more does not fit.
    pub tenant_memory_bytes: usize,
}

impl Settings {
    /// Returns [`Settings::max_request_cost`], or the default of 1,000,000 tokens if it is not set.
    #[must_use]
    pub fn effective_max_request_cost(&self) -> Tokens {
        if self.max_request_cost > Tokens::ZERO {
            self.max_request_cost
        } else {
            DEFAULT_MAX_REQUEST_COST
        }
    }

    /// Returns [`Settings::tenant_memory_bytes`], or the default of 24 MiB if it is not set.
    #[must_use]
    pub fn effective_tenant_memory_bytes(&self) -> usize {
        if self.tenant_memory_bytes > 0 {
            self.tenant_memory_bytes
        } else {
            DEFAULT_TENANT_MEMORY_BYTES
        }
    }

    /// Returns the settings of a request class.
    ///
    /// # Panics
    /// Panics if the index is out of range.
    #[must_use]
    pub fn class(&self, class: ClassIndex) -> &RequestClass {
        &self.classes[class.0]
    }

    /// Returns the settings of a plan.
    ///
    /// # Panics
    /// Panics if the index is out of range.
    #[must_use]
    pub fn plan(&self, plan: PlanIndex) -> &Plan {
        &self.plans[plan.0]
    }
}
