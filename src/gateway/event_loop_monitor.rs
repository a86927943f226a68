//! Measures how late the event loop runs its tasks.

use crate::gateway::log::{self, TrafficEvent};
use metrics::counter;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Delay from which the event loop counts as held up. Requests have tens of milliseconds to spare at best.
const REPORTED_DELAY: Duration = Duration::from_millis(100);

/// Counts and logs each time that the event loop was held up, until the future is dropped.
pub async fn run_monitor() {
    loop {
        let expected = Instant::now() + CHECK_INTERVAL;
        sleep_until(expected).await;
        let delay = Instant::now().saturating_duration_since(expected);
        if delay >= REPORTED_DELAY {
            counter!("event_loop_delays").increment(1);
            log::example(&TrafficEvent::EventLoopDelayed { delay });
        }
    }
}
