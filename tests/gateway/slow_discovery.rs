//! A discovery that answers every call late is heard, in time if it answers within 6 s.

use crate::discovery_fleet::*;
use crate::stand_in_discovery::Service;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

/// A fleet whose discovery answers each call after `answer_delay`.
#[derive(Clone, Copy, Debug)]
struct SlowDiscovery {
    answer_delay: Duration,
    gateways: u32,
    discovery_mode: &'static str,
    cached_revision: Option<u64>,
    /// Whether the configuration is reloaded every second, with the same address.
    reloads: bool,
}

impl SlowDiscovery {
    /// Returns all variants with this delay.
    fn variants(answer_delay: Duration) -> Vec<SlowDiscovery> {
        let mut variants = Vec::new();
        for discovery_mode in DISCOVERY_MODES {
            for cached_revision in [None, Some(1)] {
                for reloads in [false, true] {
                    variants.push(SlowDiscovery {
                        answer_delay,
                        gateways: 2,
                        discovery_mode,
                        cached_revision,
                        reloads,
                    });
                }
            }
        }
        variants
    }

    /// Starts the fleet at a discovery with revision 2 of the list, and returns the time until all gateways
    /// have it.
    async fn time_until_heard(self) -> Duration {
        let service = Service::with_answer_delay(7, self.answer_delay);
        service.publish(2);
        let started_at = Instant::now();
        let fleet = self.start_fleet(&service);
        fleet.time_until_all_have(2, started_at).await
    }

    /// Publishes revision 2 once all gateways watch, and returns the time until all have it.
    async fn time_until_watches_hear(self) -> Duration {
        let service = Service::with_answer_delay(7, self.answer_delay);
        let fleet = self.start_fleet(&service);
        // The list and the watch are answered one after the other.
        sleep(self.answer_delay * 2 + Duration::from_millis(4300)).await;
        service.publish(2);
        fleet.time_until_all_have(2, Instant::now()).await
    }

    fn start_fleet(self, service: &Rc<Service>) -> Rc<Fleet> {
        let address: SocketAddr = address(OLD_ADDRESS);
        let services = [(address, service.clone())];
        let settings = settings(self.gateways, self.discovery_mode);
        let fleet = Rc::new(Fleet::start(&services, &settings, 7, self.cached_revision));
        if self.reloads {
            let reloaded = fleet.clone();
            spawn_local(async move {
                loop {
                    sleep(Duration::from_secs(1)).await;
                    reloaded.move_discovery_to(address);
                }
            });
        }
        fleet
    }
}

fn in_virtual_time(test: impl Future<Output = Duration>) -> Duration {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test)
}

/// Returns all variants whose answers take less than 6 s, in steps of 0.1 s.
fn answers_within_six_seconds() -> impl Iterator<Item = SlowDiscovery> {
    (0..60).flat_map(|tenths| SlowDiscovery::variants(Duration::from_millis(100 * tenths)))
}

/// Guards against a discovery that is never heard: every call was given up before its answer.
#[test]
fn discovery_that_answers_within_six_seconds_is_heard_in_time() {
    for slow in answers_within_six_seconds() {
        let heard_after = in_virtual_time(slow.time_until_heard());
        assert!(
            heard_after <= NOTIFICATION_DEADLINE,
            "{slow:?}: {heard_after:?}"
        );
    }
}

/// Guards against changes that are missed because reloads in quick succession close each call.
#[test]
fn change_is_heard_in_time_by_watches_that_a_slow_discovery_has_answered() {
    for slow in answers_within_six_seconds() {
        let heard_after = in_virtual_time(slow.time_until_watches_hear());
        assert!(
            heard_after <= NOTIFICATION_DEADLINE,
            "{slow:?}: {heard_after:?}"
        );
    }
}

#[test]
fn discovery_that_answers_after_more_than_six_seconds_is_heard_with_its_first_answer() {
    for seconds in [6, 9, 20, 35] {
        let answer_delay = Duration::from_secs(seconds);
        for slow in SlowDiscovery::variants(answer_delay) {
            let heard_after = in_virtual_time(slow.time_until_heard());
            let latest = answer_delay + Duration::from_secs(1);
            assert!(heard_after <= latest, "{slow:?}: {heard_after:?}");
        }
    }
}
