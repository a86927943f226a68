//! Scenarios of 20 and of 300 gateways.

use super::defaults::{base, endpoint_faults, plans};
use super::{Incident, PlannedIncident, Scenario, Surge};
use crate::endpoint::Fault;

/// All scenarios of large fleets, in the order of the output.
pub fn all() -> Vec<Scenario> {
    vec![
        twenty("twenty-steady"),
        twenty_faults(),
        twenty_overload(),
        twenty_without_gossip(),
        twenty_mass_restart(),
        twenty_low_intake(),
        twenty_tight_intake(),
        twenty_forged_gossip(),
        hundreds("hundreds-steady"),
        hundreds_faults(),
        hundreds_overload(),
    ]
}

/// Twenty gateways without faults.
fn twenty(name: &'static str) -> Scenario {
    let mut scenario = base(name, 20, 4.0);
    scenario.endpoints.count = 30;
    scenario.endpoints.zones = 3;
    scenario.endpoints.cells = 6;
    scenario.endpoints.hardware_kinds = 3;
    scenario.gateway_zones = 3;
    scenario.traffic.requests_per_second = 1000.0;
    scenario.traffic.tenants = 55;
    scenario.traffic.shard_sizes = vec![0, 10, 5, 1, 1000];
    scenario
}

/// Slow and lossy gossip, a network partition, every endpoint fault and a restarted gateway.
fn twenty_faults() -> Scenario {
    let mut scenario = twenty("twenty-faults");
    scenario.gossip.loss_ratio = 0.05;
    scenario.gossip.delay_ms = 5.0..150.0;
    scenario.gossip.partition_ms = Some(5000.0..11_000.0);
    scenario.gossip.damage_ratio = 0.01;
    scenario.incidents = endpoint_faults();
    scenario
        .incidents
        .push(PlannedIncident::at(6000.0, Incident::RestartGateway(7)));
    scenario
}

/// A surge of requests, and gateways that accept little gossip.
fn twenty_overload() -> Scenario {
    let mut scenario = twenty("twenty-overload");
    scenario.settings.plans = plans(20.0);
    scenario.traffic.surge = Some(Surge {
        period_ms: 4000.0..10_000.0,
        factor: 5.0,
    });
    scenario.settings.gossip_intake_per_second = 20.0;
    scenario
}

/// Twenty gateways without gossip, with every endpoint fault.
fn twenty_without_gossip() -> Scenario {
    let mut scenario = twenty("twenty-without-notes");
    scenario.settings.gossip_enabled = false;
    scenario.settings.warmup_overload_multiple = 0.0;
    scenario.incidents = endpoint_faults();
    scenario
}

/// Most endpoints restart in a row, so that nearly all warm up at the same time.
fn twenty_mass_restart() -> Scenario {
    let mut scenario = twenty("twenty-mass-restart");
    scenario.endpoints.count = 33;
    scenario.settings.warmup_overload_multiple = 0.0;
    scenario.incidents = (0..30)
        .map(|index| {
            PlannedIncident::at(
                3000.0 + 100.0 * f64::from(index),
                Incident::Restart(index as usize * 7 % 33),
            )
        })
        .collect();
    scenario
}

/// Gateways that accept little gossip.
fn twenty_low_intake() -> Scenario {
    let mut scenario = twenty("twenty-low-intake");
    scenario.settings.gossip_intake_per_second = 0.5;
    scenario
}

/// Gateways that accept barely as much gossip as there is.
fn twenty_tight_intake() -> Scenario {
    let mut scenario = twenty("twenty-tight-intake");
    scenario.seeds = vec![4, 5];
    scenario.settings.gossip_intake_per_second = 50.0;
    scenario
}

/// Gossip that arrives damaged or under false sender numbers, and endpoints that never respond.
fn twenty_forged_gossip() -> Scenario {
    let mut scenario = twenty("twenty-forged-notes");
    scenario.gossip.damage_ratio = 0.1;
    scenario.gossip.forgery_ratio = 0.3;
    scenario.incidents = (0..8)
        .map(|index| PlannedIncident::at(2000.0, Incident::Fault(index * 3, Fault::Silent)))
        .collect();
    scenario
        .incidents
        .push(PlannedIncident::at(5000.0, Incident::RestartGateway(3)));
    scenario
}

/// 300 gateways without faults.
fn hundreds(name: &'static str) -> Scenario {
    let mut scenario = base(name, 300, 6.0);
    scenario.seeds = vec![1];
    scenario.endpoints.count = 40;
    scenario.endpoints.zones = 3;
    scenario.endpoints.cells = 8;
    scenario.endpoints.hardware_kinds = 3;
    scenario.gateway_zones = 3;
    scenario.traffic.requests_per_second = 1500.0;
    scenario.traffic.tenants = 99;
    scenario.traffic.shard_sizes = vec![0, 150, 20, 3];
    scenario
}

/// A network partition, every endpoint fault and a restarted gateway.
fn hundreds_faults() -> Scenario {
    let mut scenario = hundreds("hundreds-faults");
    scenario.gossip.partition_ms = Some(5000.0..11_000.0);
    scenario.incidents = endpoint_faults();
    scenario
        .incidents
        .push(PlannedIncident::at(6000.0, Incident::RestartGateway(7)));
    scenario
}

/// A surge of requests.
fn hundreds_overload() -> Scenario {
    let mut scenario = hundreds("hundreds-overload");
    scenario.traffic.surge = Some(Surge {
        period_ms: 4000.0..12_000.0,
        factor: 4.0,
    });
    scenario.settings.plans = plans(20.0);
    scenario
}
