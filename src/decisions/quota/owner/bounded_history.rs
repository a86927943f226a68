//! A bounded history of recent values, used to detect retransmitted requests.

use std::collections::VecDeque;

pub(super) struct BoundedHistory<T> {
    values: VecDeque<T>,
}

impl<T: PartialEq> BoundedHistory<T> {
    pub(super) fn new() -> BoundedHistory<T> {
        BoundedHistory {
            values: VecDeque::new(),
        }
    }

    /// Adds a value and drops the oldest values beyond `capacity`.
    pub(super) fn push(&mut self, value: T, capacity: usize) {
        self.values.truncate(capacity.saturating_sub(1));
        self.values.push_front(value);
    }

    pub(super) fn contains(&self, value: &T) -> bool {
        self.values.contains(value)
    }
}
