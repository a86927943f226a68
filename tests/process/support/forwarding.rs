//! Checks that the gateway forwards only the expected requests.

use super::{
    Connection, GatewayProcess, LONGEST_DEADLINE_MS, REQUEST_ID, StandInEndpoint,
    UNAFFECTED_TENANT, read_request_of, read_request_with_id, wait_until,
};

/// Sends a request from a client that stays connected, and expects that the gateway forwards only this
/// request, and no request of a disconnected client. The request belongs to a tenant with free permits.
/// Checks the open connections and new ones, and returns both.
#[track_caller]
pub fn expect_only_next_request_forwarded(
    endpoint: &StandInEndpoint,
    gateway: &GatewayProcess,
    mut open: Vec<Connection>,
    case: &str,
) -> Vec<Connection> {
    let mut next = gateway.connect();
    next.send(read_request_of(UNAFFECTED_TENANT, LONGEST_DEADLINE_MS));
    wait_until("a request is forwarded", || {
        open.extend(endpoint.accepted_connection());
        open.iter_mut().any(Connection::has_unread_input)
    });
    for connection in &mut open {
        if !connection.has_unread_input() {
            continue;
        }
        let command = connection.read_command();
        assert_eq!(
            command.tenant(),
            UNAFFECTED_TENANT,
            "{case}: expected that no request of a disconnected client is forwarded"
        );
        connection.send_value("next");
    }
    next.expect_reply("next");
    open
}

/// Completes the request in flight, which releases its permit, and expects that the next forwarded request is
/// not the one with [`REQUEST_ID`], whose client has disconnected.
#[track_caller]
pub fn expect_released_permit_goes_to_next_client(
    endpoint: &StandInEndpoint,
    gateway: &GatewayProcess,
    mut in_flight: super::InFlightRequest,
) {
    in_flight.complete("first");
    let mut next = gateway.connect();
    next.send(read_request_with_id(
        "00000000000000ff",
        LONGEST_DEADLINE_MS,
    ));
    let mut connection = endpoint.connection_of_next_request(in_flight.forwarded);
    let command = connection.read_command();
    assert_ne!(
        command.request_id(),
        REQUEST_ID,
        "expected that the request of the disconnected client is not forwarded"
    );
    connection.send_value("next");
    next.expect_reply("next");
}

/// Expects that the gateway closes the open connections without sending data and opens no new connection.
#[track_caller]
pub fn expect_nothing_forwarded(endpoint: &StandInEndpoint, open: &mut [Connection], case: &str) {
    let closed_unused = open.iter_mut().all(Connection::is_closed_by_peer);
    assert!(
        closed_unused && endpoint.has_no_new_connection(),
        "{case}: expected that no request of a disconnected client is forwarded"
    );
}
