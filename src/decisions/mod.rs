//! The decisions of one gateway, without input, output or a clock. Events and actions: `src/events.rs`.
//!
//! The life of a request:
//!
//! 1. Its tenant's quota ([`quota`]): tokens were leased in advance, or the owner of the quota grants them. A
//!    request may wait for the owner's response and for a concurrency permit ([`requests`]).
//! 2. Load shedding may reject it, low priority first; otherwise load balancing chooses an endpoint and the
//!    first attempt starts. A failed attempt is followed by another, if that is safe and the budget allows it
//!    ([`forwarding`]).
//! 3. Its permit is transferred to the next request or released, and usage that differs from the grant is
//!    settled.
//!
//! [`Decisions`] coordinates these components. Each owns its state and uses none of the others. This file has
//! the life of a request, `quota_exchange.rs` what passes between this gateway and the owners of quotas.

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

use crate::events::{Action, AttemptOutcome, Endpoint, EndpointListKind, Request, RequestId};
use crate::settings::Settings;
use crate::units::{Timestamp, Tokens};
use context::EventContext;
use forwarding::{FinalAnswer, Forwarding, NextStep, RequestEnd};
use gossip::{QuotaDecision, QuotaRequestId};
use load_shedding::RequestOutcome;
use quota::{FreedPermit, LeaseDecision, LeaseRequest, LocalCheck, Quotas, Settlement};
use rand::Rng;
use requests::{
    InFlightRequest, PendingRequest, QuotaGrant, ReceivedRequest, RequestTable, WaitState,
};
use std::sync::Arc;

pub(crate) use account::AccountId;
pub(crate) use context::TimerPurpose;
pub(crate) use gossip::{GossipMessage, TenantKey, decode};

/// The bits of the seed from which quota requests are numbered.
const FIRST_QUOTA_REQUEST_MASK: u64 = 0xff_ffff;

/// Coordinates the components that decide for one gateway.
pub(crate) struct Decisions {
    settings: Arc<Settings>,
    quotas: Quotas,
    requests: RequestTable,
    forwarding: Forwarding,
    context: EventContext,
}

impl Decisions {
    /// A gateway that has just started and knows nothing yet.
    pub(crate) fn new(settings: Arc<Settings>, seed: u64) -> Decisions {
        let forwarding = Forwarding::new(&settings);
        // Owners may still know requests of an earlier incarnation of this gateway, and respond to them.
        let last_request = QuotaRequestId(seed & FIRST_QUOTA_REQUEST_MASK);
        Decisions {
            quotas: Quotas::new(settings.clone()),
            requests: RequestTable::with_last_id(last_request),
            context: EventContext::new(&settings, forwarding.mean_latency(), seed),
            forwarding,
            settings,
        }
    }

    /// Sets the time of the event that follows.
    pub(crate) fn set_time(&mut self, now: Timestamp) {
        self.context.now = now;
    }

    /// Sends the gossip that is due, evicts idle tenants, and returns the actions of the event.
    pub(crate) fn finish_event(&mut self) -> Vec<Action> {
        self.quotas.evict_idle(self.context.now);
        self.context.finish_event()
    }

    /// The gossip timer has fired.
    pub(crate) fn on_gossip_timer(&mut self) {
        self.context.on_gossip_timer();
    }

    /// Discovery has sent an endpoint list.
    pub(crate) fn on_endpoints_changed(&mut self, kind: EndpointListKind, list: Vec<Endpoint>) {
        self.forwarding
            .apply_endpoint_list(kind, list, &self.context);
    }

    /// A client has sent a request.
    pub(crate) fn on_request(&mut self, request: Request) {
        let Some(tier) = self.forwarding.request_arrived(&request) else {
            return self.reject(&request);
        };
        let id = self.requests.next_id();
        let received = ReceivedRequest::new(request, tier, id, &self.settings, self.context.now);
        match self.quotas.on_request(&received, &mut self.context) {
            LeaseDecision::Reject => self.reject(&received.request),
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
                self.requests.wait(pending, &mut self.context);
            }
        }
    }

    fn decide_own_request(&mut self, received: ReceivedRequest, lease: LeaseRequest) {
        let request = self.quotas.quota_request(&received, lease);
        match self.decide_as_owner(received.account, request) {
            QuotaDecision::Granted { .. } => self.admit(received, QuotaGrant::Granted(request.id)),
            QuotaDecision::Denied => self.reject(&received.request),
            QuotaDecision::Queued => {
                let pending = PendingRequest::queued_by_owner(received);
                self.requests.wait(pending, &mut self.context);
            }
        }
    }

    /// The timer of a request has fired: its wait has ended, or the lease of its permit is to be renewed.
    pub(crate) fn on_request_timer(&mut self, id: QuotaRequestId) {
        let Some(pending) = self.requests.remove_expired(id, self.context.now) else {
            return self.renew_permit(id);
        };
        let received = &pending.received;
        if self.settings.gossip_enabled && pending.state == WaitState::AwaitingOwner {
            self.quotas
                .resend_quota_request(received, &mut self.context);
            let pending = pending.awaiting_owner_again();
            return self.requests.wait(pending, &mut self.context);
        }
        let draw = self.context.rng.random::<f64>();
        if !pending.awaits_permit() && self.quotas.admit_unconfirmed(received, draw) {
            return self.admit(pending.received, QuotaGrant::UNCONFIRMED);
        }
        self.cancel_waiting(&pending);
        self.reject(&pending.received.request);
    }

    /// Returns the tokens of a request whose wait for one of this gateway's own permits has ended without
    /// one.
    fn cancel_waiting(&mut self, pending: &PendingRequest) {
        let received = &pending.received;
        if pending.awaits_permit() && self.quotas.has_local_permits(received.account) {
            self.return_unused(received, pending.leased_permit());
        }
    }

    /// Forwards a request that its quota covers, if this gateway's own permits, the hard limit, the load
    /// shedder and the endpoints allow it.
    fn admit(&mut self, received: ReceivedRequest, grant: QuotaGrant) {
        let hard_limit_cost = match self.quotas.check_locally(&received, grant) {
            LocalCheck::Passed { hard_limit_cost } => hard_limit_cost,
            LocalCheck::OverHardLimit => return self.reject_unforwarded(&received, grant),
            LocalCheck::NoFreePermit { permits } => {
                return self.wait_for_local_permit(received, grant, permits);
            }
        };
        let endpoint = self.forwarding.first_endpoint(&received, &mut self.context);
        let Some(endpoint) = endpoint else {
            return self.reject_unforwarded(&received, grant);
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
            self.reject(&received.request);
        }
    }

    fn reject_unforwarded(&mut self, received: &ReceivedRequest, grant: QuotaGrant) {
        if grant.is_returned_on_rejection() {
            self.return_unused(received, grant.permit());
        }
        self.reject(&received.request);
    }

    fn reject(&mut self, request: &Request) {
        let retry_after = self.quotas.retry_after(request, self.context.now);
        self.context.reject(request.id, retry_after);
    }

    /// The client of a request has disconnected.
    pub(crate) fn on_client_disconnected(&mut self, id: RequestId) {
        if let Some(pending) = self.requests.remove_pending_request(id) {
            return self.cancel_waiting(&pending);
        }
        let Some(request) = self.requests.in_flight_mut(id) else {
            return;
        };
        request.client_disconnected = true;
        let received = &request.received;
        if !received.is_in_time(self.context.now) {
            self.forwarding
                .record(received.tier, RequestOutcome::Unserved, &self.context);
        }
    }

    /// An attempt has ended.
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
            FinalAnswer::Reject => self.reject(&received.request),
            FinalAnswer::Fail => self.context.fail(id),
        }
    }

    /// Admits the next request that waits for the permit of one that has ended.
    fn reuse_permit(&mut self, account: AccountId, grant: QuotaGrant) {
        match self.quotas.end_request(account, grant) {
            FreedPermit::None => {}
            FreedPermit::Local => {
                if let Some(next) = self.requests.remove_oldest_for_permit(account.tenant) {
                    let grant = next.grant_with_local_permit(self.settings.gateway);
                    self.admit(next.received, grant);
                }
            }
            FreedPermit::Shared(permit) => self.transfer_permit(account, permit),
        }
    }

    /// Transfers a shared permit to the tenant's next request at this gateway, since each message to the
    /// owner would leave it unused for a while. Releases it if no request waits.
    fn transfer_permit(&mut self, account: AccountId, permit: QuotaRequestId) {
        let Some(next) = self.requests.remove_oldest(account.tenant) else {
            return self.settle(Settlement::for_permit(account, permit));
        };
        let received = next.received;
        let cost = received.request.cost;
        self.settle(Settlement::for_tokens(received.account, cost));
        self.admit(received, QuotaGrant::InheritedPermit(permit));
    }
}
