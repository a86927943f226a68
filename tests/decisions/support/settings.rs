//! Settings of the gateways under test, and the indices of their classes and plans.

use super::slow_start_fleet::{OVERLOAD_MULTIPLE, SLOW_START};
use marlshelf::{
    DeduplicationScope, Idempotency, Milliseconds, Plan, RequestClass, Settings, Tokens,
    TokensPerSecond,
};

/// The class of `settings()` whose retries are always safe. It has the lowest priority.
pub const IDEMPOTENT: usize = 0;
/// The class of `settings()` that must not be retried after a possible execution. It has the highest
/// priority.
pub const NON_IDEMPOTENT: usize = 1;
/// The class of `settings()` whose retries are deduplicated by the endpoints of one zone for two seconds.
pub const KEYED: usize = 2;

/// The plan of `settings()` with a quota that no test exhausts.
pub const AMPLE_QUOTA: usize = 0;
/// The plan of `settings()` with a bucket of 4 tokens that refills at 2 tokens per second.
pub const SMALL_QUOTA: usize = 1;
/// The plan of `settings()` with a concurrency limit of two attempts.
pub const TWO_PERMITS: usize = 2;
/// The plan of `settings()` with an ample quota, and a hard limit of 4 tokens per second with a burst of 16.
pub const HARD_LIMIT: usize = 3;

/// Returns the settings of the only gateway of a fleet, with one class of each idempotency and one plan of
/// each kind of limit.
pub fn settings() -> Settings {
    Settings {
        gateway_count: 1,
        classes: vec![
            class(Idempotency::Idempotent, 1.0),
            class(Idempotency::NonIdempotent, 9.0),
            class(Idempotency::Keyed(DeduplicationScope::Zone), 3.0),
        ],
        plans: plans(),
        max_attempts: 3,
        gossip_enabled: true,
        gossip_intake_per_second: 50.0,
        initial_warmth: 0.2,
        warmup_duration: Milliseconds(10_000.0),
        ..Settings::default()
    }
}

/// Returns `settings()` for the first gateway of a larger fleet.
pub fn fleet_settings(gateway_count: u32) -> Settings {
    Settings {
        gateway_count,
        ..settings()
    }
}

pub fn settings_without_gossip() -> Settings {
    Settings {
        gossip_enabled: false,
        ..settings()
    }
}

/// Returns a plan limited only by a token bucket, where each request forwarded over quota is penalized by its
/// full value.
pub fn quota_plan(refill_rate: f64, burst: f64) -> Plan {
    Plan {
        refill_rate: TokensPerSecond(refill_rate),
        burst: Tokens(burst),
        weight: 1.0,
        over_quota_penalty: 1.0,
        ..Plan::default()
    }
}

fn class(idempotency: Idempotency, priority_weight: f64) -> RequestClass {
    RequestClass {
        priority_weight,
        latency_objective: Milliseconds(800.0),
        late_answer_weight: 0.0,
        idempotency,
        deduplication_window: Milliseconds(2000.0),
    }
}

/// Returns the plans, indexed by the constants above.
fn plans() -> Vec<Plan> {
    let ample = Plan {
        refill_rate: TokensPerSecond(1000.0),
        burst: Tokens(1000.0),
        weight: 1.0,
        over_quota_penalty: 0.5,
        ..Plan::default()
    };
    let small = Plan {
        refill_rate: TokensPerSecond(2.0),
        burst: Tokens(4.0),
        ..ample.clone()
    };
    let two_permits = Plan {
        max_concurrency: 2,
        weight: 1.0,
        over_quota_penalty: 1.0,
        ..Plan::default()
    };
    let hard_limit = Plan {
        over_quota_penalty: 0.0,
        hard_limit_rate: TokensPerSecond(4.0),
        hard_limit_burst: Tokens(16.0),
        hard_limit_slack: Tokens(2.0),
        ..ample.clone()
    };
    vec![ample, small, two_permits, hard_limit]
}

/// Returns settings with two classes, a plan without quota, and the warm-up of the simulated endpoints.
pub fn slow_start_settings(gateway_count: u32) -> Settings {
    let idempotent = RequestClass {
        priority_weight: 2.0,
        latency_objective: Milliseconds(2500.0),
        late_answer_weight: 0.2,
        idempotency: Idempotency::Idempotent,
        deduplication_window: Milliseconds(0.0),
    };
    let non_idempotent = RequestClass {
        priority_weight: 5.0,
        latency_objective: Milliseconds(1200.0),
        late_answer_weight: 0.0,
        idempotency: Idempotency::NonIdempotent,
        deduplication_window: Milliseconds(0.0),
    };
    let without_quota = Plan {
        weight: 1.0,
        ..Plan::default()
    };
    Settings {
        gateway_count,
        classes: vec![idempotent, non_idempotent],
        plans: vec![without_quota],
        max_attempts: 3,
        gossip_enabled: true,
        gossip_intake_per_second: 60.0,
        initial_warmth: SLOW_START.initial_warmth,
        warmup_duration: SLOW_START.warmup,
        warmup_overload_multiple: OVERLOAD_MULTIPLE,
        ..Settings::default()
    }
}
