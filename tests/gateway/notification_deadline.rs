//! Tests that every gateway of a fleet is notified of a change within 6 s of the time at which discovery is
//! reachable again, whichever fault caused the outage.
//!
//! These tests do not use `marlshelf_simulation`, which runs decision engines on its own event queue. They
//! test the asynchronous discovery client over byte streams, so they run in virtual time on tokio's paused
//! clock. Each fault is a state of a connection or of an HTTP response.

use crate::discovery_fleet::*;
use crate::stand_in_discovery::{FAULTS, Fault, LATE_HEAD, Service};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

/// The state of the fleet when the outage begins.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Scenario {
    /// Discovery fails while all gateways have open watches.
    WatchesOpen,
    /// All gateways start with an outdated cached list.
    StartWithCachedList,
    /// All gateways start without a cached list.
    StartWithoutList,
    /// A reload moves all gateways to another discovery service, which is unreachable.
    DiscoveryMoved,
}

const SCENARIOS: [Scenario; 4] = [
    Scenario::WatchesOpen,
    Scenario::StartWithCachedList,
    Scenario::StartWithoutList,
    Scenario::DiscoveryMoved,
];

/// The parameters of a simulated discovery outage.
#[derive(Clone, Copy, Debug)]
struct Outage {
    gateways: u32,
    discovery_mode: &'static str,
    fault: Fault,
    scenario: Scenario,
    duration: Duration,
    seed: u64,
}

/// Discovery hangs for 12 s while 300 gateways have watches open.
const HANGING_SERVICE: Outage = Outage {
    gateways: 300,
    discovery_mode: "subscribe",
    fault: Fault::SilentAtHead,
    scenario: Scenario::WatchesOpen,
    duration: Duration::from_secs(12),
    seed: 7,
};

impl Outage {
    /// Returns the time that discovery takes to answer a call. A shared service answers 300 calls in 3 s, and
    /// all calls of a larger fleet in the same time. An agent answers from memory.
    fn time_per_call(&self) -> Duration {
        if self.discovery_mode == "automatic" {
            Duration::ZERO
        } else {
            Duration::from_secs(3) / self.gateways.max(300)
        }
    }

    /// Starts the fleet and makes discovery fail, in the order that the scenario requires.
    async fn begin(self, services: &[(SocketAddr, Rc<Service>)], failing: &Service) -> Fleet {
        let settings = settings(self.gateways, self.discovery_mode);
        match self.scenario {
            Scenario::WatchesOpen | Scenario::DiscoveryMoved => {
                let fleet = Fleet::start(services, &settings, self.seed, None);
                fleet.time_until_all_have(1, Instant::now()).await;
                // The random time lets the outage begin at any point between two keep-alives.
                let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
                sleep(Duration::from_millis(rng.random_range(5000..9000))).await;
                failing.fail(self.fault);
                fleet
            }
            Scenario::StartWithCachedList => {
                failing.fail(self.fault);
                Fleet::start(services, &settings, self.seed, Some(1))
            }
            Scenario::StartWithoutList => {
                failing.fail(self.fault);
                Fleet::start(services, &settings, self.seed, None)
            }
        }
    }

    /// Simulates the outage, and returns the time from its end until the last gateway is notified of a
    /// change.
    async fn time_until_all_are_notified(self) -> Duration {
        let old_service = Service::new(self.seed, self.time_per_call());
        let new_service = Service::new(self.seed + 1, self.time_per_call());
        let services = [
            (address(OLD_ADDRESS), old_service.clone()),
            (address(NEW_ADDRESS), new_service.clone()),
        ];
        let discovery_moves = self.scenario == Scenario::DiscoveryMoved;
        let failing = if discovery_moves {
            new_service
        } else {
            old_service
        };
        let fleet = self.begin(&services, &failing).await;
        if discovery_moves {
            fleet.move_discovery_to(address(NEW_ADDRESS));
        }
        sleep(self.duration).await;
        failing.recover_with_revision(2);
        fleet.time_until_all_have(2, Instant::now()).await
    }

    /// Simulates the outage in virtual time, and asserts that all gateways are notified by the deadline.
    fn assert_all_notified_in_time(self) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        let last = LocalSet::new().block_on(&runtime, self.time_until_all_are_notified());
        // For a watch that falls silent after a late head, the deadline counts from that head.
        let silent_since = if self.fault == Fault::LateWatch {
            LATE_HEAD
        } else {
            Duration::ZERO
        };
        assert!(
            last <= silent_since + NOTIFICATION_DEADLINE,
            "{self:?}: the last gateway is notified after {last:?}"
        );
    }
}

#[test]
fn a_fleet_of_300_is_notified_in_time_after_discovery_hung_on_20_seeds_of_20() {
    for seed in 0..20 {
        let outage = Outage {
            seed,
            ..HANGING_SERVICE
        };
        outage.assert_all_notified_in_time();
    }
}

#[test]
fn every_fleet_is_notified_in_time_after_every_fault() {
    for fault in FAULTS.into_iter().chain([Fault::Mixed]) {
        for scenario in SCENARIOS {
            for discovery_mode in DISCOVERY_MODES {
                for gateways in [1, 30, 300] {
                    let outage = Outage {
                        gateways,
                        discovery_mode,
                        fault,
                        scenario,
                        ..HANGING_SERVICE
                    };
                    outage.assert_all_notified_in_time();
                }
            }
        }
    }
}

#[test]
fn a_fleet_of_2900_is_notified_in_time() {
    for fault in [Fault::Refused, Fault::SilentAtHead, Fault::Mixed] {
        for scenario in SCENARIOS {
            let outage = Outage {
                gateways: 2900,
                fault,
                scenario,
                ..HANGING_SERVICE
            };
            outage.assert_all_notified_in_time();
        }
    }
}

#[test]
fn watches_that_fall_silent_at_the_same_time_are_reopened_in_time() {
    for discovery_mode in DISCOVERY_MODES {
        for gateways in [1, 30, 300, 2900] {
            for seed in 0..5 {
                let outage = Outage {
                    gateways,
                    discovery_mode,
                    seed,
                    fault: Fault::SilentInWatch,
                    // New calls are answered again after a moment, but the open watches remain silent.
                    duration: Duration::from_millis(1),
                    ..HANGING_SERVICE
                };
                outage.assert_all_notified_in_time();
            }
        }
    }
}

#[test]
fn watches_that_fall_silent_after_a_late_head_are_reopened_in_time() {
    for discovery_mode in DISCOVERY_MODES {
        for seed in 0..10 {
            let outage = Outage {
                discovery_mode,
                seed,
                fault: Fault::LateWatch,
                ..HANGING_SERVICE
            };
            outage.assert_all_notified_in_time();
        }
    }
}

#[test]
fn a_fleet_is_notified_in_time_after_an_outage_of_any_length() {
    for seed in 0..40 {
        let outage = Outage {
            gateways: 100,
            fault: Fault::Mixed,
            duration: Duration::from_millis(250 * (seed + 1)),
            seed,
            ..HANGING_SERVICE
        };
        outage.assert_all_notified_in_time();
    }
}
