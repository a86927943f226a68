//! Startup: binds the addresses, builds the parts of the gateway, starts their tasks, and waits for the first
//! endpoint list.

use crate::gateway::background_tasks::BackgroundTasks;
use crate::gateway::bind::{BindError, SocketPurpose, bind_with_retry};
use crate::gateway::clients::{ClientConnections, ClientListener, RequestSchema};
use crate::gateway::configuration::Configuration;
use crate::gateway::discovery::{self, EndpointUpdate, PollSchedule, Tcp};
use crate::gateway::event_loop::{EventLoop, EventLoopHandle, run_timers};
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

/// How long a gateway without a cached endpoint list waits for discovery before it serves all the same: it must be
/// ready, also while discovery cannot be reached.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Separates the random numbers of discovery from those of the decision engine, which has the seed itself.
const DISCOVERY_SEED_MASK: u64 = 0x9e37_79b9_7f4a_7c15;
/// The percentages of the file descriptors that clients and endpoints may take. The rest is for the listener,
/// discovery, gossip, and connections that are about to be closed. Clients hold a third at most for requests, and
/// a client at its own limit cannot open a connection before an idle one of its connections is closed, so the
/// gateway evicts idle connections from there on.
const CLIENT_DESCRIPTOR_PERCENT: usize = 33;
const ENDPOINT_DESCRIPTOR_PERCENT: usize = 45;

/// The sockets that the gateway listens on.
pub(super) struct BoundSockets {
    gossip: Option<UdpSocket>,
    listener: TcpListener,
    /// The address of the listener, with the port that the operating system chose where the configuration
    /// leaves it open.
    listen_address: SocketAddr,
}

/// Binds the addresses of the configuration, and waits for those that are in use.
pub(super) async fn bind_sockets(configuration: &Configuration) -> Result<BoundSockets, BindError> {
    let gossip = match configuration.gossip_address {
        Some(address) => {
            Some(bind_with_retry(SocketPurpose::Gossip, address, UdpSocket::bind).await?)
        }
        None => None,
    };
    // The listener is last: a client that connected could not be answered while the gateway waits for the other
    // address.
    let address = configuration.listen_address;
    let listener = bind_with_retry(SocketPurpose::Clients, address, TcpListener::bind).await?;
    let listen_address = listener.local_addr().unwrap_or(address);
    Ok(BoundSockets {
        gossip,
        listener,
        listen_address,
    })
}

/// A gateway whose background tasks run.
pub(super) struct RunningGateway {
    pub(super) name: String,
    pub(super) listen_address: SocketAddr,
    pub(super) listener: TcpListener,
    /// How long the platform waits between SIGTERM and SIGKILL.
    pub(super) termination_grace: Duration,
    pub(super) event_loop: EventLoopHandle,
    pub(super) clients: Rc<ClientConnections>,
    pub(super) client_listener: ClientListener,
    /// Whether the gateway answers other gateways.
    pub(super) has_peers: bool,
    pub(super) background_tasks: BackgroundTasks,
    /// Notified of the first list of discovery; absent if a cached list makes it unnecessary to wait for it.
    first_list: Option<Rc<Notify>>,
}

impl RunningGateway {
    /// Builds the parts of the gateway and starts the background tasks.
    pub(super) fn start(
        configuration: Configuration,
        sockets: BoundSockets,
        hangup: Signal,
    ) -> Result<RunningGateway, StartupError> {
        let parts = GatewayParts::build(configuration, sockets.gossip)?;
        let awaits_first_list = parts.cached_revision.is_none();
        let running = RunningGateway {
            name: parts.name.clone(),
            listen_address: sockets.listen_address,
            listener: sockets.listener,
            termination_grace: parts.termination_grace,
            event_loop: parts.event_loop.clone(),
            clients: parts.clients.clone(),
            client_listener: ClientListener::new(
                parts.clients.clone(),
                parts.event_loop.clone(),
                parts.request_schema.clone(),
            ),
            has_peers: parts.gossip.is_some(),
            first_list: awaits_first_list.then(|| parts.first_list.clone()),
            background_tasks: parts.start_tasks(hangup),
        };
        Ok(running)
    }

    /// Waits until there is an endpoint list, so that no client is accepted before the gateway has an endpoint to
    /// forward to, but not longer than [`FIRST_LIST_TIMEOUT`].
    pub(super) async fn wait_for_first_list(&self) {
        if let Some(first_list) = &self.first_list {
            let _ = timeout(FIRST_LIST_TIMEOUT, first_list.notified()).await;
        }
    }

    /// Accepts clients until the future is dropped.
    pub(super) async fn accept_clients(&self) {
        self.client_listener.accept(&self.listener).await;
    }
}

/// The parts of a gateway before their tasks start.
struct GatewayParts {
    name: String,
    gateway_id: GatewayId,
    termination_grace: Duration,
    discovery_address: SocketAddr,
    event_loop: EventLoopHandle,
    clients: Rc<ClientConnections>,
    request_schema: RequestSchema,
    gossip: Option<GossipSocket>,
    poll_schedule: PollSchedule,
    /// The revision of the cached endpoint list, if there is one to build on.
    cached_revision: Option<u64>,
    first_list: Rc<Notify>,
}

impl GatewayParts {
    fn build(
        mut configuration: Configuration,
        gossip_socket: Option<UdpSocket>,
    ) -> Result<GatewayParts, SettingsError> {
        let name = std::mem::take(&mut configuration.name);
        let gateway_id = configuration.settings.gateway;
        let termination_grace = configuration.document.termination_grace();
        let discovery_address = configuration.discovery_address;
        let peer_addresses = std::mem::take(&mut configuration.peer_addresses);
        let gossip = gossip_socket.map(|socket| GossipSocket::new(socket, peer_addresses));
        let cached_list = configuration.known_endpoints.take();
        let max_clients = configuration.max_descriptors * CLIENT_DESCRIPTOR_PERCENT / 100;
        let clients = ClientConnections::new(max_clients, configuration.memory_per_purpose());
        let request_schema = RequestSchema::new(&configuration.document);
        let discovery_seed = configuration.seed ^ DISCOVERY_SEED_MASK;
        let poll_schedule = PollSchedule::new(&configuration.document, discovery_seed);
        let max_endpoint_connections =
            configuration.max_descriptors * ENDPOINT_DESCRIPTOR_PERCENT / 100;
        let event_loop = EventLoop::new(configuration, gossip.clone(), max_endpoint_connections)?;
        let cached_revision = cached_list.as_ref().and_then(revision_to_build_on);
        if let Some(list) = cached_list {
            event_loop.borrow_mut().endpoints_changed(&list);
        }
        Ok(GatewayParts {
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
        })
    }

    /// Starts the background tasks in the order in which they run first.
    fn start_tasks(self, hangup: Signal) -> BackgroundTasks {
        let mut tasks = BackgroundTasks::default();
        if let Some(gossip) = self.gossip {
            tasks.start(gossip.listen(self.event_loop.clone(), self.gateway_id));
        }
        tasks.start(run_timers(self.event_loop.clone()));
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

/// The revision of a cached list; `None` if it holds no endpoints, because then it is none to build on.
fn revision_to_build_on(list: &EndpointUpdate) -> Option<u64> {
    (!list.endpoints.is_empty()).then_some(list.revision)
}
