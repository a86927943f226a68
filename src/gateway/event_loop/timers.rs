//! Timer queue of the event loop.
//!
//! Timers are not cancelled, because most requests end long before their deadlines and removing an entry from
//! a heap costs more than skipping it. The caller provides a callback that returns whether a timer is still
//! pending. Obsolete timers are dropped when they reach the head of the queue, or in a purge when the queue
//! has grown too long.

use crate::gateway::endpoints::AttemptId;
use crate::{RequestId, TimerToken};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Minimum queue length for a purge of obsolete timers.
const MIN_PURGE_LENGTH: usize = 1024;

/// A timer of the event loop. Timers with the same expiry fire in the order of these variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Reports its token to the decision engine, which set the timer.
    Engine { token: TimerToken },
    /// Ends an attempt that has received no response by its deadline.
    AttemptDeadline { attempt: AttemptId },
    /// Fails a request that has no final response by its deadline.
    AnswerDeadline { request: RequestId },
    /// Closes expired idle connections and logs malformed responses.
    ReapIdleConnections,
}

/// Whole microseconds since the start of the queue. The engine's timestamps have a rounding error below
/// one microsecond, which would make two timers for the same deadline fire in random order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Tick(u64);

impl Tick {
    const NEVER: Tick = Tick(u64::MAX);
}

/// A timer with its expiry. The field order defines the queue order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    expires_at: Tick,
    timer: Timer,
}

/// Result of [`TimerQueue::next`].
pub(super) enum NextTimer {
    /// An expired timer, which has been removed from the queue.
    Expired(Timer),
    /// No timer has expired. The next one expires at this time.
    ExpiresAt(Instant),
    Empty,
}

pub(super) struct TimerQueue {
    start: Instant,
    queue: BinaryHeap<Reverse<ScheduledTimer>>,
    /// Queue length that triggers the next purge.
    purge_at_length: usize,
    /// Time until which the timer task sleeps.
    sleeping_until: Tick,
    wake_up: Rc<Notify>,
}

impl TimerQueue {
    /// Creates an empty queue. No timer may expire before `start`.
    pub fn started_at(start: Instant) -> TimerQueue {
        TimerQueue {
            start,
            queue: BinaryHeap::new(),
            purge_at_length: MIN_PURGE_LENGTH,
            sleeping_until: Tick::NEVER,
            wake_up: Rc::default(),
        }
    }

    /// Returns the notification for the timer task. It fires when a timer is scheduled that expires
    /// before the time that [`TimerQueue::next`] last returned.
    pub fn wake_up(&self) -> Rc<Notify> {
        self.wake_up.clone()
    }

    /// Adds a timer. If the queue has grown too long, first drops all timers for which `is_pending` returns
    /// `false`.
    pub fn schedule(
        &mut self,
        expires_at: Instant,
        timer: Timer,
        is_pending: impl Fn(&Timer) -> bool,
    ) {
        if self.queue.len() >= self.purge_at_length {
            self.queue
                .retain(|Reverse(scheduled)| is_pending(&scheduled.timer));
            self.purge_at_length = MIN_PURGE_LENGTH.max(2 * self.queue.len());
        }
        let expires_at = self.tick_at(expires_at);
        self.queue
            .push(Reverse(ScheduledTimer { expires_at, timer }));
        if expires_at < self.sleeping_until {
            self.wake_up.notify_one();
        }
    }

    /// Removes and returns the next pending timer if it has expired by `now`, and returns its expiry
    /// otherwise. Drops obsolete timers, so they do not wake the timer task.
    pub fn next(&mut self, now: Instant, is_pending: impl Fn(&Timer) -> bool) -> NextTimer {
        let now = self.tick_at(now);
        while let Some(Reverse(first)) = self.queue.peek() {
            let pending = is_pending(&first.timer);
            if pending && first.expires_at > now {
                self.sleeping_until = first.expires_at;
                return NextTimer::ExpiresAt(self.instant_at(first.expires_at));
            }
            if let Some(Reverse(first)) = self.queue.pop()
                && pending
            {
                return NextTimer::Expired(first.timer);
            }
        }
        self.sleeping_until = Tick::NEVER;
        NextTimer::Empty
    }

    fn tick_at(&self, instant: Instant) -> Tick {
        Tick(instant.saturating_duration_since(self.start).as_micros() as u64)
    }

    fn instant_at(&self, tick: Tick) -> Instant {
        self.start + Duration::from_micros(tick.0)
    }
}
