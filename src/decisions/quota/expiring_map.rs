//! A map that evicts entries after an idle time, and earlier if it holds too many.

use crate::units::{Milliseconds, Timestamp};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Number of entries that are compared to choose the one to evict from a full map. The least recently used
/// of a sample is nearly as old as the least recently used of all, and a sample needs no index by age.
const EVICTION_SAMPLE_SIZE: usize = 16;

/// What eviction has to consider about a value. Values of a lower variant are evicted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Retention {
    /// The value is worth little.
    Expendable,
    /// The value is evicted if no expendable one is found.
    Valuable,
    /// The value must not be evicted.
    InUse,
}

/// Map in which each entry records when it was last touched.
pub(super) struct ExpiringMap<K, V> {
    entries: BTreeMap<K, Entry<V>>,
    last_eviction: Timestamp,
}

struct Entry<V> {
    last_touched: Timestamp,
    value: V,
}

/// An entry that may be evicted from a full map.
struct Candidate<K> {
    key: K,
    retention: Retention,
    last_touched: Timestamp,
}

impl<K> Candidate<K> {
    /// Orders the candidate that is evicted first before the others.
    fn compare(&self, other: &Candidate<K>) -> Ordering {
        let by_age = self
            .last_touched
            .as_f64()
            .total_cmp(&other.last_touched.as_f64());
        self.retention.cmp(&other.retention).then(by_age)
    }
}

impl<K: Ord + Copy, V> ExpiringMap<K, V> {
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

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the value without marking it as touched.
    pub(super) fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    /// Returns a mutable reference to the value without marking it as touched.
    pub(super) fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.entries.get_mut(key).map(|entry| &mut entry.value)
    }

    /// Evicts entries that have not been touched for `max_idle` and are not in use, and returns their keys.
    /// Scans at most once per `interval`.
    pub(super) fn evict_idle(
        &mut self,
        max_idle: Milliseconds,
        interval: Milliseconds,
        now: Timestamp,
        retention: impl Fn(&V) -> Retention,
    ) -> Vec<K> {
        if now - self.last_eviction <= interval {
            return Vec::new();
        }
        self.last_eviction = now;
        let idle = |entry: &Entry<V>| {
            now - entry.last_touched >= max_idle && retention(&entry.value) != Retention::InUse
        };
        self.entries
            .extract_if(.., |_, entry| idle(entry))
            .map(|(key, _)| key)
            .collect()
    }

    /// Evicts entries until the map holds at most `capacity`, and returns their keys. Each evicted entry is
    /// the least recently touched one of the lowest [`Retention`] in a sample. A sample consists of
    /// successive entries, the first of them at or after the key that `random_key` returns.
    ///
    /// The map stays larger if all entries of a sample are in use.
    pub(super) fn evict_excess(
        &mut self,
        capacity: usize,
        mut random_key: impl FnMut() -> K,
        retention: impl Fn(&V) -> Retention,
    ) -> Vec<K> {
        let mut evicted = Vec::new();
        while self.entries.len() > capacity {
            let Some(key) = self.choose_victim(random_key(), &retention) else {
                break;
            };
            self.entries.remove(&key);
            evicted.push(key);
        }
        evicted
    }

    fn choose_victim(&self, first: K, retention: &impl Fn(&V) -> Retention) -> Option<K> {
        let sample = self.entries.range(first..).chain(&self.entries);
        let candidates = sample
            .take(EVICTION_SAMPLE_SIZE)
            .map(|(key, entry)| Candidate {
                key: *key,
                retention: retention(&entry.value),
                last_touched: entry.last_touched,
            });
        candidates
            .filter(|candidate| candidate.retention != Retention::InUse)
            .min_by(Candidate::compare)
            .map(|victim| victim.key)
    }
}
