//! Shared helpers for the tests of the gateway's components.

use marlshelf::gateway::clients::{ClientConnections, ClientListener, RequestSchema};
use marlshelf::gateway::configuration::Configuration;
use marlshelf::gateway::discovery::{EndpointUpdate, ListedEndpoint};
use marlshelf::gateway::event_loop::EventLoopHandle;
use marlshelf::gateway::resp;
use marlshelf::{EndpointState, SettingsDocument, Timestamp};
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Timeout for operations that must complete. Reaching it means that the test has failed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
pub const ANY_PORT: &str = "127.0.0.1:0";
pub const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// Returns the configuration of a fleet with a single gateway.
pub fn test_configuration(address: SocketAddr) -> Configuration {
    configuration_of_fleet(1, address)
}

/// Returns the configuration of gateway 0 in a fleet of two, which share quotas.
pub fn configuration_with_peer(address: SocketAddr) -> Configuration {
    configuration_of_fleet(2, address)
}

fn configuration_of_fleet(gateways: u32, address: SocketAddr) -> Configuration {
    let document: SettingsDocument = serde_json::from_value(serde_json::json!({
        "Balancers": gateways,
        "Bounds": {"ConnectTimeout": 5000.0, "Peers": gateways > 1},
        "Classes": [
            {"Name": "pay", "Target": 8000.0, "Effect": "once", "Worth": 1.0},
            {"Name": "order", "Target": 8000.0, "Effect": "by_key", "Window": 60_000.0, "Worth": 1.0},
            {"Name": "brief", "Target": 8000.0, "Effect": "by_key", "Window": 900.0, "Worth": 1.0},
        ],
        "Plans": [{"Name": "p", "UnitsPerS": 10.0, "PeakUnits": 10.0, "ValueFactor": 1.0}],
    }))
    .expect("valid settings");
    Configuration {
        name: String::new(),
        listen_address: address,
        discovery_address: address,
        seed: 1,
        max_descriptors: 64,
        max_memory_bytes: 32 << 20,
        gossip_address: None,
        peer_addresses: Vec::new(),
        cached_endpoints: None,
        settings: document.settings(),
        document,
    }
}

/// Runs a test on a single-threaded runtime, inside a `LocalSet` for `spawn_local`.
pub fn run_local(test: impl Future<Output = ()>) {
    run(test, false);
}

/// Runs a test like [`run_local`], on a paused clock, which advances automatically while all tasks are waiting.
pub fn run_in_virtual_time(test: impl Future<Output = ()>) {
    run(test, true);
}

fn run(test: impl Future<Output = ()>, clock_is_paused: bool) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(clock_is_paused)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Writes to a socket without yielding to the runtime, which therefore does not know of the bytes yet when
/// the function returns.
pub fn write_unseen_by_runtime(client: TcpStream, bytes: &[u8]) -> TcpStream {
    let mut client = client.into_std().expect("a socket");
    client.write_all(bytes).expect("written");
    TcpStream::from_std(client).expect("a socket")
}

/// Reads until the peer closes the connection. Panics if the connection is reset.
pub async fn read_to_end(client: &mut TcpStream) -> String {
    let mut text = String::new();
    timeout(TEST_TIMEOUT, client.read_to_string(&mut text))
        .await
        .expect("closed in time")
        .expect("closed without a reset");
    text
}

pub fn ready_endpoint(name: &str, address: SocketAddr) -> ListedEndpoint {
    ListedEndpoint {
        name: name.into(),
        address,
        zone: String::new(),
        hardware: String::new(),
        cell: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: Timestamp::ZERO,
    }
}

pub fn list_snapshot(gateway: &EventLoopHandle, endpoints: Vec<ListedEndpoint>) {
    gateway.borrow_mut().endpoints_changed(&EndpointUpdate {
        revision: 1,
        snapshot: true,
        endpoints,
    });
}

pub async fn bind_any() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(ANY_PORT).await.expect("a free port");
    let address = listener.local_addr().expect("a local address");
    (listener, address)
}

/// Connects a client that sends a command. Returns the connection table and the client.
pub async fn client_with_command(
    gateway: &EventLoopHandle,
    command: Vec<u8>,
) -> (Rc<ClientConnections>, TcpStream) {
    let configuration = test_configuration(SocketAddr::from(([127, 0, 0, 1], 0)));
    client_with_configuration(gateway, &configuration, command).await
}

/// Connects a client of a gateway with this configuration, as [`client_with_command`] does.
pub async fn client_with_configuration(
    gateway: &EventLoopHandle,
    configuration: &Configuration,
    command: Vec<u8>,
) -> (Rc<ClientConnections>, TcpStream) {
    let (socket, address) = bind_any().await;
    let clients = ClientConnections::new(8, 1 << 20);
    let schema = RequestSchema::new(&configuration.document);
    let listener = ClientListener::new(clients.clone(), gateway.clone(), schema);
    tokio::task::spawn_local(async move { listener.accept(&socket).await });
    let mut client = TcpStream::connect(address).await.expect("a connection");
    client
        .write_all(&command)
        .await
        .expect("the bytes are written");
    (clients, client)
}

pub fn request_command(class: &str, id: &str, body_length: usize) -> Vec<u8> {
    request_command_with_deadline(class, id, body_length, 8000)
}

/// Returns a command of a tenant whose quota belongs to gateway 1.
pub fn request_command_owned_by_peer(class: &str, id: &str) -> Vec<u8> {
    request_command_with_fields(
        id,
        4,
        &format!("c={class},t=p,d=8000,k=1,units=1,spread=1,first=1"),
    )
}

pub fn request_command_with_deadline(
    class: &str,
    id: &str,
    body_length: usize,
    deadline_ms: u64,
) -> Vec<u8> {
    let fields = format!("c={class},t=p,d={deadline_ms},k=1,units=1,spread=1,first=0");
    request_command_with_fields(id, body_length, &fields)
}

fn request_command_with_fields(id: &str, body_length: usize, fields: &str) -> Vec<u8> {
    let mut command = b"*5\r\n".to_vec();
    for part in ["Q.DO", "00000000b4d65521", id, fields] {
        resp::put_bulk(&mut command, part.as_bytes());
    }
    resp::put_bulk(&mut command, &vec![b'x'; body_length]);
    command
}

/// Accepts a connection opened by the gateway.
pub async fn accept(listener: &TcpListener, expected: &str) -> TcpStream {
    let (stream, _) = timeout(TEST_TIMEOUT, listener.accept())
        .await
        .expect(expected)
        .expect("a connection");
    stream
}

pub async fn read_command(stream: &mut TcpStream) -> Vec<u8> {
    let mut received = Vec::new();
    while resp::parse_command(&received)
        .expect("well-formed")
        .is_none()
    {
        timeout(TEST_TIMEOUT, stream.read_buf(&mut received))
            .await
            .expect("a command in time")
            .expect("an open connection");
    }
    received
}
