//! The values that scenarios share, and the scenario from which all others are derived.

use super::{GossipNetwork, Incident, PlannedIncident, Scenario, Traffic};
use crate::endpoint::{EndpointPool, Fault};
use marlshelf::{
    DeduplicationScope, Idempotency, Milliseconds, Plan, RequestClass, Settings, Tokens,
    TokensPerSecond,
};

/// Request classes of every idempotency.
fn classes() -> Vec<RequestClass> {
    let class =
        |priority_weight, latency_objective_ms, late_answer_weight, idempotency, window_ms| {
            RequestClass {
                priority_weight,
                latency_objective: Milliseconds(latency_objective_ms),
                late_answer_weight,
                idempotency,
                deduplication_window: Milliseconds(window_ms),
            }
        };
    vec![
        class(1.0, 400.0, 0.0, Idempotency::Idempotent, 0.0),
        class(0.6, 800.0, 0.3, Idempotency::NonIdempotent, 0.0),
        class(
            2.0,
            600.0,
            0.0,
            Idempotency::Keyed(DeduplicationScope::All),
            500.0,
        ),
        class(
            0.3,
            1000.0,
            0.5,
            Idempotency::Keyed(DeduplicationScope::Zone),
            1500.0,
        ),
        class(
            4.0,
            300.0,
            0.0,
            Idempotency::Keyed(DeduplicationScope::Cell),
            200.0,
        ),
    ]
}

/// Plans with every combination of quota, hard limit and concurrency limit. `scale` multiplies
/// their rates and bursts.
pub fn plans(scale: f64) -> Vec<Plan> {
    let plan = |refill_rate: f64, burst: f64, weight, over_quota_penalty| Plan {
        refill_rate: TokensPerSecond(refill_rate * scale),
        burst: Tokens(burst * scale),
        weight,
        over_quota_penalty,
        ..Plan::default()
    };
    let with_hard_limit = |plan: Plan, rate: f64, burst: f64, slack| Plan {
        hard_limit_rate: TokensPerSecond(rate * scale),
        hard_limit_burst: Tokens(burst * scale),
        hard_limit_slack: Tokens(slack),
        ..plan
    };
    let with_concurrency = |max_concurrency, plan: Plan| Plan {
        max_concurrency,
        ..plan
    };
    vec![
        plan(20.0, 30.0, 1.0, 0.0),
        plan(10.0, 20.0, 0.7, 0.6),
        with_concurrency(4, plan(30.0, 40.0, 1.3, 1.0)),
        with_concurrency(40, plan(0.0, 0.0, 2.0, 0.0)),
        with_hard_limit(plan(15.0, 20.0, 1.8, 0.0), 25.0, 40.0, 5.0),
        with_hard_limit(plan(0.0, 0.0, 0.9, 0.2), 20.0, 30.0, 2.0),
        with_concurrency(2, plan(0.0, 0.0, 0.4, 0.3)),
        plan(0.0, 0.0, 0.5, 0.0),
        with_hard_limit(
            with_concurrency(3, plan(12.0, 15.0, 1.1, 1.2)),
            15.0,
            20.0,
            3.0,
        ),
        with_concurrency(1, plan(0.0, 0.0, 0.8, 0.5)),
        plan(8.0, 12.0, 0.6, 1.5),
    ]
}

/// Twelve endpoints without faults, in two zones.
fn endpoints() -> EndpointPool {
    EndpointPool {
        count: 12,
        zones: 2,
        cells: 4,
        hardware_kinds: 2,
        has_invalid_weights: false,
        cores: 4,
        queue_capacity: 8,
        service_time_ms: 40.0,
        network_delay_ms: 0.5,
        load_report_ratio: 0.5,
    }
}

/// Clients of 33 tenants, which send less than the endpoints can serve.
fn traffic() -> Traffic {
    Traffic {
        tenants: 33,
        requests_per_second: 300.0,
        surge: None,
        idle: None,
        shard_sizes: vec![0, 2, 1],
        sticky_ratio: 0.5,
        disconnect_ratio: 0.03,
        retry_ratio: 0.5,
        actual_cost_ratio: 0.3,
        invalid_ratio: 0.002,
        host_abort_ratio: 0.003,
    }
}

/// A scenario without faults, from which the other scenarios are derived.
pub fn base(name: &'static str, gateway_count: u32, plan_scale: f64) -> Scenario {
    Scenario {
        name,
        seeds: vec![1, 2],
        settings: Settings {
            gateway_count,
            classes: classes(),
            plans: plans(plan_scale),
            max_attempts: 3,
            gossip_enabled: true,
            max_request_cost: Tokens(6.0),
            gossip_intake_per_second: 60.0,
            initial_warmth: 0.2,
            warmup_duration: Milliseconds(8000.0),
            warmup_overload_multiple: 4.0,
            ..Settings::default()
        },
        gateway_zones: 2,
        endpoints: endpoints(),
        gossip: GossipNetwork {
            loss_ratio: 0.02,
            delay_ms: 2.0..20.0,
            partition_ms: None,
            damage_ratio: 0.0,
            forgery_ratio: 0.0,
        },
        max_timer_lead_ms: 0.0,
        traffic: traffic(),
        incidents: Vec::new(),
        duration_ms: 15_000.0,
    }
}

/// Every fault of an endpoint once, and every change of the endpoint list.
pub fn endpoint_faults() -> Vec<PlannedIncident> {
    vec![
        PlannedIncident::at(1000.0, Incident::Fault(0, Fault::Errors(0.5))),
        PlannedIncident::at(1500.0, Incident::Slow(1, 4.0)),
        PlannedIncident::at(2000.0, Incident::Fault(2, Fault::Unreachable)),
        PlannedIncident::at(2500.0, Incident::Drain(3)),
        PlannedIncident::at(3000.0, Incident::Fault(4, Fault::Resets(0.4))),
        PlannedIncident::at(3500.0, Incident::Fault(5, Fault::Silent)),
        PlannedIncident::at(4000.0, Incident::Restart(6)),
        PlannedIncident::at(4500.0, Incident::Replace(7)),
        PlannedIncident::at(5000.0, Incident::Fault(8, Fault::Overloaded)),
        PlannedIncident::at(6000.0, Incident::Restart(9)),
        PlannedIncident::at(7000.0, Incident::Snapshot),
        PlannedIncident::at(7200.0, Incident::HealthCheck(2)),
        PlannedIncident::at(7500.0, Incident::Fault(0, Fault::None)),
        PlannedIncident::at(8000.0, Incident::Slow(1, 1.0)),
        PlannedIncident::at(8500.0, Incident::Fault(2, Fault::None)),
        PlannedIncident::at(9000.0, Incident::Fault(5, Fault::None)),
        PlannedIncident::at(9500.0, Incident::Replace(10)),
        PlannedIncident::at(11_000.0, Incident::Snapshot),
    ]
}
