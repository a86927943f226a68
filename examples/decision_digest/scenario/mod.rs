//! The scenarios that the example runs.

mod defaults;
mod large_fleets;
mod small_fleets;

use marlshelf_simulation::{FleetScenario, TenantTraffic};

/// A fleet with its incidents and its traffic, to be run once per seed.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name on the command line and in the output.
    pub name: &'static str,
    pub seeds: Vec<u64>,
    pub fleet: FleetScenario,
    pub traffic: TenantTraffic,
}

/// Returns all scenarios in the order of the output.
pub fn all() -> Vec<Scenario> {
    let mut scenarios = small_fleets::all();
    scenarios.extend(large_fleets::all());
    scenarios
}
