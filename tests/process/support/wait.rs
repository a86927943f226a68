//! Waiting for an event, with one upper bound for all tests.

use std::thread;
use std::time::{Duration, Instant};

/// Upper bound of every wait. Only a test that fails waits this long.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Longer than the gateway keeps a pooled connection unused between two requests.
pub const CONNECTION_REUSE_PAUSE: Duration = Duration::from_millis(20);

/// Polls until the condition is met, and fails after [`TEST_TIMEOUT`] with its description.
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
