//! A fleet of discovery clients in virtual time.

use crate::stand_in_discovery::{Network, Service};
use crate::support::TEST_TIMEOUT;
use marlshelf::SettingsDocument;
use marlshelf::gateway::discovery::{self, EndpointUpdate, PollSchedule};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// The time after which a gateway must know of a change, once discovery has the change and is reachable.
pub const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);

pub const OLD_ADDRESS: &str = "127.0.0.1:1";
pub const NEW_ADDRESS: &str = "127.0.0.1:2";

/// The discovery modes of the settings: polling a shared service, and a local agent.
pub const DISCOVERY_MODES: [&str; 2] = ["subscribe", "automatic"];

pub fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

/// Returns the settings of a gateway in a fleet of `gateways` with this discovery mode.
pub fn settings(gateways: u32, discovery_mode: &str) -> SettingsDocument {
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
pub struct Fleet {
    discovery_addresses: Vec<watch::Sender<SocketAddr>>,
    /// The latest notification of each gateway.
    notifications: Rc<RefCell<Vec<Notification>>>,
}

impl Fleet {
    /// Starts all gateways at the same time. If `cached_revision` is given, they have a cached list of that
    /// revision.
    pub fn start(
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
    pub async fn time_until_all_have(&self, revision: u64, since: Instant) -> Duration {
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

    pub fn move_discovery_to(&self, address: SocketAddr) {
        for sender in &self.discovery_addresses {
            sender.send(address).expect("the gateway follows discovery");
        }
    }
}
