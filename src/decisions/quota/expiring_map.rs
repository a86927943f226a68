//! A map whose entries are dropped when they have not been used for some time.

use crate::units::{Milliseconds, Timestamp};
use std::collections::BTreeMap;

/// Values by key, each with the time at which it was last touched.
pub(super) struct ExpiringMap<K, V> {
    entries: BTreeMap<K, Entry<V>>,
    last_eviction: Timestamp,
}

struct Entry<V> {
    last_touched: Timestamp,
    value: V,
}

impl<K: Ord, V> ExpiringMap<K, V> {
    /// An empty map.
    pub(super) fn new() -> ExpiringMap<K, V> {
        ExpiringMap {
            entries: BTreeMap::new(),
            last_eviction: Timestamp::ZERO,
        }
    }

    /// The value, which counts as touched now. If there is none, `make` creates it.
    pub(super) fn touch(&mut self, key: K, now: Timestamp, make: impl FnOnce() -> V) -> &mut V {
        let new_entry = || Entry {
            last_touched: now,
            value: make(),
        };
        let entry = self.entries.entry(key).or_insert_with(new_entry);
        entry.last_touched = now;
        &mut entry.value
    }

    /// The value, without touching it.
    pub(super) fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    /// The value for a change, without touching it.
    pub(super) fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.entries.get_mut(key).map(|entry| &mut entry.value)
    }

    /// Drops the entries that were not touched for `max_idle`, except those in use. Does so at most once in
    /// `interval`; returns whether it did.
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
