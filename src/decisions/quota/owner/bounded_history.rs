//! The last few values of a sequence.

use std::collections::VecDeque;

/// Remembers the values that were pushed last.
pub(super) struct BoundedHistory<T> {
    values: VecDeque<T>,
}

impl<T: PartialEq> BoundedHistory<T> {
    /// An empty history.
    pub(super) fn new() -> BoundedHistory<T> {
        BoundedHistory {
            values: VecDeque::new(),
        }
    }

    /// Adds a value, and drops the oldest ones beyond `capacity`.
    pub(super) fn push(&mut self, value: T, capacity: usize) {
        self.values.truncate(capacity.saturating_sub(1));
        self.values.push_front(value);
    }

    /// Whether the value is among those remembered.
    pub(super) fn contains(&self, value: &T) -> bool {
        self.values.contains(value)
    }
}
