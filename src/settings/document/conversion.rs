//! Conversion of the settings document to the settings of the decision engine.

use super::{
    ClassDocument, DeduplicationScopeDocument, IdempotencyDocument, PlanDocument, SettingsDocument,
};
use crate::events::{GatewayId, ZoneId};
use crate::settings::{DeduplicationScope, Idempotency, Plan, RequestClass, Settings};
use crate::units::{Milliseconds, Tokens, TokensPerSecond};
use std::time::Duration;

/// Upper bound on the class deadline that the platform allows for during termination. The platform sends
/// SIGKILL no earlier than the longest class deadline, capped at this value, plus [`TERMINATION_MARGIN_MS`]
/// after SIGTERM.
const MAX_TERMINATION_WAIT_MS: f64 = 3000.0;

/// Time that the platform adds to the longest class deadline before it sends SIGKILL.
const TERMINATION_MARGIN_MS: f64 = 700.0;

impl SettingsDocument {
    /// Number of gateways in the fleet, not validated yet.
    #[must_use]
    pub fn gateway_count(&self) -> u32 {
        self.gateway_count
    }

    /// Returns the minimum time that the platform leaves between SIGTERM and SIGKILL.
    #[must_use]
    pub fn termination_grace(&self) -> Duration {
        let longest_deadline_ms = self
            .classes
            .iter()
            .map(|class| class.deadline_ms)
            .fold(0.0, f64::max);
        let wait_ms = if longest_deadline_ms > 0.0 {
            longest_deadline_ms.min(MAX_TERMINATION_WAIT_MS)
        } else {
            MAX_TERMINATION_WAIT_MS
        };
        Duration::from_secs_f64((wait_ms + TERMINATION_MARGIN_MS) / 1000.0)
    }

    /// Returns the settings of the decision engine. They are not validated; see [`Settings::validate`].
    #[must_use]
    pub fn settings(&self) -> Settings {
        Settings {
            gateway: GatewayId(self.gateway),
            gateway_count: self.gateway_count,
            zone: ZoneId(self.zone),
            classes: self.classes.iter().map(RequestClass::from).collect(),
            plans: self.plans.iter().map(Plan::from).collect(),
            max_attempts: self.limits.max_attempts,
            gossip_enabled: self.limits.gossip_enabled,
            max_request_cost: Tokens(self.service.max_request_cost),
            gossip_intake_per_second: self.service.gossip_intake_per_second,
            initial_warmth: self.rules.initial_warmth,
            warmup_duration: Milliseconds(self.rules.warmup_ms),
            warmup_overload_multiple: self.rules.warmup_overload_multiple,
            tenant_memory_bytes: 0,
        }
    }
}

impl From<&ClassDocument> for RequestClass {
    fn from(class: &ClassDocument) -> RequestClass {
        RequestClass {
            priority_weight: class.priority_weight,
            latency_objective: Milliseconds(class.latency_objective_ms),
            late_answer_weight: class.late_answer_weight,
            idempotency: class.idempotency(),
            deduplication_window: Milliseconds(class.deduplication_window_ms),
        }
    }
}

impl ClassDocument {
    fn idempotency(&self) -> Idempotency {
        match self.idempotency {
            IdempotencyDocument::Idempotent => Idempotency::Idempotent,
            IdempotencyDocument::NonIdempotent => Idempotency::NonIdempotent,
            IdempotencyDocument::Keyed => {
                Idempotency::Keyed(self.deduplication_scope.unwrap_or_default().into())
            }
        }
    }
}

impl From<DeduplicationScopeDocument> for DeduplicationScope {
    fn from(scope: DeduplicationScopeDocument) -> DeduplicationScope {
        match scope {
            DeduplicationScopeDocument::All => DeduplicationScope::All,
            DeduplicationScopeDocument::Zone => DeduplicationScope::Zone,
            DeduplicationScopeDocument::Cell => DeduplicationScope::Cell,
        }
    }
}

impl From<&PlanDocument> for Plan {
    fn from(plan: &PlanDocument) -> Plan {
        Plan {
            refill_rate: TokensPerSecond(plan.refill_rate),
            burst: Tokens(plan.burst),
            max_concurrency: plan.max_concurrency,
            weight: plan.weight,
            over_quota_penalty: plan.over_quota_penalty,
            hard_limit_rate: TokensPerSecond(plan.hard_limit_rate),
            hard_limit_burst: Tokens(plan.hard_limit_burst),
            hard_limit_slack: Tokens(plan.hard_limit_slack),
        }
    }
}
