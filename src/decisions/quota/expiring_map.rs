//! A map that evicts entries after an idle time.

use crate::units::{Milliseconds, Timestamp};
use std::collections::BTreeMap;

/// Map in which each entry records when it was last touched.
pub(super) struct ExpiringMap<K, V> {
    entries: BTreeMap<K, Entry<V>>,
    last_eviction: Timestamp,
}

struct Entry<V> {
    last_touched: Timestamp,
    value: V,
}

impl<K: Ord, V> ExpiringMap<K, V> {
    pub(super) fn new() -> ExpiringMap<K, V> {
        ExpiringMap {
            entries: BTreeMap::new(),
            last_eviction: Timestamp::ZERO,
        }
    }

    /// Returns the value after marking it as touched. Inserts the result of `create` if the key is missing.
    pub(super) fn touch(&mut self, key: K, now: Timestamp, create: impl FnOnce() -> V) -> &mut V {
        let new_entry = || Entry {
            last_touched: now,
            value: create(),
        };
        let entry = self.entries.entry(key).or_insert_with(new_entry);
        entry.last_touched = now;
        &mut entry.value
    }

    /// Returns the value without marking it as touched.
    pub(super) fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    /// Returns a mutable reference to the value without marking it as touched.
    pub(super) fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.entries.get_mut(key).map(|entry| &mut entry.value)
    }

    /// Evicts entries that have not been touched for `max_idle` and are not in use. Scans at most once per
    /// `interval`; returns whether it scanned.
    pub(super) fn evict_idle(
        &mut self,
        max_idle: Milliseconds,
        interval: Milliseconds,
        now: Timestamp,
        in_use: impl Fn(&V) -> bool,
    ) -> bool {
        if now - self.last_eviction <= interval {
            return false;
        }
        self.last_eviction = now;
        self.entries
            .retain(|_, entry| in_use(&entry.value) || now - entry.last_touched < max_idle);
        true
    }
}
