//! Partition of the file descriptor limit: clients that use up their share do not take descriptors from
//! discovery and endpoints.

use crate::support::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Shares of the descriptor limit that the gateway assigns to clients and endpoints, in percent. The README
/// documents them.
const CLIENT_PERCENT: usize = 33;
const ENDPOINT_PERCENT: usize = 45;
/// Share of the descriptor limit, in percent, that must always stay free.
const SPARE_PERCENT: usize = 10;

#[track_caller]
fn wait_until_descriptors_reach(gateway: &GatewayProcess, count: usize) {
    wait_until("the descriptors of the clients' share are in use", || {
        gateway.open_descriptors() >= count
    });
}

#[track_caller]
fn expect_descriptors_never_ran_out(gateway: &GatewayProcess) {
    assert!(
        !gateway.has_logged("cannot accept"),
        "expected no accept to fail for lack of descriptors, log {:?}",
        gateway.log()
    );
}

/// Sends a request, and repeats it on new connections until it is forwarded, because the gateway may close a
/// client's connection before it has read the request. The first connection is the idle client's, if given.
fn send_until_forwarded(
    gateway: &GatewayProcess,
    idle_client: Option<Connection>,
    endpoint: &StandInEndpoint,
) -> InFlightRequest {
    let started = Instant::now();
    let mut idle_client = idle_client;
    loop {
        let mut client = idle_client.take().unwrap_or_else(|| gateway.connect());
        // If the connection is already closed, the loop below detects it.
        client.try_send(read_request(8000));
        let stream = client.stream.get_ref();
        while !is_closed_now(&mut stream.try_clone().expect("the socket can be cloned")) {
            if let Some(mut forwarded) = endpoint.connection_within(Duration::from_millis(1)) {
                stream
                    .set_nonblocking(false)
                    .expect("the socket can be made blocking");
                forwarded.read_command();
                return InFlightRequest { client, forwarded };
            }
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "expected the request of an accepted client to be forwarded"
            );
        }
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "expected the gateway to accept a client and read its request"
        );
    }
}

/// Behaviour of the discovery service during an outage.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Outage {
    /// Refuses connections.
    Refusing,
    /// Accepts connections and never responds.
    Hanging,
}

/// Sends the same event on every watch, because the gateway may have abandoned watches that it opened during
/// the outage.
struct WatchNotifier {
    stopping: Arc<AtomicBool>,
    notified: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl WatchNotifier {
    fn start(discovery: StandInDiscovery, event: String) -> WatchNotifier {
        let stopping = Arc::new(AtomicBool::new(false));
        let notified = Arc::new(AtomicBool::new(false));
        let (stop, has_notified) = (stopping.clone(), notified.clone());
        let thread = thread::spawn(move || {
            let mut open_watches = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                let watch = discovery.watches.recv_timeout(Duration::from_millis(10));
                if let Ok(mut watch) = watch {
                    let _ = watch.try_send(&event);
                    has_notified.store(true, Ordering::Relaxed);
                    open_watches.push(watch);
                }
            }
        });
        WatchNotifier {
            stopping,
            notified,
            thread,
        }
    }

    fn wait_until_notified(&self) {
        wait_until("the gateway opens a watch", || {
            self.notified.load(Ordering::Relaxed)
        });
    }

    fn stop(self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.thread
            .join()
            .expect("the watches are notified without a panic");
    }
}

/// Ends the outage. Discovery then reports that endpoint `s-1` is removed and that `s-2`, the new endpoint,
/// is ready.
fn end_outage(port: ReservedPort, outage: Outage, new_endpoint: &StandInEndpoint) -> WatchNotifier {
    if outage == Outage::Refusing {
        port.listen();
    }
    let discovery = StandInDiscovery::with_listener(port.into_listener(), complete_list(42, &[]));
    let change = list_change(
        43,
        &[
            removed_endpoint_without_description("s-1"),
            ready_endpoint("s-2", new_endpoint.address),
        ],
    );
    WatchNotifier::start(discovery, change)
}

/// Connects as many idle clients as there are descriptors during a discovery outage. Checks that requests are
/// still forwarded, and that the gateway opens its watch and connects to a new endpoint after the outage.
fn check_watch_and_endpoints_at_the_limit(
    kinds: &[IdleClientKind],
    socket_limit: u32,
    outage: Outage,
) {
    let known_endpoint = StandInEndpoint::start();
    let new_endpoint = StandInEndpoint::start();
    let port = ReservedPort::bind();
    if outage == Outage::Hanging {
        port.listen();
    }
    let gateway = GatewayConfig {
        cached_list: complete_list(41, &[ready_endpoint("s-1", known_endpoint.address)]),
        socket_limit,
        shell_prefix: format!("ulimit -n {socket_limit}; exec"),
        ..GatewayConfig::new(port.address)
    }
    .start();
    let client_share = socket_limit as usize * CLIENT_PERCENT / 100;
    // Without a limit on the clients' share, these clients would use all descriptors.
    let _idle_clients = IdleClients::connect(gateway.address, kinds, socket_limit as usize);
    wait_until_descriptors_reach(&gateway, client_share);

    let mut known = send_until_forwarded(&gateway, None, &known_endpoint);
    known.complete("known");

    let notifier = end_outage(port, outage, &new_endpoint);
    notifier.wait_until_notified();
    known
        .forwarded
        .expect_close("it is idle and its endpoint was removed");
    for (idle_client, value) in [
        (None, "a new client"),
        (Some(known.client), "an idle client"),
    ] {
        // The endpoint side of the connection is dropped each time, so each request needs a new connection.
        send_until_forwarded(&gateway, idle_client, &new_endpoint).complete(value);
    }
    wait_until_descriptors_reach(&gateway, client_share);
    expect_descriptors_never_ran_out(&gateway);
    notifier.stop();
}

#[test]
fn watch_and_endpoints_get_descriptors_when_silent_clients_reach_the_limit() {
    let kinds = [IdleClientKind::Silent];
    check_watch_and_endpoints_at_the_limit(&kinds, 256, Outage::Refusing);
    check_watch_and_endpoints_at_the_limit(&kinds, 256, Outage::Hanging);
}

#[test]
fn watch_and_endpoints_get_descriptors_when_clients_with_partial_commands_reach_the_limit() {
    let kinds = [IdleClientKind::PartialCommand];
    check_watch_and_endpoints_at_the_limit(&kinds, 256, Outage::Refusing);
    check_watch_and_endpoints_at_the_limit(&kinds, 256, Outage::Hanging);
}

#[test]
fn watch_and_endpoints_get_descriptors_when_clients_between_commands_reach_the_limit() {
    let kinds = [IdleClientKind::BetweenCommands];
    check_watch_and_endpoints_at_the_limit(&kinds, 256, Outage::Refusing);
    check_watch_and_endpoints_at_the_limit(&kinds, 256, Outage::Hanging);
}

#[test]
fn watch_and_endpoints_get_descriptors_when_idle_clients_of_every_kind_reach_the_limit() {
    check_watch_and_endpoints_at_the_limit(&IdleClientKind::ALL, 256, Outage::Refusing);
    check_watch_and_endpoints_at_the_limit(&IdleClientKind::ALL, 1024, Outage::Hanging);
}

const SOCKET_LIMIT: u32 = 256;
const DESCRIPTORS: usize = SOCKET_LIMIT as usize;
const CLIENT_SHARE: usize = DESCRIPTORS * CLIENT_PERCENT / 100;
const ENDPOINT_SHARE: usize = DESCRIPTORS * ENDPOINT_PERCENT / 100;

/// A gateway with a gossip socket whose clients and endpoints use up their shares of the descriptors.
struct FullGateway {
    gateway: GatewayProcess,
    config: GatewayConfig,
    discovery: StandInDiscovery,
    watch: Watch,
    /// Clients that have sent two requests each.
    clients: Vec<Connection>,
    /// The client that fills the connection table. It has sent one request.
    last_client: Connection,
    forwarded: Vec<Connection>,
    _endpoints: Vec<StandInEndpoint>,
}

impl FullGateway {
    fn start() -> FullGateway {
        let endpoints: Vec<StandInEndpoint> = (0..60).map(|_| StandInEndpoint::start()).collect();
        let listed: Vec<String> = endpoints
            .iter()
            .enumerate()
            .map(|(index, endpoint)| ready_endpoint(&format!("s-{index}"), endpoint.address))
            .collect();
        let discovery = StandInDiscovery::with_list(complete_list(1, &listed));
        let config = GatewayConfig {
            socket_limit: SOCKET_LIMIT,
            shell_prefix: format!("ulimit -n {SOCKET_LIMIT}; exec"),
            limits: GOSSIP_LIMITS,
            gossip_listen: ANY_PORT.into(),
            ..GatewayConfig::new(discovery.address)
        };
        let gateway = config.start();
        let watch = discovery.next_watch();
        let mut clients: Vec<Connection> = (1..CLIENT_SHARE).map(|_| gateway.connect()).collect();
        for client in &mut clients {
            client.send([read_request(9000), read_request(9000)].concat());
        }
        let forwarded = wait_until_endpoint_share_is_used(&endpoints);
        // The gateway would evict the client that fills the table if its request had not arrived when the
        // gateway accepts it.
        gateway.signal(Signal::Stop);
        let mut last_client = gateway.connect();
        last_client.send(read_request(9000));
        gateway.signal(Signal::Continue);
        wait_until_descriptors_reach(&gateway, CLIENT_SHARE + ENDPOINT_SHARE);
        FullGateway {
            gateway,
            config,
            discovery,
            watch,
            clients,
            last_client,
            forwarded,
            _endpoints: endpoints,
        }
    }

    /// Expects that the gateway can reopen its watch and reload its configuration while the connection table
    /// is full and no client can be evicted, and that it keeps a margin of free descriptors.
    fn expect_descriptors_for_watch_and_reload(&mut self) {
        self.watch.send_malformed();
        let _watch = self.discovery.next_watch();
        self.gateway.reload(&self.config.json());
        self.gateway.wait_for_log(LOG_CONFIGURATION_RELOADED);
        let _watch = self.discovery.next_watch();
        let open = self.gateway.open_descriptors();
        assert!(
            open >= CLIENT_SHARE + ENDPOINT_SHARE
                && open + DESCRIPTORS * SPARE_PERCENT / 100 <= DESCRIPTORS,
            "expected used-up shares and a margin of {SPARE_PERCENT} %, \
             got {open} of {SOCKET_LIMIT} descriptors in use"
        );
    }

    /// Answers every forwarded request, and expects that its client receives the value and that all other
    /// requests are rejected.
    fn expect_forwarded_requests_answered(&mut self) {
        assert_eq!(
            self.forwarded.len(),
            ENDPOINT_SHARE,
            "expected as many forwarded requests as descriptors in the endpoints' share"
        );
        for connection in &mut self.forwarded {
            connection.answer_request("served");
        }
        let mut served = 0;
        for client in &mut self.clients {
            for _ in 0..2 {
                match client.read_reply().as_str() {
                    "served" => served += 1,
                    rejection => assert!(
                        rejection.starts_with("-BUSY"),
                        "expected a value or a rejection, got {rejection:?}"
                    ),
                }
            }
        }
        assert_eq!(
            served, ENDPOINT_SHARE,
            "expected an answer for every forwarded request"
        );
        self.last_client.expect_reply_prefix("-BUSY");
    }
}

/// Accepts connections from the gateway until they use up the endpoints' share of the descriptors.
fn wait_until_endpoint_share_is_used(endpoints: &[StandInEndpoint]) -> Vec<Connection> {
    let mut forwarded = Vec::new();
    wait_until("the endpoints' share is used up", || {
        let accepted = endpoints
            .iter()
            .flat_map(StandInEndpoint::accepted_connections);
        forwarded.extend(accepted);
        forwarded.len() >= ENDPOINT_SHARE
    });
    forwarded
}

#[test]
fn free_margin_remains_and_forwarded_requests_are_answered_when_all_shares_are_used_up() {
    let mut full = FullGateway::start();
    let _idle_clients =
        IdleClients::connect(full.gateway.address, &IdleClientKind::ALL, CLIENT_SHARE);
    full.expect_descriptors_for_watch_and_reload();
    full.expect_forwarded_requests_answered();
    expect_descriptors_never_ran_out(&full.gateway);
}
