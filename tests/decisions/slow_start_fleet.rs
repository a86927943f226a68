//! Tests of slow start in a simulated fleet. Endpoints start one by one or many at once, in some tests during
//! a traffic burst.
//!
//! An endpoint that is warming up fails when the work sent to it within a window exceeds a multiple of its
//! current capacity. Requests that it rejects count as well.

use crate::support::slow_start_fleet::{
    FIRST_START, FleetSize, RUN_AFTER_START, Rollout, RolloutKind, RolloutRun, SLOW_START,
    run_rollout,
};
use marlshelf::{EndpointState, Milliseconds, Timestamp};
use marlshelf_simulation::SimulatedEndpoint;
use std::fmt;
use std::ops::Range;

const SEEDS: u64 = 3;

/// Two gateways observe the load of their endpoints so well that only fast endpoints can be overloaded.
const TWO_GATEWAYS: FleetSize = FleetSize {
    gateways: 2,
    endpoints: 20,
    capacity: 200.0,
    utilization: 0.8,
    min_served: 0.55,
};
const TWENTY_GATEWAYS: FleetSize = FleetSize {
    gateways: 20,
    endpoints: 20,
    capacity: 60.0,
    utilization: 0.7,
    min_served: 0.85,
};
const THIRTY_GATEWAYS: FleetSize = FleetSize {
    gateways: 30,
    endpoints: 24,
    ..TWENTY_GATEWAYS
};
const HUNDREDS_OF_GATEWAYS: FleetSize = FleetSize {
    gateways: 300,
    endpoints: 40,
    ..TWENTY_GATEWAYS
};
const ALL_SIZES: [FleetSize; 4] = [
    TWO_GATEWAYS,
    TWENTY_GATEWAYS,
    THIRTY_GATEWAYS,
    HUNDREDS_OF_GATEWAYS,
];

const ROLLING_RESTART: Rollout = Rollout {
    kind: RolloutKind::Restart,
    fraction: 0.3,
    interval: Milliseconds(500.0),
    burst: false,
};
const HALF_AT_ONCE: Rollout = Rollout {
    kind: RolloutKind::Restart,
    fraction: 0.5,
    interval: Milliseconds::ZERO,
    burst: false,
};
const NEARLY_ALL_REPLACED: Rollout = Rollout {
    kind: RolloutKind::Replacement,
    fraction: 0.9,
    interval: Milliseconds::ZERO,
    burst: false,
};

/// The traffic to new endpoints at three stages of their warm-up, as a fraction of an equal share.
#[derive(Debug)]
struct Ramp {
    just_started: f64,
    half_warm: f64,
    warm: f64,
}

impl Ramp {
    fn rises(&self) -> bool {
        0.02 < self.just_started
            && self.just_started < self.half_warm
            && self.half_warm < self.warm
            && 0.15 < self.half_warm
            && 0.6 < self.warm
    }
}

/// The results of a simulated rollout.
struct Measurements {
    /// The most work in a window at a new endpoint, as a fraction of the work that it tolerates.
    worst_overload: f64,
    failed_endpoints: usize,
    ramp: Ramp,
    /// The work served during the warm-up, as a fraction of the work that the running endpoints could have
    /// served.
    served: f64,
}

impl Measurements {
    fn of(fleet: &RolloutRun) -> Self {
        let rule = fleet.size.overload_rule();
        let overloads: Vec<f64> = new_endpoints(fleet)
            .map(|endpoint| rule.worst_overload(endpoint))
            .collect();
        Measurements {
            failed_endpoints: overloads.iter().filter(|overload| **overload > 1.0).count(),
            worst_overload: overloads.into_iter().fold(0.0, f64::max),
            ramp: Ramp {
                just_started: share_of_traffic(fleet, Milliseconds(0.0)..Milliseconds(4000.0)),
                half_warm: share_of_traffic(fleet, Milliseconds(6000.0)..Milliseconds(10_000.0)),
                warm: share_of_traffic(fleet, SLOW_START.warmup..RUN_AFTER_START),
            },
            served: served_during_warmup(fleet),
        }
    }

    fn meet_expectations(&self, size: &FleetSize) -> bool {
        self.worst_overload <= 1.0 && self.ramp.rises() && self.served >= size.min_served
    }
}

impl fmt::Display for Measurements {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ramp = &self.ramp;
        write!(
            f,
            "{:.2} of the tolerated work, {} endpoints failed, ramp {:.2} {:.2} {:.2}, served {:.2}",
            self.worst_overload,
            self.failed_endpoints,
            ramp.just_started,
            ramp.half_warm,
            ramp.warm,
            self.served
        )
    }
}

fn new_endpoints(fleet: &RolloutRun) -> impl Iterator<Item = &SimulatedEndpoint> {
    let endpoints = fleet.endpoints.iter();
    endpoints.filter(|endpoint| endpoint.started_at() > Timestamp::ZERO)
}

fn running_endpoints(fleet: &RolloutRun) -> impl Iterator<Item = &SimulatedEndpoint> {
    let endpoints = fleet.endpoints.iter();
    endpoints.filter(|endpoint| endpoint.entry.state == EndpointState::Ready)
}

fn offered_work(fleet: &RolloutRun, period: &Range<Timestamp>) -> f64 {
    let requests = fleet.requests.iter();
    let offered = requests.filter(|request| period.contains(&request.arrived_at));
    offered.map(|request| request.work).sum()
}

fn served_work(fleet: &RolloutRun, period: &Range<Timestamp>) -> f64 {
    let requests = fleet.requests.iter();
    let served = requests.filter(|request| request.served && period.contains(&request.arrived_at));
    served.map(|request| request.work).sum()
}

/// Returns the traffic to new endpoints in this period after their starts, as a fraction of an equal share.
fn share_of_traffic(fleet: &RolloutRun, after_start: Range<Milliseconds>) -> f64 {
    let period_of = |endpoint: &SimulatedEndpoint| {
        let started_at = endpoint.started_at();
        started_at + after_start.start..started_at + after_start.end
    };
    let received: f64 = new_endpoints(fleet)
        .map(|endpoint| {
            let period = period_of(endpoint);
            endpoint.work_received_between(period.start, period.end)
        })
        .sum();
    let offered: f64 = new_endpoints(fleet)
        .map(|endpoint| offered_work(fleet, &period_of(endpoint)))
        .sum();
    received * running_endpoints(fleet).count() as f64 / offered
}

fn served_during_warmup(fleet: &RolloutRun) -> f64 {
    let (mut possible, mut served) = (0.0, 0.0);
    for second in 0..(SLOW_START.warmup.as_f64() / 1000.0) as u32 {
        let start = FIRST_START + Milliseconds(1000.0) * f64::from(second);
        let period = start..FIRST_START + Milliseconds(1000.0) * f64::from(second + 1);
        let capacity: f64 = running_endpoints(fleet)
            .filter(|endpoint| endpoint.started_at() <= start)
            .map(|endpoint| fleet.size.capacity * endpoint.warmup_fraction(start))
            .sum();
        possible += capacity.min(offered_work(fleet, &period));
        served += served_work(fleet, &period);
    }
    served / possible
}

/// Asserts only after the runs of all sizes and seeds, because the number of failed runs says more than the
/// first failure.
fn assert_endpoints_warm_up_without_overload(sizes: &[FleetSize], rollout: Rollout) {
    let mut failures = Vec::new();
    for size in sizes {
        for seed in 1..=SEEDS {
            let fleet = run_rollout(*size, rollout, seed);
            let measurements = Measurements::of(&fleet);
            let line = format!("{} gateways, seed {seed}: {measurements}", size.gateways);
            println!("{line}");
            if !measurements.meet_expectations(size) {
                failures.push(format!("{line}, expected at least {}", size.min_served));
            }
        }
    }
    assert!(
        failures.is_empty(),
        "expected no overload, a rising ramp and enough served under {rollout:?}, got\n{}",
        failures.join("\n")
    );
}

#[test]
fn rolling_restart_does_not_overload_new_endpoints() {
    assert_endpoints_warm_up_without_overload(&ALL_SIZES, ROLLING_RESTART);
}

#[test]
fn rolling_restart_during_a_burst_does_not_overload_new_endpoints() {
    let rollout = Rollout {
        burst: true,
        ..ROLLING_RESTART
    };
    assert_endpoints_warm_up_without_overload(&ALL_SIZES, rollout);
}

#[test]
fn restart_of_half_the_endpoints_at_once_does_not_overload_them() {
    assert_endpoints_warm_up_without_overload(&ALL_SIZES, HALF_AT_ONCE);
}

#[test]
fn replacement_of_half_the_endpoints_at_once_during_a_burst_does_not_overload_new_ones() {
    let rollout = Rollout {
        kind: RolloutKind::Replacement,
        burst: true,
        ..HALF_AT_ONCE
    };
    assert_endpoints_warm_up_without_overload(&ALL_SIZES, rollout);
}

#[test]
fn replacement_of_nearly_all_endpoints_at_once_does_not_overload_new_ones() {
    assert_endpoints_warm_up_without_overload(&ALL_SIZES, NEARLY_ALL_REPLACED);
}

#[test]
fn replacement_of_nearly_all_endpoints_during_a_burst_by_few_gateways_does_not_overload_new_ones() {
    let rollout = Rollout {
        burst: true,
        ..NEARLY_ALL_REPLACED
    };
    assert_endpoints_warm_up_without_overload(&[TWO_GATEWAYS, TWENTY_GATEWAYS], rollout);
}

#[test]
fn replacement_of_nearly_all_endpoints_during_a_burst_by_many_gateways_does_not_overload_new_ones()
{
    let rollout = Rollout {
        burst: true,
        ..NEARLY_ALL_REPLACED
    };
    assert_endpoints_warm_up_without_overload(&[THIRTY_GATEWAYS, HUNDREDS_OF_GATEWAYS], rollout);
}
