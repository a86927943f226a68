//! Many clients that disconnect at the same time while their requests wait: none of the requests may be
//! forwarded.

use crate::support::*;

/// Connects `count` clients. Each sends a request before the next one connects.
fn clients_with_requests(gateway: &GatewayProcess, count: usize) -> Vec<Connection> {
    let connect_and_send = |_| {
        let mut client = gateway.connect();
        client.send(read_request(LONGEST_DEADLINE_MS));
        client
    };
    (0..count).map(connect_and_send).collect()
}

/// Connects `count` clients, and then sends one request from each.
fn clients_that_send_together(
    gateway: &GatewayProcess,
    count: usize,
    request: impl Fn() -> Vec<u8>,
) -> Vec<Connection> {
    let mut clients: Vec<Connection> = (0..count).map(|_| gateway.connect()).collect();
    for client in &mut clients {
        client.send(request());
    }
    clients
}

/// Suspends the gateway, releases all permits and disconnects all clients that wait for one. Checks that none
/// of their requests is forwarded and that all permits can be leased again.
fn check_group_waiting_for_permits(disconnect: Disconnect) {
    const PERMITS: usize = 100;
    let fleet = SingleEndpoint::with_concurrency_limit(PERMITS);
    let (endpoint, gateway) = (&fleet.endpoint, &fleet.gateway);
    let mut served = clients_with_requests(gateway, PERMITS);
    let mut open: Vec<Connection> = (0..PERMITS).map(|_| endpoint.next_connection()).collect();
    for connection in &mut open {
        connection.read_command();
    }
    let mut waiting = clients_with_requests(gateway, 2 * PERMITS);
    let pooled = pooled_connection(endpoint, gateway);
    gateway.wait_until_input_is_processed();
    assert!(
        !waiting.iter_mut().any(Connection::has_unread_input),
        "{disconnect:?}: expected that every client waits for a permit"
    );
    gateway.suspend();
    for connection in &mut open {
        connection.send_value("first");
    }
    disconnect.apply(gateway, &mut waiting);
    gateway.resume();
    for client in &mut served {
        client.expect_reply("first");
    }
    gateway.wait_until_input_is_processed();
    open.push(pooled);
    let case = format!("{disconnect:?}");
    let mut open = expect_only_next_request_forwarded(endpoint, gateway, open, &case);
    let _later_clients = clients_with_requests(gateway, PERMITS);
    wait_until("all permits are released and leased again", || {
        open.extend(endpoint.accepted_connections());
        let in_use = open
            .iter_mut()
            .map(Connection::has_unread_input)
            .filter(|has_input| *has_input);
        in_use.count() == PERMITS
    });
}

#[test]
fn no_request_of_two_hundred_clients_that_disconnect_while_waiting_for_permits_is_forwarded() {
    for disconnect in Disconnect::ALL {
        check_group_waiting_for_permits(disconnect);
    }
}

/// Suspends the gateway, sends quota responses and disconnects the clients that wait for them. Checks that
/// none of their requests is forwarded.
fn check_group_waiting_for_quota_responses(disconnect: Disconnect) {
    // The objective is so long that no request is forwarded because its quota owner does not respond.
    let pair = GatewayWithPeer::with_latency_objective(600_000);
    let pooled = pooled_connection(&pair.endpoint, &pair.gateway);
    let request = || read_request_owned_by_peer(LONGEST_DEADLINE_MS);
    let mut waiting = clients_that_send_together(&pair.gateway, 100, request);
    let grants = pair.wait_for_quota_requests(waiting.len());
    pair.gateway.suspend();
    for messages in grants.chunks(4) {
        pair.send(messages.concat());
    }
    disconnect.apply(&pair.gateway, &mut waiting);
    pair.gateway.resume();
    pair.gateway.wait_until_input_is_processed();
    let case = format!("{disconnect:?}");
    expect_only_next_request_forwarded(&pair.endpoint, &pair.gateway, vec![pooled], &case);
}

#[test]
fn no_request_of_a_hundred_clients_that_disconnect_during_quota_requests_is_forwarded() {
    for disconnect in Disconnect::ALL {
        check_group_waiting_for_quota_responses(disconnect);
    }
}

/// Suspends the gateway, completes a connection and disconnects the clients that wait for one. Checks that
/// none of their requests is forwarded.
fn check_group_waiting_for_connections(disconnect: Disconnect) {
    let fleet = ConnectingEndpoint::start();
    let gateway = &fleet.gateway;
    let mut waiting = clients_that_send_together(gateway, 20, || read_request(LONGEST_DEADLINE_MS));
    wait_until_connecting(fleet.backlog.address(), waiting.len());
    gateway.suspend();
    let endpoint = StandInEndpoint::with_listener(fleet.backlog.listener);
    // This connection only filled the backlog.
    drop(endpoint.next_connection());
    // One connection completes before the clients disconnect. The others complete later or never.
    let late = endpoint.next_connection();
    disconnect.apply(gateway, &mut waiting);
    gateway.resume();
    gateway.wait_until_input_is_processed();
    let case = format!("{disconnect:?}");
    expect_only_next_request_forwarded(&endpoint, gateway, vec![late], &case);
}

#[test]
fn no_request_of_twenty_clients_that_disconnect_while_the_gateway_connects_is_forwarded() {
    for disconnect in Disconnect::ALL {
        check_group_waiting_for_connections(disconnect);
    }
}
