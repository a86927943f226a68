//! Limits how many examples of a frequent event are logged.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Examples of the same event and reason that are logged in each interval.
const EXAMPLES_PER_INTERVAL: u32 = 5;
const INTERVAL: Duration = Duration::from_secs(10);

/// An event with its reason.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct ExampleKind {
    event: &'static str,
    reason: &'static str,
}

/// The examples of one kind in the current interval.
struct ExampleInterval {
    started_at: Instant,
    logged: u32,
}

thread_local! {
    static INTERVALS: RefCell<HashMap<ExampleKind, ExampleInterval>> = RefCell::default();
}

/// Whether another example of this event may be logged. Counts it if so.
pub(super) fn may_log(event: &'static str, reason: &'static str) -> bool {
    let now = Instant::now();
    INTERVALS.with_borrow_mut(|intervals| {
        let interval = intervals
            .entry(ExampleKind { event, reason })
            .or_insert(ExampleInterval {
                started_at: now,
                logged: 0,
            });
        if now.saturating_duration_since(interval.started_at) >= INTERVAL {
            interval.started_at = now;
            interval.logged = 0;
        }
        let is_allowed = interval.logged < EXAMPLES_PER_INTERVAL;
        interval.logged += u32::from(is_allowed);
        is_allowed
    })
}
