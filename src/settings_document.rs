//! The settings as the simulator and the deployment write them: names and units are theirs, and keys that
//! are not known are skipped. Read once, for both programs.

use crate::settings::*;
use serde::Deserialize;
use std::time::Duration;

/// The protocol page: SIGKILL comes after SIGTERM no sooner than the longest deadline, taken as the first of
/// these where it is longer, and the second.
const GRACE_WAIT_MS: f64 = 3000.0;
const GRACE_MORE_MS: f64 = 700.0;

/// The object of settings that a gateway is given at its start.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SettingsDocument {
    #[serde(rename = "Balancers")]
    gateway_count: u32,
    #[serde(default)]
    #[serde(rename = "Me")]
    gateway: u32,
    #[serde(default)]
    zone: u32,
    /// Zone names, by number.
    #[serde(default)]
    #[serde(rename = "Areas")]
    pub zones: Vec<String>,
    /// Names of the kinds of machine, by number.
    #[serde(default)]
    #[serde(rename = "Kinds")]
    pub hardware_kinds: Vec<String>,
    /// The classes, by number.
    pub classes: Vec<ClassDocument>,
    /// The plans, by number.
    #[serde(default)]
    pub plans: Vec<PlanDocument>,
    /// What the site permits.
    #[serde(default)]
    #[serde(rename = "Bounds")]
    pub limits: LimitsDocument,
    #[serde(default)]
    #[serde(rename = "Domain")]
    quotas: QuotaDocument,
    /// How the list of servers is had.
    #[serde(default)]
    #[serde(rename = "Discovery")]
    pub discovery_mode: DiscoveryMode,
    /// The figures of the rules.
    #[serde(default)]
    pub rules: RulesDocument,
}

/// How the list of servers is had.
#[derive(Debug, Deserialize, Clone, Copy, PartialEq, Eq, Default)]
#[serde(rename_all = "lowercase")]
pub enum DiscoveryMode {
    /// Changes are sent to every gatekeeper's machine, asked for or not.
    #[default]
    Automatic,
    /// Each gatekeeper asks a service that all of them share.
    Subscribe,
}

/// A class of requests.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ClassDocument {
    /// Its name.
    #[serde(default)]
    pub name: String,
    #[serde(default)]
    #[serde(rename = "Worth")]
    priority_weight: f64,
    #[serde(rename = "Target")]
    latency_objective_ms: f64,
    /// No client of this class waits longer, in milliseconds; 0 where nothing is said.
    #[serde(default)]
    #[serde(rename = "Deadline")]
    pub deadline_ms: f64,
    #[serde(default)]
    #[serde(rename = "LateWorth")]
    late_answer_weight: f64,
    /// Whether it may be repeated.
    #[serde(rename = "Effect")]
    pub idempotency: IdempotencyDocument,
    #[serde(default)]
    #[serde(rename = "Group")]
    deduplication_scope: Option<DeduplicationScopeDocument>,
    #[serde(default)]
    #[serde(rename = "Window")]
    deduplication_window_ms: f64,
}

/// Whether a class may be repeated.
#[derive(Debug, Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum IdempotencyDocument {
    /// At will.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// Within a group that drops repeats.
    #[serde(rename = "by_key")]
    Keyed,
    /// Never once it may have run.
    #[serde(rename = "once")]
    NonIdempotent,
}

#[derive(Debug, Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum DeduplicationScopeDocument {
    All,
    Zone,
    Cell,
}

/// A plan.
#[derive(Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct PlanDocument {
    /// Its name.
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

/// What the site permits, times in milliseconds.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct LimitsDocument {
    #[serde(rename = "Peers")]
    gossip_enabled: bool,
    #[serde(rename = "TryLimit")]
    max_attempts: u32,
    /// A connection that is not up after this counts as unreachable.
    #[serde(rename = "ConnectTimeout")]
    pub connect_timeout_ms: f64,
    /// Idle connections are closed after this.
    #[serde(rename = "ConnIdle")]
    pub idle_connection_timeout_ms: f64,
    /// The most requests open at once.
    #[serde(rename = "MaxOpen")]
    pub max_active_requests: usize,
}

impl Default for LimitsDocument {
    fn default() -> Self {
        LimitsDocument {
            gossip_enabled: false,
            max_attempts: 0,
            connect_timeout_ms: 250.0,
            idle_connection_timeout_ms: 15_000.0,
            max_active_requests: 20_000,
        }
    }
}

#[derive(Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct QuotaDocument {
    #[serde(rename = "PeerIntake")]
    gossip_intake_per_second: f64,
    #[serde(rename = "Largest")]
    max_request_cost: f64,
}

/// The figures of the rules, times in milliseconds.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct RulesDocument {
    #[serde(rename = "ColdFrom")]
    initial_warmth: f64,
    #[serde(rename = "WarmWithin")]
    warmup_ms: f64,
    #[serde(rename = "FallMultiple")]
    warmup_overload_multiple: f64,
    /// Nothing new goes to a server this long after word came that it drains or is gone.
    #[serde(rename = "DrainGrace")]
    pub drain_grace_ms: f64,
    /// Who has not asked a shared discovery for this long counts as told what it had to tell.
    #[serde(rename = "MustAskIn")]
    pub max_poll_interval_ms: f64,
}

impl Default for RulesDocument {
    fn default() -> Self {
        RulesDocument {
            initial_warmth: 0.0,
            warmup_ms: 0.0,
            warmup_overload_multiple: 0.0,
            drain_grace_ms: 500.0,
            max_poll_interval_ms: 10_000.0,
        }
    }
}

impl SettingsDocument {
    /// How many gatekeepers there are.
    #[must_use]
    pub fn gateway_count(&self) -> u32 {
        self.gateway_count
    }

    /// How long a gatekeeper that is told to end has at the least before it is killed.
    #[must_use]
    pub fn termination_grace(&self) -> Duration {
        let longest = self
            .classes
            .iter()
            .map(|c| c.deadline_ms)
            .fold(0.0, f64::max);
        let waits = if longest > 0.0 {
            longest.min(GRACE_WAIT_MS)
        } else {
            GRACE_WAIT_MS
        };
        Duration::from_secs_f64((waits + GRACE_MORE_MS) / 1000.0)
    }

    /// What the module needs of them.
    #[must_use]
    pub fn settings(&self) -> Settings {
        let class = |c: &ClassDocument| RequestClass {
            priority_weight: c.priority_weight,
            latency_objective_ms: c.latency_objective_ms,
            late_answer_weight: c.late_answer_weight,
            idempotency: match (c.idempotency, c.deduplication_scope) {
                (IdempotencyDocument::Idempotent, _) => Idempotency::Idempotent,
                (IdempotencyDocument::NonIdempotent, _) => Idempotency::NonIdempotent,
                (IdempotencyDocument::Keyed, Some(DeduplicationScopeDocument::Zone)) => {
                    Idempotency::Keyed(DeduplicationScope::Zone)
                }
                (IdempotencyDocument::Keyed, Some(DeduplicationScopeDocument::Cell)) => {
                    Idempotency::Keyed(DeduplicationScope::Cell)
                }
                (IdempotencyDocument::Keyed, _) => Idempotency::Keyed(DeduplicationScope::All),
            },
            deduplication_window_ms: c.deduplication_window_ms,
        };
        let plan = |p: &PlanDocument| Plan {
            refill_rate: p.refill_rate,
            burst: p.burst,
            max_concurrency: p.max_concurrency,
            weight: p.weight,
            over_quota_penalty: p.over_quota_penalty,
            hard_limit_rate: p.hard_limit_rate,
            hard_limit_burst: p.hard_limit_burst,
            hard_limit_slack: p.hard_limit_slack,
        };
        Settings {
            gateway: self.gateway,
            gateway_count: self.gateway_count,
            zone: self.zone,
            classes: self.classes.iter().map(class).collect(),
            plans: self.plans.iter().map(plan).collect(),
            max_attempts: self.limits.max_attempts,
            gossip_enabled: self.limits.gossip_enabled,
            max_request_cost: self.quotas.max_request_cost,
            gossip_intake_per_second: self.quotas.gossip_intake_per_second,
            initial_warmth: self.rules.initial_warmth,
            warmup_ms: self.rules.warmup_ms,
            warmup_overload_multiple: self.rules.warmup_overload_multiple,
        }
    }
}
