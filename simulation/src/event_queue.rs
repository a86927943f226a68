//! Virtual time: a queue of future events.

use marlshelf::Timestamp;
use std::collections::BTreeMap;

const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;

/// All events that have not happened yet, in the order of their times.
///
/// Times are rounded down to whole microseconds. Events of the same microsecond keep the order in which they were
/// scheduled, so that a run doesn't depend on the order of equal keys in a heap.
pub struct EventQueue<T> {
    entries: BTreeMap<QueueKey, T>,
    last_serial: u64,
}

/// An event with its time.
#[derive(Debug)]
pub struct ScheduledEvent<T> {
    /// When it happens.
    pub at: Timestamp,
    /// What happens.
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
    /// Schedules an event.
    pub fn schedule(&mut self, at: Timestamp, event: T) {
        self.last_serial += 1;
        let key = QueueKey {
            at_us: (at.as_f64() * MICROSECONDS_PER_MILLISECOND) as u64,
            serial: self.last_serial,
        };
        self.entries.insert(key, event);
    }

    /// Removes the next event.
    pub fn pop(&mut self) -> Option<ScheduledEvent<T>> {
        let (key, event) = self.entries.pop_first()?;
        let at = Timestamp(key.at_us as f64 / MICROSECONDS_PER_MILLISECOND);
        Some(ScheduledEvent { at, event })
    }
}
