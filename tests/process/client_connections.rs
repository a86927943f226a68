//! Client connections: invalid commands, timeouts, duplicate request ids, and eviction from the connection
//! table.

use crate::support::*;
use std::io::Write;
use std::thread;

fn request_with_fields(fields: &str) -> Vec<u8> {
    resp_command(&["Q.ASK", TENANT, REQUEST_ID, fields])
}

/// Commands that are well-formed RESP but not valid requests.
fn invalid_commands() -> Vec<Vec<u8>> {
    let valid_fields = "c=read,t=p,d=9,units=1,spread=1,first=0";
    let mut commands = vec![
        resp_command(&["GET", "x"]),
        resp_command(&["Q.ASK"]),
        resp_command(&["Q.ASK", "00000002b4d65521", REQUEST_ID, valid_fields]),
        resp_command(&["Q.ASK", TENANT, "short", valid_fields]),
        resp_command(&[
            "Q.DO",
            TENANT,
            REQUEST_ID,
            "c=order,t=p,d=9,units=1,spread=1,first=0",
            "B",
        ]),
    ];
    let invalid_fields = [
        "c=read,t=p,units=1,spread=1,first=0",
        "c=read,t=p,d=-1,units=1,spread=1,first=0",
        "c=read,t=p,d=,units=1,spread=1,first=0",
        "c=read,t=p,d=3600000,units=1,spread=1,first=0",
        "c=none,t=p,d=9,units=1,spread=1,first=0",
        "c=read,t=none,d=9,units=1,spread=1,first=0",
        "c=read,t=p,d=9,units=NaN,spread=1,first=0",
        "c=read,t=p,d=9,units=5,spread=1,first=0",
        "c=read,t=p,d=9,units=1,spread=0,first=0",
        "c=read,t=p,d=9,units=1,spread=1,first=1",
        "c=read,t=p,d=9,d=9,units=1,spread=1,first=0",
        "c=order,t=p,d=9,k=1,units=1,spread=1,first=0",
        "nonsense",
    ];
    commands.extend(invalid_fields.map(request_with_fields));
    commands
}

#[test]
fn invalid_commands_get_errors_and_only_protocol_errors_close_the_connection() {
    let fleet = SingleEndpoint::start();
    let mut client = fleet.gateway.connect();
    for command in invalid_commands() {
        client.send(&command);
        let reply = client.read_reply();
        assert!(
            reply.starts_with("-ERR "),
            "expected an error for {}, got {reply:?}",
            String::from_utf8_lossy(&command)
        );
    }
    client.expect_pong();
    client.send("GET / HTTP/1.1\r\n\r\n");
    client.expect_reply_prefix("-ERR protocol error");
    client.expect_close("its input was not valid RESP");
    fleet
        .endpoint
        .expect_no_new_connection("no invalid command is forwarded");
}

#[test]
fn duplicate_of_an_in_flight_request_id_is_rejected_until_the_first_request_completes() {
    let fleet = SingleEndpoint::start();
    let mut second_client = fleet.gateway.connect();
    let mut first = fleet.start_request(read_request_with_id(REQUEST_ID, 5000));
    second_client.send(read_request_with_id(REQUEST_ID, 5000));
    second_client.expect_reply_prefix("-ERR ");
    first.complete("one");
    second_client.send(read_request_with_id(REQUEST_ID, 5000));
    let mut connection = fleet.endpoint.connection_of_next_request(first.forwarded);
    connection.answer_request("two");
    second_client.expect_reply("two");
}

#[test]
fn request_id_stays_in_use_while_an_attempt_of_a_disconnected_client_is_in_flight() {
    let fleet = SingleEndpoint::start();
    let mut second_client = fleet.gateway.connect();
    let InFlightRequest {
        client,
        forwarded: _forwarded,
    } = fleet.start_request(read_request_with_id(REQUEST_ID, 9000));
    drop(client);
    for _ in 0..5 {
        second_client.send(read_request_with_id(REQUEST_ID, 9000));
        second_client.expect_reply_prefix("-ERR ");
        thread::sleep(CONNECTION_REUSE_PAUSE);
    }
    fleet
        .endpoint
        .expect_no_new_connection("the duplicates are rejected");
}

/// Sends the beginning of a command and then its next argument byte by byte, until the connection is closed.
fn send_command_slowly(client: &Connection) {
    let mut stream = client
        .stream
        .get_ref()
        .try_clone()
        .expect("the socket can be cloned");
    stream
        .write_all(b"*2\r\n$4\r\nPING\r\n$60000\r\n")
        .expect("the bytes are written");
    thread::spawn(move || {
        while stream.write_all(b"x").is_ok() {
            thread::sleep(CONNECTION_REUSE_PAUSE);
        }
    });
}

#[test]
fn incomplete_commands_time_out_with_an_error_while_other_clients_stay_connected() {
    let fleet = SingleEndpoint::start();
    let mut between_commands = fleet.gateway.connect();
    between_commands.expect_pong();
    let mut in_flight = fleet.start_request(read_request(8500));
    let mut silent = fleet.gateway.connect();
    let mut partial = fleet.gateway.connect();
    let mut slow = fleet.gateway.connect();
    partial.send(PARTIAL_PING);
    send_command_slowly(&slow);
    for (case, client) in [
        ("a silent client", &mut silent),
        ("a partial command", &mut partial),
        ("a slow command", &mut slow),
    ] {
        let reply = client.read_reply();
        assert!(
            reply.starts_with("-ERR protocol error"),
            "{case}: expected a protocol error, got {reply:?}"
        );
        client.expect_close(case);
    }
    // A client that has completed a command may be idle before the next one.
    between_commands.expect_pong();
    in_flight.complete("still here");
}

#[test]
fn silent_new_connections_do_not_evict_a_client_that_has_sent_requests() {
    let fleet = SingleEndpoint::configured(|config| config.socket_limit = 64);
    let mut client = fleet.gateway.connect();
    let _pooled = complete_on_new_connection(&mut client, read_request(5000), &fleet.endpoint, "x");
    let _silent: Vec<Connection> = (0..60).map(|_| fleet.gateway.connect()).collect();
    // The gateway answers on the last connection, so it has accepted all earlier ones and evicted some.
    let mut last = fleet.gateway.connect();
    last.expect_pong();
    client.expect_pong();
}

/// Connects clients that send `input`. The gateway is suspended until all input has arrived, so none of the
/// clients counts as silent, even if the test runs slowly.
fn clients_with_input(gateway: &GatewayProcess, count: usize, input: &[u8]) -> Vec<Connection> {
    gateway.suspend();
    let mut clients: Vec<Connection> = (0..count).map(|_| gateway.connect()).collect();
    for client in &mut clients {
        client.send(input);
    }
    gateway.resume();
    clients
}

#[test]
fn idle_clients_are_closed_early_while_the_connection_table_is_over_half_full() {
    let fleet = SingleEndpoint::configured(|config| config.socket_limit = 64);
    // The table has 21 entries, so 16 clients fit and occupy more than half of it.
    let mut idle = clients_with_input(&fleet.gateway, 16, &ping_command());
    for client in &mut idle {
        client.expect_reply("+PONG");
    }
    // This client connects after the others have become idle, and its request timeout is longer than their
    // idle timeout. By the gateway's clock, the first idle client is closed no later than this one is
    // rejected.
    let mut partial = clients_with_input(&fleet.gateway, 1, PARTIAL_PING).remove(0);
    partial.expect_reply_prefix("-ERR protocol error");
    fleet.gateway.wait_until_input_is_processed();
    assert!(
        is_closed_now(idle[0].stream.get_mut()),
        "expected the longest idle client to be closed by now, as the table is over half full"
    );
}

#[test]
fn longest_idle_client_is_evicted_at_the_connection_limit() {
    let fleet = SingleEndpoint::configured(|config| config.socket_limit = 64);
    let mut clients: Vec<Connection> = Vec::new();
    for _ in 0..80 {
        let mut client = fleet.gateway.connect();
        client.expect_pong();
        clients.push(client);
    }
    clients[0].expect_close("it has been idle longest");
}
