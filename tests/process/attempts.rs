//! Failed and timed-out attempts: retries, and the client's reply.

use crate::support::*;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn non_idempotent_request_fails_after_a_reset_and_is_rejected_after_a_busy_reply() {
    let fleet = SingleEndpoint::start();
    let mut client = fleet.gateway.connect();
    client.send(write_request("pay", 5000));
    let mut connection = fleet.endpoint.next_connection();
    connection.read_command();
    drop(connection);
    // The request may have executed, so the client must not retry it.
    client.expect_reply("-ERR failed");
    client.send(write_request("pay", 5000));
    let mut connection = fleet.endpoint.next_connection();
    connection.read_command();
    connection.send("-BUSY\r\n");
    // The endpoint has rejected the request before executing it, so the client may retry it.
    client.expect_reply_prefix("-BUSY");
}

#[test]
fn late_answer_never_reaches_the_next_request() {
    let fleet = SingleEndpoint::start();
    let mut client = fleet.gateway.connect();
    // One success before the timeout keeps the gateway from shedding the later requests at random. The
    // timeout is the only failure.
    let first = read_request_with_id("0000000000000001", 5000);
    let mut late = complete_on_new_connection(&mut client, first, &fleet.endpoint, "first");
    thread::sleep(CONNECTION_REUSE_PAUSE);
    client.send(read_request(300));
    late.read_command();
    // The client may retry an idempotent request.
    client.expect_reply_prefix("-BUSY");
    late.expect_close("its attempt has timed out");
    client.send(read_request(5000));
    let mut connection = fleet.endpoint.next_connection();
    connection.read_command();
    late.try_send("*3\r\n$3\r\nold\r\n$-1\r\n$-1\r\n");
    connection.send_value("new");
    client.expect_reply("new");
}

#[test]
fn only_an_exact_busy_reply_is_treated_as_not_executed() {
    struct Case {
        reply: &'static str,
        means_not_executed: bool,
    }
    let cases = [
        Case {
            reply: "BUSY",
            means_not_executed: true,
        },
        Case {
            reply: "BUSY util=0.61,qps=9.5",
            means_not_executed: true,
        },
        Case {
            reply: "BUSY or so it seems",
            means_not_executed: false,
        },
        Case {
            reply: "BUSYBUSY",
            means_not_executed: false,
        },
    ];
    for Case {
        reply,
        means_not_executed,
    } in cases
    {
        let fleet = SingleEndpoint::start();
        let mut in_flight = fleet.start_request(write_request("pay", 5000));
        in_flight.forwarded.send(format!("-{reply}\r\n"));
        let client_reply = in_flight.client.read_reply();
        assert_eq!(
            client_reply.starts_with("-BUSY"),
            means_not_executed,
            "{reply:?}: expected -BUSY only if nothing executed, got {client_reply:?}"
        );
    }
}

/// Returns the first connection that either endpoint accepts.
#[track_caller]
fn next_connection_of_either(endpoints: &[StandInEndpoint; 2]) -> Connection {
    let mut accepted = None;
    wait_until("an endpoint accepts a connection", || {
        accepted = endpoints
            .iter()
            .find_map(StandInEndpoint::accepted_connection);
        accepted.is_some()
    });
    accepted.expect("the wait ends with a connection")
}

#[test]
fn deadline_of_a_retry_is_the_remaining_time_of_the_first_attempt() {
    let endpoints = [StandInEndpoint::start(), StandInEndpoint::start()];
    let listed = [
        ready_endpoint("s-1", endpoints[0].address),
        ready_endpoint("s-2", endpoints[1].address),
    ];
    let discovery = StandInDiscovery::with_list(complete_list(1, &listed));
    let gateway = GatewayConfig::new(discovery.address).start();
    let mut client = gateway.connect();
    client.send(read_request(5000));
    let mut first_attempt = next_connection_of_either(&endpoints);
    let first_deadline_ms = first_attempt.read_command().deadline_ms();
    // Both ends of the measured interval are after the gateway has received the request. The gateway cannot
    // know the time from the client's send to the receipt, which exceeds its margin of 6 ms on a loaded
    // machine.
    let first_attempt_received = Instant::now();
    thread::sleep(Duration::from_millis(300));
    let elapsed_ms = first_attempt_received.elapsed().as_millis();
    first_attempt.send("-ERR failed\r\n");
    let mut retry = next_connection_of_either(&endpoints);
    let retry_deadline_ms = retry.read_command().deadline_ms();
    assert!(
        first_deadline_ms <= 5000,
        "expected a deadline within the client's 5000 ms, got {first_deadline_ms} ms"
    );
    assert!(
        u128::from(retry_deadline_ms) + elapsed_ms <= u128::from(first_deadline_ms),
        "expected at most the time left of the first attempt's {first_deadline_ms} ms after {elapsed_ms} ms, \
         got {retry_deadline_ms} ms"
    );
    retry.send_value("in time");
    client.expect_reply("in time");
}
