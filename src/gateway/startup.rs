//! Startup: binds the listening addresses, builds the components, starts the background tasks, and waits for
//! the first endpoint list.

use crate::gateway::background_tasks::BackgroundTasks;
use crate::gateway::bind::{BindError, SocketPurpose, bind_with_retry};
use crate::gateway::clients::{ClientConnections, ClientListener, RequestSchema};
use crate::gateway::configuration::Configuration;
use crate::gateway::counters::CounterRegistry;
use crate::gateway::discovery::{self, EndpointUpdate, PollSchedule, Tcp};
use crate::gateway::event_loop::{EventLoop, EventLoopHandle, run_timers};
use crate::gateway::event_loop_monitor::run_monitor;
use crate::gateway::gossip_socket::GossipSocket;
use crate::gateway::signals::reload_on_hangup;
use crate::gateway::startup_error::StartupError;
use crate::{GatewayId, SettingsError};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::Signal;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

/// How long a gateway without a cached endpoint list waits for discovery. It then serves without a list,
/// because it must become ready even while discovery is unreachable.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Derives the seed of the discovery delays from the configured seed, which the decision engine uses
/// unchanged, so the two use different random streams.
const DISCOVERY_SEED_MASK: u64 = 0x9e37_79b9_7f4a_7c15;
/// Shares of the file descriptor limit for client and endpoint connections, in percent. The rest is for the
/// listener, discovery, gossip, and connections that are being closed. Clients hold at most a third of the
/// descriptors for requests, and a client at its own connection limit cannot open a connection until one of
/// its idle connections is closed. The gateway therefore evicts idle client connections above this share.
const CLIENT_DESCRIPTOR_PERCENT: usize = 33;
const ENDPOINT_DESCRIPTOR_PERCENT: usize = 45;

/// The listening sockets, bound before the rest of the gateway is built.
pub(super) struct BoundSockets {
    gossip: Option<UdpSocket>,
    listener: TcpListener,
    /// The address of the listener with its actual port, which the operating system chooses if the configured
    /// port is 0.
    listen_address: SocketAddr,
}

/// Binds the configured addresses, retrying while one is in use.
pub(super) async fn bind_sockets(configuration: &Configuration) -> Result<BoundSockets, BindError> {
    let gossip = match configuration.gossip_address {
        Some(address) => {
            Some(bind_with_retry(SocketPurpose::Gossip, address, UdpSocket::bind).await?)
        }
        None => None,
    };
    // The client listener is bound last: a client that connects while the gateway still waits for the gossip
    // address would get no answer.
    let address = configuration.listen_address;
    let listener = bind_with_retry(SocketPurpose::Clients, address, TcpListener::bind).await?;
    let listen_address = listener.local_addr().unwrap_or(address);
    Ok(BoundSockets {
        gossip,
        listener,
        listen_address,
    })
}

/// A gateway after startup, with its background tasks running.
pub(super) struct RunningGateway {
    pub(super) name: String,
    pub(super) listen_address: SocketAddr,
    pub(super) listener: TcpListener,
    /// The time that the platform allows between SIGTERM and SIGKILL.
    pub(super) termination_grace: Duration,
    pub(super) event_loop: EventLoopHandle,
    pub(super) clients: Rc<ClientConnections>,
    pub(super) client_listener: ClientListener,
    /// Whether gossip is enabled, so that other gateways may send quota requests.
    pub(super) has_peers: bool,
    pub(super) background_tasks: BackgroundTasks,
    pub(super) counters: CounterRegistry,
    /// Notified when discovery delivers its first list; `None` if a cached list makes waiting unnecessary.
    first_list: Option<Rc<Notify>>,
}

impl RunningGateway {
    /// Builds the components of the gateway and starts the background tasks.
    pub(super) fn start(
        configuration: Configuration,
        sockets: BoundSockets,
        hangup: Signal,
    ) -> Result<RunningGateway, StartupError> {
        let components = GatewayComponents::build(configuration, sockets.gossip)?;
        let needs_first_list = components.cached_revision.is_none();
        let running = RunningGateway {
            name: components.name.clone(),
            listen_address: sockets.listen_address,
            listener: sockets.listener,
            termination_grace: components.termination_grace,
            event_loop: components.event_loop.clone(),
            clients: components.clients.clone(),
            client_listener: ClientListener::new(
                components.clients.clone(),
                components.event_loop.clone(),
                components.request_schema.clone(),
            ),
            has_peers: components.gossip.is_some(),
            first_list: needs_first_list.then(|| components.first_list.clone()),
            counters: components.counters.clone(),
            background_tasks: components.start_tasks(hangup),
        };
        Ok(running)
    }

    /// Waits up to [`FIRST_LIST_TIMEOUT`] for an endpoint list, so that the gateway can forward requests by
    /// the time it accepts clients.
    pub(super) async fn wait_for_first_list(&self) {
        if let Some(first_list) = &self.first_list {
            let _ = timeout(FIRST_LIST_TIMEOUT, first_list.notified()).await;
        }
    }

    /// Accepts client connections in an endless loop.
    pub(super) async fn accept_clients(&self) {
        self.client_listener.accept(&self.listener).await;
    }
}

/// The components of a gateway before its background tasks start.
struct GatewayComponents {
    name: String,
    gateway_id: GatewayId,
    termination_grace: Duration,
    discovery_address: SocketAddr,
    event_loop: EventLoopHandle,
    clients: Rc<ClientConnections>,
    request_schema: RequestSchema,
    gossip: Option<GossipSocket>,
    poll_schedule: PollSchedule,
    /// The revision from which discovery continues; `None` if there is no usable cached list.
    cached_revision: Option<u64>,
    first_list: Rc<Notify>,
    counters: CounterRegistry,
}

impl GatewayComponents {
    fn build(
        mut configuration: Configuration,
        gossip_socket: Option<UdpSocket>,
    ) -> Result<GatewayComponents, SettingsError> {
        let name = std::mem::take(&mut configuration.name);
        let gateway_id = configuration.settings.gateway;
        let termination_grace = configuration.document.termination_grace();
        let discovery_address = configuration.discovery_address;
        let peer_addresses = std::mem::take(&mut configuration.peer_addresses);
        let gossip = gossip_socket.map(|socket| GossipSocket::new(socket, peer_addresses));
        let cached_list = configuration.cached_endpoints.take();
        let max_clients = configuration.max_descriptors * CLIENT_DESCRIPTOR_PERCENT / 100;
        let clients = ClientConnections::new(max_clients, configuration.memory_budget_bytes());
        let request_schema = RequestSchema::new(&configuration.document);
        let discovery_seed = configuration.seed ^ DISCOVERY_SEED_MASK;
        let poll_schedule = PollSchedule::new(&configuration.document, discovery_seed);
        let max_endpoint_connections =
            configuration.max_descriptors * ENDPOINT_DESCRIPTOR_PERCENT / 100;
        let counters = CounterRegistry::default();
        counters.install();
        let event_loop = EventLoop::new(configuration, gossip.clone(), max_endpoint_connections)?;
        let cached_revision = cached_list.as_ref().and_then(resumable_revision);
        if let Some(list) = cached_list {
            event_loop.borrow_mut().endpoints_changed(&list);
        }
        Ok(GatewayComponents {
            name,
            gateway_id,
            termination_grace,
            discovery_address,
            event_loop,
            clients,
            request_schema,
            gossip,
            poll_schedule,
            cached_revision,
            first_list: Rc::default(),
            counters,
        })
    }

    /// Starts the background tasks. They are first polled in this order and stopped in the reverse order.
    fn start_tasks(self, hangup: Signal) -> BackgroundTasks {
        let mut tasks = BackgroundTasks::default();
        if let Some(gossip) = self.gossip {
            tasks.start(gossip.listen(self.event_loop.clone(), self.gateway_id));
        }
        tasks.start(run_timers(self.event_loop.clone()));
        tasks.start(run_monitor());
        tasks.start(self.counters.run_log());
        tasks.start(self.clients.run_expiry());
        let (address_sender, discovery_address) = watch::channel(self.discovery_address);
        let event_loop = self.event_loop;
        let first_list = self.first_list;
        let on_update = move |update| {
            event_loop.borrow_mut().endpoints_changed(&update);
            first_list.notify_one();
        };
        tasks.start(discovery::follow(
            Tcp,
            on_update,
            discovery_address,
            self.cached_revision,
            self.poll_schedule,
        ));
        tasks.start(reload_on_hangup(hangup, address_sender));
        tasks
    }
}

/// Returns the revision from which a watch can continue; `None` if the cached list is empty, because
/// discovery must then send the complete list.
fn resumable_revision(list: &EndpointUpdate) -> Option<u64> {
    (!list.endpoints.is_empty()).then_some(list.revision)
}
