//! The settings that the decisions depend on, and their validation.
//!
//! [`Settings`] is what [`DecisionEngine::new`](crate::DecisionEngine::new) takes. It holds only what decisions
//! read, in the terms of this library. [`SettingsDocument`](crate::SettingsDocument) is the serialized form that the
//! deployment and the simulator write, and converts into it.
//!
//! Times are in milliseconds. Costs, bursts and slacks are in quota tokens, and rates in quota tokens per second.

use crate::events::GatewayId;
use std::fmt;
use thiserror::Error;

/// The greatest cost of a request, in tokens, where the settings state none.
const DEFAULT_MAX_REQUEST_COST: f64 = 1e6;

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Idempotency {
    /// Executing the request again has no further effect, so it may be retried freely.
    Idempotent,
    /// The request carries an idempotency key: the endpoints of one scope discard duplicates of it within the
    /// [deduplication window](RequestClass::deduplication_window_ms) of its class.
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
    /// An answer within this time has its full value, in milliseconds. Must be more than 0.
    pub latency_objective_ms: f64,
    /// The fraction of its value that a later answer still has.
    pub late_answer_weight: f64,
    /// Whether requests of this class may be executed more than once.
    pub idempotency: Idempotency,
    /// How long endpoints discard duplicates of a keyed request, in milliseconds, counted from the start of the first
    /// attempt that may have executed. Must be more than 0 if the class is [keyed](Idempotency::Keyed).
    pub deduplication_window_ms: f64,
}

/// A plan: the quota that each of its tenants has over all gateways together.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Plan {
    /// The rate at which a tenant's token bucket fills, in tokens per second; 0 means that the rate is not limited.
    pub refill_rate: f64,
    /// The capacity of the token bucket, in tokens. Must be more than 0 if there is a refill rate.
    pub burst: f64,
    /// The number of attempts that a tenant may have in flight at once; 0 means that concurrency is not limited.
    pub max_concurrency: u32,
    /// A factor on the value of the tenant's requests.
    pub weight: f64,
    /// The fraction of its value that forwarding a request beyond the quota costs.
    pub over_quota_penalty: f64,
    /// The rate at which the token bucket of the hard limit fills, in tokens per second; 0 means no hard limit.
    pub hard_limit_rate: f64,
    /// The capacity of the hard limit's token bucket, in tokens.
    pub hard_limit_burst: f64,
    /// How far the hard limit's token bucket may be overdrawn, in tokens.
    pub hard_limit_slack: f64,
}

/// The settings of one gateway.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// The number of this gateway in the fleet, from 0.
    pub gateway: GatewayId,
    /// The number of gateways in the fleet. Must be more than 0.
    pub gateway_count: u32,
    /// The number of the zone that this gateway runs in.
    pub zone: u32,
    /// The request classes. A request names its class by the index in this list, which must not be empty.
    pub classes: Vec<RequestClass>,
    /// The plans. A request names its tenant's plan by the index in this list.
    pub plans: Vec<Plan>,
    /// The greatest number of attempts for one request; 0 means that it is not limited.
    pub max_attempts: u32,
    /// Whether gateways may send each other gossip.
    pub gossip_enabled: bool,
    /// The greatest cost of a request, in tokens; 0 or less means that it is not stated.
    pub max_request_cost: f64,
    /// The number of gossip messages that a gateway receives per second before further ones are dropped.
    pub gossip_intake_per_second: f64,
    /// The fraction of its capacity that an endpoint has at least when it starts.
    pub initial_warmth: f64,
    /// An endpoint has its full capacity no later than this after its start, in milliseconds.
    pub warmup_ms: f64,
    /// An endpoint that is warming up fails when its load exceeds this multiple of its present capacity; 0 means that
    /// the multiple is not stated.
    pub warmup_overload_multiple: f64,
}

impl Settings {
    /// The greatest cost that any request can have, in tokens, also where the settings state none.
    #[must_use]
    pub fn largest_request_cost(&self) -> f64 {
        if self.max_request_cost > 0.0 {
            self.max_request_cost
        } else {
            DEFAULT_MAX_REQUEST_COST
        }
    }

    /// Checks that decisions can be made with these settings.
    ///
    /// # Errors
    ///
    /// Returns the first fault found: in the fleet, then in the classes, the plans and the limits.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.gateway_count == 0 {
            return Err(SettingsError::NoGateways);
        }
        for (index, class) in self.classes.iter().enumerate() {
            class.validate(index)?;
        }
        for (index, plan) in self.plans.iter().enumerate() {
            plan.validate(index)?;
        }
        self.validate_limits()
    }

    fn validate_limits(&self) -> Result<(), SettingsError> {
        let check = |field, key, value| check_number(SettingsSection::General, field, key, value);
        check(
            "gossip_intake_per_second",
            "Domain.PeerIntake",
            self.gossip_intake_per_second,
        )?;
        check("initial_warmth", "Rules.ColdFrom", self.initial_warmth)?;
        check("warmup_ms", "Rules.WarmWithin", self.warmup_ms)?;
        check(
            "warmup_overload_multiple",
            "Rules.FallMultiple",
            self.warmup_overload_multiple,
        )
    }
}

impl RequestClass {
    fn validate(&self, index: usize) -> Result<(), SettingsError> {
        let section = SettingsSection::Class(index);
        let check = |field, key, value| check_number(section, field, key, value);
        check("priority_weight", "Worth", self.priority_weight)?;
        check("latency_objective_ms", "Target", self.latency_objective_ms)?;
        check("late_answer_weight", "LateWorth", self.late_answer_weight)?;
        check(
            "deduplication_window_ms",
            "Window",
            self.deduplication_window_ms,
        )?;
        if self.latency_objective_ms == 0.0 {
            return Err(SettingsError::NoLatencyObjective { class: index });
        }
        let keyed = matches!(self.idempotency, Idempotency::Keyed(_));
        if keyed && self.deduplication_window_ms == 0.0 {
            return Err(SettingsError::NoDeduplicationWindow { class: index });
        }
        Ok(())
    }
}

impl Plan {
    fn validate(&self, index: usize) -> Result<(), SettingsError> {
        let section = SettingsSection::Plan(index);
        let check = |field, key, value| check_number(section, field, key, value);
        check("refill_rate", "UnitsPerS", self.refill_rate)?;
        check("burst", "PeakUnits", self.burst)?;
        check("weight", "ValueFactor", self.weight)?;
        check("over_quota_penalty", "OverCost", self.over_quota_penalty)?;
        check("hard_limit_rate", "CapRate", self.hard_limit_rate)?;
        check("hard_limit_burst", "CapDepth", self.hard_limit_burst)?;
        check("hard_limit_slack", "CeilingSlack", self.hard_limit_slack)?;
        if self.refill_rate > 0.0 && self.burst == 0.0 {
            return Err(SettingsError::RateWithoutBurst {
                plan: index,
                refill_rate: self.refill_rate,
            });
        }
        Ok(())
    }
}

/// Checks that a number is finite and not negative.
fn check_number(
    section: SettingsSection,
    field: &'static str,
    key: &'static str,
    value: f64,
) -> Result<(), SettingsError> {
    if value.is_finite() && value >= 0.0 {
        Ok(())
    } else {
        Err(SettingsError::InvalidNumber {
            section,
            field,
            key,
            value,
        })
    }
}

/// The part of the settings that a fault is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingsSection {
    /// The request class with this index in [`Settings::classes`].
    Class(usize),
    /// The plan with this index in [`Settings::plans`].
    Plan(usize),
    /// The settings that belong to no class and no plan.
    General,
}

impl fmt::Display for SettingsSection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsSection::Class(index) => write!(formatter, "class {index}"),
            SettingsSection::Plan(index) => write!(formatter, "plan {index}"),
            SettingsSection::General => formatter.write_str("general"),
        }
    }
}

/// Why decisions cannot be made with some settings.
///
/// Messages name each setting by its field in this library and by its key in the settings document, since operators
/// edit the latter. Classes and plans are counted from 0.
#[derive(Debug, Clone, PartialEq, Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// There is no request class.
    #[error("settings: there is no request class; at least one is needed (key `Classes`)")]
    NoClasses,
    /// The fleet has no gateway.
    #[error("settings: the fleet has no gateway; at least one is needed (key `Balancers`)")]
    NoGateways,
    /// A number is negative, infinite or not a number.
    #[error(
        "settings: {section}: {field} is {value}, but must be finite and not negative (key `{key}`)"
    )]
    InvalidNumber {
        /// Where the number is.
        section: SettingsSection,
        /// The name of the number's field in this library.
        field: &'static str,
        /// The key of the number in the settings document. It is relative to the class or the plan.
        key: &'static str,
        /// The number.
        value: f64,
    },
    /// The latency objective of a class is 0.
    #[error(
        "settings: class {class}: latency_objective_ms is 0, but must be positive (key `Target`)"
    )]
    NoLatencyObjective {
        /// The index of the class.
        class: usize,
    },
    /// A class is keyed, but its deduplication window is 0.
    #[error(
        "settings: class {class}: deduplication_window_ms is 0, but must be positive for a keyed class (key `Window`)"
    )]
    NoDeduplicationWindow {
        /// The index of the class.
        class: usize,
    },
    /// A plan limits the rate, but its token bucket has no capacity.
    #[error(
        "settings: plan {plan}: burst is 0, but must be positive with a refill_rate of {refill_rate} (key `PeakUnits`)"
    )]
    RateWithoutBurst {
        /// The index of the plan.
        plan: usize,
        /// The refill rate, in tokens per second.
        refill_rate: f64,
    },
}
