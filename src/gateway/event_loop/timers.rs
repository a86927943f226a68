//! One queue for all timers of the gateway.
//!
//! Timers are never cancelled: most requests end long before their deadlines, and removing from a heap costs more
//! than skipping. The owner says of each timer whether it is still pending; obsolete ones are dropped when they
//! reach the head of the queue, or all together when the queue has grown too long.

use crate::{RequestId, TimerToken};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use tokio::sync::Notify;

/// The queue is not purged of obsolete timers below this length.
const MIN_PURGE_LENGTH: usize = 1024;

/// What happens when a timer expires. Timers that expire at the same time fire in the order of these variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The decision engine asked for it.
    Engine { token: TimerToken },
    /// An attempt has had no response in time.
    AttemptDeadline { request: RequestId, attempt: u32 },
    /// A request has had no final answer in time.
    AnswerDeadline { request: RequestId },
    /// Idle connections are to be looked through.
    ReapIdleConnections,
}

/// A timer with its expiry. The order of the fields is the order of the queue.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    expires_at_us: u64,
    timer: Timer,
}

/// What the queue holds next.
pub(super) enum NextTimer {
    /// This timer has expired and left the queue.
    Expired(Timer),
    /// The next one expires at this time.
    ExpiresAt { unix_ms: f64 },
    /// There is none.
    Nothing,
}

/// The timers of a gateway.
pub(super) struct TimerQueue {
    queue: BinaryHeap<Reverse<ScheduledTimer>>,
    /// The length at which the queue is purged next.
    purge_at_length: usize,
    /// Until when the timer task sleeps.
    sleeping_until_us: u64,
    wake_up: Rc<Notify>,
}

impl TimerQueue {
    pub fn new() -> TimerQueue {
        TimerQueue {
            queue: BinaryHeap::new(),
            purge_at_length: MIN_PURGE_LENGTH,
            sleeping_until_us: u64::MAX,
            wake_up: Rc::default(),
        }
    }

    /// Is notified when a timer is scheduled that expires before the time that [`TimerQueue::next`] last gave.
    pub fn wake_up(&self) -> Rc<Notify> {
        self.wake_up.clone()
    }

    /// Adds a timer that expires at `at_ms`. `is_pending` says which of the others still mean anything.
    pub fn schedule(&mut self, at_ms: f64, timer: Timer, is_pending: impl Fn(&Timer) -> bool) {
        if self.queue.len() >= self.purge_at_length {
            self.queue
                .retain(|Reverse(scheduled)| is_pending(&scheduled.timer));
            self.purge_at_length = MIN_PURGE_LENGTH.max(2 * self.queue.len());
        }
        let expires_at_us = to_microseconds(at_ms);
        self.queue.push(Reverse(ScheduledTimer {
            expires_at_us,
            timer,
        }));
        if expires_at_us < self.sleeping_until_us {
            self.wake_up.notify_one();
        }
    }

    /// Takes the next pending timer if it has expired by `now_ms`, or else says when it expires. Obsolete timers
    /// are dropped, so that none of them wakes the timer task.
    pub fn next(&mut self, now_ms: f64, is_pending: impl Fn(&Timer) -> bool) -> NextTimer {
        let current_us = to_microseconds(now_ms);
        while let Some(Reverse(first)) = self.queue.peek() {
            let pending = is_pending(&first.timer);
            if pending && first.expires_at_us > current_us {
                self.sleeping_until_us = first.expires_at_us;
                return NextTimer::ExpiresAt {
                    unix_ms: first.expires_at_us as f64 / 1000.0,
                };
            }
            if let Some(Reverse(first)) = self.queue.pop()
                && pending
            {
                return NextTimer::Expired(first.timer);
            }
        }
        self.sleeping_until_us = u64::MAX;
        NextTimer::Nothing
    }
}

/// Timers are ordered by whole microseconds, since `f64` has no total order.
fn to_microseconds(ms: f64) -> u64 {
    (ms * 1000.0).max(0.0) as u64
}
