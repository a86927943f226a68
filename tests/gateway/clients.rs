//! Client connections before a stand-in handler, which answers when the test says so.

use crate::support::*;
use marlshelf::gateway::clients::{
    ClientConnection, ClientConnections, ClientEvent, ClientEventHandler, ClientListener,
    ClientRequest, REQUEST_TIMEOUT, RequestSchema,
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

const TENANT: &str = "00000000b4d65521";
const VALID_FIELDS: &str = "c=read,t=p,d=900,units=1,spread=1,first=0";

/// A request as the handler received it.
struct Received {
    id: RequestId,
    request: ClientRequest,
    connection: Rc<ClientConnection>,
}

/// Records requests and disconnects.
#[derive(Default)]
struct StubHandler {
    last_id: Cell<RequestId>,
    is_overloaded: Cell<bool>,
    /// The answer to give while the event is handled.
    immediate_answer: Cell<Option<&'static [u8]>>,
    active_client_ids: RefCell<Vec<u64>>,
    received: RefCell<Vec<Received>>,
    disconnected: RefCell<Vec<RequestId>>,
}

impl ClientEventHandler for StubHandler {
    fn next_id(&self) -> RequestId {
        self.last_id.set(self.last_id.get() + 1);
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
    /// Answers the request that was received at this index.
    fn answer(&self, index: usize, response: &str) {
        let received = self.received.borrow();
        received[index]
            .connection
            .answer(received[index].id, response.as_bytes());
    }

    async fn wait_for_requests(&self, count: usize) {
        wait_until(|| self.received.borrow().len() >= count).await;
    }
}

/// A listener with its table of connections.
struct Server {
    address: SocketAddr,
    connections: Rc<ClientConnections>,
    handler: Rc<StubHandler>,
}

impl Server {
    async fn start() -> Server {
        let socket = TcpListener::bind(ANY_PORT).await.expect("a port");
        let address = socket.local_addr().expect("bound");
        let connections = ClientConnections::new(8, 1 << 20);
        let handler = Rc::new(StubHandler::default());
        let schema = RequestSchema::new(&settings());
        let listener = ClientListener::new(connections.clone(), handler.clone(), schema);
        spawn_local(async move { listener.accept(&socket).await });
        Server {
            address,
            connections,
            handler,
        }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.expect("connected")
    }

    /// A client that has received the response to a first command.
    async fn connect_and_ping(&self) -> TcpStream {
        let mut client = self.connect().await;
        assert_eq!(exchange(&mut client, PING).await, "+PONG");
        client
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

fn command(parts: &[&str]) -> Vec<u8> {
    let mut command = Vec::new();
    resp::put_number(&mut command, b'*', parts.len());
    for part in parts {
        resp::put_bulk(&mut command, part.as_bytes());
    }
    command
}

/// A valid request with this client-chosen id.
fn request(id: u64) -> Vec<u8> {
    command(&["Q.ASK", TENANT, &format!("{id:016x}"), VALID_FIELDS])
}

async fn wait_until(condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "the condition is never met"
        );
        yield_now().await;
    }
}

async fn send(client: &mut TcpStream, bytes: &[u8]) {
    client.write_all(bytes).await.expect("written");
}

/// Reads a line without its terminator.
async fn read_line(client: &mut TcpStream) -> String {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        let byte = timeout(TEST_TIMEOUT, client.read_u8())
            .await
            .expect("a response");
        line.push(byte.expect("the connection is open"));
    }
    line.truncate(line.len() - 2);
    String::from_utf8(line).expect("text")
}

async fn exchange(client: &mut TcpStream, bytes: &[u8]) -> String {
    send(client, bytes).await;
    read_line(client).await
}

// Closing and timeouts, against input that the runtime has not seen yet.

#[test]
fn command_that_arrived_before_its_connection_is_closed_is_answered() {
    run_local(async {
        let server = Server::start().await;
        let client = server.connect_and_ping().await;
        let mut client = write_unseen_by_runtime(client, PING);
        server.connections.close_soon();
        assert_eq!(read_to_end(&mut client).await, "+PONG\r\n");
    });
}

#[test]
fn partial_command_at_shutdown_is_completed_and_answered() {
    run_local(async {
        let server = Server::start().await;
        let client = server.connect_and_ping().await;
        let mut idle = server.connect_and_ping().await;
        let mut client = write_unseen_by_runtime(client, &PING[..9]);
        server.connections.close_soon();
        assert_eq!(
            read_to_end(&mut idle).await,
            "",
            "an idle connection is closed"
        );
        send(&mut client, &PING[9..]).await;
        assert_eq!(read_to_end(&mut client).await, "+PONG\r\n");
    });
}

#[test]
fn command_that_arrived_before_the_request_timeout_is_answered() {
    run_local(async {
        let server = Server::start().await;
        let client = server.connect().await;
        wait_until(|| !server.connections.is_empty()).await;
        let mut client = write_unseen_by_runtime(client, PING);
        server
            .connections
            .expire(Instant::now() + REQUEST_TIMEOUT * 2);
        server.connections.close_soon();
        assert_eq!(read_to_end(&mut client).await, "+PONG\r\n");
    });
}

#[test]
fn connection_without_a_whole_command_in_time_is_told_and_closed() {
    run_local(async {
        let server = Server::start().await;
        let mut silent = server.connect().await;
        let mut partial = server.connect_and_ping().await;
        send(&mut partial, &PING[..9]).await;
        let mut idle = server.connect_and_ping().await;
        // More than once: a part of a command that is not read yet has not begun to arrive.
        let connections = server.connections.clone();
        spawn_local(async move {
            loop {
                connections.expire(Instant::now() + REQUEST_TIMEOUT * 2);
                sleep(Duration::from_millis(5)).await;
            }
        });
        let expected = "-ERR protocol error: no whole command in time\r\n";
        assert_eq!(read_to_end(&mut silent).await, expected);
        assert_eq!(read_to_end(&mut partial).await, expected);
        assert_eq!(exchange(&mut idle, PING).await, "+PONG", "pauses are fine");
    });
}

#[test]
fn idle_connections_are_closed_after_two_seconds_while_the_table_is_over_half_full() {
    /// The gateway's idle timeout while more than half of the table of eight is in use.
    const SHORT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
    run_local(async {
        let server = Server::start().await;
        let before = Instant::now();
        let mut clients = Vec::new();
        for _ in 0..5 {
            clients.push(server.connect_and_ping().await);
        }
        server.connections.expire(before + SHORT_IDLE_TIMEOUT);
        for client in &mut clients {
            assert_eq!(exchange(client, PING).await, "+PONG", "its time is not up");
        }
        let after = Instant::now();
        server
            .connections
            .expire(after + SHORT_IDLE_TIMEOUT + Duration::from_millis(1));
        for client in &mut clients {
            assert_eq!(read_to_end(client).await, "", "its time is up");
        }
    });
}

#[test]
fn disconnect_that_the_runtime_has_not_seen_yet_is_known() {
    run_local(async {
        let server = Server::start().await;
        let client = server.connect_and_ping().await;
        let _other = server.connect_and_ping().await;
        assert_eq!(server.connections.disconnected_count(), 0);
        drop(client);
        // The runtime does not run here, so only the socket itself can know.
        let started = Instant::now();
        while server.connections.disconnected_count() == 0 {
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "only the runtime would see it"
            );
        }
    });
}

#[test]
fn protocol_error_is_reported_behind_earlier_responses_and_closes() {
    run_local(async {
        let server = Server::start().await;
        let mut client = server.connect().await;
        send(
            &mut client,
            &[&request(1)[..], b"GET / HTTP/1.1\r\n\r\n"].concat(),
        )
        .await;
        server.handler.wait_for_requests(1).await;
        server.handler.answer(0, "$2\r\nhi\r\n");
        assert_eq!(
            read_to_end(&mut client).await,
            "$2\r\nhi\r\n-ERR protocol error: an unexpected type\r\n"
        );
    });
}

// Requests and responses.

#[test]
fn responses_leave_in_the_order_of_their_requests() {
    run_local(async {
        let server = Server::start().await;
        let mut client = server.connect().await;
        let pipelined = [request(1), request(2), PING.to_vec(), request(3)].concat();
        send(&mut client, &pipelined).await;
        server.handler.wait_for_requests(3).await;
        for (index, answer) in [(2, "+third\r\n"), (1, "+second\r\n"), (0, "+first\r\n")] {
            server.handler.answer(index, answer);
        }
        for expected in ["+first", "+second", "+PONG", "+third"] {
            assert_eq!(read_line(&mut client).await, expected);
        }
    });
}

#[test]
fn answer_given_while_the_request_is_handled_is_written() {
    run_local(async {
        let server = Server::start().await;
        server.handler.immediate_answer.set(Some(b"+now\r\n"));
        let mut client = server.connect().await;
        assert_eq!(exchange(&mut client, &request(1)).await, "+now");
    });
}

#[test]
fn second_answer_to_a_request_is_ignored() {
    run_local(async {
        let server = Server::start().await;
        let mut client = server.connect().await;
        send(&mut client, &request(1)).await;
        server.handler.wait_for_requests(1).await;
        server.handler.answer(0, "+once\r\n");
        server.handler.answer(0, "+twice\r\n");
        assert_eq!(read_line(&mut client).await, "+once");
        assert_eq!(exchange(&mut client, PING).await, "+PONG");
    });
}

#[test]
fn connection_with_too_many_undelivered_response_bytes_is_closed() {
    run_local(async {
        let server = Server::start().await;
        let mut client = server.connect().await;
        send(&mut client, &[request(1), request(2)].concat()).await;
        server.handler.wait_for_requests(2).await;
        // It cannot be written before the first one is answered.
        server.handler.answer(1, &"x".repeat((1 << 20) + 1));
        wait_until(|| server.connections.is_empty()).await;
        let first = server.handler.received.borrow()[0].id;
        assert_eq!(*server.handler.disconnected.borrow(), [first]);
    });
}

#[test]
fn only_unanswered_requests_of_a_closed_connection_are_reported() {
    run_local(async {
        let server = Server::start().await;
        let mut client = server.connect().await;
        send(&mut client, &[request(1), request(2), request(3)].concat()).await;
        server.handler.wait_for_requests(3).await;
        server.handler.answer(1, "+second\r\n");
        drop(client);
        wait_until(|| server.connections.is_empty()).await;
        let received = server.handler.received.borrow();
        assert_eq!(
            *server.handler.disconnected.borrow(),
            [received[0].id, received[2].id]
        );
    });
}

#[test]
fn request_is_rejected_as_busy_when_the_handler_has_no_capacity() {
    run_local(async {
        let server = Server::start().await;
        server.handler.is_overloaded.set(true);
        let mut client = server.connect().await;
        assert_eq!(exchange(&mut client, &request(1)).await, "-BUSY");
        assert!(server.handler.received.borrow().is_empty());
    });
}

#[test]
fn request_with_an_active_id_is_rejected() {
    run_local(async {
        let server = Server::start().await;
        server.handler.active_client_ids.borrow_mut().push(7);
        let mut client = server.connect().await;
        assert_eq!(
            exchange(&mut client, &request(7)).await,
            "-ERR this id is open already"
        );
    });
}

#[test]
fn commands_other_than_requests_are_answered_by_the_connection() {
    run_local(async {
        let server = Server::start().await;
        let mut client = server.connect().await;
        let cases = [
            (command(&["ping"]), "+PONG\r\n"),
            (command(&["PING", "echo"]), "$4\r\necho\r\n"),
            (command(&["GET", "x"]), "-ERR unknown command\r\n"),
            (command(&["q.ask", "x"]), "-ERR unknown command\r\n"),
        ];
        for (sent, expected) in cases {
            send(&mut client, &sent).await;
            let mut response = vec![0; expected.len()];
            client.read_exact(&mut response).await.expect("answered");
            assert_eq!(String::from_utf8_lossy(&response), expected);
        }
    });
}

type InvalidRequest = (Vec<u8>, &'static str);

/// A request with these fields, of the command for idempotent classes or for all others.
fn request_with_fields(name: &str, fields: &str) -> Vec<u8> {
    command(&[name, TENANT, TENANT, fields])
}

fn requests_with_invalid_parts() -> Vec<InvalidRequest> {
    let ask = |tenant: &str, id: &str, fields: &str| command(&["Q.ASK", tenant, id, fields]);
    vec![
        (
            command(&["Q.ASK", TENANT, TENANT]),
            "wrong number of arguments",
        ),
        (
            command(&["Q.ASK", TENANT, TENANT, VALID_FIELDS, "body", "more"]),
            "wrong number of arguments",
        ),
        (ask("b4d65521", TENANT, VALID_FIELDS), "bad customer"),
        (
            ask("00000002b4d65521", TENANT, VALID_FIELDS),
            "bad customer",
        ),
        (
            ask("+0000000b4d65521", TENANT, VALID_FIELDS),
            "bad customer",
        ),
        (ask(TENANT, "short", VALID_FIELDS), "bad id"),
        (ask(TENANT, "zzzzzzzzzzzzzzzz", VALID_FIELDS), "bad id"),
    ]
}

fn requests_with_invalid_fields() -> Vec<InvalidRequest> {
    let fields = [
        ("", "bad fields"),
        ("c=read,nonsense", "bad fields"),
        ("c=none,t=p", "bad c"),
        ("c=read,t=none", "bad t"),
        ("d=0", "bad d"),
        ("d=-1", "bad d"),
        ("d=+1", "bad d"),
        ("d=", "bad d"),
        ("d=1.5", "bad d"),
        ("d=60001", "bad d"),
        ("units=0", "bad units"),
        ("units=NaN", "bad units"),
        ("units=4.5", "bad units"),
        ("first=2", "bad first"),
        ("spread=0", "bad spread"),
        ("spread=3", "bad spread"),
        ("k=", "bad k"),
        ("c=read,c=read", "a field stands twice"),
        ("d=9,d=9", "a field stands twice"),
        ("d=9,d=x", "bad d"),
        ("k=1,k=2", "a field stands twice"),
    ];
    fields
        .map(|(fields, error)| (request_with_fields("Q.ASK", fields), error))
        .to_vec()
}

fn requests_with_missing_fields() -> Vec<InvalidRequest> {
    let fields = [
        ("Q.ASK", "t=p,d=9,units=1,spread=1,first=0", "missing c"),
        ("Q.ASK", "c=read,d=9,units=1,spread=1,first=0", "missing t"),
        ("Q.ASK", "c=read,t=p,units=1,spread=1,first=0", "missing d"),
        ("Q.ASK", "c=read,t=p,d=9,spread=1,first=0", "missing units"),
        ("Q.ASK", "c=read,t=p,d=9,units=1,spread=1", "missing first"),
        ("Q.ASK", "c=read,t=p,d=9,units=1,first=0", "missing spread"),
        ("Q.ASK", "c=read", "missing d"),
        ("Q.ASK", "c=pay", "not the command of this class"),
        ("Q.DO", "c=read", "not the command of this class"),
        ("Q.DO", "c=order", "missing k"),
        ("Q.DO", "c=order,k=1", "missing d"),
    ];
    fields
        .map(|(name, fields, error)| (request_with_fields(name, fields), error))
        .to_vec()
}

#[test]
fn invalid_request_is_answered_with_its_error_and_stays_connected() {
    let cases = [
        requests_with_invalid_parts(),
        requests_with_invalid_fields(),
        requests_with_missing_fields(),
    ]
    .concat();
    run_local(async {
        let server = Server::start().await;
        let mut client = server.connect().await;
        for (sent, expected) in &cases {
            assert_eq!(
                exchange(&mut client, sent).await,
                format!("-ERR {expected}"),
                "{}",
                String::from_utf8_lossy(sent)
            );
        }
        assert_eq!(exchange(&mut client, PING).await, "+PONG");
        assert!(server.handler.received.borrow().is_empty());
    });
}

#[test]
fn valid_request_is_handled_with_its_fields() {
    run_local(async {
        let server = Server::start().await;
        let mut client = server.connect().await;
        let fields = "x=1,r=1,c=order,t=p,d=700,k=a,units=2.5,spread=2,first=1,r=0,r=1";
        send(
            &mut client,
            &command(&["Q.DO", TENANT, "9B1F03AA5c7e2d41", fields, "body"]),
        )
        .await;
        server.handler.wait_for_requests(1).await;
        let received = server.handler.received.borrow();
        let request = &received[0].request;
        assert_eq!(&*request.tenant, TENANT);
        assert_eq!(request.client_request_id, 0x9b1f_03aa_5c7e_2d41);
        assert_eq!((request.class, request.plan), (2, 0));
        assert_eq!((request.shard_start, request.shard_size), (1, 2));
        assert_eq!((request.cost, request.wait_ms), (2.5, 700.0));
        assert!(request.is_retry);
    });
}

#[test]
fn deadline_of_the_class_limits_how_long_a_client_waits() {
    run_local(async {
        let server = Server::start().await;
        let mut client = server.connect().await;
        send(&mut client, &request(1)).await;
        server.handler.wait_for_requests(1).await;
        assert_eq!(server.handler.received.borrow()[0].request.wait_ms, 800.0);
    });
}

#[test]
fn request_is_encoded_for_an_endpoint_with_only_its_deadline_changed() {
    let fields = |deadline| format!("c=order,t=p,d={deadline},k=a,units=1,spread=1,first=0");
    let encoded = |deadline| command(&["Q.DO", TENANT, TENANT, &fields(deadline), "body\r\n"]);
    run_local(async {
        let server = Server::start().await;
        let mut client = server.connect().await;
        let sent = encoded(9000);
        send(&mut client, &sent).await;
        server.handler.wait_for_requests(1).await;
        let received = server.handler.received.borrow();
        let request = &received[0].request;
        assert_eq!(request.command_len(), sent.len());
        for deadline in [1, 87, 9000, 12_345] {
            let mut out = Vec::new();
            request.encode_for_endpoint(deadline, &mut out);
            assert_eq!(out, encoded(deadline));
        }
    });
}
