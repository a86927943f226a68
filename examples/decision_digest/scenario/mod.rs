//! Scenarios: the fleet, the traffic and the incidents that one run plays.

mod defaults;
mod large_fleets;
mod small_fleets;

use marlshelf_simulation::{FleetScenario, TenantTraffic};

/// One scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name on the command line and in the output.
    pub name: &'static str,
    /// The seeds it is played with.
    pub seeds: Vec<u64>,
    /// The fleet.
    pub fleet: FleetScenario,
    /// The clients.
    pub traffic: TenantTraffic,
}

/// All scenarios, in the order of the output.
pub fn all() -> Vec<Scenario> {
    let mut scenarios = small_fleets::all();
    scenarios.extend(large_fleets::all());
    scenarios
}
