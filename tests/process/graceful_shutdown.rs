//! Graceful shutdown after SIGTERM: accepted client requests and quota requests of peers are answered.

use crate::support::*;
use std::time::{Duration, Instant};

/// Connects a client and sends `input` within the accept grace period. Returns an error if the period ends
/// first.
fn client_in_accept_grace(
    gateway: &GatewayProcess,
    shutdown: &ShutdownClock,
    input: impl AsRef<[u8]>,
) -> Result<Connection, ShutdownOver> {
    let Some(mut client) = gateway.try_connect() else {
        shutdown.check_accept_grace()?;
        panic!("expected the gateway to accept a client within its accept grace period");
    };
    client.try_send(input);
    shutdown.check_accept_grace()?;
    Ok(client)
}

fn check_connections_after_sigterm() -> Result<(), ShutdownOver> {
    let mut fleet = SingleEndpoint::start();
    let mut idle = fleet.gateway.connect();
    idle.expect_pong();
    let mut in_flight = fleet.start_request(read_request(8000));
    let shutdown = ShutdownClock::terminate(&fleet.gateway);
    fleet.gateway.wait_for_log(LOG_SHUTTING_DOWN);
    // The gateway accepts and serves new connections during the accept grace period.
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(150) {
        client_in_accept_grace(&fleet.gateway, &shutdown, ping_command())?.expect_reply("+PONG");
    }
    let request = read_request(8000);
    let mut late_client = client_in_accept_grace(&fleet.gateway, &shutdown, request)?;
    let mut late = fleet.endpoint.next_connection();
    late.answer_request("late");
    late_client.expect_reply("late");
    idle.expect_close("it is idle during a graceful shutdown");
    shutdown.check()?;
    in_flight.complete("busy");
    in_flight
        .client
        .expect_close("its last request is answered during a graceful shutdown");
    fleet.gateway.expect_successful_exit();
    Ok(())
}

#[test]
fn idle_connections_are_closed_and_accepted_requests_are_answered_after_sigterm() {
    check_once_set_up(check_connections_after_sigterm);
}

#[test]
fn quota_requests_of_peers_are_answered_during_the_shutdown() {
    let mut pair = GatewayWithPeer::start();
    pair.gateway.begin_shutdown();
    for number in 1..10 {
        let response = pair.request_quota(number);
        assert!(
            response.starts_with(&format!("g,aa,1,{number},")),
            "expected a grant for request {number}, got {response:?}"
        );
    }
    pair.gateway.expect_successful_exit();
}

/// Fills the connection table of a gateway that has a limit of 64 sockets. The 21 clients cannot be evicted,
/// because each has a request in flight.
fn fill_connection_table(fleet: &SingleEndpoint) -> Vec<InFlightRequest> {
    const TABLE_SIZE: usize = 21;
    let mut in_flight = Vec::new();
    for index in 0..TABLE_SIZE {
        // The last client fills the table. The gateway would evict it if its request had not arrived when the
        // gateway accepts it.
        let is_last = index == TABLE_SIZE - 1;
        fleet.gateway.signal(if is_last {
            Signal::Stop
        } else {
            Signal::Continue
        });
        let mut client = fleet.gateway.connect();
        client.send(read_request(9000));
        fleet.gateway.signal(Signal::Continue);
        let mut forwarded = fleet.endpoint.next_connection();
        forwarded.read_command();
        in_flight.push(InFlightRequest { client, forwarded });
    }
    in_flight
}

fn check_accept_queue_of_full_gateway() -> Result<(), ShutdownOver> {
    let mut fleet = SingleEndpoint::configured(|config| config.socket_limit = 64);
    let mut in_flight = fill_connection_table(&fleet);
    let mut queued = fleet.gateway.connect();
    queued.send(ping_command());
    let shutdown = ShutdownClock::terminate(&fleet.gateway);
    fleet.gateway.wait_for_log(LOG_LISTENER_CLOSED);
    shutdown.check()?;
    for request in &mut in_flight {
        request.complete("busy");
    }
    queued.expect_reply("+PONG");
    queued.expect_close("its command is answered during a graceful shutdown");
    fleet.gateway.expect_successful_exit();
    Ok(())
}

#[test]
fn client_in_the_accept_queue_of_a_full_gateway_is_answered_during_the_shutdown() {
    check_once_set_up(check_accept_queue_of_full_gateway);
}

fn check_requests_that_outlast_the_shutdown() -> Result<(), ShutdownOver> {
    let mut fleet = SingleEndpoint::configured(|config| config.read_deadline_ms = "60000.0");
    let mut idle = fleet.gateway.connect();
    let mut unanswered = fleet.start_request(read_request(60_000));
    let mut answered = fleet.start_request(read_request(60_000));
    idle.expect_pong();
    let shutdown = ShutdownClock::terminate(&fleet.gateway);
    idle.expect_close("it is idle during a graceful shutdown");
    // This request is pipelined behind a request in flight, and the endpoint does not answer it.
    answered.client.send(read_request(60_000));
    shutdown.check()?;
    answered.complete("in time");
    let mut pipelined = fleet
        .endpoint
        .connection_of_next_request(answered.forwarded);
    let deadline_ms = pipelined.read_command().deadline_ms();
    assert!(
        deadline_ms < 3700,
        "expected a deadline within the shutdown timeout, got {deadline_ms} ms"
    );
    // The gateway answers both requests long before their deadlines of 60 s.
    unanswered.client.expect_reply_prefix("-");
    answered.client.expect_reply_prefix("-");
    fleet.gateway.expect_successful_exit();
    Ok(())
}

#[test]
fn request_that_would_outlast_the_shutdown_timeout_is_answered_before_the_exit() {
    check_once_set_up(check_requests_that_outlast_the_shutdown);
}

/// Starts a gateway that waits for its first endpoint list, because discovery does not respond. Starts up to
/// 100 gateways, because one on a slow machine may already have stopped waiting. Also returns the discovery
/// service, which must outlive the gateway: the gateway connects to its port until it exits, even if another
/// socket has the port.
fn gateway_awaiting_its_first_list() -> (GatewayProcess, ManualDiscovery) {
    let mut attempts = (0..100).map(|_| {
        let silent_discovery = ManualDiscovery::start();
        let gateway = GatewayConfig::new(silent_discovery.address).spawn();
        // The gateway installs its signal handlers before its first poll.
        let _poll = silent_discovery.next_connection();
        (gateway, silent_discovery)
    });
    attempts
        .find(|(gateway, _)| !gateway.has_logged(LOG_SERVING))
        .expect("at least one of 100 gateways is waiting for its list")
}

#[test]
fn sigterm_ends_a_gateway_that_waits_for_its_first_endpoint_list() {
    let (mut gateway, _discovery) = gateway_awaiting_its_first_list();
    gateway.signal(Signal::Terminate);
    gateway.wait_for_log(LOG_SHUTTING_DOWN);
    gateway.expect_successful_exit();
    assert!(
        !gateway.has_logged(LOG_SERVING),
        "expected an exit without serving clients, got {:?}",
        gateway.log()
    );
}
