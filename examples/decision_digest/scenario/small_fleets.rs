//! Scenarios with one to three gateways.

use super::Scenario;
use super::defaults::{base_scenario, endpoint_faults, fault, plans, restart, restart_gateway};
use marlshelf::{Milliseconds, Timestamp, Tokens};
use marlshelf_simulation::{EndpointWeights, Fault, IdlePeriod, Surge, Tampering};

/// Returns all scenarios of small fleets in the order of the output.
pub fn all() -> Vec<Scenario> {
    vec![
        one_gateway(),
        two_gateways(),
        three_steady(),
        three_faults(),
        three_overload(),
        three_with_idle_tenants(),
        three_without_gossip(),
        three_with_invalid_weights(),
        three_early_timers(),
        three_with_errors(),
        three_with_fast_endpoints(),
        three_long_requests(),
    ]
}

fn three_steady() -> Scenario {
    base_scenario("three-steady", 3, 1.0)
}

/// All endpoint faults, a network partition, damaged gossip and a gateway restart.
fn three_faults() -> Scenario {
    let mut scenario = base_scenario("three-faults", 3, 1.0);
    scenario.fleet.gossip.partition = Some(Timestamp(4000.0)..Timestamp(10_000.0));
    scenario.fleet.gossip.tampering = Some(Tampering {
        damage_ratio: 0.02,
        ..Tampering::default()
    });
    scenario.fleet.incidents = endpoint_faults();
    scenario
        .fleet
        .incidents
        .push(restart_gateway(Timestamp(6000.0), 1));
    scenario
}

/// A surge of requests with an unlimited number of attempts.
fn three_overload() -> Scenario {
    let mut scenario = base_scenario("three-overload", 3, 6.0);
    scenario.traffic.surge = Some(Surge {
        period: Timestamp(4000.0)..Timestamp(10_000.0),
        factor: 6.0,
    });
    scenario.fleet.settings.max_attempts = 0;
    scenario
}

/// Most tenants are idle for 56 s and then return one after another.
fn three_with_idle_tenants() -> Scenario {
    let mut scenario = base_scenario("three-idle-tenants", 3, 1.0);
    scenario.traffic.requests_per_second = 60.0;
    scenario.traffic.idle = Some(IdlePeriod {
        period: Timestamp(6000.0)..Timestamp(62_000.0),
        return_interval: Milliseconds(400.0),
    });
    scenario.fleet.end = Timestamp(90_000.0);
    scenario
}

/// Disabled gossip, no configured maximum request cost, and an endpoint restart.
fn three_without_gossip() -> Scenario {
    let mut scenario = base_scenario("three-without-notes", 3, 1.0);
    scenario.fleet.settings.gossip_enabled = false;
    scenario.fleet.settings.max_request_cost = Tokens::ZERO;
    scenario.fleet.incidents = vec![restart(Timestamp(5000.0), 3)];
    scenario
}

/// Two gateways and one endpoint that has errors and restarts, without retries.
fn two_gateways() -> Scenario {
    let mut scenario = base_scenario("two-gateways", 2, 1.0);
    scenario.fleet.settings.max_attempts = 1;
    scenario.fleet.endpoints.count = 1;
    scenario.fleet.endpoints.service.cores = 16;
    scenario.traffic.requests_per_second = 150.0;
    scenario.fleet.incidents = vec![
        fault(Timestamp(5000.0), 0, Fault::Errors(0.3)),
        fault(Timestamp(8000.0), 0, Fault::None),
        restart(Timestamp(9000.0), 0),
    ];
    scenario
}

/// One gateway and two endpoints, one of which restarts. No weight is valid.
fn one_gateway() -> Scenario {
    let mut scenario = base_scenario("one-gateway", 1, 2.0);
    scenario.fleet.endpoints.count = 2;
    scenario.fleet.endpoints.service.cores = 16;
    scenario.fleet.endpoints.weights = EndpointWeights::PartlyInvalid;
    scenario.traffic.requests_per_second = 200.0;
    scenario.fleet.incidents = vec![restart(Timestamp(5000.0), 0)];
    scenario
}

/// Endpoints with mostly invalid weights, and a limit of zero on received gossip.
fn three_with_invalid_weights() -> Scenario {
    let mut scenario = base_scenario("three-odd", 3, 1.0);
    scenario.fleet.settings.gossip_intake_per_second = 0.0;
    scenario.fleet.endpoints.weights = EndpointWeights::PartlyInvalid;
    scenario.fleet.incidents = vec![restart(Timestamp(5000.0), 3)];
    scenario
}

/// Timers that fire early, lossy gossip, and a third of the endpoints that never respond.
fn three_early_timers() -> Scenario {
    let mut scenario = base_scenario("three-early-timers", 3, 1.0);
    scenario.seeds = vec![1, 2, 3, 4];
    scenario.fleet.host_faults.max_timer_lead = Milliseconds(0.12);
    scenario.fleet.gossip.loss_ratio = 0.2;
    for class in &mut scenario.fleet.settings.classes {
        class.late_answer_weight = 0.5;
    }
    scenario.fleet.incidents = (0..4)
        .map(|index| fault(Timestamp(2000.0), index * 3, Fault::Silent))
        .collect();
    scenario
}

/// Half of all attempts fail, which exceeds the retry budget.
fn three_with_errors() -> Scenario {
    let mut scenario = base_scenario("three-errors", 3, 3.0);
    scenario.fleet.incidents = (0..12)
        .map(|index| fault(Timestamp(1000.0), index, Fault::Errors(0.5)))
        .collect();
    scenario
}

/// Response times below 0.1 ms, and two tenants with few concurrency permits.
fn three_with_fast_endpoints() -> Scenario {
    let mut scenario = base_scenario("three-fast", 3, 1.0);
    let plans = plans(1.0);
    scenario.fleet.settings.plans = vec![plans[9].clone(), plans[6].clone()];
    scenario.fleet.endpoints.service.service_time = Milliseconds(0.04);
    scenario.fleet.endpoints.service.delays.network = Milliseconds(0.02);
    scenario.traffic.tenants = 2;
    scenario.traffic.shard_sizes = vec![0];
    scenario.traffic.requests_per_second = 5000.0;
    scenario.traffic.retry_ratio = 0.0;
    scenario.fleet.end = Timestamp(5000.0);
    scenario
}

/// Requests with a service time of about one minute.
fn three_long_requests() -> Scenario {
    let mut scenario = base_scenario("three-long-requests", 3, 1.0);
    for class in &mut scenario.fleet.settings.classes {
        class.latency_objective = Milliseconds(200_000.0);
        class.late_answer_weight = 0.5;
    }
    scenario.fleet.endpoints.service.service_time = Milliseconds(40_000.0);
    scenario.traffic.requests_per_second = 0.5;
    scenario.fleet.end = Timestamp(900_000.0);
    scenario
}
