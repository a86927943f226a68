//! Closing of client connections and detection of disconnects, also when the runtime has not polled the
//! socket yet.

use crate::client_listener::*;
use crate::support::*;
use marlshelf::gateway::clients::REQUEST_TIMEOUT;
use std::time::{Duration, Instant};

#[test]
fn command_that_arrived_before_its_connection_is_closed_is_answered() {
    run_local(async {
        let listener = ListenerFixture::start().await;
        let client = listener.connect_and_ping().await;
        let mut client = write_unseen_by_runtime(client, PING);
        listener.connections.close_when_idle();
        assert_eq!(read_to_end(&mut client).await, "+PONG\r\n");
    });
}

#[test]
fn partial_command_at_shutdown_is_completed_and_answered() {
    run_local(async {
        let listener = ListenerFixture::start().await;
        let client = listener.connect_and_ping().await;
        let mut idle = listener.connect_and_ping().await;
        let mut client = write_unseen_by_runtime(client, &PING[..9]);
        listener.connections.close_when_idle();
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
        let listener = ListenerFixture::start().await;
        let client = listener.connect().await;
        wait_until(|| !listener.connections.is_empty()).await;
        let mut client = write_unseen_by_runtime(client, PING);
        listener
            .connections
            .expire(Instant::now() + REQUEST_TIMEOUT * 2);
        listener.connections.close_when_idle();
        assert_eq!(read_to_end(&mut client).await, "+PONG\r\n");
    });
}

#[test]
fn connection_without_a_complete_command_in_time_gets_an_error_and_is_closed() {
    run_local(async {
        let listener = ListenerFixture::start().await;
        let mut silent = listener.connect().await;
        let mut partial = listener.connect_and_ping().await;
        send(&mut partial, &PING[..9]).await;
        let mut idle = listener.connect_and_ping().await;
        listener.expire_repeatedly_after(REQUEST_TIMEOUT * 2);
        let expected = "-ERR protocol error: no whole command in time\r\n";
        assert_eq!(read_to_end(&mut silent).await, expected);
        assert_eq!(read_to_end(&mut partial).await, expected);
        assert_eq!(
            exchange(&mut idle, PING).await,
            "+PONG",
            "a connection may be idle between commands"
        );
    });
}

/// Guards against requests that are lost although their first half was read: their connections had been idle
/// the longest.
#[test]
fn connection_that_has_received_a_part_of_a_command_is_not_evicted() {
    run_local(async {
        let listener = ListenerFixture::start().await;
        let mut partial = listener.connect_and_ping().await;
        send(&mut partial, &PING[..9]).await;
        // The last of these fills the table, which evicts a connection to make room for the next one.
        let mut idle = Vec::new();
        while idle.len() + 1 < MAX_CONNECTIONS {
            idle.push(listener.connect_and_ping().await);
        }
        assert_eq!(
            read_to_end(&mut idle[0]).await,
            "",
            "the connection that has been idle longest is evicted"
        );
        assert_eq!(exchange(&mut partial, &PING[9..]).await, "+PONG");
        assert_eq!(
            exchange(&mut partial, PING).await,
            "+PONG",
            "the connection stays open"
        );
    });
}

#[test]
fn later_commands_received_in_part_are_not_evicted_and_end_at_the_request_timeout() {
    run_local(async {
        let listener = ListenerFixture::start().await;
        let mut partial = Vec::new();
        while partial.len() + 1 < MAX_CONNECTIONS {
            let mut client = listener.connect_and_ping().await;
            send(&mut client, &PING[..9]).await;
            partial.push(client);
        }
        let mut newest = listener.connect().await;
        assert_eq!(
            read_to_end(&mut newest).await,
            "",
            "the only connection between requests is evicted"
        );
        listener.expire_repeatedly_after(REQUEST_TIMEOUT * 2);
        for client in &mut partial {
            let expected = "-ERR protocol error: no whole command in time\r\n";
            assert_eq!(read_to_end(client).await, expected);
        }
    });
}

/// Guards against a crowd that keeps usual clients out: connections that begin a command and leave it at that.
#[test]
fn first_commands_received_in_part_are_answered_with_an_error_if_no_other_connection_can_be_evicted()
 {
    run_local(async {
        let listener = ListenerFixture::start().await;
        let mut partial = Vec::new();
        for _ in 0..MAX_CONNECTIONS {
            let mut client = listener.connect().await;
            send(&mut client, &PING[..9]).await;
            partial.push(client);
        }
        assert_eq!(
            read_to_end(&mut partial[0]).await,
            "-ERR protocol error: no room for an incomplete first command now\r\n",
            "the longest received command is given up"
        );
        let mut client = partial.remove(1);
        assert_eq!(exchange(&mut client, &PING[9..]).await, "+PONG");
    });
}

#[test]
fn idle_connections_are_closed_after_two_seconds_while_the_table_is_over_half_full() {
    /// The gateway's idle timeout while more than half of the eight table entries are in use.
    const SHORT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
    run_local(async {
        let fixture = ListenerFixture::start().await;
        let before = Instant::now();
        let mut clients = Vec::new();
        for _ in 0..5 {
            clients.push(fixture.connect_and_ping().await);
        }
        fixture.connections.expire(before + SHORT_IDLE_TIMEOUT);
        for client in &mut clients {
            assert_eq!(
                exchange(client, PING).await,
                "+PONG",
                "the idle timeout has not elapsed"
            );
        }
        let after = Instant::now();
        fixture
            .connections
            .expire(after + SHORT_IDLE_TIMEOUT + Duration::from_millis(1));
        for client in &mut clients {
            assert_eq!(
                read_to_end(client).await,
                "",
                "the idle timeout has elapsed"
            );
        }
    });
}

#[test]
fn disconnect_not_yet_seen_by_the_runtime_is_detected() {
    run_local(async {
        let listener = ListenerFixture::start().await;
        let client = listener.connect_and_ping().await;
        let _other = listener.connect_and_ping().await;
        assert_eq!(listener.connections.disconnected_count(), 0);
        drop(client);
        // The loop never yields to the runtime, so only a query of the socket can detect the disconnect.
        let started = Instant::now();
        while listener.connections.disconnected_count() == 0 {
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "the socket query did not detect the disconnect in time"
            );
        }
    });
}

#[test]
fn protocol_error_follows_earlier_responses_and_closes_the_connection() {
    run_local(async {
        let listener = ListenerFixture::start().await;
        let mut client = listener.connect().await;
        send(
            &mut client,
            &[&request(1)[..], b"GET / HTTP/1.1\r\n\r\n"].concat(),
        )
        .await;
        listener.handler.wait_for_requests(1).await;
        listener.handler.answer(0, "$2\r\nhi\r\n");
        assert_eq!(
            read_to_end(&mut client).await,
            "$2\r\nhi\r\n-ERR protocol error: an unexpected type\r\n"
        );
    });
}

/// More than the buffers of the sockets accept, for a client that does not read.
const UNDELIVERABLE_BYTES: usize = 16 << 20;

#[test]
fn connection_whose_client_accepts_no_response_bytes_is_closed_after_the_timeout() {
    run_local(async {
        let listener = ListenerFixture::with_memory(2 * UNDELIVERABLE_BYTES).await;
        let mut client = listener.connect().await;
        send(&mut client, &[request(1), request(2)].concat()).await;
        listener.handler.wait_for_requests(2).await;
        let response = "x".repeat(UNDELIVERABLE_BYTES);
        listener.handler.answer(0, &response);
        listener.connections.expire(Instant::now());
        drop(listener.connect_and_ping().await);
        assert!(
            listener.handler.disconnected.borrow().is_empty(),
            "the client still has time to read"
        );
        let later = Instant::now() + REQUEST_TIMEOUT * 2;
        listener.connections.expire(later);
        wait_until(|| listener.connections.is_empty()).await;
        let second = listener.handler.received.borrow()[1].id;
        assert_eq!(*listener.handler.disconnected.borrow(), [second]);
    });
}

#[test]
fn connection_is_closed_if_there_is_no_memory_for_the_rest_of_a_partly_delivered_response() {
    run_local(async {
        let listener = ListenerFixture::with_memory(UNDELIVERABLE_BYTES / 16).await;
        let mut client = listener.connect().await;
        send(&mut client, &[request(1), request(2)].concat()).await;
        listener.handler.wait_for_requests(2).await;
        let response = "x".repeat(UNDELIVERABLE_BYTES);
        listener.handler.answer(0, &response);
        wait_until(|| listener.connections.is_empty()).await;
        let second = listener.handler.received.borrow()[1].id;
        assert_eq!(*listener.handler.disconnected.borrow(), [second]);
    });
}

#[test]
fn only_unanswered_requests_of_a_closed_connection_are_reported() {
    run_local(async {
        let listener = ListenerFixture::start().await;
        let mut client = listener.connect().await;
        send(&mut client, &[request(1), request(2), request(3)].concat()).await;
        listener.handler.wait_for_requests(3).await;
        listener.handler.answer(1, "+second\r\n");
        drop(client);
        wait_until(|| listener.connections.is_empty()).await;
        let received = listener.handler.received.borrow();
        assert_eq!(
            *listener.handler.disconnected.borrow(),
            [received[0].id, received[2].id]
        );
    });
}
