//! The last few values of a sequence.

use std::collections::VecDeque;

/// Remembers the values pushed last, up to a number of them.
pub(crate) struct BoundedHistory<T> {
    values: VecDeque<T>,
    capacity: usize,
}

impl<T: PartialEq> BoundedHistory<T> {
    /// Remembers nothing yet, and `capacity` values at the most.
    pub(crate) fn new(capacity: usize) -> BoundedHistory<T> {
        BoundedHistory {
            values: VecDeque::new(),
            capacity,
        }
    }

    /// Remembers a value; the oldest makes room where needed.
    pub(crate) fn push(&mut self, value: T) {
        self.values.truncate(self.capacity - 1);
        self.values.push_front(value);
    }

    /// Whether the value is among those remembered.
    pub(crate) fn contains(&self, value: &T) -> bool {
        self.values.contains(value)
    }
}
