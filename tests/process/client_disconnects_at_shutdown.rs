//! Clients that disconnect during a graceful shutdown: their waiting requests must not be forwarded.

use crate::support::*;

fn check_waiting_request_with_half_close() -> Result<(), ShutdownOver> {
    let mut fleet = SingleEndpoint::with_concurrency_limit(1);
    let mut waiting = fleet.gateway.connect();
    let mut first = fleet.start_request(read_request(LONGEST_DEADLINE_MS));
    waiting.send(read_request_with_id(REQUEST_ID, LONGEST_DEADLINE_MS));
    let shutdown = ShutdownClock::begin_shutdown(&fleet.gateway);
    waiting.half_close();
    shutdown.check()?;
    waiting.expect_close("it has disconnected during the shutdown");
    shutdown.check()?;
    first.complete("first");
    fleet.gateway.expect_successful_exit();
    let open = std::slice::from_mut(&mut first.forwarded);
    expect_nothing_forwarded(&fleet.endpoint, open, "half-close during the shutdown");
    Ok(())
}

#[test]
fn waiting_request_is_dropped_after_a_half_close_during_the_shutdown() {
    check_once_set_up(check_waiting_request_with_half_close);
}

/// Suspends the gateway during its shutdown, releases a permit and disconnects the client that waits for it.
/// Checks that the waiting request is not forwarded.
fn check_permit_released_with_disconnect(disconnect: Disconnect) -> Result<(), ShutdownOver> {
    let mut fleet = SingleEndpoint::with_concurrency_limit(1);
    let mut waiting = fleet.gateway.connect();
    let mut first = fleet.start_request(read_request(LONGEST_DEADLINE_MS));
    let pooled = pooled_connection(&fleet.endpoint, &fleet.gateway);
    waiting.send(read_request_with_id(REQUEST_ID, LONGEST_DEADLINE_MS));
    let suspended = SuspendedGateway::while_shutting_down(&fleet.gateway)?;
    first.forwarded.send_value("first");
    let mut disconnected = [waiting];
    disconnect.apply(&fleet.gateway, &mut disconnected);
    suspended.resume()?;
    first.client.expect_reply("first");
    fleet.gateway.expect_successful_exit();
    let mut open = [first.forwarded, pooled];
    expect_nothing_forwarded(&fleet.endpoint, &mut open, &format!("{disconnect:?}"));
    Ok(())
}

#[test]
fn request_is_not_forwarded_if_its_permit_is_released_together_with_the_disconnect() {
    for disconnect in Disconnect::ALL {
        check_once_set_up(|| check_permit_released_with_disconnect(disconnect));
    }
}

/// Suspends the gateway during its shutdown, answers the requests in flight, sends further requests and
/// disconnects the clients. Checks that no further request is forwarded.
fn check_requests_with_disconnect(disconnect: Disconnect) -> Result<(), ShutdownOver> {
    let mut fleet = SingleEndpoint::with_longest_waits();
    let mut group = RequestGroup::start(&fleet, || read_request(LONGEST_DEADLINE_MS));
    let pooled = pooled_connection(&fleet.endpoint, &fleet.gateway);
    let suspended = SuspendedGateway::while_shutting_down(&fleet.gateway)?;
    // Until it receives these responses, the gateway reads no further input from the clients.
    group.answer_all("first");
    for client in &mut group.clients {
        client.send(read_request(LONGEST_DEADLINE_MS));
    }
    disconnect.apply(&fleet.gateway, &mut group.clients);
    suspended.resume()?;
    fleet.gateway.expect_successful_exit();
    let mut open = group.forwarded;
    open.push(pooled);
    expect_nothing_forwarded(&fleet.endpoint, &mut open, &format!("{disconnect:?}"));
    Ok(())
}

#[test]
fn request_that_arrives_together_with_the_disconnect_is_not_forwarded() {
    for disconnect in Disconnect::ALL {
        check_once_set_up(|| check_requests_with_disconnect(disconnect));
    }
}
