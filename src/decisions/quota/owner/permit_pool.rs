//! Leased concurrency permits. A permit returns when it is released, or when its lease ends without a
//! renewal.

use crate::decisions::gossip::PermitId;
use crate::units::{Milliseconds, Timestamp};
use std::collections::VecDeque;

/// The leased permits of one tenant, in the order of their last renewal, the earliest first.
#[derive(Default)]
pub(super) struct PermitPool {
    leases: VecDeque<Lease>,
}

struct Lease {
    permit: PermitId,
    renewed_at: Timestamp,
}

impl PermitPool {
    /// The number of leased permits.
    pub(super) fn len(&self) -> usize {
        self.leases.len()
    }

    /// Leases a permit.
    pub(super) fn lease(&mut self, permit: PermitId, now: Timestamp) {
        self.leases.push_back(Lease {
            permit,
            renewed_at: now,
        });
    }

    /// Takes a permit back, if it is leased.
    pub(super) fn release(&mut self, permit: PermitId) {
        self.leases.retain(|lease| lease.permit != permit);
    }

    /// Renews a lease. A permit whose lease has ended is leased again, unless `capacity` permits are leased.
    pub(super) fn renew(&mut self, permit: PermitId, capacity: usize, now: Timestamp) {
        self.release(permit);
        if self.leases.len() < capacity {
            self.lease(permit, now);
        }
    }

    /// Takes back the permits that were last renewed longer than `lease` ago.
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
