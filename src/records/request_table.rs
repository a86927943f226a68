//! The requests that the decision engine has in hand: those that wait, and those that are forwarded.

use super::{InFlightRequest, PendingRequest};
use crate::events::RequestId;
use crate::gossip::{QuotaRequestId, TenantKey};
use std::collections::BTreeMap;

/// Requests that wait, by the number of their quota request, and forwarded ones, by their own id.
pub(crate) struct RequestTable {
    last_id: QuotaRequestId,
    pending: BTreeMap<QuotaRequestId, PendingRequest>,
    in_flight: BTreeMap<RequestId, InFlightRequest>,
}

impl RequestTable {
    /// No requests yet. Their quota requests get the numbers after this one.
    pub(crate) fn numbered_from(last_id: QuotaRequestId) -> RequestTable {
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

    /// Adds a request that waits.
    pub(crate) fn park(&mut self, pending: PendingRequest) {
        self.pending.insert(pending.quota_request, pending);
    }

    /// Until when a request waits, if it does.
    pub(crate) fn waits_until_ms(&self, id: QuotaRequestId) -> Option<f64> {
        self.pending.get(&id).map(|pending| pending.waits_until_ms)
    }

    /// Takes out a request that waits.
    pub(crate) fn take(&mut self, id: QuotaRequestId) -> Option<PendingRequest> {
        self.pending.remove(&id)
    }

    /// Takes out the request with this id of its own, if it waits.
    pub(crate) fn take_by_request(&mut self, id: RequestId) -> Option<PendingRequest> {
        self.take_first(|pending| pending.request.id == id)
    }

    /// Takes out the oldest request of a tenant that waits.
    pub(crate) fn take_next(&mut self, tenant: TenantKey) -> Option<PendingRequest> {
        self.take_first(|pending| pending.account.tenant == tenant)
    }

    /// Takes out the oldest request of a tenant that waits for a permit.
    pub(crate) fn take_next_for_permit(&mut self, tenant: TenantKey) -> Option<PendingRequest> {
        self.take_first(|pending| pending.account.tenant == tenant && pending.waits_for_permit())
    }

    fn take_first(&mut self, matches: impl Fn(&PendingRequest) -> bool) -> Option<PendingRequest> {
        let found = self
            .pending
            .values()
            .find(|pending| matches(pending))?
            .quota_request;
        self.pending.remove(&found)
    }

    /// How many requests of a tenant wait for a permit.
    pub(crate) fn count_waiting_for_permit(&self, tenant: TenantKey) -> usize {
        let waits = |pending: &&PendingRequest| {
            pending.account.tenant == tenant && pending.waits_for_permit()
        };
        self.pending.values().filter(waits).count()
    }

    /// Adds a request that is being forwarded.
    pub(crate) fn begin(&mut self, pending: PendingRequest) {
        self.in_flight
            .insert(pending.request.id, InFlightRequest::new(pending));
    }

    pub(crate) fn in_flight(&self, id: RequestId) -> Option<&InFlightRequest> {
        self.in_flight.get(&id)
    }

    pub(crate) fn in_flight_mut(&mut self, id: RequestId) -> Option<&mut InFlightRequest> {
        self.in_flight.get_mut(&id)
    }

    /// The forwarded request with this quota request.
    pub(crate) fn forwarded_mut(&mut self, id: QuotaRequestId) -> Option<&mut InFlightRequest> {
        self.in_flight
            .values_mut()
            .find(|request| request.admitted.quota_request == id)
    }

    /// The forwarded request that uses a permit, if it is time to renew it.
    pub(crate) fn due_permit_holder_mut(
        &mut self,
        permit: QuotaRequestId,
        now_ms: f64,
    ) -> Option<&mut InFlightRequest> {
        self.in_flight.values_mut().find(|request| {
            request.admitted.authorization.permit() == Some(permit)
                && now_ms >= request.renew_permit_at_ms
        })
    }

    /// Takes out a forwarded request.
    pub(crate) fn end(&mut self, id: RequestId) -> Option<InFlightRequest> {
        self.in_flight.remove(&id)
    }
}
