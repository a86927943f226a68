//! Scenarios with 20 and with 300 gateways.

use super::Scenario;
use super::defaults::{base_scenario, endpoint_faults, fault, plans, restart, restart_gateway};
use marlshelf::{Milliseconds, Timestamp};
use marlshelf_simulation::{Fault, Surge, Tampering};

/// Returns all scenarios of large fleets in the order of the output.
pub fn all() -> Vec<Scenario> {
    vec![
        twenty_gateways("twenty-steady"),
        twenty_faults(),
        twenty_overload(),
        twenty_without_gossip(),
        twenty_mass_restart(),
        twenty_low_intake(),
        twenty_tight_intake(),
        twenty_forged_gossip(),
        three_hundred_gateways("hundreds-steady"),
        hundreds_faults(),
        hundreds_overload(),
    ]
}

fn twenty_gateways(name: &'static str) -> Scenario {
    let mut scenario = base_scenario(name, 20, 4.0);
    scenario.fleet.endpoints.count = 30;
    scenario.fleet.endpoints.zones = 3;
    scenario.fleet.endpoints.cells = 6;
    scenario.fleet.endpoints.hardware_kinds = 3;
    scenario.fleet.gateway_zones = 3;
    scenario.traffic.requests_per_second = 1000.0;
    scenario.traffic.tenants = 55;
    scenario.traffic.shard_sizes = vec![0, 10, 5, 1, 1000];
    scenario
}

/// Slow, lossy and damaged gossip, a network partition, all endpoint faults and a gateway restart.
fn twenty_faults() -> Scenario {
    let mut scenario = twenty_gateways("twenty-faults");
    scenario.fleet.gossip.loss_ratio = 0.05;
    scenario.fleet.gossip.delay = Milliseconds(5.0)..Milliseconds(150.0);
    scenario.fleet.gossip.partition = Some(Timestamp(5000.0)..Timestamp(11_000.0));
    scenario.fleet.gossip.tampering = Some(Tampering {
        damage_ratio: 0.01,
        ..Tampering::default()
    });
    scenario.fleet.incidents = endpoint_faults();
    scenario
        .fleet
        .incidents
        .push(restart_gateway(Timestamp(6000.0), 7));
    scenario
}

/// A surge of requests with larger quotas, and a low limit on received gossip.
fn twenty_overload() -> Scenario {
    let mut scenario = twenty_gateways("twenty-overload");
    scenario.fleet.settings.plans = plans(20.0);
    scenario.traffic.surge = Some(Surge {
        period: Timestamp(4000.0)..Timestamp(10_000.0),
        factor: 5.0,
    });
    scenario.fleet.settings.gossip_intake_per_second = 20.0;
    scenario
}

/// Disabled gossip and all endpoint faults.
fn twenty_without_gossip() -> Scenario {
    let mut scenario = twenty_gateways("twenty-without-notes");
    scenario.fleet.settings.gossip_enabled = false;
    scenario.fleet.settings.warmup_overload_multiple = 0.0;
    scenario.fleet.incidents = endpoint_faults();
    scenario
}

/// 30 of 33 endpoints restart at intervals of 100 ms, so that nearly all are warming up at the same time.
fn twenty_mass_restart() -> Scenario {
    let mut scenario = twenty_gateways("twenty-mass-restart");
    scenario.fleet.endpoints.count = 33;
    scenario.fleet.settings.warmup_overload_multiple = 0.0;
    scenario.fleet.incidents = (0..30)
        .map(|index| {
            restart(
                Timestamp(3000.0 + 100.0 * f64::from(index)),
                index as usize * 7 % 33,
            )
        })
        .collect();
    scenario
}

/// A very low limit on received gossip.
fn twenty_low_intake() -> Scenario {
    let mut scenario = twenty_gateways("twenty-low-intake");
    scenario.fleet.settings.gossip_intake_per_second = 0.5;
    scenario
}

/// A limit on received gossip that is barely above the gossip rate.
fn twenty_tight_intake() -> Scenario {
    let mut scenario = twenty_gateways("twenty-tight-intake");
    scenario.seeds = vec![4, 5];
    scenario.fleet.settings.gossip_intake_per_second = 50.0;
    scenario
}

/// Damaged and forged gossip, endpoints that never respond, and a gateway restart.
fn twenty_forged_gossip() -> Scenario {
    let mut scenario = twenty_gateways("twenty-forged-notes");
    scenario.fleet.gossip.tampering = Some(Tampering {
        damage_ratio: 0.1,
        forgery_ratio: 0.3,
    });
    scenario.fleet.incidents = (0..8)
        .map(|index| fault(Timestamp(2000.0), index * 3, Fault::Silent))
        .collect();
    scenario
        .fleet
        .incidents
        .push(restart_gateway(Timestamp(5000.0), 3));
    scenario
}

fn three_hundred_gateways(name: &'static str) -> Scenario {
    let mut scenario = base_scenario(name, 300, 6.0);
    scenario.seeds = vec![1];
    scenario.fleet.endpoints.count = 40;
    scenario.fleet.endpoints.zones = 3;
    scenario.fleet.endpoints.cells = 8;
    scenario.fleet.endpoints.hardware_kinds = 3;
    scenario.fleet.gateway_zones = 3;
    scenario.traffic.requests_per_second = 1500.0;
    scenario.traffic.tenants = 99;
    scenario.traffic.shard_sizes = vec![0, 150, 20, 3];
    scenario
}

/// A network partition, all endpoint faults and a gateway restart.
fn hundreds_faults() -> Scenario {
    let mut scenario = three_hundred_gateways("hundreds-faults");
    scenario.fleet.gossip.partition = Some(Timestamp(5000.0)..Timestamp(11_000.0));
    scenario.fleet.incidents = endpoint_faults();
    scenario
        .fleet
        .incidents
        .push(restart_gateway(Timestamp(6000.0), 7));
    scenario
}

/// A surge of requests with larger quotas.
fn hundreds_overload() -> Scenario {
    let mut scenario = three_hundred_gateways("hundreds-overload");
    scenario.traffic.surge = Some(Surge {
        period: Timestamp(4000.0)..Timestamp(12_000.0),
        factor: 4.0,
    });
    scenario.fleet.settings.plans = plans(20.0);
    scenario
}
