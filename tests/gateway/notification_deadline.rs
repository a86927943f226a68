//! Tests that every gateway of a fleet is notified of a change within 6 s of the time at which discovery is
//! reachable again, whichever fault caused the outage.
//!
//! These tests do not use `marlshelf_simulation`, which runs decision engines on its own event queue. They
//! test the asynchronous discovery client over byte streams, so they run in virtual time on tokio's paused
//! clock. Each fault is a state of a connection or of an HTTP response.

use crate::stand_in_discovery::{FAULTS, Fault, LATE_HEAD, Network, Service};
use crate::support::TEST_TIMEOUT;
use marlshelf::SettingsDocument;
use marlshelf::gateway::discovery::{self, EndpointUpdate, PollSchedule};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

/// The time after which a gateway must know of a change, once discovery has the change and is reachable.
const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);

const OLD_ADDRESS: &str = "127.0.0.1:1";
const NEW_ADDRESS: &str = "127.0.0.1:2";

/// The discovery modes of the settings: polling a shared service, and a local agent.
const DISCOVERY_MODES: [&str; 2] = ["subscribe", "automatic"];

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

/// Returns the settings of a gateway in a fleet of `gateways` with this discovery mode.
fn settings(gateways: u32, discovery_mode: &str) -> SettingsDocument {
    let document =
        serde_json::json!({"Balancers": gateways, "Discovery": discovery_mode, "Classes": []});
    serde_json::from_value(document).expect("valid settings")
}

/// An update that a gateway has received.
#[derive(Clone, Copy)]
struct Notification {
    revision: u64,
    received_at: Instant,
}

/// A fleet of discovery clients, one per gateway.
struct Fleet {
    discovery_addresses: Vec<watch::Sender<SocketAddr>>,
    /// The latest notification of each gateway.
    notifications: Rc<RefCell<Vec<Notification>>>,
}

impl Fleet {
    /// Starts all gateways at the same time. If `cached_revision` is given, they have a cached list of that
    /// revision.
    fn start(
        services: &[(SocketAddr, Rc<Service>)],
        settings: &SettingsDocument,
        seed: u64,
        cached_revision: Option<u64>,
    ) -> Fleet {
        let network = Network::new(services);
        let none_yet = Notification {
            revision: 0,
            received_at: Instant::now(),
        };
        let notifications = vec![none_yet; settings.gateway_count() as usize];
        let notifications = Rc::new(RefCell::new(notifications));
        let start_gateway = |gateway: u32| {
            let (address_sender, discovery_address) = watch::channel(services[0].0);
            let notifications = notifications.clone();
            let on_update = move |update: EndpointUpdate| {
                notifications.borrow_mut()[gateway as usize] = Notification {
                    revision: update.revision,
                    received_at: Instant::now(),
                };
            };
            spawn_local(discovery::follow(
                network.clone(),
                on_update,
                discovery_address,
                cached_revision,
                PollSchedule::new(settings, seed << 32 | u64::from(gateway)),
            ));
            address_sender
        };
        let discovery_addresses = (0..settings.gateway_count()).map(start_gateway).collect();
        Fleet {
            discovery_addresses,
            notifications,
        }
    }

    fn gateways_without(&self, revision: u64) -> usize {
        let notifications = self.notifications.borrow();
        notifications
            .iter()
            .filter(|last| last.revision < revision)
            .count()
    }

    /// Waits until all gateways have this revision, and returns the time from `since` until the last one
    /// received it.
    async fn time_until_all_have(&self, revision: u64, since: Instant) -> Duration {
        let all_notified = async {
            while self.gateways_without(revision) > 0 {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(2 * TEST_TIMEOUT, all_notified)
            .await
            .unwrap_or_else(|_| {
                panic!(
                    "{} gateways have not been notified",
                    self.gateways_without(revision)
                )
            });
        let notifications = self.notifications.borrow();
        notifications
            .iter()
            .map(|last| last.received_at.saturating_duration_since(since))
            .max()
            .unwrap_or_default()
    }

    fn move_discovery_to(&self, address: SocketAddr) {
        for sender in &self.discovery_addresses {
            sender.send(address).expect("the gateway follows discovery");
        }
    }
}

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
