//! Clients that disconnect while their request waits for a permit, a quota response or a connection: the
//! request must not be forwarded, even if the awaited event arrives together with the disconnect.

use crate::support::*;

#[test]
fn tokens_granted_after_the_disconnect_are_returned_to_the_quota_owner() {
    let mut pair = GatewayWithPeer::start();
    let mut client = pair.gateway.connect();
    client.send(resp_command(&[
        "Q.ASK",
        TENANT,
        REQUEST_ID,
        "c=read,t=p,d=8000,units=1,spread=1,first=1",
    ]));
    let request = QuotaRequest::parse(&pair.receive());
    client.half_close();
    client.expect_close("it has disconnected while its quota request is pending");
    pair.send(request.grant_of("1.0"));
    let settlement = pair.receive();
    assert!(
        settlement.starts_with("t,"),
        "expected that the tokens are returned, got {settlement:?}"
    );
    // The second signal stops the gateway without waiting for its peers.
    pair.gateway.signal(Signal::Terminate);
    pair.gateway.signal(Signal::Terminate);
    pair.gateway.expect_successful_exit();
    pair.endpoint
        .expect_no_new_connection("the client has disconnected");
}

#[test]
fn request_is_not_forwarded_if_its_client_disconnects_while_the_gateway_connects() {
    let fleet = ConnectingEndpoint::start();
    let mut client = fleet.gateway.connect();
    let mut other_client = fleet.gateway.connect();
    client.send(read_request_with_id(REQUEST_ID, LONGEST_DEADLINE_MS));
    wait_until_connecting(fleet.backlog.address(), 1);
    client.half_close();
    client.expect_close("it has disconnected while the gateway connects");
    let endpoint = StandInEndpoint::with_listener(fleet.backlog.listener);
    // This connection only filled the backlog.
    drop(endpoint.next_connection());
    let late = endpoint.next_connection();
    other_client.send(read_request(LONGEST_DEADLINE_MS));
    let mut connection = endpoint.connection_of_next_request(late);
    let command = connection.read_command();
    assert_ne!(
        command.request_id(),
        REQUEST_ID,
        "expected that the request of the disconnected client is not forwarded"
    );
    connection.send_value("other");
    other_client.expect_reply("other");
}

/// Suspends the gateway, releases a permit, sends further commands and disconnects the client that waits for
/// the permit. Checks that the waiting request is not forwarded.
fn check_permit_released_with_disconnect(disconnect: Disconnect, commands_behind: usize) {
    let fleet = SingleEndpoint::with_concurrency_limit(1);
    let mut first = fleet.start_request(read_request(LONGEST_DEADLINE_MS));
    let mut waiting = fleet.gateway.connect();
    let pooled = pooled_connection(&fleet.endpoint, &fleet.gateway);
    waiting.send(read_request_with_id(REQUEST_ID, LONGEST_DEADLINE_MS));
    fleet.gateway.wait_until_input_is_processed();
    fleet.gateway.suspend();
    first.forwarded.send_value("first");
    // Unread commands before the end of the stream must not hide the disconnect.
    waiting.send(ping_command().repeat(commands_behind));
    let mut disconnected = [waiting];
    disconnect.apply(&fleet.gateway, &mut disconnected);
    fleet.gateway.resume();
    first.client.expect_reply("first");
    expect_only_next_request_forwarded(
        &fleet.endpoint,
        &fleet.gateway,
        vec![first.forwarded, pooled],
        &format!("{disconnect:?}, {commands_behind} commands behind"),
    );
}

#[test]
fn request_is_not_forwarded_if_its_permit_is_released_together_with_the_disconnect() {
    for disconnect in Disconnect::ALL {
        for commands_behind in [0, 3] {
            check_permit_released_with_disconnect(disconnect, commands_behind);
        }
    }
}

/// Suspends the gateway, sends a quota response and disconnects the client that waits for it. Checks that the
/// request is not forwarded.
fn check_quota_response_with_disconnect(case: DisconnectCase) -> Result<(), ShutdownOver> {
    let mut pair = GatewayWithPeer::start();
    let mut pooled = pooled_connection(&pair.endpoint, &pair.gateway);
    let mut waiting = pair.gateway.connect();
    waiting.send(read_request_owned_by_peer(LONGEST_DEADLINE_MS));
    let grants = pair.wait_for_quota_requests(1);
    let suspended = case.suspend(&pair.gateway)?;
    pair.send(&grants[0]);
    case.disconnect.apply(&pair.gateway, &mut [waiting]);
    suspended.resume()?;
    match case.phase {
        Phase::ShuttingDown => {
            // The gateway answers its peers until a second SIGTERM. Its response shows that it has processed
            // all earlier messages.
            pair.send(QUOTA_REQUEST);
            pair.receive();
            pair.gateway.signal(Signal::Terminate);
            pair.gateway.expect_successful_exit();
            let open = std::slice::from_mut(&mut pooled);
            expect_nothing_forwarded(&pair.endpoint, open, &format!("{case:?}"));
        }
        Phase::Serving => {
            pair.gateway.wait_until_input_is_processed();
            let (endpoint, gateway) = (&pair.endpoint, &pair.gateway);
            let open = vec![pooled];
            expect_only_next_request_forwarded(endpoint, gateway, open, &format!("{case:?}"));
        }
    }
    Ok(())
}

#[test]
fn request_is_not_forwarded_if_its_quota_response_arrives_together_with_the_disconnect() {
    for case in DisconnectCase::all() {
        check_once_set_up(|| check_quota_response_with_disconnect(case));
    }
}

/// Suspends the gateway, completes a connection and disconnects the client that waits for it. Checks that the
/// request is not forwarded.
fn check_connect_completed_with_disconnect(case: DisconnectCase) -> Result<(), ShutdownOver> {
    let mut fleet = ConnectingEndpoint::start();
    let mut waiting = fleet.gateway.connect();
    waiting.send(read_request_with_id(REQUEST_ID, LONGEST_DEADLINE_MS));
    wait_until_connecting(fleet.backlog.address(), 1);
    let suspended = case.suspend(&fleet.gateway)?;
    let endpoint = StandInEndpoint::with_listener(fleet.backlog.listener);
    // This connection only filled the backlog.
    drop(endpoint.next_connection());
    let mut late = endpoint.next_connection();
    case.disconnect.apply(&fleet.gateway, &mut [waiting]);
    suspended.resume()?;
    match case.phase {
        Phase::ShuttingDown => {
            fleet.gateway.expect_successful_exit();
            let open = std::slice::from_mut(&mut late);
            expect_nothing_forwarded(&endpoint, open, &format!("{case:?}"));
        }
        Phase::Serving => {
            let (gateway, open) = (&fleet.gateway, vec![late]);
            expect_only_next_request_forwarded(&endpoint, gateway, open, &format!("{case:?}"));
        }
    }
    Ok(())
}

#[test]
fn request_is_not_forwarded_if_its_connection_completes_together_with_the_disconnect() {
    for case in DisconnectCase::all() {
        check_once_set_up(|| check_connect_completed_with_disconnect(case));
    }
}
