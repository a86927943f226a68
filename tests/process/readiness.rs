//! Tests that a gateway becomes ready regardless of the state of discovery and the length of the endpoint
//! list.

use crate::support::*;
use std::net::SocketAddr;

/// Waits until the gateway logs that it is serving, and then checks that it answers a client. Until the log
/// line appears, a predecessor may still be listening on the port.
#[track_caller]
pub fn expect_ready(gateway: &mut GatewayProcess) {
    gateway.wait_until_serving();
    gateway.connect().expect_pong();
}

/// Generates `count` endpoint names, each with an address on which nothing listens.
fn unreachable_endpoints(count: u32) -> impl Iterator<Item = (String, SocketAddr)> {
    (0..count).map(|index| {
        let [_, _, high, low] = index.to_be_bytes();
        let address = SocketAddr::from(([127, 9, high, low], 6379));
        (format!("s-{index}"), address)
    })
}

#[test]
fn gateway_is_ready_while_discovery_refuses_connections() {
    let refusing = ReservedPort::bind();
    expect_ready(&mut GatewayConfig::new(refusing.address).spawn());
}

#[test]
fn gateway_is_ready_while_discovery_hangs_and_uses_the_list_that_arrives_late() {
    let endpoint = StandInEndpoint::start();
    let discovery = ManualDiscovery::start();
    let mut gateway = GatewayConfig::new(discovery.address).spawn();
    let mut first_poll = discovery.next_connection();
    expect_ready(&mut gateway);
    // The first poll gets no answer and runs into its timeout. A later poll is answered.
    let request_line = first_poll.read_line();
    assert!(
        request_line.starts_with("GET /v1/servers "),
        "expected a poll of the complete list, got {request_line:?}"
    );
    let mut poll = discovery.next_connection_with_input();
    let list = complete_list(1, &[ready_endpoint("s-1", endpoint.address)]);
    poll.send(list_response(&list));
    let _watch = discovery.next_connection_with_input();
    let mut client = gateway.connect();
    complete_on_new_connection(&mut client, read_request(8000), &endpoint, "listed");
}

#[test]
fn gateway_is_ready_while_the_list_is_incomplete_and_while_no_connection_is_accepted() {
    let discovery = ManualDiscovery::start();
    let pending_discovery = FullBacklogListener::bind();
    let mut gateway = GatewayConfig::new(discovery.address).spawn();
    let mut poll = discovery.next_connection();
    poll.send("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n{\"rev\":1,");
    expect_ready(&mut gateway);
    expect_ready(&mut GatewayConfig::new(pending_discovery.address()).spawn());
}

#[test]
fn twenty_gateways_that_start_simultaneously_are_all_ready_while_discovery_is_unavailable() {
    let refusing = ReservedPort::bind();
    let silent = ManualDiscovery::start();
    let configs = [
        GatewayConfig::new(refusing.address),
        GatewayConfig::new(silent.address),
    ];
    let mut gateways: Vec<GatewayProcess> = configs
        .iter()
        .cycle()
        .take(20)
        .map(GatewayConfig::spawn)
        .collect();
    gateways.iter_mut().for_each(expect_ready);
}

#[test]
fn gateway_with_a_very_long_cached_list_is_ready_and_forwards_to_its_ready_endpoint() {
    let refusing = ReservedPort::bind();
    let endpoint = StandInEndpoint::start();
    // The list of 40,000 endpoints exceeds the maximum length of a document from discovery.
    for count in [20_000, 40_000] {
        let listed: Vec<String> = unreachable_endpoints(count)
            .map(|(uid, address)| draining_endpoint(&uid, address))
            .chain([ready_endpoint("s-here", endpoint.address)])
            .collect();
        let mut gateway = GatewayConfig {
            cached_list: complete_list(41, &listed),
            ..GatewayConfig::new(refusing.address)
        }
        .spawn();
        expect_ready(&mut gateway);
        let mut client = gateway.connect();
        complete_on_new_connection(&mut client, read_request(8000), &endpoint, "known");
    }
}

#[test]
fn gateway_with_a_very_long_cached_list_of_ready_endpoints_is_ready() {
    let refusing = ReservedPort::bind();
    let listed: Vec<String> = unreachable_endpoints(65_000)
        .map(|(uid, address)| ready_endpoint(&uid, address))
        .collect();
    let config = GatewayConfig {
        cached_list: complete_list(41, &listed),
        ..GatewayConfig::new(refusing.address)
    };
    expect_ready(&mut config.spawn());
}

#[test]
fn gateway_with_a_malformed_or_contradictory_cached_list_is_ready() {
    let refusing = ReservedPort::bind();
    let lists = [
        "7".into(),
        r#"{"rev":-1,"all":true,"targets":[]}"#.into(),
        r#"{"rev":1,"all":true,"targets":[{"uid":"s-1","state":"ready","endpoint":"nowhere"},7]}"#
            .into(),
        complete_list(1, &[]),
        complete_list(
            1,
            &[
                ready_endpoint("s-1", refusing.address),
                removed_endpoint("s-1", refusing.address),
            ],
        ),
    ];
    let start_with = |cached_list: String| {
        GatewayConfig {
            cached_list,
            ..GatewayConfig::new(refusing.address)
        }
        .spawn()
    };
    let mut gateways: Vec<GatewayProcess> = lists.into_iter().map(start_with).collect();
    gateways.iter_mut().for_each(expect_ready);
}
