//! Virtual time, as a priority queue of future events.

use marlshelf::Timestamp;
use std::collections::BTreeMap;

const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;

/// Future events, ordered by time.
///
/// Times are rounded down to whole microseconds. Events in the same microsecond occur in the order in which
/// they were scheduled. A heap would not define the order of events with equal times, and runs would not be
/// reproducible.
pub struct EventQueue<T> {
    entries: BTreeMap<QueueKey, T>,
    last_serial: u64,
}

/// An event and the time at which it occurs.
#[derive(Debug)]
pub struct ScheduledEvent<T> {
    /// Virtual time of the event, rounded down to whole microseconds.
    pub at: Timestamp,
    /// The value that was passed to [`EventQueue::schedule`].
    pub event: T,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    at_us: u64,
    serial: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        EventQueue {
            entries: BTreeMap::new(),
            last_serial: 0,
        }
    }
}

impl<T> EventQueue<T> {
    /// Adds an event after all events of the same microsecond that are in the queue already.
    pub fn schedule(&mut self, at: Timestamp, event: T) {
        self.last_serial += 1;
        let key = QueueKey {
            at_us: (at.as_f64() * MICROSECONDS_PER_MILLISECOND) as u64,
            serial: self.last_serial,
        };
        self.entries.insert(key, event);
    }

    /// Removes and returns the earliest event. Returns `None` if the queue is empty.
    pub fn pop(&mut self) -> Option<ScheduledEvent<T>> {
        let (key, event) = self.entries.pop_first()?;
        let at = Timestamp(key.at_us as f64 / MICROSECONDS_PER_MILLISECOND);
        Some(ScheduledEvent { at, event })
    }
}
