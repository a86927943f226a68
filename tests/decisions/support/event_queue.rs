//! The event queue of the simulations.

use std::collections::BTreeMap;

/// Events in the order of their times, in microseconds. Events of one time keep the order of insertion.
pub struct EventQueue<T> {
    events: BTreeMap<Position, T>,
    inserted: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    at_us: u64,
    serial: u64,
}

impl<T> EventQueue<T> {
    pub fn new() -> Self {
        EventQueue {
            events: BTreeMap::new(),
            inserted: 0,
        }
    }

    pub fn insert(&mut self, at_ms: f64, event: T) {
        self.inserted += 1;
        let position = Position {
            at_us: (at_ms * 1000.0) as u64,
            serial: self.inserted,
        };
        self.events.insert(position, event);
    }

    /// The next event and its time in milliseconds.
    pub fn pop(&mut self) -> Option<(f64, T)> {
        let (position, event) = self.events.pop_first()?;
        Some((position.at_us as f64 / 1000.0, event))
    }
}
