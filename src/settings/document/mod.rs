//! JSON form of the settings.
//!
//! Deployments (the `settings` object of the file named by `GW_CONFIG`) and the simulator (the `Conf` object
//! of an instance's first message) write the same JSON object. Its keys and units are defined by them, and
//! only this module translates them to the names of this library. Unknown keys are ignored, so that
//! deployments can add their own.
//!
//! Times are in milliseconds. Costs, bursts and slacks are in quota tokens, and rates in quota tokens per
//! second.

mod conversion;

use super::SettingsField;
use serde::Deserialize;

/// Connection timeout if `ConnectTimeout` is not set.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;

/// Idle timeout of connections if `ConnIdle` is not set.
const DEFAULT_IDLE_CONNECTION_TIMEOUT_MS: f64 = 15_000.0;

/// Limit on active requests if `MaxOpen` is not set.
const DEFAULT_MAX_ACTIVE_REQUESTS: usize = 20_000;

/// Grace period for requests to draining endpoints if `DrainGrace` is not set.
const DEFAULT_DRAIN_GRACE_MS: f64 = 500.0;

/// Maximum time between discovery polls if `MustAskIn` is not set.
const DEFAULT_MAX_POLL_INTERVAL_MS: f64 = 10_000.0;

/// JSON settings that a gateway reads at startup.
#[derive(Debug, Deserialize)]
pub struct SettingsDocument {
    #[serde(rename = "Balancers")]
    gateway_count: u32,
    #[serde(rename = "Me", default)]
    gateway: u32,
    #[serde(rename = "Zone", default)]
    zone: u32,
    /// Names of the zones. A [`ZoneId`](crate::ZoneId) is an index in this list.
    #[serde(rename = "Areas", default)]
    pub zones: Vec<String>,
    /// Names of the hardware models. A [`HardwareId`](crate::HardwareId) is an index in this list.
    #[serde(rename = "Kinds", default)]
    pub hardware_kinds: Vec<String>,
    /// Request classes. A [`ClassIndex`](crate::ClassIndex) is an index in this list.
    #[serde(rename = "Classes")]
    pub classes: Vec<ClassDocument>,
    /// Plans. A [`PlanIndex`](crate::PlanIndex) is an index in this list.
    #[serde(rename = "Plans", default)]
    pub plans: Vec<PlanDocument>,
    /// Limits on connections, requests and attempts.
    #[serde(rename = "Bounds", default)]
    pub limits: LimitsDocument,
    #[serde(rename = "Domain", default)]
    service: ServiceDocument,
    /// How gateways receive changes of the endpoint list.
    #[serde(rename = "Discovery", default)]
    pub discovery_mode: DiscoveryMode,
    /// Parameters of warm-up, draining and discovery polling.
    #[serde(rename = "Rules", default)]
    pub rules: RulesDocument,
}

/// How gateways receive changes of the endpoint list.
#[derive(Debug, Deserialize, Clone, Copy, PartialEq, Eq, Default)]
pub enum DiscoveryMode {
    /// Discovery pushes every change to an agent on the gateway's host, without requests from the gateway.
    #[default]
    #[serde(rename = "automatic")]
    Automatic,
    /// Each gateway polls or watches a discovery service that all gateways share.
    #[serde(rename = "subscribe")]
    Subscribe,
}

/// JSON form of a request class.
#[derive(Debug, Deserialize)]
pub struct ClassDocument {
    /// Name of the class; empty if not set.
    #[serde(rename = "Name", default)]
    pub name: String,
    #[serde(rename = "Worth", default)]
    priority_weight: f64,
    #[serde(rename = "Target")]
    latency_objective_ms: f64,
    /// Maximum time in milliseconds that a client of this class waits for an answer; 0 if unknown.
    #[serde(rename = "Deadline", default)]
    pub deadline_ms: f64,
    #[serde(rename = "LateWorth", default)]
    late_answer_weight: f64,
    /// Determines how requests of this class may be retried.
    #[serde(rename = "Effect")]
    pub idempotency: IdempotencyDocument,
    #[serde(rename = "Group", default)]
    deduplication_scope: Option<DeduplicationScopeDocument>,
    #[serde(rename = "Window", default)]
    deduplication_window_ms: f64,
}

/// JSON form of [`Idempotency`](crate::Idempotency), without the deduplication scope.
#[derive(Debug, Deserialize, Clone, Copy, PartialEq, Eq)]
pub enum IdempotencyDocument {
    /// Requests may be executed any number of times.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// Requests carry an idempotency key, which the endpoints of the deduplication scope use to discard
    /// duplicates.
    #[serde(rename = "by_key")]
    Keyed,
    /// Requests must not be executed more than once.
    #[serde(rename = "once")]
    NonIdempotent,
}

#[derive(Debug, Deserialize, Clone, Copy, Default)]
enum DeduplicationScopeDocument {
    #[default]
    #[serde(rename = "all")]
    All,
    #[serde(rename = "zone")]
    Zone,
    #[serde(rename = "cell")]
    Cell,
}

/// JSON form of a plan.
#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub struct PlanDocument {
    /// Name of the plan; empty if not set.
    #[serde(rename = "Name")]
    pub name: String,
    #[serde(rename = "UnitsPerS")]
    refill_rate: f64,
    #[serde(rename = "PeakUnits")]
    burst: f64,
    #[serde(rename = "MaxOut")]
    max_concurrency: u32,
    #[serde(rename = "ValueFactor")]
    weight: f64,
    #[serde(rename = "OverCost")]
    over_quota_penalty: f64,
    #[serde(rename = "CapRate")]
    hard_limit_rate: f64,
    #[serde(rename = "CapDepth")]
    hard_limit_burst: f64,
    #[serde(rename = "CeilingSlack")]
    hard_limit_slack: f64,
}

/// Limits on connections, requests and attempts.
#[derive(Debug, Deserialize)]
#[serde(default)]
pub struct LimitsDocument {
    #[serde(rename = "Peers")]
    gossip_enabled: bool,
    #[serde(rename = "TryLimit")]
    max_attempts: u32,
    /// Connection attempts that take longer fail, in milliseconds.
    #[serde(rename = "ConnectTimeout")]
    pub connect_timeout_ms: f64,
    /// Connections idle for longer are closed, in milliseconds.
    #[serde(rename = "ConnIdle")]
    pub idle_connection_timeout_ms: f64,
    /// Maximum number of active requests per gateway.
    #[serde(rename = "MaxOpen")]
    pub max_active_requests: usize,
}

impl Default for LimitsDocument {
    fn default() -> Self {
        LimitsDocument {
            gossip_enabled: false,
            max_attempts: 0,
            connect_timeout_ms: DEFAULT_CONNECT_TIMEOUT_MS,
            idle_connection_timeout_ms: DEFAULT_IDLE_CONNECTION_TIMEOUT_MS,
            max_active_requests: DEFAULT_MAX_ACTIVE_REQUESTS,
        }
    }
}

/// Properties of the service behind the gateways.
#[derive(Debug, Deserialize, Default)]
#[serde(default)]
struct ServiceDocument {
    #[serde(rename = "PeerIntake")]
    gossip_intake_per_second: f64,
    #[serde(rename = "Largest")]
    max_request_cost: f64,
}

/// Parameters of warm-up, draining and discovery polling.
#[derive(Debug, Deserialize)]
#[serde(default)]
pub struct RulesDocument {
    #[serde(rename = "ColdFrom")]
    initial_warmth: f64,
    #[serde(rename = "WarmWithin")]
    warmup_ms: f64,
    #[serde(rename = "FallMultiple")]
    warmup_overload_multiple: f64,
    /// Time in milliseconds for which requests may still be sent to an endpoint after the gateway has learned
    /// that the endpoint is draining or removed.
    #[serde(rename = "DrainGrace")]
    pub drain_grace_ms: f64,
    /// Maximum time between polls of a shared discovery service, in milliseconds. A gateway that has not
    /// polled for this long is treated as if it knew the endpoint list as it was this long ago.
    #[serde(rename = "MustAskIn")]
    pub max_poll_interval_ms: f64,
}

impl Default for RulesDocument {
    fn default() -> Self {
        RulesDocument {
            initial_warmth: 0.0,
            warmup_ms: 0.0,
            warmup_overload_multiple: 0.0,
            drain_grace_ms: DEFAULT_DRAIN_GRACE_MS,
            max_poll_interval_ms: DEFAULT_MAX_POLL_INTERVAL_MS,
        }
    }
}

impl SettingsField {
    /// Returns the key of the setting in the settings document, relative to its class or plan if it belongs
    /// to one.
    #[must_use]
    pub fn document_key(self) -> &'static str {
        match self {
            SettingsField::PriorityWeight => "Worth",
            SettingsField::LatencyObjective => "Target",
            SettingsField::LateAnswerWeight => "LateWorth",
            SettingsField::DeduplicationWindow => "Window",
            SettingsField::RefillRate => "UnitsPerS",
            SettingsField::Burst => "PeakUnits",
            SettingsField::PlanWeight => "ValueFactor",
            SettingsField::OverQuotaPenalty => "OverCost",
            SettingsField::HardLimitRate => "CapRate",
            SettingsField::HardLimitBurst => "CapDepth",
            SettingsField::HardLimitSlack => "CeilingSlack",
            SettingsField::GossipIntake => "Domain.PeerIntake",
            SettingsField::InitialWarmth => "Rules.ColdFrom",
            SettingsField::WarmupDuration => "Rules.WarmWithin",
            SettingsField::WarmupOverloadMultiple => "Rules.FallMultiple",
        }
    }
}
