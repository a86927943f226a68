//! The decision logic of one gateway. It does no input or output and reads no clock. `src/events.rs` defines
//! its events and actions.
//!
//! A request passes through these stages:
//!
//! 1. Quota ([`quota`]): the gateway uses tokens that were leased in advance, or asks the owner of the quota
//!    for a grant. The request may have to wait for the owner's response and for a concurrency permit
//!    ([`requests`]).
//! 2. Forwarding ([`forwarding`]): load shedding may reject the request, low priority tiers first. Otherwise
//!    load balancing chooses an endpoint and the first attempt starts. A failed attempt is retried if a retry
//!    is safe and within the retry budget.
//! 3. Completion: the permit is transferred to the tenant's next request or released, and a difference
//!    between actual usage and the grant is settled with the owner.
//!
//! [`Decisions`] coordinates these components. Each component owns its state and does not access the others.
//! This file implements the request lifecycle; `quota_exchange.rs` implements the exchange with quota owners.

mod account;
mod context;
mod fleet_scale;
mod forwarding;
mod gossip;
mod load_balancing;
pub(crate) mod load_shedding;
mod quota;
mod quota_exchange;
mod requests;
pub(crate) mod retries;

use crate::events::{
    Action, AttemptOutcome, Endpoint, EndpointListKind, RejectReason, Request, RequestId,
    TenantStatistics,
};
use crate::settings::Settings;
use crate::units::{Timestamp, Tokens};
use context::EventContext;
use forwarding::{FinalAnswer, Forwarding, NextStep, RequestEnd};
use gossip::{QuotaDecision, QuotaRequestId};
use load_shedding::RequestOutcome;
use quota::{LeaseDecision, LeaseRequest, LocalCheck, Quotas, Settlement};
use rand::Rng;
use requests::{
    InFlightRequest, PendingRequest, QuotaGrant, ReceivedRequest, RequestTable, WaitState,
};
use std::sync::Arc;

pub(crate) use account::AccountId;
pub(crate) use context::TimerPurpose;
pub(crate) use gossip::{GossipMessage, TenantKey, decode};

/// The bits of the seed that select the first quota request number.
const FIRST_QUOTA_REQUEST_MASK: u64 = 0xff_ffff;

/// Coordinates the components that make the decisions of one gateway.
pub(crate) struct Decisions {
    settings: Arc<Settings>,
    quotas: Quotas,
    requests: RequestTable,
    forwarding: Forwarding,
    context: EventContext,
}

impl Decisions {
    /// Creates the state of a gateway that has just started and has no endpoint list yet.
    pub(crate) fn new(settings: Arc<Settings>, seed: u64) -> Decisions {
        let forwarding = Forwarding::new(&settings);
        // Numbering starts at a seeded offset, because owners may still hold requests of an earlier
        // incarnation of this gateway and respond to them.
        let last_request = QuotaRequestId(seed & FIRST_QUOTA_REQUEST_MASK);
        Decisions {
            quotas: Quotas::new(settings.clone(), seed),
            requests: RequestTable::with_last_id(last_request),
            context: EventContext::new(&settings, forwarding.mean_latency(), seed),
            forwarding,
            settings,
        }
    }

    pub(crate) fn set_time(&mut self, now: Timestamp) {
        self.context.now = now;
    }

    pub(crate) fn tenant_statistics(&self) -> TenantStatistics {
        self.quotas.tenant_statistics()
    }

    /// Evicts tenants, sends due gossip and returns the actions accumulated while handling the event.
    pub(crate) fn finish_event(&mut self) -> Vec<Action> {
        self.quotas.evict_tenants(&mut self.context);
        self.context.finish_event()
    }

    pub(crate) fn on_gossip_timer(&mut self) {
        self.context.on_gossip_timer();
    }

    /// Handles a snapshot or a delta of the endpoint list from discovery.
    pub(crate) fn on_endpoints_changed(&mut self, kind: EndpointListKind, list: Vec<Endpoint>) {
        self.forwarding
            .apply_endpoint_list(kind, list, &self.context);
    }

    pub(crate) fn on_request(&mut self, request: Request) {
        let Some(tier) = self.forwarding.request_arrived(&request) else {
            return self.reject(&request, RejectReason::UnknownClassOrPlan);
        };
        let id = self.requests.next_id();
        let received = ReceivedRequest::new(request, tier, id, &self.settings, self.context.now);
        match self.quotas.on_request(&received, &mut self.context) {
            LeaseDecision::Reject => self.reject(&received.request, RejectReason::QuotaExceeded),
            LeaseDecision::DecideAsOwner(lease) => self.decide_own_request(received, lease),
            LeaseDecision::UsePrefetched { replenish } => {
                self.quotas
                    .send_quota_request(&received, replenish, &mut self.context);
                self.admit(received, QuotaGrant::Prefetched);
            }
            LeaseDecision::QueryOwner { lease, expired } => {
                self.quotas
                    .send_quota_request(&received, lease, &mut self.context);
                self.settle(Settlement::for_tokens(received.account, -expired));
                let gossip_enabled = self.settings.gossip_enabled;
                let pending = PendingRequest::awaiting_owner(received, gossip_enabled);
                self.requests.insert_pending(pending, &mut self.context);
            }
        }
    }

    fn decide_own_request(&mut self, received: ReceivedRequest, lease: LeaseRequest) {
        let request = self.quotas.quota_request(&received, lease);
        match self.decide_as_owner(received.account, request) {
            QuotaDecision::Granted { .. } => self.admit(received, QuotaGrant::Granted(request.id)),
            QuotaDecision::Denied => self.reject(&received.request, RejectReason::QuotaExceeded),
            QuotaDecision::Queued => {
                let pending = PendingRequest::queued_by_owner(received);
                self.requests.insert_pending(pending, &mut self.context);
            }
        }
    }

    /// Handles the firing of a request's timer: either its wait has timed out, or its permit lease is due for
    /// renewal.
    pub(crate) fn on_request_timer(&mut self, id: QuotaRequestId) {
        let Some(pending) = self.requests.remove_expired(id, self.context.now) else {
            return self.renew_permit(id);
        };
        let received = &pending.received;
        if self.settings.gossip_enabled && pending.state == WaitState::AwaitingOwner {
            self.quotas
                .resend_quota_request(received, &mut self.context);
            let pending = pending.awaiting_owner_again();
            return self.requests.insert_pending(pending, &mut self.context);
        }
        let draw = self.context.rng.random::<f64>();
        if !pending.awaits_permit() && self.quotas.admit_unconfirmed(received, draw) {
            return self.admit(pending.received, QuotaGrant::UNCONFIRMED);
        }
        self.cancel_waiting(&pending);
        self.reject(&pending.received.request, RejectReason::QuotaTimeout);
    }

    /// Returns the tokens of a request that stopped waiting for a local permit without getting one.
    fn cancel_waiting(&mut self, pending: &PendingRequest) {
        let received = &pending.received;
        if pending.awaits_permit() && self.quotas.has_local_permits(received.account) {
            self.return_unused(received, pending.leased_permit());
        }
    }

    /// Forwards a request with a quota grant if a local permit, the hard limit, the load shedder and the
    /// endpoints allow it.
    fn admit(&mut self, received: ReceivedRequest, grant: QuotaGrant) {
        let hard_limit_cost = match self.quotas.check_locally(&received, grant) {
            LocalCheck::Passed { hard_limit_cost } => hard_limit_cost,
            LocalCheck::OverHardLimit => {
                return self.reject_unforwarded(&received, grant, RejectReason::HardLimitExceeded);
            }
            LocalCheck::NoFreePermit { permits } => {
                return self.wait_for_local_permit(received, grant, permits);
            }
        };
        let endpoint = match self.forwarding.first_endpoint(&received, &mut self.context) {
            Ok(endpoint) => endpoint,
            Err(reason) => return self.reject_unforwarded(&received, grant, reason),
        };
        self.quotas
            .start_request(&received, grant, hard_limit_cost, &mut self.context);
        let request = self.requests.insert_in_flight(received, grant);
        self.forwarding
            .start_attempt(request, endpoint, &mut self.context);
    }

    fn wait_for_local_permit(
        &mut self,
        received: ReceivedRequest,
        grant: QuotaGrant,
        permits: u32,
    ) {
        let context = &mut self.context;
        let rejected = self
            .requests
            .wait_for_local_permit(received, grant, permits, context);
        if let Some(received) = rejected {
            self.return_unused(&received, grant.permit());
            self.reject(&received.request, RejectReason::ConcurrencyLimit);
        }
    }

    fn reject_unforwarded(
        &mut self,
        received: &ReceivedRequest,
        grant: QuotaGrant,
        reason: RejectReason,
    ) {
        if grant.is_returned_on_rejection() {
            self.return_unused(received, grant.permit());
        }
        self.reject(&received.request, reason);
    }

    fn reject(&mut self, request: &Request, reason: RejectReason) {
        let retry_after = self.quotas.retry_after(request, self.context.now);
        self.context.reject(request.id, retry_after, reason);
    }

    pub(crate) fn on_client_disconnected(&mut self, id: RequestId) {
        if let Some(pending) = self.requests.remove_pending_by_request_id(id) {
            return self.cancel_waiting(&pending);
        }
        let Some(request) = self.requests.in_flight_mut(id) else {
            return;
        };
        request.client_disconnected = true;
        let received = &request.received;
        if !received.meets_latency_objective(self.context.now) {
            self.forwarding
                .record(received.tier, RequestOutcome::Unserved, &self.context);
        }
    }

    pub(crate) fn on_attempt_finished(&mut self, outcome: &AttemptOutcome) {
        let id = outcome.request;
        let request = self.requests.in_flight_mut(id);
        self.forwarding
            .attempt_finished(request, outcome, &mut self.context);
        let Some(request) = self.requests.in_flight(id) else {
            return;
        };
        let (account, cost) = (request.received.account, request.received.request.cost);
        let difference = outcome
            .actual_cost
            .map_or(Tokens::ZERO, |actual| actual - cost);
        self.settle(Settlement::for_tokens(account, difference));
        let Some(request) = self.requests.in_flight_mut(id) else {
            return;
        };
        let context = &mut self.context;
        match self.forwarding.next_step(request, outcome, context) {
            NextStep::Retry(endpoint) => self.forwarding.start_retry(request, endpoint, context),
            NextStep::End(end) => self.end_request(id, end),
        }
    }

    fn end_request(&mut self, id: RequestId, end: RequestEnd) {
        let Some(InFlightRequest {
            received, grant, ..
        }) = self.requests.remove_in_flight(id)
        else {
            return;
        };
        self.reuse_permit(received.account, grant);
        if let Some(outcome) = end.outcome {
            self.forwarding
                .record(received.tier, outcome, &self.context);
        }
        match end.answer {
            FinalAnswer::None => {}
            FinalAnswer::Reject => self.reject(&received.request, RejectReason::AttemptsFailed),
            FinalAnswer::Fail => self.context.fail(id),
        }
    }
}
