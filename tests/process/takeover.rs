//! Tests of a gateway whose listening address is still in use, mostly by its predecessor.

use crate::readiness::expect_ready;
use crate::support::*;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};

/// Binds a listener on a loopback address that no other test uses. When the listener is dropped, its port
/// cannot be assigned to a concurrent test that binds to any free port.
fn listener_on_dedicated_address(last_octet: u8) -> TcpListener {
    TcpListener::bind(SocketAddr::from(([127, 0, 5, last_octet], 0))).expect("a free port exists")
}

/// Returns a free address from [`listener_on_dedicated_address`].
fn dedicated_free_address(last_octet: u8) -> SocketAddr {
    let listener = listener_on_dedicated_address(last_octet);
    listener.local_addr().expect("the listener is bound")
}

fn config_listening_at(discovery: SocketAddr, address: SocketAddr) -> GatewayConfig {
    GatewayConfig {
        listen: address.to_string(),
        ..GatewayConfig::new(discovery)
    }
}

/// Returns a configuration whose client listener and gossip socket share an address.
fn config_with_gossip_at(discovery: SocketAddr, address: SocketAddr) -> GatewayConfig {
    GatewayConfig {
        gossip_listen: address.to_string(),
        limits: GOSSIP_LIMITS,
        ..config_listening_at(discovery, address)
    }
}

#[track_caller]
fn expect_not_serving(gateway: &GatewayProcess) {
    assert!(
        !gateway.has_logged(LOG_SERVING),
        "expected that the gateway does not serve clients, got {:?}",
        gateway.log()
    );
}

#[track_caller]
fn expect_ready_at(gateway: &mut GatewayProcess, address: SocketAddr) {
    expect_ready(gateway);
    assert_eq!(
        gateway.address, address,
        "expected the gateway at the configured address"
    );
}

#[test]
fn gateway_whose_address_is_in_use_logs_it_and_is_ready_once_the_address_is_free() {
    let refusing = ReservedPort::bind();
    let listener = listener_on_dedicated_address(1);
    let address = listener.local_addr().expect("the listener is bound");
    let mut gateway = config_listening_at(refusing.address, address).spawn();
    gateway.wait_for_log(&format!("{address} is in use"));
    expect_not_serving(&gateway);
    drop(listener);
    expect_ready_at(&mut gateway, address);
}

#[test]
fn gateway_whose_gossip_address_is_in_use_accepts_no_client_before_it_is_free() {
    let refusing = ReservedPort::bind();
    let address = dedicated_free_address(2);
    let predecessor_socket = UdpSocket::bind(address).expect("the address is free");
    let mut gateway = config_with_gossip_at(refusing.address, address).spawn();
    gateway.wait_for_log(&format!("{address} is in use"));
    // The gateway must not accept a client that it cannot answer until the gossip address is free.
    assert!(
        TcpStream::connect(address).is_err(),
        "expected that clients are refused"
    );
    drop(predecessor_socket);
    expect_ready_at(&mut gateway, address);
}

#[test]
fn sigterm_ends_a_gateway_that_waits_for_its_address() {
    let refusing = ReservedPort::bind();
    let listener = listener_on_dedicated_address(3);
    let address = listener.local_addr().expect("the listener is bound");
    let mut gateway = config_listening_at(refusing.address, address).spawn();
    gateway.wait_for_log(&format!("{address} is in use"));
    gateway.signal(Signal::Terminate);
    gateway.wait_for_log(LOG_SHUTTING_DOWN);
    gateway.expect_successful_exit();
    expect_not_serving(&gateway);
}

#[test]
fn gateway_with_an_address_of_another_machine_fails_at_once() {
    let refusing = ReservedPort::bind();
    // An address reserved for documentation (RFC 5737), which no machine has.
    let address = SocketAddr::from(([192, 0, 2, 1], 6379));
    let mut gateway = config_listening_at(refusing.address, address).spawn();
    gateway.wait_for_log(&format!("cannot listen at {address}"));
    assert!(
        !gateway.wait_for_exit().success(),
        "expected an exit with a failure"
    );
}

#[test]
fn successor_started_during_a_graceful_shutdown_takes_over_and_the_predecessor_completes() {
    let endpoint = StandInEndpoint::start();
    let address = dedicated_free_address(4);
    let discovery = StandInDiscovery::with_endpoint(endpoint.address);
    let config = config_with_gossip_at(discovery.address, address);
    let mut predecessor = config.start();
    let mut busy_client = predecessor.connect();
    busy_client.send(read_request(8000));
    let mut in_flight = endpoint.next_connection();
    in_flight.read_command();
    // The predecessor is stopped, so that it handles SIGTERM only after its successor has started.
    predecessor.signal(Signal::Stop);
    predecessor.signal(Signal::Terminate);
    let mut successor = config.spawn();
    successor.wait_for_log(&format!("{address} is in use"));
    predecessor.signal(Signal::Continue);
    predecessor.wait_for_log(LOG_SHUTTING_DOWN);
    in_flight.send_value("by the predecessor");
    busy_client.expect_reply("by the predecessor");
    expect_ready(&mut successor);
    predecessor.expect_successful_exit();
    let mut client = successor.connect();
    let request = read_request(8000);
    complete_on_new_connection(&mut client, request, &endpoint, "by the successor");
}

#[test]
fn successor_started_as_its_predecessor_is_killed_is_ready_despite_the_connections_left_behind() {
    let endpoint = StandInEndpoint::start();
    let address = dedicated_free_address(5);
    let discovery = StandInDiscovery::with_endpoint(endpoint.address);
    let config = config_with_gossip_at(discovery.address, address);
    let mut predecessor = config.start();
    for round in 0..3 {
        // The predecessor leaves three connections behind: one that it has closed, which remains in
        // TIME_WAIT, one with a request in flight, and one with a partial command.
        let mut closed_client = predecessor.connect();
        let mut busy_client = predecessor.connect();
        let mut partial_client = predecessor.connect();
        closed_client.send("GET / HTTP/1.1\r\n\r\n");
        closed_client.expect_reply_prefix("-ERR protocol error");
        closed_client.expect_close("it sent something that is not RESP");
        drop(closed_client);
        busy_client.send(read_request(8000));
        let mut in_flight = endpoint.next_connection();
        in_flight.read_command();
        partial_client.send(PARTIAL_PING);
        // Do not wait for the exit: the killed process may still hold the address for a moment.
        predecessor.signal(Signal::Kill);
        let mut successor = config.spawn();
        expect_ready(&mut successor);
        assert_eq!(
            successor.address, address,
            "round {round}: expected the gateway at the configured address"
        );
        predecessor = successor;
    }
}
