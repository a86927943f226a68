//! Values that several scenarios share, and the base scenario from which the others are derived.

use super::Scenario;
use marlshelf::{
    DeduplicationScope, GatewayId, Idempotency, Milliseconds, Plan, RequestClass, Settings,
    Timestamp, Tokens, TokensPerSecond,
};
use marlshelf_simulation::{
    EndpointIndex, EndpointNames, EndpointPool, EndpointWeights, Fault, FleetScenario,
    GossipNetwork, HostFaults, Incident, PlannedIncident, ResponseDelays, ResponseReports,
    ServiceModel, SlowStart, Tampering, TenantTraffic,
};

/// Slow start of the endpoints. The settings of the gateways contain the same values.
const SLOW_START: SlowStart = SlowStart {
    initial_warmth: 0.2,
    warmup: Milliseconds(8000.0),
};

/// Returns request classes with every kind of idempotency.
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

/// Returns plans with every combination of quota, hard limit and concurrency limit. `scale` multiplies the
/// rates and bursts.
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
    let with_concurrency_limit = |max_concurrency, plan: Plan| Plan {
        max_concurrency,
        ..plan
    };
    vec![
        plan(20.0, 30.0, 1.0, 0.0),
        plan(10.0, 20.0, 0.7, 0.6),
        with_concurrency_limit(4, plan(30.0, 40.0, 1.3, 1.0)),
        with_concurrency_limit(40, plan(0.0, 0.0, 2.0, 0.0)),
        with_hard_limit(plan(15.0, 20.0, 1.8, 0.0), 25.0, 40.0, 5.0),
        with_hard_limit(plan(0.0, 0.0, 0.9, 0.2), 20.0, 30.0, 2.0),
        with_concurrency_limit(2, plan(0.0, 0.0, 0.4, 0.3)),
        plan(0.0, 0.0, 0.5, 0.0),
        with_hard_limit(
            with_concurrency_limit(3, plan(12.0, 15.0, 1.1, 1.2)),
            15.0,
            20.0,
            3.0,
        ),
        with_concurrency_limit(1, plan(0.0, 0.0, 0.8, 0.5)),
        plan(8.0, 12.0, 0.6, 1.5),
    ]
}

/// Returns a pool of twelve endpoints in two zones, without faults.
fn endpoints() -> EndpointPool {
    EndpointPool {
        count: 12,
        names: EndpointNames::default(),
        zones: 2,
        cells: 4,
        hardware_kinds: 2,
        weights: EndpointWeights::Varied,
        service: ServiceModel {
            cores: 4,
            queue_capacity: 8,
            service_time: Milliseconds(40.0),
            service_time_variation: Some(0.6..1.6),
            slow_start: SLOW_START,
            delays: ResponseDelays::default(),
        },
        reports: ResponseReports {
            load_report_ratio: 0.5,
            actual_cost_ratio: 0.3,
        },
    }
}

/// Returns the traffic of 33 tenants, at a request rate below the capacity of the endpoints.
fn traffic() -> TenantTraffic {
    TenantTraffic {
        tenants: 33,
        requests_per_second: 300.0,
        surge: None,
        idle: None,
        shard_sizes: vec![0, 2, 1],
        sticky_ratio: 0.5,
        disconnect_ratio: 0.03,
        retry_ratio: 0.5,
        invalid_ratio: 0.002,
    }
}

/// Returns settings with all classes and plans.
fn settings(gateway_count: u32, plan_scale: f64) -> Settings {
    Settings {
        gateway_count,
        classes: classes(),
        plans: plans(plan_scale),
        max_attempts: 3,
        gossip_enabled: true,
        max_request_cost: Tokens(6.0),
        gossip_intake_per_second: 60.0,
        initial_warmth: SLOW_START.initial_warmth,
        warmup_duration: SLOW_START.warmup,
        warmup_overload_multiple: 4.0,
        ..Settings::default()
    }
}

/// Returns the scenario from which the others are derived. Apart from a few aborted attempts and lost gossip
/// datagrams it has no faults.
pub fn base_scenario(name: &'static str, gateway_count: u32, plan_scale: f64) -> Scenario {
    Scenario {
        name,
        seeds: vec![1, 2],
        fleet: FleetScenario {
            settings: settings(gateway_count, plan_scale),
            gateway_zones: 2,
            host_faults: HostFaults {
                max_timer_lead: Milliseconds::ZERO,
                abort_ratio: 0.003,
            },
            endpoints: endpoints(),
            gossip: GossipNetwork {
                loss_ratio: 0.02,
                delay: Milliseconds(2.0)..Milliseconds(20.0),
                partition: None,
                tampering: Some(Tampering::default()),
            },
            incidents: Vec::new(),
            end: Timestamp(15_000.0),
            ..FleetScenario::default()
        },
        traffic: traffic(),
    }
}

pub fn fault(at: Timestamp, endpoint: usize, fault: Fault) -> PlannedIncident {
    PlannedIncident::at(at, Incident::Fault(EndpointIndex(endpoint), fault))
}

/// Sets the factor by which the service times of an endpoint are multiplied from time `at` on.
fn slow(at: Timestamp, endpoint: usize, factor: f64) -> PlannedIncident {
    PlannedIncident::at(at, Incident::Slow(EndpointIndex(endpoint), factor))
}

pub fn restart(at: Timestamp, endpoint: usize) -> PlannedIncident {
    PlannedIncident::at(at, Incident::Restart(EndpointIndex(endpoint)))
}

/// Replaces an endpoint with one that has a new name.
fn replace(at: Timestamp, endpoint: usize) -> PlannedIncident {
    PlannedIncident::at(at, Incident::Replace(EndpointIndex(endpoint)))
}

/// Restarts a gateway, which loses its state.
pub fn restart_gateway(at: Timestamp, gateway: u32) -> PlannedIncident {
    PlannedIncident::at(at, Incident::RestartGateway(GatewayId(gateway)))
}

/// Returns incidents with every endpoint fault and every kind of change of the endpoint list.
pub fn endpoint_faults() -> Vec<PlannedIncident> {
    let health_check = Incident::HealthCheck(EndpointIndex(2));
    vec![
        fault(Timestamp(1000.0), 0, Fault::Errors(0.5)),
        slow(Timestamp(1500.0), 1, 4.0),
        fault(Timestamp(2000.0), 2, Fault::Unreachable),
        PlannedIncident::at(Timestamp(2500.0), Incident::Drain(EndpointIndex(3))),
        fault(Timestamp(3000.0), 4, Fault::Resets(0.4)),
        fault(Timestamp(3500.0), 5, Fault::Silent),
        restart(Timestamp(4000.0), 6),
        replace(Timestamp(4500.0), 7),
        fault(Timestamp(5000.0), 8, Fault::Overloaded),
        restart(Timestamp(6000.0), 9),
        PlannedIncident::at(Timestamp(7000.0), Incident::Snapshot),
        PlannedIncident::at(Timestamp(7200.0), health_check),
        fault(Timestamp(7500.0), 0, Fault::None),
        slow(Timestamp(8000.0), 1, 1.0),
        fault(Timestamp(8500.0), 2, Fault::None),
        fault(Timestamp(9000.0), 5, Fault::None),
        replace(Timestamp(9500.0), 10),
        PlannedIncident::at(Timestamp(11_000.0), Incident::Snapshot),
    ]
}
