//! Remembers which requests may have been executed, so that none of them runs again under the same id.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

/// How long an id is remembered: the longest deadline that clients can ask for.
const RETENTION: Duration = Duration::from_mins(1);
/// Ids that are remembered at most. The oldest ones are forgotten first.
const MAX_IDS: usize = 16 * 1024;

/// The client-chosen ids of ended requests that endpoints may have executed and that must not be repeated.
#[derive(Default)]
pub(super) struct ExecutedIds {
    ids: HashSet<u64>,
    /// The same ids in the order in which their requests ended.
    by_age: VecDeque<ExecutedId>,
}

struct ExecutedId {
    client_request_id: u64,
    ended_at: Instant,
}

impl ExecutedIds {
    /// Adds the id of a request that ended at `now`.
    pub fn insert(&mut self, client_request_id: u64, now: Instant) {
        self.forget_old(now);
        if self.ids.insert(client_request_id) {
            self.by_age.push_back(ExecutedId {
                client_request_id,
                ended_at: now,
            });
        }
    }

    pub fn contains(&self, client_request_id: u64) -> bool {
        self.ids.contains(&client_request_id)
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some(oldest) = self.by_age.front() {
            let is_old = now.saturating_duration_since(oldest.ended_at) > RETENTION;
            if !is_old && self.by_age.len() < MAX_IDS {
                return;
            }
            self.ids.remove(&oldest.client_request_id);
            self.by_age.pop_front();
        }
    }
}
