//! Tests of the event loop between clients and endpoints that force a specific order of events.

use crate::support::*;
use marlshelf::gateway::clients::ClientConnections;
use marlshelf::gateway::discovery::{EndpointUpdate, ListedEndpoint};
use marlshelf::gateway::event_loop::{Connector, EventLoop, EventLoopHandle, run_timers};
use marlshelf::gateway::resp;
use marlshelf::{EndpointState, Timestamp};
use socket2::SockRef;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until, timeout};

/// Size of a socket buffer that accepts only the beginning of a long command.
const SMALL_SOCKET_BUFFER: usize = 4096;

fn in_state(endpoint: &ListedEndpoint, state: EndpointState) -> ListedEndpoint {
    ListedEndpoint {
        state,
        ..endpoint.clone()
    }
}

fn list_change(gateway: &EventLoopHandle, revision: u64, endpoint: ListedEndpoint) {
    gateway.borrow_mut().endpoints_changed(&EndpointUpdate {
        revision,
        snapshot: false,
        endpoints: vec![endpoint],
    });
}

/// Creates a gateway with one listed endpoint and an idle connection to it with small socket buffers. Returns
/// the gateway and the endpoint's side of that connection.
async fn gateway_with_slow_connection(listener: &TcpListener) -> (EventLoopHandle, TcpStream) {
    SockRef::from(listener)
        .set_recv_buffer_size(SMALL_SOCKET_BUFFER)
        .expect("the buffer size is set");
    let address = listener.local_addr().expect("a local address");
    let gateway = EventLoop::new(test_configuration(address), None, 8).expect("valid settings");
    list_snapshot(&gateway, vec![ready_endpoint("s-1", address)]);
    let stream = TcpStream::connect(address).await.expect("a connection");
    SockRef::from(&stream)
        .set_send_buffer_size(SMALL_SOCKET_BUFFER)
        .expect("the buffer size is set");
    let (endpoint_side, _) = listener.accept().await.expect("a connection");
    gateway.borrow_mut().adopt_connection("s-1", stream);
    (gateway, endpoint_side)
}

/// Connects a client that sends a request of this class with a body of this length. Returns the connection
/// table and the client.
async fn client_with_request(
    gateway: &EventLoopHandle,
    class: &str,
    body_length: usize,
) -> (Rc<ClientConnections>, TcpStream) {
    client_with_command(
        gateway,
        request_command(class, "9b1f03aa5c7e2d41", body_length),
    )
    .await
}

/// Waits until a connection has unread bytes, without reading them.
async fn wait_for_bytes(stream: &TcpStream, expected: &str) {
    timeout(TEST_TIMEOUT, stream.peek(&mut [0]))
        .await
        .expect(expected)
        .expect(expected);
}

async fn wait_for_client_closed(clients: &ClientConnections) {
    timeout(TEST_TIMEOUT, clients.connection_closed())
        .await
        .expect("the gateway detects the disconnect");
}

/// Half-closes a client connection without yielding to the runtime, and waits until a query of the gateway's
/// socket detects it.
fn disconnect_unseen_by_runtime(client: &TcpStream, clients: &ClientConnections) {
    SockRef::from(client)
        .shutdown(Shutdown::Write)
        .expect("an open connection");
    let started = Instant::now();
    while clients.disconnected_count() == 0 {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "the socket query did not detect the disconnect in time"
        );
    }
}

/// Returns a connector that waits until the gate is open. If `only` is set, connections to other addresses do
/// not wait. The receiver gets the address of each connect when it starts.
fn gated_connector(
    gate: &watch::Receiver<bool>,
    only: Option<SocketAddr>,
) -> (Connector, mpsc::UnboundedReceiver<SocketAddr>) {
    let (announce, announced) = mpsc::unbounded_channel();
    let gate = gate.clone();
    let connector: Connector = Rc::new(move |address| {
        let announce = announce.clone();
        let mut gate = gate.clone();
        Box::pin(async move {
            let _ = announce.send(address);
            if only.is_none_or(|gated| gated == address) {
                let _ = gate.wait_for(|is_open| *is_open).await;
            }
            TcpStream::connect(address).await
        })
    });
    (connector, announced)
}

#[test]
fn a_client_disconnect_stops_a_partly_written_command() {
    run_local(async {
        let (endpoint, _) = bind_any().await;
        let (gateway, mut endpoint_side) = gateway_with_slow_connection(&endpoint).await;
        let (clients, client) = client_with_request(&gateway, "pay", 60_000).await;
        wait_for_bytes(&endpoint_side, "the beginning of the command").await;
        drop(client);
        wait_for_client_closed(&clients).await;
        let mut received = Vec::new();
        let ended = timeout(TEST_TIMEOUT, endpoint_side.read_to_end(&mut received)).await;
        assert!(
            ended.is_ok(),
            "the connection stays open after {} bytes",
            received.len()
        );
        assert!(
            resp::parse_command(&received).is_ok_and(|command| command.is_none()),
            "the command was written completely"
        );
    });
}

/// Returns whether a retry is sent on a connection that opens this long after the start of the first attempt.
async fn is_retried_when_connected_after(class: &str, delay: Duration) -> bool {
    let (endpoint, address) = bind_any().await;
    let (gateway, first_connection) = gateway_with_slow_connection(&endpoint).await;
    let (open_gate, gate) = watch::channel(false);
    let (connector, mut connects) = gated_connector(&gate, None);
    gateway.borrow_mut().set_connector(connector);
    let (_clients, _client) = client_with_request(&gateway, class, 4).await;
    wait_for_bytes(&first_connection, "the first attempt").await;
    let first_attempt = Instant::now();
    // The first attempt may have been executed. Its retry goes to the other endpoint in the cell.
    list_change(&gateway, 2, ready_endpoint("s-2", address));
    drop(first_connection);
    timeout(TEST_TIMEOUT, connects.recv())
        .await
        .expect("a retry")
        .expect("an open connection");
    sleep_until(first_attempt + delay).await;
    open_gate.send_replace(true);
    let mut second_connection = accept(&endpoint, "the connection for the retry").await;
    timeout(TEST_TIMEOUT, second_connection.read(&mut [0]))
        .await
        .expect("the connection is used or closed")
        .is_ok_and(|count| count > 0)
}

#[test]
fn a_keyed_request_is_not_retried_if_its_deduplication_window_passes_during_the_connect() {
    run_local(async {
        assert!(is_retried_when_connected_after("order", Duration::from_millis(100)).await);
        assert!(!is_retried_when_connected_after("brief", Duration::from_secs(1)).await);
    });
}

#[test]
fn a_connect_that_ends_after_its_attempt_carries_only_a_later_request() {
    run_local(async {
        let (slow, slow_address) = bind_any().await;
        let (quick, quick_address) = bind_any().await;
        let gateway =
            EventLoop::new(test_configuration(slow_address), None, 8).expect("valid settings");
        let (open_gate, gate) = watch::channel(false);
        let (connector, _connects) = gated_connector(&gate, Some(slow_address));
        gateway.borrow_mut().set_connector(connector);
        let slow_endpoint = ready_endpoint("s-1", slow_address);
        let quick_endpoint = ready_endpoint("s-2", quick_address);
        list_snapshot(&gateway, vec![slow_endpoint, quick_endpoint.clone()]);
        let draining = in_state(&quick_endpoint, EndpointState::Draining);
        list_change(&gateway, 2, draining);
        tokio::task::spawn_local(run_timers(gateway.clone()));
        let (_clients, mut client) = client_with_request(&gateway, "pay", 4).await;
        while gateway.borrow().active_requests() == 0 {
            yield_now().await;
        }

        // The retry goes to the quick endpoint after the connect to the slow one has taken too long.
        list_change(&gateway, 3, quick_endpoint.clone());
        let mut connection = accept(&quick, "a retry").await;
        wait_for_bytes(&connection, "the command").await;
        connection
            .write_all(b"*3\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n")
            .await
            .expect("the bytes are written");
        let mut answer = [0; 8];
        client.read_exact(&mut answer).await.expect("a response");
        assert_eq!(&answer, b"$2\r\nhi\r\n");

        // When the next request arrives, the slow endpoint accepts immediately. It receives that request and
        // nothing else.
        open_gate.send_replace(true);
        let removed = in_state(&quick_endpoint, EndpointState::Removed);
        list_change(&gateway, 4, removed);
        let next = request_command("pay", "00000000000000ff", 5);
        let (_more_clients, _next_client) = client_with_command(&gateway, next).await;
        let mut connection = accept(
            &slow,
            "a connection to the slow endpoint for the next request",
        )
        .await;
        let received = read_command(&mut connection).await;
        assert!(
            received.ends_with(b"$5\r\nxxxxx\r\n"),
            "{}",
            String::from_utf8_lossy(&received)
        );
    });
}

#[test]
fn a_command_behind_a_full_pipeline_is_not_started_after_an_unseen_disconnect() {
    run_local(async {
        let (endpoint, address) = bind_any().await;
        let (gateway, endpoint_side) = gateway_with_slow_connection(&endpoint).await;
        let (clients, mut client) = client_with_request(&gateway, "pay", 4).await;
        wait_for_bytes(&endpoint_side, "the first request").await;
        let last_command = request_command("pay", "00000000000000ff", 4);
        client
            .write_all(&[PING.repeat(127), last_command].concat())
            .await
            .expect("the bytes are written");
        // Yields more often than the commands need to fill the pipeline, which leaves no room for the last
        // one.
        for _ in 0..1000 {
            yield_now().await;
        }
        assert_eq!(gateway.borrow().requests_received(), 1);
        disconnect_unseen_by_runtime(&client, &clients);
        // The restart of the endpoint fails the first request, which frees a place in the pipeline.
        let restarted = ListedEndpoint {
            started_at: Timestamp(1.0),
            ..ready_endpoint("s-1", address)
        };
        list_change(&gateway, 2, restarted);
        wait_for_client_closed(&clients).await;
        assert_eq!(
            gateway.borrow().requests_received(),
            1,
            "the last command was dispatched"
        );
    });
}

#[test]
fn the_rest_of_a_batch_of_commands_is_not_started_after_an_unseen_disconnect() {
    run_local(async {
        let (endpoint, _) = bind_any().await;
        let (gateway, endpoint_side) = gateway_with_slow_connection(&endpoint).await;
        let (clients, mut client) = client_with_request(&gateway, "pay", 4).await;
        wait_for_bytes(&endpoint_side, "the first request").await;
        let batch: Vec<u8> = (0..100)
            .flat_map(|k| request_command("pay", &format!("{k:016x}"), 4))
            .collect();
        client
            .write_all(&batch)
            .await
            .expect("the bytes are written");
        while gateway.borrow().requests_received() == 1 {
            yield_now().await;
        }
        let received = gateway.borrow().requests_received();
        disconnect_unseen_by_runtime(&client, &clients);
        wait_for_client_closed(&clients).await;
        assert!(received < 100, "the whole batch was dispatched in one turn");
        assert_eq!(
            gateway.borrow().requests_received(),
            received,
            "further commands were dispatched"
        );
    });
}

#[test]
fn a_disconnect_behind_a_full_pipeline_is_noticed_while_no_input_is_read() {
    run_local(async {
        let (endpoint, _) = bind_any().await;
        let (gateway, endpoint_side) = gateway_with_slow_connection(&endpoint).await;
        let (clients, mut client) = client_with_request(&gateway, "pay", 4).await;
        wait_for_bytes(&endpoint_side, "the first request").await;
        // The pipeline is full before the last command, which stays unread in the socket and hides the end of
        // input from a peek.
        client
            .write_all(&PING.repeat(127))
            .await
            .expect("the bytes are written");
        for _ in 0..1000 {
            yield_now().await;
        }
        client
            .write_all(&request_command("pay", "00000000000000ff", 4))
            .await
            .expect("the bytes are written");
        SockRef::from(&client)
            .shutdown(Shutdown::Write)
            .expect("an open connection");
        wait_for_client_closed(&clients).await;
        assert_eq!(
            gateway.borrow().requests_received(),
            1,
            "the last command was dispatched"
        );
    });
}
