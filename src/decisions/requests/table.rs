//! The table of the requests of one gateway.

use super::{InFlightRequest, PendingRequest, QuotaGrant, ReceivedRequest};
use crate::decisions::gossip::{QuotaRequestId, TenantKey};
use crate::events::RequestId;
use crate::units::{Milliseconds, Timestamp};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// Timers may fire early by this much.
const TIMER_TOLERANCE: Milliseconds = Milliseconds(0.1);

/// Pending requests by the number of their quota request, and requests in flight by their own id.
pub(crate) struct RequestTable {
    last_id: QuotaRequestId,
    pending: BTreeMap<QuotaRequestId, PendingRequest>,
    in_flight: BTreeMap<RequestId, InFlightRequest>,
}

impl RequestTable {
    /// An empty table. Quota requests get the numbers after this one.
    pub(crate) fn with_last_id(last_id: QuotaRequestId) -> RequestTable {
        RequestTable {
            last_id,
            pending: BTreeMap::new(),
            in_flight: BTreeMap::new(),
        }
    }

    /// The number of the next quota request.
    pub(crate) fn next_id(&mut self) -> QuotaRequestId {
        self.last_id.0 += 1;
        self.last_id
    }

    /// Adds a pending request.
    pub(crate) fn insert_pending(&mut self, pending: PendingRequest) {
        self.pending.insert(pending.received.quota_request, pending);
    }

    /// Removes a pending request.
    pub(crate) fn remove_pending(&mut self, id: QuotaRequestId) -> Option<PendingRequest> {
        self.pending.remove(&id)
    }

    /// Removes a pending request whose wait has ended.
    pub(crate) fn remove_expired(
        &mut self,
        id: QuotaRequestId,
        now: Timestamp,
    ) -> Option<PendingRequest> {
        match self.pending.entry(id) {
            Entry::Occupied(entry) if now + TIMER_TOLERANCE >= entry.get().waits_until => {
                Some(entry.remove())
            }
            _ => None,
        }
    }

    /// Removes the pending request with this id of the client's request.
    pub(crate) fn remove_pending_request(&mut self, id: RequestId) -> Option<PendingRequest> {
        self.remove_first_pending(|pending| pending.received.request.id == id)
    }

    /// Removes the oldest pending request of a tenant.
    pub(crate) fn remove_oldest(&mut self, tenant: TenantKey) -> Option<PendingRequest> {
        self.remove_first_pending(|pending| pending.received.account.tenant == tenant)
    }

    /// Removes the oldest request of a tenant that waits for a permit.
    pub(crate) fn remove_oldest_for_permit(&mut self, tenant: TenantKey) -> Option<PendingRequest> {
        self.remove_first_pending(|pending| awaits_permit_of(pending, tenant))
    }

    fn remove_first_pending(
        &mut self,
        matches: impl Fn(&PendingRequest) -> bool,
    ) -> Option<PendingRequest> {
        let (&id, _) = self.pending.iter().find(|(_, pending)| matches(pending))?;
        self.pending.remove(&id)
    }

    /// The number of a tenant's requests that wait for a permit.
    pub(crate) fn count_awaiting_permit(&self, tenant: TenantKey) -> usize {
        let pending = self.pending.values();
        pending
            .filter(|pending| awaits_permit_of(pending, tenant))
            .count()
    }

    /// Adds a request that is being forwarded.
    pub(crate) fn insert_in_flight(&mut self, received: ReceivedRequest, grant: QuotaGrant) {
        let id = received.request.id;
        self.in_flight
            .insert(id, InFlightRequest::new(received, grant));
    }

    /// A request in flight.
    pub(crate) fn in_flight(&self, id: RequestId) -> Option<&InFlightRequest> {
        self.in_flight.get(&id)
    }

    /// A request in flight, for a change.
    pub(crate) fn in_flight_mut(&mut self, id: RequestId) -> Option<&mut InFlightRequest> {
        self.in_flight.get_mut(&id)
    }

    /// The request in flight with this quota request.
    pub(crate) fn in_flight_by_quota_request(
        &mut self,
        id: QuotaRequestId,
    ) -> Option<&mut InFlightRequest> {
        self.in_flight
            .values_mut()
            .find(|request| request.received.quota_request == id)
    }

    /// The request in flight that uses a permit, if its lease is due for a renewal.
    pub(crate) fn permit_holder_due(
        &mut self,
        permit: QuotaRequestId,
        now: Timestamp,
    ) -> Option<&mut InFlightRequest> {
        let due_until = now + TIMER_TOLERANCE;
        self.in_flight.values_mut().find(|request| {
            request.grant.permit() == Some(permit) && due_until >= request.renew_permit_at
        })
    }

    /// Removes a request in flight.
    pub(crate) fn remove_in_flight(&mut self, id: RequestId) -> Option<InFlightRequest> {
        self.in_flight.remove(&id)
    }
}

fn awaits_permit_of(pending: &PendingRequest, tenant: TenantKey) -> bool {
    pending.received.account.tenant == tenant && pending.awaits_permit()
}
