//! Leased concurrency permits. A permit becomes free when it is released or when its lease expires without a
//! renewal.

use crate::decisions::gossip::PermitId;
use crate::units::{Milliseconds, Timestamp};
use std::collections::VecDeque;

/// Leased permits of one tenant, ordered by their last renewal, oldest first.
#[derive(Default)]
pub(super) struct PermitPool {
    leases: VecDeque<Lease>,
}

struct Lease {
    permit: PermitId,
    renewed_at: Timestamp,
}

impl PermitPool {
    pub(super) fn len(&self) -> usize {
        self.leases.len()
    }

    pub(super) fn lease(&mut self, permit: PermitId, now: Timestamp) {
        self.leases.push_back(Lease {
            permit,
            renewed_at: now,
        });
    }

    /// Releases a permit. Does nothing if the permit is not leased.
    pub(super) fn release(&mut self, permit: PermitId) {
        self.leases.retain(|lease| lease.permit != permit);
    }

    /// Renews a lease. A permit whose lease has already expired is leased again, unless `capacity` permits
    /// are leased.
    pub(super) fn renew(&mut self, permit: PermitId, capacity: usize, now: Timestamp) {
        self.release(permit);
        if self.leases.len() < capacity {
            self.lease(permit, now);
        }
    }

    /// Drops the leases that were last renewed more than `lease` ago.
    pub(super) fn expire(&mut self, lease: Milliseconds, now: Timestamp) {
        while self
            .leases
            .front()
            .is_some_and(|first| now - first.renewed_at > lease)
        {
            self.leases.pop_front();
        }
    }
}
