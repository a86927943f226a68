//! Scenarios of one to three gateways.

use super::defaults::{base, endpoint_faults, plans};
use super::{IdlePeriod, Incident, PlannedIncident, Scenario, Surge};
use crate::endpoint::Fault;
use marlshelf::{Milliseconds, Tokens};

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
    scenario.gossip.partition_ms = Some(4000.0..10_000.0);
    scenario.gossip.damage_ratio = 0.02;
    scenario.incidents = endpoint_faults();
    scenario
        .incidents
        .push(PlannedIncident::at(6000.0, Incident::RestartGateway(1)));
    scenario
}

/// A surge of requests, without a limit on the number of attempts.
fn three_overload() -> Scenario {
    let mut scenario = base("three-overload", 3, 6.0);
    scenario.traffic.surge = Some(Surge {
        period_ms: 4000.0..10_000.0,
        factor: 6.0,
    });
    scenario.settings.max_attempts = 0;
    scenario
}

/// Most tenants are idle for almost a minute, and return one after another.
fn three_with_idle_tenants() -> Scenario {
    let mut scenario = base("three-idle-tenants", 3, 1.0);
    scenario.traffic.requests_per_second = 60.0;
    scenario.traffic.idle = Some(IdlePeriod {
        period_ms: 6000.0..62_000.0,
        return_interval_ms: 400.0,
    });
    scenario.duration_ms = 90_000.0;
    scenario
}

/// Three gateways without gossip.
fn three_without_gossip() -> Scenario {
    let mut scenario = base("three-without-notes", 3, 1.0);
    scenario.settings.gossip_enabled = false;
    scenario.settings.max_request_cost = Tokens(0.0);
    scenario.incidents = vec![PlannedIncident::at(5000.0, Incident::Restart(3))];
    scenario
}

/// Two gateways and one endpoint, without retries.
fn two_gateways() -> Scenario {
    let mut scenario = base("two-gateways", 2, 1.0);
    scenario.settings.max_attempts = 1;
    scenario.endpoints.count = 1;
    scenario.endpoints.cores = 16;
    scenario.traffic.requests_per_second = 150.0;
    scenario.incidents = vec![
        PlannedIncident::at(5000.0, Incident::Fault(0, Fault::Errors(0.3))),
        PlannedIncident::at(8000.0, Incident::Fault(0, Fault::None)),
        PlannedIncident::at(9000.0, Incident::Restart(0)),
    ];
    scenario
}

/// One gateway in front of two endpoints.
fn one_gateway() -> Scenario {
    let mut scenario = base("one-gateway", 1, 2.0);
    scenario.endpoints.count = 2;
    scenario.endpoints.cores = 16;
    scenario.endpoints.has_invalid_weights = true;
    scenario.traffic.requests_per_second = 200.0;
    scenario.incidents = vec![PlannedIncident::at(5000.0, Incident::Restart(0))];
    scenario
}

/// Endpoints without a valid weight, and gateways that accept next to no gossip.
fn three_with_invalid_weights() -> Scenario {
    let mut scenario = base("three-odd", 3, 1.0);
    scenario.settings.gossip_intake_per_second = 0.0;
    scenario.endpoints.has_invalid_weights = true;
    scenario.incidents = vec![PlannedIncident::at(5000.0, Incident::Restart(3))];
    scenario
}

/// Timers that fire too early, and a third of the endpoints without an answer to any request.
fn three_early_timers() -> Scenario {
    let mut scenario = base("three-early-timers", 3, 1.0);
    scenario.seeds = vec![1, 2, 3, 4];
    scenario.max_timer_lead_ms = 0.12;
    scenario.gossip.loss_ratio = 0.2;
    for class in &mut scenario.settings.classes {
        class.late_answer_weight = 0.5;
    }
    scenario.incidents = (0..4)
        .map(|index| PlannedIncident::at(2000.0, Incident::Fault(index * 3, Fault::Silent)))
        .collect();
    scenario
}

/// Half of all attempts fail, which is more than the retry budget covers.
fn three_with_errors() -> Scenario {
    let mut scenario = base("three-errors", 3, 3.0);
    scenario.incidents = (0..12)
        .map(|index| PlannedIncident::at(1000.0, Incident::Fault(index, Fault::Errors(0.5))))
        .collect();
    scenario
}

/// Responses within a tenth of a millisecond, and two tenants with few concurrency permits.
fn three_with_fast_endpoints() -> Scenario {
    let mut scenario = base("three-fast", 3, 1.0);
    let plans = plans(1.0);
    scenario.settings.plans = vec![plans[9].clone(), plans[6].clone()];
    scenario.endpoints.service_time_ms = 0.04;
    scenario.endpoints.network_delay_ms = 0.02;
    scenario.traffic.tenants = 2;
    scenario.traffic.shard_sizes = vec![0];
    scenario.traffic.requests_per_second = 5000.0;
    scenario.traffic.retry_ratio = 0.0;
    scenario.duration_ms = 5000.0;
    scenario
}

/// Requests that take about a minute.
fn three_long_requests() -> Scenario {
    let mut scenario = base("three-long-requests", 3, 1.0);
    for class in &mut scenario.settings.classes {
        class.latency_objective = Milliseconds(200_000.0);
        class.late_answer_weight = 0.5;
    }
    scenario.endpoints.service_time_ms = 40_000.0;
    scenario.traffic.requests_per_second = 0.5;
    scenario.duration_ms = 900_000.0;
    scenario
}
