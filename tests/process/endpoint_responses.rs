//! Tests of endpoint responses that are malformed or followed by surplus bytes.

use crate::support::*;

/// Sends a response to a request, and expects that the request fails and the connection is closed.
#[track_caller]
fn expect_failure_after(response: &str, fleet: &SingleEndpoint) -> InFlightRequest {
    let mut in_flight = fleet.start_request(write_request("pay", 5000));
    in_flight.forwarded.send(response);
    let reply = in_flight.client.read_reply();
    assert_eq!(
        reply, "-ERR failed",
        "{response:?}: expected the request to fail"
    );
    in_flight
        .forwarded
        .expect_close("its response was malformed");
    in_flight
}

#[test]
fn malformed_response_fails_its_attempt_only() {
    for response in [
        "+what\r\n",
        "*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        "*3\r\n$999999\r\n",
        "*3\r\n$1\r\nabc",
    ] {
        let fleet = SingleEndpoint::start();
        let mut in_flight = expect_failure_after(response, &fleet);
        let request = write_request("pay", 5000);
        complete_on_new_connection(&mut in_flight.client, request, &fleet.endpoint, "sound");
    }
}

#[test]
fn connection_with_surplus_bytes_after_a_response_is_not_reused() {
    let fleet = SingleEndpoint::start();
    let mut in_flight = fleet.start_request(read_request(5000));
    in_flight
        .forwarded
        .send("*3\r\n$1\r\na\r\n$-1\r\n$-1\r\n*3\r\n$1\r\nb\r\n$-1\r\n$-1\r\n");
    in_flight.client.expect_reply("a");
    let request = read_request(5000);
    complete_on_new_connection(&mut in_flight.client, request, &fleet.endpoint, "c");
}

#[test]
fn idle_connection_is_closed_when_bytes_arrive_on_it() {
    let fleet = SingleEndpoint::start();
    let mut in_flight = fleet.start_request(read_request(5000));
    in_flight.complete("a");
    // The start of a response, which could be taken for the response to the next request.
    in_flight.forwarded.send("*3\r\n");
    in_flight
        .forwarded
        .expect_close("it has received bytes that belong to no request");
}

#[test]
fn valid_value_is_returned_and_the_connection_closed_if_the_rest_of_the_response_is_malformed() {
    for malformed_rest in [
        ":7\r\n$-1\r\n",
        "$-1\r\n+util\r\n",
        "$-1\r\n$99999999\r\n",
        "$1\r\nabc",
    ] {
        let fleet = SingleEndpoint::start();
        let mut in_flight = fleet.start_request(write_request("pay", 5000));
        in_flight
            .forwarded
            .send(format!("*3\r\n$4\r\ngood\r\n{malformed_rest}"));
        let reply = in_flight.client.read_reply();
        assert_eq!(
            reply, "good",
            "{malformed_rest:?}: expected the value that precedes it"
        );
        in_flight
            .forwarded
            .expect_close("the end of its response is unknown");
    }
}

/// Guards against a wrong value being served: with a length 4 or 5 too large, the value contained the header
/// of the figures behind it. The client cannot tell.
#[test]
fn response_whose_value_has_a_wrong_length_fails_its_attempt() {
    for response in [
        "*3\r\n$8\r\ngood\r\n$6\r\ncost=1\r\n$-1\r\n",
        "*3\r\n$9\r\ngood\r\n$14\r\nused=37,cost=4\r\n$-1\r\n",
        "*3\r\n$9\r\ngood\r\n$-1\r\n$-1\r\n*3\r\n$4\r\ngood\r\n$-1\r\n$-1\r\n",
        "*3\r\n$5\r\ngood,\r\nthen better\r\n$-1\r\n$-1\r\n",
    ] {
        expect_failure_after(response, &SingleEndpoint::start());
    }
}
