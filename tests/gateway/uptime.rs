//! A gateway that has run for a long time serves as on its first day.

use crate::support::*;
use marlshelf::gateway::event_loop::{EventLoop, EventLoopHandle, run_timers};
use marlshelf::gateway::resp;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{self, timeout};

const DAY: Duration = Duration::from_hours(24);
/// The second and third lie on either side of the uptime at which a gateway once stopped serving.
const UPTIMES: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_secs(999_999),
    Duration::from_secs(1_000_001),
    DAY.saturating_mul(60),
    DAY.saturating_mul(3 * 365),
];
/// Deadline of a request that its endpoint leaves unanswered.
const SHORT_DEADLINE_MS: u64 = 2000;

/// Starts a gateway that has run for `uptime` and has one endpoint. Returns it with the endpoint.
async fn gateway_after(uptime: Duration) -> (EventLoopHandle, TcpListener) {
    let (endpoint, address) = bind_any().await;
    let start = Instant::now()
        .checked_sub(uptime)
        .expect("an instant before the start of the machine");
    let configuration = test_configuration(address);
    let gateway = EventLoop::started_at(start, configuration, None, 8).expect("valid settings");
    list_snapshot(&gateway, vec![ready_endpoint("s-1", address)]);
    tokio::task::spawn_local(run_timers(gateway.clone()));
    (gateway, endpoint)
}

/// Returns the number of milliseconds that a forwarded command gives its endpoint.
fn deadline_ms(forwarded: &[u8]) -> u64 {
    let command = resp::parse_command(forwarded)
        .expect("well-formed")
        .expect("complete");
    let fields = std::str::from_utf8(command.part(3)).expect("text");
    let deadline = fields.split(',').find_map(|field| field.strip_prefix("d="));
    deadline
        .and_then(|digits| digits.parse().ok())
        .expect("a deadline")
}

async fn expect_answer(client: &mut TcpStream, expected: &[u8], uptime: Duration) {
    let mut answer = vec![0; expected.len()];
    timeout(TEST_TIMEOUT, client.read_exact(&mut answer))
        .await
        .unwrap_or_else(|_| panic!("no answer after an uptime of {uptime:?}"))
        .expect("an open connection");
    assert_eq!(
        String::from_utf8_lossy(&answer),
        String::from_utf8_lossy(expected),
        "after an uptime of {uptime:?}"
    );
}

/// Guards against a gateway that rejects every request after 1,000,000 s: its timers and deadlines could not
/// lie later than that after its start.
#[test]
fn requests_are_served_after_any_uptime() {
    run_local(async {
        for uptime in UPTIMES {
            let (gateway, endpoint) = gateway_after(uptime).await;
            let request = request_command("pay", "9b1f03aa5c7e2d41", 4);
            let (_clients, mut client) = client_with_command(&gateway, request).await;
            let mut connection = accept(&endpoint, "the request is forwarded").await;
            let forwarded = read_command(&mut connection).await;
            let left_ms = deadline_ms(&forwarded);
            assert!((1..=8000).contains(&left_ms), "{uptime:?}: {left_ms} ms");
            connection
                .write_all(b"*3\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n")
                .await
                .expect("the bytes are written");
            expect_answer(&mut client, b"$2\r\nhi\r\n", uptime).await;
        }
    });
}

/// Guards against deadlines that have passed before they begin, and against those that never pass.
#[test]
fn requests_end_at_their_deadline_after_any_uptime() {
    run_local(async {
        let checks = UPTIMES
            .map(|uptime| tokio::task::spawn_local(expect_request_to_end_at_its_deadline(uptime)));
        for check in checks {
            check.await.expect("the request ends at its deadline");
        }
    });
}

async fn expect_request_to_end_at_its_deadline(uptime: Duration) {
    let (gateway, endpoint) = gateway_after(uptime).await;
    let request = request_command_with_deadline("pay", "9b1f03aa5c7e2d41", 4, SHORT_DEADLINE_MS);
    let sent_at = Instant::now();
    let (_clients, mut client) = client_with_command(&gateway, request).await;
    let mut connection = accept(&endpoint, "the request is forwarded").await;
    read_command(&mut connection).await;
    expect_answer(&mut client, b"-ERR failed\r\n", uptime).await;
    // A request ends some milliseconds before its deadline, so that its client has the answer in time.
    let elapsed = sent_at.elapsed();
    let earliest = Duration::from_millis(SHORT_DEADLINE_MS / 2);
    assert!(
        elapsed >= earliest,
        "failed after {elapsed:?}, uptime {uptime:?}"
    );
}

/// The runtime keeps its timers in a wheel that turns once in 2^36 ms, which is 2.2 years.
#[test]
fn timers_of_the_runtime_fire_in_time_after_any_uptime() {
    const TURN: Duration = Duration::from_millis(1 << 36);
    const WAIT: Duration = Duration::from_millis(250);
    run_in_virtual_time(async {
        let start = time::Instant::now();
        let just_before_turn = TURN.saturating_sub(WAIT / 2);
        for uptime in [DAY * 60, just_before_turn, TURN + DAY * 2, DAY * 3 * 365] {
            time::advance(uptime.saturating_sub(start.elapsed())).await;
            for wait in [WAIT, DAY] {
                let waits_from = time::Instant::now();
                time::sleep(wait).await;
                let waited = waits_from.elapsed();
                assert!(
                    (wait..wait + WAIT).contains(&waited),
                    "waited {waited:?} instead of {wait:?} after {uptime:?}"
                );
            }
        }
    });
}
