//! A map whose entries are dropped when nobody has used them for some time.

use std::collections::BTreeMap;

/// Values by key, each with the time at which it was last touched.
pub(crate) struct ExpiringMap<K, V> {
    entries: BTreeMap<K, Entry<V>>,
    last_eviction_ms: f64,
}

struct Entry<V> {
    last_touched_ms: f64,
    value: V,
}

impl<K: Ord, V> ExpiringMap<K, V> {
    /// An empty map.
    pub(crate) fn new() -> ExpiringMap<K, V> {
        ExpiringMap {
            entries: BTreeMap::new(),
            last_eviction_ms: 0.0,
        }
    }

    /// The value, which counts as touched now; made with `make` where there is none.
    pub(crate) fn touch(&mut self, key: K, now_ms: f64, make: impl FnOnce() -> V) -> &mut V {
        let new_entry = || Entry {
            last_touched_ms: now_ms,
            value: make(),
        };
        let entry = self.entries.entry(key).or_insert_with(new_entry);
        entry.last_touched_ms = now_ms;
        &mut entry.value
    }

    /// The value, without touching it.
    pub(crate) fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    /// The value to be changed, without touching it.
    pub(crate) fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.entries.get_mut(key).map(|entry| &mut entry.value)
    }

    /// Drops what was not touched for `idle_ms`, but for values in use. Looks once in `interval_ms`; returns whether
    /// it did.
    pub(crate) fn evict_idle(
        &mut self,
        idle_ms: f64,
        interval_ms: f64,
        now_ms: f64,
        in_use: impl Fn(&V) -> bool,
    ) -> bool {
        if now_ms - self.last_eviction_ms <= interval_ms {
            return false;
        }
        self.last_eviction_ms = now_ms;
        self.entries
            .retain(|_, entry| in_use(&entry.value) || now_ms - entry.last_touched_ms < idle_ms);
        true
    }
}
