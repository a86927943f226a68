//! Simulates fleets of decision engines with fixed seeds and prints a digest of all their actions.
//!
//! Prints one line per scenario and seed: name, seed, number of actions, digest. The output is deterministic,
//! and any change of a decision changes a digest.
//!
//! Usage: `decision_digest [--list] [SCENARIO...]`

mod digest;
mod scenario;

use digest::ActionDigest;
use marlshelf_simulation::{Fleet, GatewaySeeds, Randomness, TenantClients};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use scenario::Scenario;
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};

const THREADS: usize = 3;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let scenarios = scenario::all();
    if arguments.iter().any(|argument| argument == "--list") {
        for scenario in &scenarios {
            println!("{}", scenario.name);
        }
        return ExitCode::SUCCESS;
    }
    if let Some(unknown) = arguments
        .iter()
        .find(|name| scenarios.iter().all(|scenario| scenario.name != **name))
    {
        eprintln!("there is no scenario {unknown:?}; --list names all of them");
        return ExitCode::FAILURE;
    }
    let is_selected = |scenario: &&Scenario| {
        arguments.is_empty() || arguments.iter().any(|name| name == scenario.name)
    };
    let runs: Vec<(&Scenario, u64)> = scenarios
        .iter()
        .filter(is_selected)
        .flat_map(|scenario| scenario.seeds.iter().map(move |seed| (scenario, *seed)))
        .collect();
    for line in run_all(&runs) {
        println!("{line}");
    }
    ExitCode::SUCCESS
}

/// Executes all runs on several threads and returns their output lines in the order of the runs.
fn run_all(runs: &[(&Scenario, u64)]) -> Vec<String> {
    let next_run = AtomicUsize::new(0);
    let execute_remaining_runs = || {
        let mut lines = Vec::new();
        loop {
            let index = next_run.fetch_add(1, Ordering::Relaxed);
            let Some((scenario, seed)) = runs.get(index) else {
                return lines;
            };
            lines.push((index, run_scenario(scenario, *seed)));
        }
    };
    let mut lines: Vec<(usize, String)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|_| scope.spawn(execute_remaining_runs))
            .collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a scenario does not panic"))
            .collect()
    });
    lines.sort();
    lines.into_iter().map(|(_, line)| line).collect()
}

/// Runs a scenario with one seed and returns its output line.
fn run_scenario(scenario: &Scenario, seed: u64) -> String {
    let fleet = &scenario.fleet;
    let mut generator = Pcg64Mcg::seed_from_u64(seed);
    let clients = TenantClients::new(&scenario.traffic, &fleet.settings, &mut generator);
    let gateway_seeds = GatewaySeeds {
        first: seed * 1_000_003,
        step: 101,
        incarnation_step: 7919,
    };
    let randomness = Randomness::shared(generator, gateway_seeds);
    let digest = Fleet::new(fleet, clients, ActionDigest::new(), randomness)
        .run()
        .observer;
    let (action_count, hash) = (digest.action_count(), digest.hash());
    format!("{} {seed} {action_count} {hash:016x}", scenario.name)
}
