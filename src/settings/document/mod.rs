//! The settings as they are serialized.
//!
//! The deployment (the `settings` object of the file that `GW_CONFIG` names) and the simulator (the `Conf` object of an
//! instance's first message) write the same JSON object. Its keys and units are theirs and are translated here, once,
//! into the terms of this library. Keys that are not known are skipped, so that a site can add some.
//!
//! Times are in milliseconds. Costs, bursts and slacks are in quota tokens, and rates in quota tokens per second.

mod conversion;

use super::SettingsField;
use serde::Deserialize;

/// How long a connection attempt may take where the settings do not say it.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;

/// How long a connection may be idle where the settings do not say it.
const DEFAULT_IDLE_CONNECTION_TIMEOUT_MS: f64 = 15_000.0;

/// How many requests may be active at once where the settings do not say it.
const DEFAULT_MAX_ACTIVE_REQUESTS: usize = 20_000;

/// How long requests may go to an endpoint that is draining where the settings do not say it.
const DEFAULT_DRAIN_GRACE_MS: f64 = 500.0;

/// How long a gateway may go without polling discovery where the settings do not say it.
const DEFAULT_MAX_POLL_INTERVAL_MS: f64 = 10_000.0;

/// The JSON object of settings that a gateway gets at its start.
#[derive(Debug, Deserialize)]
pub struct SettingsDocument {
    #[serde(rename = "Balancers")]
    gateway_count: u32,
    #[serde(rename = "Me", default)]
    gateway: u32,
    #[serde(rename = "Zone", default)]
    zone: u32,
    /// The names of the zones. Elsewhere a zone is the index of its name in this list.
    #[serde(rename = "Areas", default)]
    pub zones: Vec<String>,
    /// The names of the hardware models. Elsewhere a model is the index of its name in this list.
    #[serde(rename = "Kinds", default)]
    pub hardware_kinds: Vec<String>,
    /// The request classes. Elsewhere a class is its index in this list.
    #[serde(rename = "Classes")]
    pub classes: Vec<ClassDocument>,
    /// The plans. Elsewhere a plan is its index in this list.
    #[serde(rename = "Plans", default)]
    pub plans: Vec<PlanDocument>,
    /// What the site permits.
    #[serde(rename = "Bounds", default)]
    pub limits: LimitsDocument,
    #[serde(rename = "Domain", default)]
    service: ServiceDocument,
    /// How gateways learn about changes of the endpoint list.
    #[serde(rename = "Discovery", default)]
    pub discovery_mode: DiscoveryMode,
    /// The parameters of the site's rules.
    #[serde(rename = "Rules", default)]
    pub rules: RulesDocument,
}

/// How gateways learn about changes of the endpoint list.
#[derive(Debug, Deserialize, Clone, Copy, PartialEq, Eq, Default)]
pub enum DiscoveryMode {
    /// An agent on the gateway's machine has every change without being asked.
    #[default]
    #[serde(rename = "automatic")]
    Automatic,
    /// Each gateway polls or watches a service that all gateways share.
    #[serde(rename = "subscribe")]
    Subscribe,
}

/// A class of requests.
#[derive(Debug, Deserialize)]
pub struct ClassDocument {
    /// The name of the class.
    #[serde(rename = "Name", default)]
    pub name: String,
    #[serde(rename = "Worth", default)]
    priority_weight: f64,
    #[serde(rename = "Target")]
    latency_objective_ms: f64,
    /// The longest time that a client of this class waits, in milliseconds; 0 means that it is not stated.
    #[serde(rename = "Deadline", default)]
    pub deadline_ms: f64,
    #[serde(rename = "LateWorth", default)]
    late_answer_weight: f64,
    /// Whether requests of this class may be executed more than once.
    #[serde(rename = "Effect")]
    pub idempotency: IdempotencyDocument,
    #[serde(rename = "Group", default)]
    deduplication_scope: Option<DeduplicationScopeDocument>,
    #[serde(rename = "Window", default)]
    deduplication_window_ms: f64,
}

/// Whether requests of a class may be executed more than once.
#[derive(Debug, Deserialize, Clone, Copy, PartialEq, Eq)]
pub enum IdempotencyDocument {
    /// They may be executed any number of times.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// They carry an idempotency key, by which the endpoints of one scope discard duplicates.
    #[serde(rename = "by_key")]
    Keyed,
    /// They may be executed only once.
    #[serde(rename = "once")]
    NonIdempotent,
}

/// The endpoints that discard duplicates of each other's keyed requests.
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

/// A plan: the quota of each of its tenants.
#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub struct PlanDocument {
    /// The name of the plan.
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

/// What the site permits.
#[derive(Debug, Deserialize)]
#[serde(default)]
pub struct LimitsDocument {
    #[serde(rename = "Peers")]
    gossip_enabled: bool,
    #[serde(rename = "TryLimit")]
    max_attempts: u32,
    /// A connection attempt fails if it takes longer than this, in milliseconds.
    #[serde(rename = "ConnectTimeout")]
    pub connect_timeout_ms: f64,
    /// A connection is closed after it has been idle for this long, in milliseconds.
    #[serde(rename = "ConnIdle")]
    pub idle_connection_timeout_ms: f64,
    /// The greatest number of requests that a gateway may have active at once.
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

/// Properties of the service that the gateways are in front of.
#[derive(Debug, Deserialize, Default)]
#[serde(default)]
struct ServiceDocument {
    #[serde(rename = "PeerIntake")]
    gossip_intake_per_second: f64,
    #[serde(rename = "Largest")]
    max_request_cost: f64,
}

/// The parameters of the site's rules.
#[derive(Debug, Deserialize)]
#[serde(default)]
pub struct RulesDocument {
    #[serde(rename = "ColdFrom")]
    initial_warmth: f64,
    #[serde(rename = "WarmWithin")]
    warmup_ms: f64,
    #[serde(rename = "FallMultiple")]
    warmup_overload_multiple: f64,
    /// How long requests may still go to an endpoint after the gateway has learned that it is draining or removed, in
    /// milliseconds.
    #[serde(rename = "DrainGrace")]
    pub drain_grace_ms: f64,
    /// A gateway that has not polled a shared discovery service for this long is treated as if it knew the list as it
    /// was then, in milliseconds.
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
    /// The key of the setting in the settings document, relative to the class or the plan that it belongs to.
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
