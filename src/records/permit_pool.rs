//! Leased concurrency permits: they come back when released, or when nothing is heard of them for a lease.

use crate::gossip::PermitId;
use std::collections::VecDeque;

/// The permits of one tenant that are out, the longest unrenewed first.
#[derive(Default)]
pub(crate) struct PermitPool {
    leases: VecDeque<Lease>,
}

struct Lease {
    permit: PermitId,
    renewed_at_ms: f64,
}

impl PermitPool {
    /// How many permits are out.
    pub(crate) fn len(&self) -> usize {
        self.leases.len()
    }

    /// Leases a permit.
    pub(crate) fn lease(&mut self, permit: PermitId, now_ms: f64) {
        self.leases.push_back(Lease {
            permit,
            renewed_at_ms: now_ms,
        });
    }

    /// Takes a permit back, if it is out.
    pub(crate) fn release(&mut self, permit: PermitId) {
        self.leases.retain(|lease| lease.permit != permit);
    }

    /// Renews a lease. One that had expired is leased again, unless `capacity` permits are out.
    pub(crate) fn renew(&mut self, permit: PermitId, capacity: usize, now_ms: f64) {
        self.release(permit);
        if self.leases.len() < capacity {
            self.lease(permit, now_ms);
        }
    }

    /// Takes back the permits that were last renewed more than `lease_ms` ago.
    pub(crate) fn expire(&mut self, lease_ms: f64, now_ms: f64) {
        while self
            .leases
            .front()
            .is_some_and(|lease| now_ms - lease.renewed_at_ms > lease_ms)
        {
            self.leases.pop_front();
        }
    }
}
