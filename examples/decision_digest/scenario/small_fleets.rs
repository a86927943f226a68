//! Scenarios of one to three gateways.

use super::Scenario;
use super::defaults::{base, endpoint_faults, fault, plans, restart, restart_gateway};
use marlshelf::{Milliseconds, Timestamp, Tokens};
use marlshelf_simulation::{EndpointWeights, Fault, IdlePeriod, Surge, Tampering};

/// All scenarios of small fleets, in the order of the output.
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

/// Three gateways without faults.
fn three_steady() -> Scenario {
    base("three-steady", 3, 1.0)
}

/// Every endpoint fault, a network partition, damaged gossip and a restarted gateway.
fn three_faults() -> Scenario {
    let mut scenario = base("three-faults", 3, 1.0);
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

/// A surge of requests, without a limit on the number of attempts.
fn three_overload() -> Scenario {
    let mut scenario = base("three-overload", 3, 6.0);
    scenario.traffic.surge = Some(Surge {
        period: Timestamp(4000.0)..Timestamp(10_000.0),
        factor: 6.0,
    });
    scenario.fleet.settings.max_attempts = 0;
    scenario
}

/// Most tenants are idle for almost a minute, and return one after another.
fn three_with_idle_tenants() -> Scenario {
    let mut scenario = base("three-idle-tenants", 3, 1.0);
    scenario.traffic.requests_per_second = 60.0;
    scenario.traffic.idle = Some(IdlePeriod {
        period: Timestamp(6000.0)..Timestamp(62_000.0),
        return_interval: Milliseconds(400.0),
    });
    scenario.fleet.end = Timestamp(90_000.0);
    scenario
}

/// Three gateways without gossip.
fn three_without_gossip() -> Scenario {
    let mut scenario = base("three-without-notes", 3, 1.0);
    scenario.fleet.settings.gossip_enabled = false;
    scenario.fleet.settings.max_request_cost = Tokens::ZERO;
    scenario.fleet.incidents = vec![restart(Timestamp(5000.0), 3)];
    scenario
}

/// Two gateways and one endpoint, without retries.
fn two_gateways() -> Scenario {
    let mut scenario = base("two-gateways", 2, 1.0);
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

/// One gateway in front of two endpoints.
fn one_gateway() -> Scenario {
    let mut scenario = base("one-gateway", 1, 2.0);
    scenario.fleet.endpoints.count = 2;
    scenario.fleet.endpoints.service.cores = 16;
    scenario.fleet.endpoints.weights = EndpointWeights::PartlyInvalid;
    scenario.traffic.requests_per_second = 200.0;
    scenario.fleet.incidents = vec![restart(Timestamp(5000.0), 0)];
    scenario
}

/// Endpoints without a valid weight, and gateways that accept next to no gossip.
fn three_with_invalid_weights() -> Scenario {
    let mut scenario = base("three-odd", 3, 1.0);
    scenario.fleet.settings.gossip_intake_per_second = 0.0;
    scenario.fleet.endpoints.weights = EndpointWeights::PartlyInvalid;
    scenario.fleet.incidents = vec![restart(Timestamp(5000.0), 3)];
    scenario
}

/// Timers that fire too early, and a third of the endpoints without an answer to any request.
fn three_early_timers() -> Scenario {
    let mut scenario = base("three-early-timers", 3, 1.0);
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

/// Half of all attempts fail, which is more than the retry budget covers.
fn three_with_errors() -> Scenario {
    let mut scenario = base("three-errors", 3, 3.0);
    scenario.fleet.incidents = (0..12)
        .map(|index| fault(Timestamp(1000.0), index, Fault::Errors(0.5)))
        .collect();
    scenario
}

/// Responses within a tenth of a millisecond, and two tenants with few concurrency permits.
fn three_with_fast_endpoints() -> Scenario {
    let mut scenario = base("three-fast", 3, 1.0);
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

/// Requests that take about a minute.
fn three_long_requests() -> Scenario {
    let mut scenario = base("three-long-requests", 3, 1.0);
    for class in &mut scenario.fleet.settings.classes {
        class.latency_objective = Milliseconds(200_000.0);
        class.late_answer_weight = 0.5;
    }
    scenario.fleet.endpoints.service.service_time = Milliseconds(40_000.0);
    scenario.traffic.requests_per_second = 0.5;
    scenario.fleet.end = Timestamp(900_000.0);
    scenario
}
