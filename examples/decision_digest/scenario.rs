//! The table of scenarios.

use crate::endpoint::{EndpointPool, Fault};
use frostvale::{Class, Effect, Group, Plan, Settings};

/// How notes travel between gateways.
#[derive(Clone, Debug)]
pub struct Gossip {
    /// The share of notes that are lost.
    pub loss: f64,
    /// The least and the most time a note takes.
    pub delay: (f64, f64),
    /// From when to when no note passes between even and odd gateways.
    pub partition: Option<(f64, f64)>,
    /// The share of notes that arrive damaged.
    pub damaged: f64,
    /// The share of notes that arrive several times, under the numbers of other gateways.
    pub misattributed: f64,
}

/// What the clients do.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// The number of tenants; tenant `k` is on plan `k % plans`.
    pub tenants: usize,
    /// Requests a second of all tenants, without repeats.
    pub rate: f64,
    /// From when to when the rate is multiplied by the third figure.
    pub surge: Option<(f64, f64, f64)>,
    /// From when to when all tenants but the first few send nothing; the third figure is the
    /// time from the return of one tenant to that of the next.
    pub idle: Option<(f64, f64, f64)>,
    /// The numbers of gateways that tenants use, taken in turn; 0 means all.
    pub spreads: Vec<u32>,
    /// The share of requests that come in at a gateway that changes every few seconds.
    pub sticky: f64,
    /// The share of clients that leave early.
    pub departures: f64,
    /// The share of clients that try again after a final answer that is not a success.
    pub retries: f64,
    /// The share of answers that carry the true units.
    pub true_units: f64,
    /// The share of requests whose class or plan does not exist.
    pub invalid: f64,
    /// The share of attempts that the gateway's host ends by itself.
    pub host_endings: f64,
}

/// Something that happens to the fleet at a set time.
#[derive(Clone, Copy, Debug)]
pub enum Incident {
    /// An endpoint takes nothing new and is gone three seconds later.
    Drain(usize),
    /// An endpoint is gone at once, and another with a new name takes its place.
    Replace(usize),
    /// An endpoint's process ends and comes back a second later.
    Restart(usize),
    /// An endpoint takes so many times as long from now on.
    Slow(usize, f64),
    /// An endpoint starts, or stops, to misbehave.
    Fault(usize, Fault),
    /// A gateway loses its state.
    RestartGateway(usize),
    /// All gateways hear the whole endpoint list.
    Snapshot,
    /// All gateways hear what a probe of an endpoint found.
    Probe(usize),
}

/// One scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name on the command line and in the output.
    pub name: &'static str,
    /// The seeds it is played with.
    pub seeds: Vec<u64>,
    /// The settings of all gateways; the number and zone of each are filled in later.
    pub settings: Settings,
    /// The number of zones the gateways stand in.
    pub gateway_zones: u32,
    /// The endpoints.
    pub endpoints: EndpointPool,
    /// The network between gateways.
    pub gossip: Gossip,
    /// Timers fire up to this much too early.
    pub early_timers: f64,
    /// The clients.
    pub traffic: Traffic,
    /// What happens when.
    pub incidents: Vec<(f64, Incident)>,
    /// How long it is played, in milliseconds.
    pub duration: f64,
}

fn classes() -> Vec<Class> {
    let class = |worth, aim, late_worth, effect, window| Class {
        worth,
        aim,
        late_worth,
        effect,
        window,
    };
    vec![
        class(1.0, 400.0, 0.0, Effect::Safe, 0.0),
        class(0.6, 800.0, 0.3, Effect::Unsafe, 0.0),
        class(2.0, 600.0, 0.0, Effect::Keyed(Group::All), 500.0),
        class(0.3, 1000.0, 0.5, Effect::Keyed(Group::Zone), 1500.0),
        class(4.0, 300.0, 0.0, Effect::Keyed(Group::Cell), 200.0),
    ]
}

/// Plans of every sort; `scale` is a factor on their rates.
fn plans(scale: f64) -> Vec<Plan> {
    let plan = |rate: f64, burst: f64, price, over_cost| Plan {
        rate: rate * scale,
        burst: burst * scale,
        price,
        over_cost,
        ..Plan::default()
    };
    let ceiling = |plan: Plan, rate: f64, burst: f64, slack| Plan {
        ceiling_rate: rate * scale,
        ceiling_burst: burst * scale,
        ceiling_slack: slack,
        ..plan
    };
    let open = |open, plan: Plan| Plan { open, ..plan };
    vec![
        plan(20.0, 30.0, 1.0, 0.0),
        plan(10.0, 20.0, 0.7, 0.6),
        open(4, plan(30.0, 40.0, 1.3, 1.0)),
        open(40, plan(0.0, 0.0, 2.0, 0.0)),
        ceiling(plan(15.0, 20.0, 1.8, 0.0), 25.0, 40.0, 5.0),
        ceiling(plan(0.0, 0.0, 0.9, 0.2), 20.0, 30.0, 2.0),
        open(2, plan(0.0, 0.0, 0.4, 0.3)),
        plan(0.0, 0.0, 0.5, 0.0),
        ceiling(open(3, plan(12.0, 15.0, 1.1, 1.2)), 15.0, 20.0, 3.0),
        open(1, plan(0.0, 0.0, 0.8, 0.5)),
        plan(8.0, 12.0, 0.6, 1.5),
    ]
}

fn endpoints() -> EndpointPool {
    EndpointPool {
        count: 12,
        zones: 2,
        cells: 4,
        kinds: 2,
        odd_sizes: false,
        cores: 4,
        queue: 8,
        work: 40.0,
        network: 0.5,
        reports: 0.5,
    }
}

fn traffic() -> Traffic {
    Traffic {
        tenants: 33,
        rate: 300.0,
        surge: None,
        idle: None,
        spreads: vec![0, 2, 1],
        sticky: 0.5,
        departures: 0.03,
        retries: 0.5,
        true_units: 0.3,
        invalid: 0.002,
        host_endings: 0.003,
    }
}

/// A scenario of so many gateways without faults, for others to start from.
fn base(name: &'static str, gateways: u32, scale: f64) -> Scenario {
    Scenario {
        name,
        seeds: vec![1, 2],
        settings: Settings {
            gateways,
            classes: classes(),
            plans: plans(scale),
            max_attempts: 3,
            notes: true,
            largest: 6.0,
            note_intake: 60.0,
            cold_from: 0.2,
            warm_within: 8000.0,
            fall_multiple: 4.0,
            ..Settings::default()
        },
        gateway_zones: 2,
        endpoints: endpoints(),
        gossip: Gossip {
            loss: 0.02,
            delay: (2.0, 20.0),
            partition: None,
            damaged: 0.0,
            misattributed: 0.0,
        },
        early_timers: 0.0,
        traffic: traffic(),
        incidents: Vec::new(),
        duration: 15_000.0,
    }
}

fn three_steady() -> Scenario {
    base("three-steady", 3, 1.0)
}

fn three_faults() -> Scenario {
    let mut scenario = base("three-faults", 3, 1.0);
    scenario.gossip.partition = Some((4000.0, 10_000.0));
    scenario.gossip.damaged = 0.02;
    scenario.incidents = endpoint_faults();
    scenario
        .incidents
        .push((6000.0, Incident::RestartGateway(1)));
    scenario
}

/// Every fault of an endpoint once, and every change of the endpoint list.
fn endpoint_faults() -> Vec<(f64, Incident)> {
    vec![
        (1000.0, Incident::Fault(0, Fault::Errors(0.5))),
        (1500.0, Incident::Slow(1, 4.0)),
        (2000.0, Incident::Fault(2, Fault::Unreachable)),
        (2500.0, Incident::Drain(3)),
        (3000.0, Incident::Fault(4, Fault::Resets(0.4))),
        (3500.0, Incident::Fault(5, Fault::Silent)),
        (4000.0, Incident::Restart(6)),
        (4500.0, Incident::Replace(7)),
        (5000.0, Incident::Fault(8, Fault::Full)),
        (6000.0, Incident::Restart(9)),
        (7000.0, Incident::Snapshot),
        (7200.0, Incident::Probe(2)),
        (7500.0, Incident::Fault(0, Fault::None)),
        (8000.0, Incident::Slow(1, 1.0)),
        (8500.0, Incident::Fault(2, Fault::None)),
        (9000.0, Incident::Fault(5, Fault::None)),
        (9500.0, Incident::Replace(10)),
        (11_000.0, Incident::Snapshot),
    ]
}

fn three_overload() -> Scenario {
    let mut scenario = base("three-overload", 3, 6.0);
    scenario.traffic.surge = Some((4000.0, 10_000.0, 6.0));
    scenario.settings.max_attempts = 0;
    scenario
}

fn three_idle() -> Scenario {
    let mut scenario = base("three-idle-tenants", 3, 1.0);
    scenario.traffic.rate = 60.0;
    scenario.traffic.idle = Some((6000.0, 62_000.0, 400.0));
    scenario.duration = 90_000.0;
    scenario
}

fn three_without_notes() -> Scenario {
    let mut scenario = base("three-without-notes", 3, 1.0);
    scenario.settings.notes = false;
    scenario.settings.largest = 0.0;
    scenario.incidents = vec![(5000.0, Incident::Restart(3))];
    scenario
}

/// Two gateways and one endpoint, without further attempts.
fn two_gateways() -> Scenario {
    let mut scenario = base("two-gateways", 2, 1.0);
    scenario.settings.max_attempts = 1;
    scenario.endpoints.count = 1;
    scenario.endpoints.cores = 16;
    scenario.traffic.rate = 150.0;
    scenario.incidents = vec![
        (5000.0, Incident::Fault(0, Fault::Errors(0.3))),
        (8000.0, Incident::Fault(0, Fault::None)),
        (9000.0, Incident::Restart(0)),
    ];
    scenario
}

/// One gateway before two endpoints.
fn one_gateway() -> Scenario {
    let mut scenario = base("one-gateway", 1, 2.0);
    scenario.endpoints.count = 2;
    scenario.endpoints.cores = 16;
    scenario.endpoints.odd_sizes = true;
    scenario.traffic.rate = 200.0;
    scenario.incidents = vec![(5000.0, Incident::Restart(0))];
    scenario
}

/// Endpoints without a usable size, and peers that take in next to no notes.
fn three_odd() -> Scenario {
    let mut scenario = base("three-odd", 3, 1.0);
    scenario.settings.note_intake = 0.0;
    scenario.endpoints.odd_sizes = true;
    scenario.incidents = vec![(5000.0, Incident::Restart(3))];
    scenario
}

fn three_early_timers() -> Scenario {
    let mut scenario = base("three-early-timers", 3, 1.0);
    scenario.seeds = vec![1, 2, 3, 4];
    scenario.early_timers = 0.12;
    scenario.gossip.loss = 0.2;
    for class in &mut scenario.settings.classes {
        class.late_worth = 0.5;
    }
    scenario.incidents = (0..4)
        .map(|index| (2000.0, Incident::Fault(index * 3, Fault::Silent)))
        .collect();
    scenario
}

/// Half of all requests fail, more than further attempts are allowed for.
fn three_errors() -> Scenario {
    let mut scenario = base("three-errors", 3, 3.0);
    scenario.incidents = (0..12)
        .map(|index| (1000.0, Incident::Fault(index, Fault::Errors(0.5))))
        .collect();
    scenario
}

/// Answers within a tenth of a millisecond, and tenants that share few permits.
fn three_fast() -> Scenario {
    let mut scenario = base("three-fast", 3, 1.0);
    let plans = plans(1.0);
    scenario.settings.plans = vec![plans[9].clone(), plans[6].clone()];
    scenario.endpoints.work = 0.04;
    scenario.endpoints.network = 0.02;
    scenario.traffic.tenants = 2;
    scenario.traffic.spreads = vec![0];
    scenario.traffic.rate = 5000.0;
    scenario.traffic.retries = 0.0;
    scenario.duration = 5000.0;
    scenario
}

/// Requests that take about a minute.
fn three_long_requests() -> Scenario {
    let mut scenario = base("three-long-requests", 3, 1.0);
    for class in &mut scenario.settings.classes {
        class.aim = 200_000.0;
        class.late_worth = 0.5;
    }
    scenario.endpoints.work = 40_000.0;
    scenario.traffic.rate = 0.5;
    scenario.duration = 900_000.0;
    scenario
}

fn twenty(name: &'static str) -> Scenario {
    let mut scenario = base(name, 20, 4.0);
    scenario.endpoints.count = 30;
    scenario.endpoints.zones = 3;
    scenario.endpoints.cells = 6;
    scenario.endpoints.kinds = 3;
    scenario.gateway_zones = 3;
    scenario.traffic.rate = 1000.0;
    scenario.traffic.tenants = 55;
    scenario.traffic.spreads = vec![0, 10, 5, 1, 1000];
    scenario
}

fn twenty_faults() -> Scenario {
    let mut scenario = twenty("twenty-faults");
    scenario.gossip.loss = 0.05;
    scenario.gossip.delay = (5.0, 150.0);
    scenario.gossip.partition = Some((5000.0, 11_000.0));
    scenario.gossip.damaged = 0.01;
    scenario.incidents = endpoint_faults();
    scenario
        .incidents
        .push((6000.0, Incident::RestartGateway(7)));
    scenario
}

fn twenty_overload() -> Scenario {
    let mut scenario = twenty("twenty-overload");
    scenario.settings.plans = plans(20.0);
    scenario.traffic.surge = Some((4000.0, 10_000.0, 5.0));
    scenario.settings.note_intake = 20.0;
    scenario
}

fn twenty_without_notes() -> Scenario {
    let mut scenario = twenty("twenty-without-notes");
    scenario.settings.notes = false;
    scenario.settings.fall_multiple = 0.0;
    scenario.incidents = endpoint_faults();
    scenario
}

/// Most endpoints restart in a row, so that nearly all are cold at once.
fn twenty_mass_restart() -> Scenario {
    let mut scenario = twenty("twenty-mass-restart");
    scenario.endpoints.count = 33;
    scenario.settings.fall_multiple = 0.0;
    scenario.incidents = (0..30)
        .map(|index| {
            (
                3000.0 + 100.0 * f64::from(index),
                Incident::Restart(index as usize * 7 % 33),
            )
        })
        .collect();
    scenario
}

/// Peers that take in few notes.
fn twenty_low_intake() -> Scenario {
    let mut scenario = twenty("twenty-low-intake");
    scenario.settings.note_intake = 0.5;
    scenario
}

/// Peers that take in hardly as many notes as there are.
fn twenty_tight_intake() -> Scenario {
    let mut scenario = twenty("twenty-tight-intake");
    scenario.seeds = vec![4, 5];
    scenario.settings.note_intake = 50.0;
    scenario
}

/// Notes that arrive damaged, or several times under wrong numbers, and endpoints that never answer.
fn twenty_forged_notes() -> Scenario {
    let mut scenario = twenty("twenty-forged-notes");
    scenario.gossip.damaged = 0.1;
    scenario.gossip.misattributed = 0.3;
    scenario.incidents = (0..8)
        .map(|index| (2000.0, Incident::Fault(index * 3, Fault::Silent)))
        .collect();
    scenario
        .incidents
        .push((5000.0, Incident::RestartGateway(3)));
    scenario
}

fn hundreds(name: &'static str) -> Scenario {
    let mut scenario = base(name, 300, 6.0);
    scenario.seeds = vec![1];
    scenario.endpoints.count = 40;
    scenario.endpoints.zones = 3;
    scenario.endpoints.cells = 8;
    scenario.endpoints.kinds = 3;
    scenario.gateway_zones = 3;
    scenario.traffic.rate = 1500.0;
    scenario.traffic.tenants = 99;
    scenario.traffic.spreads = vec![0, 150, 20, 3];
    scenario
}

fn hundreds_faults() -> Scenario {
    let mut scenario = hundreds("hundreds-faults");
    scenario.gossip.partition = Some((5000.0, 11_000.0));
    scenario.incidents = endpoint_faults();
    scenario
        .incidents
        .push((6000.0, Incident::RestartGateway(7)));
    scenario
}

fn hundreds_overload() -> Scenario {
    let mut scenario = hundreds("hundreds-overload");
    scenario.traffic.surge = Some((4000.0, 12_000.0, 4.0));
    scenario.settings.plans = plans(20.0);
    scenario
}

/// All scenarios, in the order of the output.
pub fn all() -> Vec<Scenario> {
    vec![
        one_gateway(),
        two_gateways(),
        three_steady(),
        three_faults(),
        three_overload(),
        three_idle(),
        three_without_notes(),
        three_odd(),
        three_early_timers(),
        three_errors(),
        three_fast(),
        three_long_requests(),
        twenty("twenty-steady"),
        twenty_faults(),
        twenty_overload(),
        twenty_without_notes(),
        twenty_mass_restart(),
        twenty_low_intake(),
        twenty_tight_intake(),
        twenty_forged_notes(),
        hundreds("hundreds-steady"),
        hundreds_faults(),
        hundreds_overload(),
    ]
}
