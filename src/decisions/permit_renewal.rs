//! The leases of concurrency permits: how long they last, and their renewal by the gateway that uses them.

use super::Decisions;
use super::quota_exchange::TIMER_TOLERANCE_MS;
use crate::gossip::{GossipMessage, PermitId, QuotaRequestId};
use crate::records::AccountId;

/// A permit of which nothing is heard for so many mean latencies and a little is taken for lost. Its holder
/// renews it this often meanwhile: slow requests are the ones that would pass a limit unseen.
const PERMIT_LEASE_LATENCIES: f64 = 6.0;
const PERMIT_LEASE_MARGIN_MS: f64 = 20.0;
const RENEWALS_PER_LEASE: f64 = 3.0;

impl Decisions {
    /// For how long the owner takes a permit as in use without a renewal.
    pub(super) fn permit_lease_ms(&self) -> f64 {
        PERMIT_LEASE_LATENCIES
            * (self.load_balancer.mean_latency().as_f64() + PERMIT_LEASE_MARGIN_MS)
    }

    pub(super) fn set_renewal_timer(&mut self, permit: QuotaRequestId) {
        self.actions
            .set_request_timer(permit, self.permit_lease_ms() / RENEWALS_PER_LEASE);
    }

    /// Renews the lease of a permit, if a request in flight still uses it.
    pub(super) fn renew_permit(&mut self, permit: QuotaRequestId) {
        let due_ms = self.now_ms + TIMER_TOLERANCE_MS;
        let holder = self.requests.due_permit_holder_mut(permit, due_ms);
        let Some(account) = holder.map(|holder| holder.admitted.account) else {
            return;
        };
        if !self.shares_permits(account) {
            return;
        }
        let renew_at_ms = self.now_ms + self.permit_lease_ms() / RENEWALS_PER_LEASE;
        if let Some(holder) = self.requests.due_permit_holder_mut(permit, due_ms) {
            holder.renew_permit_at_ms = renew_at_ms;
        }
        self.set_renewal_timer(permit);
        let AccountId { plan, owner, .. } = account;
        if owner == self.settings.gateway {
            self.renew_owned(
                account,
                PermitId {
                    gateway: owner,
                    request: permit,
                },
            );
        } else {
            self.actions
                .send_to_owner(account, &GossipMessage::RenewPermit { plan, permit }, 0.0);
        }
    }
}
