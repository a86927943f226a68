//! Limits on memory and on file descriptors of the process.

use crate::support::*;

#[test]
fn buffered_partial_commands_stay_within_the_memory_limit() {
    let fleet = SingleEndpoint::configured(|config| config.memory_mb = 32);
    let partial_command = [&b"*2\r\n$4\r\nPING\r\n$65000\r\n"[..], &vec![b'x'; 60_000]].concat();
    let mut clients: Vec<Connection> = (0..150).map(|_| fleet.gateway.connect()).collect();
    for client in &mut clients {
        client.send(&partial_command);
    }
    let replies: Vec<String> = clients.iter_mut().map(Connection::read_reply).collect();
    assert!(
        replies
            .iter()
            .all(|reply| reply.starts_with("-ERR protocol error")),
        "expected a protocol error for every partial command, got {replies:?}"
    );
    assert!(
        replies.iter().any(|reply| reply.contains("no room")),
        "expected a rejection for lack of memory, got {replies:?}"
    );
}

#[test]
fn gateway_recovers_after_the_system_runs_out_of_file_descriptors() {
    // The process limit on descriptors is lower than the configured one.
    let fleet =
        SingleEndpoint::configured(|config| config.shell_prefix = "ulimit -n 32; exec".into());
    let mut clients: Vec<Connection> = Vec::new();
    for _ in 0..60 {
        let mut client = fleet.gateway.connect();
        client.expect_pong();
        clients.push(client);
    }
    fleet.gateway.wait_for_log(LOG_ACCEPT_FAILED);
    drop(clients);
    fleet.gateway.connect().expect_pong();
}
