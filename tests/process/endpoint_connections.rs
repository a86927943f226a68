//! Connections to endpoints: pooling, reuse and idle timeout.

use crate::support::*;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn connection_is_reused_until_the_endpoint_closes_it() {
    let fleet = SingleEndpoint::start();
    let mut client = fleet.gateway.connect();
    let mut pooled = None;
    for _ in 0..3 {
        client.send(write_request("pay", 5000));
        let connection = pooled.get_or_insert_with(|| fleet.endpoint.next_connection());
        connection.answer_request("done");
        client.expect_reply("done");
        thread::sleep(CONNECTION_REUSE_PAUSE);
    }
    fleet
        .endpoint
        .expect_no_new_connection("the pooled connection is reused");
    // Another test that starts a process at this moment holds a copy of the socket until its exec, so that dropping
    // the connection may not close it yet. The gateway closes its end once it has seen the end of the stream.
    let mut pooled = pooled.expect("there is a pooled connection");
    pooled.half_close();
    pooled.expect_close("the endpoint has closed it");
    let request = write_request("pay", 5000);
    complete_on_new_connection(&mut client, request, &fleet.endpoint, "done");
}

#[test]
fn connection_is_not_reused_before_its_reuse_delay_has_passed() {
    let fleet = SingleEndpoint::start();
    let mut client = fleet.gateway.connect();
    client.send(read_request(5000));
    let mut first = fleet.endpoint.next_connection();
    first.answer_request("one");
    let answered_at = Instant::now();
    client.expect_reply("one");
    client.send(read_request(5000));
    let Some(mut second) = fleet.endpoint.connection_unless_reused(&mut first) else {
        assert!(
            answered_at.elapsed() >= Duration::from_millis(5),
            "expected a pause of 5 ms at least before the connection is reused"
        );
        return;
    };
    // A duplicate of the first answer that arrives now must not be taken for the second request's answer.
    first.try_send("*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n");
    second.answer_request("two");
    client.expect_reply("two");
}

#[test]
fn pooled_connections_are_closed_well_before_the_endpoint_would_close_them() {
    let fleet = SingleEndpoint::configured(|config| config.limits = r#""ConnIdle":1000.0"#);
    let mut in_flight = fleet.start_request(read_request(5000));
    let started = Instant::now();
    in_flight.complete("x");
    in_flight
        .forwarded
        .expect_close("it has been idle for most of a second");
    assert!(
        started.elapsed() >= Duration::from_millis(400),
        "expected the connection to stay pooled for 400 ms at least"
    );
}
