//! Polling with a timeout, and the timeouts that all tests share.

use std::thread;
use std::time::{Duration, Instant};

/// Timeout of every wait. Only a failing test waits this long.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after which the gateway can reuse a pooled connection. The gateway does not reuse a connection for
/// the first few milliseconds after a response.
pub const CONNECTION_REUSE_PAUSE: Duration = Duration::from_millis(20);

/// Polls until the condition is met. Fails after [`TEST_TIMEOUT`] with a message that contains `condition`.
#[track_caller]
pub fn wait_until(condition: &str, mut is_met: impl FnMut() -> bool) {
    let started = Instant::now();
    while !is_met() {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "timed out while waiting until {condition}"
        );
        thread::sleep(Duration::from_millis(1));
    }
}
