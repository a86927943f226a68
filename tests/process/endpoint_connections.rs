//! Tests of the pooling, reuse and idle timeout of connections to endpoints.

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
    // Dropping the connection may not close the socket immediately: a child process that another test forks
    // at this moment holds a copy until its exec. Therefore shut the socket down explicitly, and wait until
    // the gateway has seen the end of the stream and closed its end.
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
            "expected a delay of at least 5 ms before the connection is reused"
        );
        return;
    };
    // A late duplicate of the first answer must not be taken for the answer to the second request.
    first.try_send("*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n");
    second.answer_request("two");
    client.expect_reply("two");
}

#[test]
fn idle_connections_are_closed_well_before_the_endpoint_would_close_them() {
    let fleet = SingleEndpoint::configured(|config| config.limits = r#""ConnIdle":1000.0"#);
    let mut in_flight = fleet.start_request(read_request(5000));
    let started = Instant::now();
    in_flight.complete("x");
    in_flight
        .forwarded
        .expect_close("it has been idle for most of a second");
    assert!(
        started.elapsed() >= Duration::from_millis(400),
        "expected the connection to stay pooled for at least 400 ms"
    );
}
