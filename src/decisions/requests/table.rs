//! Storage for the pending requests and the requests in flight of one gateway.

use super::{InFlightRequest, PendingRequest, QuotaGrant, ReceivedRequest};
use crate::decisions::context::EventContext;
use crate::decisions::gossip::{QuotaRequestId, TenantKey};
use crate::events::RequestId;
use crate::units::{Milliseconds, Timestamp};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// The tolerance for timers that fire early.
const TIMER_TOLERANCE: Milliseconds = Milliseconds(0.1);

/// The effect of a grant that arrives when no pending request waits for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LateGrant {
    /// It confirms a request that was forwarded without a grant.
    Confirms,
    /// It duplicates the grant with which a request was forwarded.
    Repeated,
    /// No request in flight can use it.
    Unused,
}

/// Pending requests by quota request number, and requests in flight by client request id.
pub(crate) struct RequestTable {
    last_id: QuotaRequestId,
    pending: BTreeMap<QuotaRequestId, PendingRequest>,
    in_flight: BTreeMap<RequestId, InFlightRequest>,
}

impl RequestTable {
    /// Creates an empty table. Quota requests are numbered from the one after `last_id`.
    pub(crate) fn with_last_id(last_id: QuotaRequestId) -> RequestTable {
        RequestTable {
            last_id,
            pending: BTreeMap::new(),
            in_flight: BTreeMap::new(),
        }
    }

    /// Allocates the number of the next quota request.
    pub(crate) fn next_id(&mut self) -> QuotaRequestId {
        self.last_id.0 += 1;
        self.last_id
    }

    /// Adds a pending request and sets the timer for the end of its wait.
    pub(crate) fn insert_pending(&mut self, pending: PendingRequest, context: &mut EventContext) {
        let delay = (pending.waits_until - context.now).max(Milliseconds::ZERO);
        let id = pending.received.quota_request;
        context.set_request_timer(id, delay);
        self.pending.insert(id, pending);
    }

    /// Queues a request for a local permit if one is likely to be free before its wait deadline. Otherwise
    /// returns the request.
    pub(crate) fn wait_for_local_permit(
        &mut self,
        received: ReceivedRequest,
        grant: QuotaGrant,
        permits: u32,
        context: &mut EventContext,
    ) -> Option<ReceivedRequest> {
        let position = self.count_awaiting_permit(received.account.tenant) + 1;
        let expected_wait = context.mean_latency * position as f64 / f64::from(permits);
        if context.now + expected_wait > received.wait_deadline {
            return Some(received);
        }
        self.insert_pending(
            PendingRequest::awaiting_local_permit(received, grant),
            context,
        );
        None
    }

    fn count_awaiting_permit(&self, tenant: TenantKey) -> usize {
        let pending = self.pending.values();
        pending
            .filter(|pending| awaits_permit_of(pending, tenant))
            .count()
    }

    pub(crate) fn remove_pending(&mut self, id: QuotaRequestId) -> Option<PendingRequest> {
        self.pending.remove(&id)
    }

    /// Removes a pending request if its wait has ended.
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

    /// Removes a pending request by the id of the client's request.
    pub(crate) fn remove_pending_by_request_id(&mut self, id: RequestId) -> Option<PendingRequest> {
        self.remove_first_pending(|pending| pending.received.request.id == id)
    }

    /// Removes the oldest pending request of a tenant, whatever it waits for.
    pub(crate) fn remove_oldest(&mut self, tenant: TenantKey) -> Option<PendingRequest> {
        self.remove_first_pending(|pending| pending.received.account.tenant == tenant)
    }

    /// Removes the oldest pending request of a tenant that waits for a permit.
    pub(crate) fn remove_oldest_awaiting_permit(
        &mut self,
        tenant: TenantKey,
    ) -> Option<PendingRequest> {
        self.remove_first_pending(|pending| awaits_permit_of(pending, tenant))
    }

    fn remove_first_pending(
        &mut self,
        matches: impl Fn(&PendingRequest) -> bool,
    ) -> Option<PendingRequest> {
        let (&id, _) = self.pending.iter().find(|(_, pending)| matches(pending))?;
        self.pending.remove(&id)
    }

    /// Adds a request whose first attempt is about to start.
    pub(crate) fn insert_in_flight(
        &mut self,
        received: ReceivedRequest,
        grant: QuotaGrant,
    ) -> &mut InFlightRequest {
        let entry = self.in_flight.entry(received.request.id);
        let request = InFlightRequest::new(received, grant);
        entry.insert_entry(request).into_mut()
    }

    pub(crate) fn in_flight(&self, id: RequestId) -> Option<&InFlightRequest> {
        self.in_flight.get(&id)
    }

    pub(crate) fn in_flight_mut(&mut self, id: RequestId) -> Option<&mut InFlightRequest> {
        self.in_flight.get_mut(&id)
    }

    /// Handles a grant for which no pending request waits, and returns its effect.
    pub(crate) fn apply_late_grant(&mut self, id: QuotaRequestId) -> LateGrant {
        let mut in_flight = self.in_flight.values_mut();
        let request = in_flight.find(|request| request.received.quota_request == id);
        match request {
            Some(request) if request.is_unconfirmed() => {
                request.grant = QuotaGrant::Granted(id);
                LateGrant::Confirms
            }
            Some(request) if request.grant.permit() == Some(id) => LateGrant::Repeated,
            _ => LateGrant::Unused,
        }
    }

    /// Returns the request in flight that uses a permit if the permit's lease is due for renewal.
    pub(crate) fn permit_holder_due_for_renewal(
        &mut self,
        permit: QuotaRequestId,
        now: Timestamp,
    ) -> Option<&mut InFlightRequest> {
        let due_until = now + TIMER_TOLERANCE;
        self.in_flight.values_mut().find(|request| {
            request.grant.permit() == Some(permit) && due_until >= request.renew_permit_at
        })
    }

    pub(crate) fn remove_in_flight(&mut self, id: RequestId) -> Option<InFlightRequest> {
        self.in_flight.remove(&id)
    }
}

fn awaits_permit_of(pending: &PendingRequest, tenant: TenantKey) -> bool {
    pending.received.account.tenant == tenant && pending.awaits_permit()
}
