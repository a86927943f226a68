//! Fixture for client connections: a listener with a stub handler that answers requests on demand.

use crate::support::{ANY_PORT, PING, TEST_TIMEOUT};
use marlshelf::gateway::clients::{
    ClientConnection, ClientConnections, ClientEvent, ClientEventHandler, ClientListener,
    ClientRequest, RequestSchema,
};
use marlshelf::gateway::resp;
use marlshelf::{RequestId, SettingsDocument};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout};

/// A valid tenant key, also usable as a request id.
pub const TENANT: &str = "00000000b4d65521";
pub const VALID_FIELDS: &str = "c=read,t=p,d=900,units=1,spread=1,first=0";

pub struct Received {
    pub id: RequestId,
    pub request: ClientRequest,
    pub connection: Rc<ClientConnection>,
}

/// Records received requests and disconnects.
#[derive(Default)]
pub struct StubHandler {
    last_id: Cell<RequestId>,
    pub is_overloaded: Cell<bool>,
    /// Response that the handler gives to each request during the event call, if set.
    pub immediate_answer: Cell<Option<&'static [u8]>>,
    pub active_client_ids: RefCell<Vec<u64>>,
    pub received: RefCell<Vec<Received>>,
    pub disconnected: RefCell<Vec<RequestId>>,
}

impl ClientEventHandler for StubHandler {
    fn next_id(&self) -> RequestId {
        self.last_id.set(RequestId(self.last_id.get().0 + 1));
        self.last_id.get()
    }

    fn is_active(&self, client_request_id: u64) -> bool {
        self.active_client_ids.borrow().contains(&client_request_id)
    }

    fn has_capacity_for(&self, _bytes: usize) -> bool {
        !self.is_overloaded.get()
    }

    fn handle_client_event(&self, event: ClientEvent) {
        match event {
            ClientEvent::RequestReceived {
                request: id,
                command: request,
                connection,
            } => {
                if let Some(answer) = self.immediate_answer.get() {
                    connection.answer(id, answer);
                }
                self.received.borrow_mut().push(Received {
                    id,
                    request,
                    connection,
                });
            }
            ClientEvent::Disconnected { request } => self.disconnected.borrow_mut().push(request),
        }
    }
}

impl StubHandler {
    /// Answers the request with this index in the order of receipt.
    pub fn answer(&self, index: usize, response: &str) {
        let received = self.received.borrow();
        received[index]
            .connection
            .answer(received[index].id, response.as_bytes());
    }

    pub async fn wait_for_requests(&self, count: usize) {
        wait_until(|| self.received.borrow().len() >= count).await;
    }
}

/// Size of the connection table of a [`ListenerFixture`].
pub const MAX_CONNECTIONS: usize = 8;

/// A client listener with its connection table and handler.
pub struct ListenerFixture {
    address: SocketAddr,
    pub connections: Rc<ClientConnections>,
    pub handler: Rc<StubHandler>,
}

impl ListenerFixture {
    /// Starts a listener with a memory of 1 MiB for responses.
    pub async fn start() -> ListenerFixture {
        ListenerFixture::with_memory(1 << 20).await
    }

    /// Starts a listener with this limit on the memory for responses, in bytes.
    pub async fn with_memory(memory: usize) -> ListenerFixture {
        let socket = TcpListener::bind(ANY_PORT).await.expect("a free port");
        let address = socket.local_addr().expect("a local address");
        let connections = ClientConnections::new(MAX_CONNECTIONS, memory);
        let handler = Rc::new(StubHandler::default());
        let schema = RequestSchema::new(&settings());
        let listener = ClientListener::new(connections.clone(), handler.clone(), schema);
        spawn_local(async move { listener.accept(&socket).await });
        ListenerFixture {
            address,
            connections,
            handler,
        }
    }

    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address)
            .await
            .expect("a connection")
    }

    /// Opens a connection and completes a PING on it.
    pub async fn connect_and_ping(&self) -> TcpStream {
        let mut client = self.connect().await;
        assert_eq!(exchange(&mut client, PING).await, "+PONG");
        client
    }

    /// Checks the timeouts again and again, as if this much time had passed since now. A single check is not
    /// enough, because the timeout of a partial command starts when the gateway reads its first byte.
    pub fn expire_repeatedly_after(&self, elapsed: Duration) {
        let connections = self.connections.clone();
        spawn_local(async move {
            loop {
                connections.expire(Instant::now() + elapsed);
                sleep(Duration::from_millis(5)).await;
            }
        });
    }

    /// Lets the tasks of all connections run until they wait for something.
    pub async fn settle(&self) {
        let mut other = self.connect().await;
        for _ in 0..50 {
            assert_eq!(exchange(&mut other, PING).await, "+PONG");
        }
    }
}

fn settings() -> SettingsDocument {
    serde_json::from_value(serde_json::json!({
        "Balancers": 2,
        "Classes": [
            {"Name": "read", "Target": 500.0, "Effect": "repeatable", "Worth": 1.0, "Deadline": 800.0},
            {"Name": "pay", "Target": 500.0, "Effect": "once", "Worth": 1.0},
            {"Name": "order", "Target": 500.0, "Effect": "by_key", "Window": 900.0, "Worth": 1.0},
        ],
        "Plans": [{"Name": "p", "UnitsPerS": 10.0, "PeakUnits": 10.0, "ValueFactor": 1.0}],
        "Domain": {"Largest": 4.0},
    }))
    .expect("valid settings")
}

/// Encodes a command in the client protocol.
pub fn command(parts: &[&str]) -> Vec<u8> {
    let mut command = Vec::new();
    resp::put_number(&mut command, b'*', parts.len());
    for part in parts {
        resp::put_bulk(&mut command, part.as_bytes());
    }
    command
}

/// Encodes a valid request with this client-chosen id.
pub fn request(id: u64) -> Vec<u8> {
    command(&["Q.ASK", TENANT, &format!("{id:016x}"), VALID_FIELDS])
}

/// Yields to other tasks until the condition holds.
pub async fn wait_until(condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "the condition was not met in time"
        );
        yield_now().await;
    }
}

pub async fn send(client: &mut TcpStream, bytes: &[u8]) {
    client
        .write_all(bytes)
        .await
        .expect("the bytes are written");
}

/// Reads a line and removes its terminator.
pub async fn read_line(client: &mut TcpStream) -> String {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        let byte = timeout(TEST_TIMEOUT, client.read_u8())
            .await
            .expect("a response in time");
        line.push(byte.expect("an open connection"));
    }
    line.truncate(line.len() - 2);
    String::from_utf8(line).expect("valid UTF-8")
}

/// Sends a command and reads one line of the response.
pub async fn exchange(client: &mut TcpStream, bytes: &[u8]) -> String {
    send(client, bytes).await;
    read_line(client).await
}
