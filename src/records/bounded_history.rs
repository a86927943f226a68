//! The last few values of a sequence.

use std::collections::VecDeque;

/// Remembers the values pushed last.
pub(crate) struct BoundedHistory<T> {
    values: VecDeque<T>,
}

impl<T: PartialEq> BoundedHistory<T> {
    /// Remembers nothing yet.
    pub(crate) fn new() -> BoundedHistory<T> {
        BoundedHistory {
            values: VecDeque::new(),
        }
    }

    /// Remembers a value, and `capacity` values at the most; the oldest make room where needed.
    pub(crate) fn push(&mut self, value: T, capacity: usize) {
        self.values.truncate(capacity.saturating_sub(1));
        self.values.push_front(value);
    }

    /// Whether the value is among those remembered.
    pub(crate) fn contains(&self, value: &T) -> bool {
        self.values.contains(value)
    }
}
