//! One queue for all timers of the event loop.
//!
//! Timers are never cancelled: most requests end long before their deadlines, and removing from a heap costs more
//! than skipping. The owner says of each timer whether it is still pending; obsolete ones are dropped when they
//! reach the head of the queue, or all together when the queue has grown too long.

use crate::gateway::endpoints::AttemptId;
use crate::{RequestId, TimerToken};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The queue is not purged of obsolete timers below this length.
const MIN_PURGE_LENGTH: usize = 1024;

/// What happens when a timer expires. Timers that expire at the same time fire in the order of these variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The decision engine asked for it.
    Engine { token: TimerToken },
    /// An attempt has had no response in time.
    AttemptDeadline { attempt: AttemptId },
    /// A request has had no final answer in time.
    AnswerDeadline { request: RequestId },
    /// Idle connections are to be looked through.
    ReapIdleConnections,
}

/// A time in whole microseconds since the queue was created. The engine's times carry a rounding error below a
/// microsecond, so that two timers for one deadline would otherwise fire in a random order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Tick(u64);

impl Tick {
    const NEVER: Tick = Tick(u64::MAX);
}

/// A timer with its expiry. The order of the fields is the order of the queue.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    expires_at: Tick,
    timer: Timer,
}

/// What the queue holds next.
pub(super) enum NextTimer {
    /// This timer has expired and left the queue.
    Expired(Timer),
    /// The next one expires at this time.
    ExpiresAt(Instant),
    /// There is none.
    Nothing,
}

/// The timers of the event loop.
pub(super) struct TimerQueue {
    created_at: Instant,
    queue: BinaryHeap<Reverse<ScheduledTimer>>,
    /// The length at which the queue is purged next.
    purge_at_length: usize,
    /// Until when the timer task sleeps.
    sleeping_until: Tick,
    wake_up: Rc<Notify>,
}

impl TimerQueue {
    /// An empty queue.
    pub fn new() -> TimerQueue {
        TimerQueue {
            created_at: Instant::now(),
            queue: BinaryHeap::new(),
            purge_at_length: MIN_PURGE_LENGTH,
            sleeping_until: Tick::NEVER,
            wake_up: Rc::default(),
        }
    }

    /// Is notified when a timer is scheduled that expires before the time that [`TimerQueue::next`] last gave.
    pub fn wake_up(&self) -> Rc<Notify> {
        self.wake_up.clone()
    }

    /// Adds a timer. `is_pending` says which of the others still mean anything.
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

    /// Takes the next pending timer if it has expired by `now`, or else says when it expires. Obsolete timers are
    /// dropped, so that none of them wakes the timer task.
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
        NextTimer::Nothing
    }

    fn tick_at(&self, instant: Instant) -> Tick {
        Tick(
            instant
                .saturating_duration_since(self.created_at)
                .as_micros() as u64,
        )
    }

    fn instant_at(&self, tick: Tick) -> Instant {
        self.created_at + Duration::from_micros(tick.0)
    }
}
