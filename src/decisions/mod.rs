//! The decisions of one gateway, without input, output or a clock. Events and actions: `src/events.rs`.
//!
//! The life of a request:
//!
//! 1. Its tenant's quota ([`quota`]): tokens were leased in advance, or the owner of the quota grants them. A request
//!    may wait for the owner's response and for a concurrency permit ([`requests`]).
//! 2. Load shedding ([`load_shedding`]): it may be rejected at once, low priority first.
//! 3. Load balancing: an endpoint is chosen, and the first attempt starts.
//! 4. Retries ([`retries`]): an attempt that failed is followed by another, if that is safe and the budget allows it.
//! 5. Its permit is transferred to the next request or released, and usage that differs from the grant is settled.
//!
//! [`Decisions`] coordinates the components. Each component owns its state and knows none of the others.

mod actions;
mod endpoint_estimation;
mod endpoint_selection;
mod fleet_scale;
pub(crate) mod gossip;
mod load_shedding;
pub(crate) mod quota;
mod requests;
mod retries;
mod subset;

use crate::endpoint_model::EndpointModel;
use crate::events::{
    Action, AttemptOutcome, AttemptResult, Endpoint, EndpointListKind, EndpointName, GatewayId,
    Request, RequestId,
};
use crate::records::RetryScope;
use crate::settings::Settings;
use crate::statistics::SavingsBudget;
use crate::units::{Milliseconds, Timestamp, Tokens};
use actions::ActionSink;
use endpoint_estimation::estimation_parameters;
use endpoint_selection::{Selection, choose_endpoint};
use fleet_scale::fleet_scale;
use gossip::{
    GossipMessage, GossipOutbox, OwnerState, PermitId, QuotaDecision, QuotaRequest, QuotaRequestId,
    TenantKey,
};
use load_shedding::LoadShedder;
use quota::{
    AccountId, Conditions, LeaseDecision, LeaseRequest, LocalCheck, QueuedDecision, Quotas,
    Settlement, renewal_interval,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use requests::{
    InFlightRequest, PendingRequest, QuotaGrant, ReceivedRequest, RequestTable, WaitState,
};
use retries::{
    MAX_SAVED_RETRIES, RETRIES_PER_REQUEST, client_may_repeat, is_retryable, may_have_executed,
    retry_scope,
};
use std::sync::Arc;

pub(crate) use actions::TimerPurpose;

const DEMAND_WINDOW_MS: f64 = 2000.0;
/// The bits of the seed from which quota requests are numbered.
const FIRST_QUOTA_REQUEST_MASK: u64 = 0xff_ffff;

/// Coordinates the components that decide for one gateway.
pub(crate) struct Decisions {
    settings: Arc<Settings>,
    rng: Pcg64Mcg,
    now: Timestamp,
    quotas: Quotas,
    requests: RequestTable,
    load_shedder: LoadShedder,
    endpoints: EndpointModel,
    retry_budget: SavingsBudget,
    outbox: GossipOutbox,
    actions: ActionSink,
}

impl Decisions {
    /// A gateway that has just started and knows nothing yet.
    pub(crate) fn new(settings: Arc<Settings>, seed: u64) -> Decisions {
        Decisions {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Timestamp::ZERO,
            quotas: Quotas::new(settings.clone()),
            // Owners may still know requests of an earlier incarnation of this gateway, and respond to them.
            requests: RequestTable::with_last_id(QuotaRequestId(seed & FIRST_QUOTA_REQUEST_MASK)),
            load_shedder: LoadShedder::new(settings.clone()),
            endpoints: EndpointModel::new(settings.clone(), estimation_parameters(&settings)),
            retry_budget: SavingsBudget::full(MAX_SAVED_RETRIES),
            outbox: GossipOutbox::new(&settings),
            actions: ActionSink::default(),
            settings,
        }
    }

    /// Sets the time of the event that follows.
    pub(crate) fn set_time(&mut self, now: Timestamp) {
        self.now = now;
    }

    /// Sends the gossip that is due, forgets idle tenants, and returns the actions of the event.
    pub(crate) fn finish_event(&mut self) -> Vec<Action> {
        self.outbox.accrue_allowance(self.now);
        while let Some(datagram) = self.outbox.pop_due(self.now) {
            self.actions.send(datagram);
        }
        if let Some(delay) = self.outbox.next_timer(self.now) {
            self.actions.set_gossip_timer(delay);
        }
        self.quotas.evict_idle(self.now);
        self.actions.take()
    }

    pub(crate) fn on_gossip_timer(&mut self) {
        self.outbox.on_timer_fired();
    }

    pub(crate) fn on_endpoints_changed(
        &mut self,
        kind: EndpointListKind,
        endpoints: Vec<Endpoint>,
    ) {
        self.endpoints
            .apply_list(kind, endpoints, self.now.as_f64());
    }

    /// A client has sent a request.
    pub(crate) fn on_request(&mut self, request: Request) {
        let Some(tier) = self.load_shedder.tier_of(request.class, request.plan) else {
            return self.reject(&request);
        };
        self.retry_budget.earn(RETRIES_PER_REQUEST);
        let account = AccountId::of(&request, self.settings.gateway_count);
        let class = self.settings.class(request.class);
        let id = self.requests.next_id();
        let received = ReceivedRequest::new(request, account, tier, id, class, self.now);
        let (request, conditions) = (&received.request, self.conditions());
        let decision = self
            .quotas
            .request(account, request, conditions, &mut self.rng);
        match decision {
            LeaseDecision::Reject => self.reject(request),
            LeaseDecision::DecideAsOwner(lease) => self.decide_own_request(received, lease),
            LeaseDecision::UsePrefetched { replenish } => {
                self.ask_owner(&received, replenish);
                self.admit(received, QuotaGrant::Prefetched);
            }
            LeaseDecision::AskOwner { lease, expired } => {
                self.ask_owner(&received, lease);
                self.settle(Settlement::of_tokens(account, -expired));
                let timeout = received.response_timeout(self.settings.gossip_enabled);
                self.wait(PendingRequest::awaiting_owner(received, self.now + timeout));
            }
        }
    }

    fn conditions(&self) -> Conditions {
        Conditions {
            now: self.now,
            mean_latency: Milliseconds(self.endpoints.mean_latency_ms()),
        }
    }

    fn decide_own_request(&mut self, received: ReceivedRequest, lease: LeaseRequest) {
        let request = received.quota_request(lease, self.settings.gateway);
        match self.decide_as_owner(received.account, request) {
            QuotaDecision::Granted { .. } => self.admit(received, QuotaGrant::Granted(request.id)),
            QuotaDecision::Denied => self.reject(&received.request),
            QuotaDecision::Queued => self.wait(PendingRequest::queued_by_owner(received)),
        }
    }

    fn ask_owner(&mut self, received: &ReceivedRequest, lease: Option<LeaseRequest>) {
        let Some(lease) = lease else { return };
        let request = received.quota_request(lease, self.settings.gateway);
        let plan = received.account.plan;
        let message = GossipMessage::RequestQuota { plan, request };
        self.send_to_owner(received.account, &message, Milliseconds::ZERO);
    }

    /// Keeps a request until what it waits for comes, or its wait ends.
    fn wait(&mut self, pending: PendingRequest) {
        let delay = (pending.waits_until - self.now).max(Milliseconds::ZERO);
        let id = pending.received.quota_request;
        self.actions.set_request_timer(id, delay);
        self.requests.insert_pending(pending);
    }

    /// The timer of a request has fired: its wait has ended, or the lease of its permit is to be renewed.
    pub(crate) fn on_request_timer(&mut self, id: QuotaRequestId) {
        let Some(pending) = self.requests.remove_expired(id, self.now) else {
            return self.renew_permit(id);
        };
        let received = &pending.received;
        if self.settings.gossip_enabled && pending.state == WaitState::AwaitingOwner {
            let (account, cost) = (received.account, received.cost());
            let lease = self.quotas.repeated_lease_request(account, cost);
            self.ask_owner(received, Some(lease));
            return self.wait(pending.awaiting_owner_again());
        }
        let draw = self.rng.random::<f64>();
        let awaits_permit = pending.awaits_permit();
        if !awaits_permit
            && self
                .quotas
                .admit_unconfirmed(received.account, id, &received.request, draw)
        {
            return self.admit(pending.received, QuotaGrant::UNCONFIRMED);
        }
        self.cancel_waiting(&pending);
        self.reject(&pending.received.request);
    }

    /// Returns the tokens of a request that waited in vain for one of this gateway's own permits.
    fn cancel_waiting(&mut self, pending: &PendingRequest) {
        let account = pending.received.account;
        if pending.awaits_permit() && self.quotas.local_permit_limit(account).is_some() {
            self.return_unused(&pending.received, pending.leased_permit());
        }
    }

    /// Forwards a request that its quota covers, if this gateway's own permits, the hard limit, the load shedder and
    /// the endpoints allow it.
    fn admit(&mut self, received: ReceivedRequest, grant: QuotaGrant) {
        let (account, cost) = (received.account, received.cost());
        match self
            .quotas
            .check_locally(account, cost, grant.covers_cost())
        {
            LocalCheck::NoFreePermit => self.wait_for_local_permit(received, grant),
            LocalCheck::OverHardLimit => self.reject_unforwarded(&received, grant),
            LocalCheck::Passed { hard_limit_cost } => match self.first_endpoint(&received) {
                Some(endpoint) => self.forward_first(received, grant, hard_limit_cost, &endpoint),
                None => {
                    // A client's retry that is rejected here was counted with the first request.
                    if !received.request.is_retry {
                        self.load_shedder
                            .record(received.tier, false, self.now.as_f64());
                    }
                    self.reject_unforwarded(&received, grant);
                }
            },
        }
    }

    fn wait_for_local_permit(&mut self, received: ReceivedRequest, grant: QuotaGrant) {
        let permits = self
            .quotas
            .local_permit_limit(received.account)
            .unwrap_or(1);
        let position = self.requests.count_awaiting_permit(received.account.tenant) + 1;
        let mean_latency = self.conditions().mean_latency;
        let expected_wait = mean_latency * position as f64 / f64::from(permits);
        if self.now + expected_wait <= received.wait_deadline {
            return self.wait(PendingRequest::awaiting_local_permit(received, grant));
        }
        self.return_unused(&received, grant.permit());
        self.reject(&received.request);
    }

    fn first_endpoint(&mut self, received: &ReceivedRequest) -> Option<EndpointName> {
        let endpoints = self.endpoints.endpoint_count();
        let now_ms = self.now.as_f64();
        if self
            .load_shedder
            .sheds(received.tier, now_ms, endpoints, &mut self.rng)
        {
            return None;
        }
        let class = received.request.class;
        let max_latency_ms = self.endpoints.acceptable_latency_ms(class);
        let selection = Selection {
            class,
            max_latency_ms,
            scope: RetryScope::Anywhere,
            avoid: None,
        };
        choose_endpoint(
            &self.endpoints,
            &self.settings,
            &selection,
            now_ms,
            &mut self.rng,
        )
    }

    fn reject_unforwarded(&mut self, received: &ReceivedRequest, grant: QuotaGrant) {
        if grant.is_returned_on_rejection() {
            self.return_unused(received, grant.permit());
        }
        self.reject(&received.request);
    }

    fn reject(&mut self, request: &Request) {
        let retry_after = self.quotas.retry_after(request, self.now);
        self.actions.reject(request.id, retry_after);
    }

    fn forward_first(
        &mut self,
        received: ReceivedRequest,
        grant: QuotaGrant,
        hard_limit_cost: Tokens,
        endpoint: &EndpointName,
    ) {
        let (id, account) = (received.request.id, received.account);
        self.quotas.start_request(account, hard_limit_cost);
        let limits_concurrency = self.settings.plan(account.plan).max_concurrency > 0;
        if limits_concurrency && grant.permit() == Some(received.quota_request) {
            self.set_renewal_timer(received.quota_request);
        }
        self.requests.insert_in_flight(received, grant);
        self.forward(id, endpoint);
    }

    fn forward(&mut self, id: RequestId, endpoint: &EndpointName) {
        let Some(request) = self.requests.in_flight_mut(id) else {
            return;
        };
        request.attempts += 1;
        let (class, deadline) = (
            request.received.request.class,
            request.received.useful_until,
        );
        self.endpoints
            .attempt_started(id, class, endpoint, self.now.as_f64());
        self.actions.forward(id, endpoint.clone(), deadline);
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
        if !request.received.is_in_time(self.now) {
            let tier = request.received.tier;
            self.load_shedder.record(tier, false, self.now.as_f64());
        }
    }

    /// An attempt has ended.
    pub(crate) fn on_attempt_finished(&mut self, outcome: &AttemptOutcome) {
        let id = outcome.request;
        let location = self.endpoints.attempt_finished(outcome, self.now.as_f64());
        let Some(request) = self.requests.in_flight_mut(id) else {
            return;
        };
        if let Some(execution) = location.filter(|_| may_have_executed(outcome.result)) {
            request.first_execution.get_or_insert(execution);
        }
        let client_disconnected = request.client_disconnected;
        let received = &request.received;
        let (account, tier, in_time) = (
            received.account,
            received.tier,
            received.is_in_time(self.now),
        );
        let difference = outcome
            .actual_cost
            .map_or(Tokens::ZERO, |actual| actual - received.cost());
        self.settle(Settlement::of_tokens(account, difference));
        if client_disconnected {
            self.finish(id);
        } else if outcome.request_ended {
            self.finish(id);
            let accepted = outcome.result == AttemptResult::Success && in_time;
            self.load_shedder.record(tier, accepted, self.now.as_f64());
        } else if let Some(endpoint) = self.retry_endpoint(outcome) {
            self.retry_budget.spend(1.0);
            self.forward(id, &endpoint);
        } else if let Some(request) = self.finish(id) {
            // An error is an answer: the endpoint had capacity for the request.
            let accepted = outcome.result == AttemptResult::Error && in_time;
            self.load_shedder.record(tier, accepted, self.now.as_f64());
            self.answer_failed_request(&request);
        }
    }

    /// The endpoint for a retry, if one is allowed, affordable and still of use.
    fn retry_endpoint(&mut self, outcome: &AttemptOutcome) -> Option<EndpointName> {
        let request = self.requests.in_flight(outcome.request)?;
        let received = &request.received;
        let class = self.settings.class(received.request.class);
        let scope = retry_scope(class, request.first_execution, self.now.as_f64())?;
        let max_attempts = self.settings.max_attempts;
        let exhausted = max_attempts > 0 && request.attempts >= max_attempts;
        if exhausted || self.retry_budget.saved() < 1.0 || !is_retryable(outcome.result) {
            return None;
        }
        let selection = Selection {
            class: received.request.class,
            max_latency_ms: (received.objective_deadline() - self.now).as_f64(),
            scope,
            avoid: Some(&outcome.endpoint),
        };
        choose_endpoint(
            &self.endpoints,
            &self.settings,
            &selection,
            self.now.as_f64(),
            &mut self.rng,
        )
    }

    /// The final answer to a request whose attempts have failed.
    fn answer_failed_request(&mut self, request: &InFlightRequest) {
        let client_request = &request.received.request;
        let class = self.settings.class(client_request.class);
        if request.first_execution.is_none() || client_may_repeat(class) {
            self.reject(client_request);
        } else {
            self.actions.fail(client_request.id);
        }
    }

    /// Removes a request whose last attempt has ended. The next request that waits for a permit gets its permit.
    fn finish(&mut self, id: RequestId) -> Option<InFlightRequest> {
        let request = self.requests.remove_in_flight(id)?;
        let account = request.received.account;
        let has_local_permits = self.quotas.end_request(account);
        if has_local_permits {
            if let Some(next) = self.requests.remove_oldest_for_permit(account.tenant) {
                let grant = next.grant_with_local_permit(self.settings.gateway);
                self.admit(next.received, grant);
            }
        } else if let Some(permit) = request.grant.permit()
            && self.settings.plan(account.plan).max_concurrency > 0
        {
            self.transfer_permit(account, permit);
        }
        Some(request)
    }

    /// Transfers a shared permit to the tenant's next request at this gateway, since it would be unused for a while if
    /// the owner was asked each time. Releases it if no request waits.
    fn transfer_permit(&mut self, account: AccountId, permit: QuotaRequestId) {
        let Some(next) = self.requests.remove_oldest(account.tenant) else {
            return self.settle(Settlement::of_permit(account, permit));
        };
        let received = next.received;
        self.settle(Settlement::of_tokens(received.account, received.cost()));
        self.admit(received, QuotaGrant::InheritedPermit(permit));
    }

    /// Settles usage that differs from what the owner granted.
    fn settle(&mut self, settlement: Settlement) {
        let Settlement {
            account,
            cost,
            permit,
        } = settlement;
        if account.owner == self.settings.gateway {
            let gateway = account.owner;
            let permit = permit.map(|request| PermitId { gateway, request });
            self.on_settlement(account, cost, permit);
        } else if let Some(delay) = settlement.max_delay(&self.settings) {
            self.send_to_owner(account, &settlement.message(), delay);
        }
    }

    /// Keeps the tokens of a request that is not forwarded for later requests, or returns them with its permit.
    fn return_unused(&mut self, received: &ReceivedRequest, permit: Option<QuotaRequestId>) {
        let AccountId { tenant, owner, .. } = received.account;
        self.return_tokens(tenant, owner, received.cost(), permit);
    }

    fn return_tokens(
        &mut self,
        tenant: TenantKey,
        owner: GatewayId,
        unused: Tokens,
        permit: Option<QuotaRequestId>,
    ) {
        let settlement = self
            .quotas
            .return_unused(tenant, owner, unused, permit, self.now);
        if let Some(settlement) = settlement {
            self.settle(settlement);
        }
    }

    fn send_to_owner(&mut self, account: AccountId, message: &GossipMessage, delay: Milliseconds) {
        self.send_gossip(account.owner, account.tenant, message, delay);
    }

    fn send_gossip(
        &mut self,
        to: GatewayId,
        tenant: TenantKey,
        message: &GossipMessage,
        delay: Milliseconds,
    ) {
        let full = self.outbox.enqueue(to, tenant, message, delay, self.now);
        if let Some(datagram) = full {
            self.actions.send(datagram);
        }
    }

    /// Reports usage that the owners could not confirm. Called when gossip arrives: a gateway that receives it can
    /// probably reach the owners again.
    pub(crate) fn report_unconfirmed_usage(&mut self) {
        for (account, report) in self.quotas.take_unconfirmed_reports() {
            self.send_to_owner(account, &report, Milliseconds::ZERO);
        }
    }

    /// The owner's state has come with a response.
    pub(crate) fn on_owner_state(&mut self, tenant: TenantKey, state: OwnerState) {
        self.quotas.set_owner_state(tenant, state, self.now);
    }

    /// The owner has decided on a request of this gateway.
    pub(crate) fn on_quota_decision(
        &mut self,
        tenant: TenantKey,
        owner: GatewayId,
        id: QuotaRequestId,
        decision: QuotaDecision,
    ) {
        let pending = self.requests.remove_pending(id);
        match (pending, decision) {
            (Some(PendingRequest { received, .. }), QuotaDecision::Granted { cost }) => {
                // A repeated grant contains no tokens.
                if cost > Tokens::ZERO {
                    self.return_tokens(tenant, owner, cost - received.cost(), None);
                }
                self.admit(received, QuotaGrant::Granted(id));
            }
            (Some(pending), QuotaDecision::Denied) => self.reject(&pending.received.request),
            (Some(pending), QuotaDecision::Queued) => self.wait(pending.on_queued()),
            (None, QuotaDecision::Granted { cost }) => self.on_late_grant(tenant, owner, id, cost),
            (None, _) => {}
        }
    }

    /// A grant that arrives after the wait for it has ended covers the request if that was forwarded meanwhile.
    /// Otherwise it is returned.
    fn on_late_grant(
        &mut self,
        tenant: TenantKey,
        owner: GatewayId,
        id: QuotaRequestId,
        cost: Tokens,
    ) {
        match self.requests.in_flight_by_quota_request(id) {
            Some(request) if request.is_unconfirmed() => {
                request.grant = QuotaGrant::Granted(id);
                self.set_renewal_timer(id);
            }
            Some(request) if request.grant.permit() == Some(id) => {}
            _ => self.return_tokens(tenant, owner, cost, Some(id)),
        }
    }

    fn set_renewal_timer(&mut self, permit: QuotaRequestId) {
        let interval = renewal_interval(self.conditions().mean_latency);
        self.actions.set_request_timer(permit, interval);
    }

    /// Renews the lease of a permit, if a request in flight still uses it.
    fn renew_permit(&mut self, permit: QuotaRequestId) {
        let interval = renewal_interval(self.conditions().mean_latency);
        let Some(holder) = self.requests.permit_holder_due(permit, self.now) else {
            return;
        };
        let account = holder.received.account;
        if !self.quotas.shares_permits(account) {
            return;
        }
        holder.renew_permit_at = self.now + interval;
        self.actions.set_request_timer(permit, interval);
        let (plan, gateway) = (account.plan, self.settings.gateway);
        if account.owner == gateway {
            let request = permit;
            self.quotas
                .renew_own_permit(account, PermitId { gateway, request }, self.now);
        } else {
            let message = GossipMessage::RenewPermit { plan, permit };
            self.send_to_owner(account, &message, Milliseconds::ZERO);
        }
    }

    /// Another gateway asks this one, as the owner, for quota.
    pub(crate) fn on_quota_request(&mut self, account: AccountId, request: QuotaRequest) {
        let decision = self.decide_as_owner(account, request);
        self.respond(account, &request, decision);
    }

    fn decide_as_owner(&mut self, account: AccountId, request: QuotaRequest) -> QuotaDecision {
        // A permit whose release was lost returns when its lease ends, which nothing else announces.
        let conditions = self.conditions();
        let granted = self.quotas.grant_queued(account, conditions, &mut self.rng);
        self.respond_to_queued(account, granted);
        self.quotas.decide(account, request, self.conditions())
    }

    fn respond_to_queued(&mut self, account: AccountId, decisions: Vec<QueuedDecision>) {
        for QueuedDecision { request, decision } in decisions {
            self.respond(account, &request, decision);
        }
    }

    fn respond(&mut self, account: AccountId, request: &QuotaRequest, decision: QuotaDecision) {
        let (tenant, id) = (account.tenant, request.id);
        if request.gateway == self.settings.gateway {
            return self.on_quota_decision(tenant, account.owner, id, decision);
        }
        if let Some(state) = self.quotas.owner_state(tenant) {
            let response = GossipMessage::QuotaResponse {
                request: id,
                decision,
                state,
            };
            self.send_gossip(request.gateway, tenant, &response, Milliseconds::ZERO);
        }
    }

    /// A gateway settles its usage of an account that this gateway owns.
    pub(crate) fn on_settlement(
        &mut self,
        account: AccountId,
        cost: Tokens,
        permit: Option<PermitId>,
    ) {
        let conditions = self.conditions();
        let granted = self
            .quotas
            .settle(account, cost, permit, conditions, &mut self.rng);
        self.respond_to_queued(account, granted);
    }

    /// Another gateway used tokens of an account that this gateway owns without a response.
    pub(crate) fn on_unconfirmed_usage(
        &mut self,
        account: AccountId,
        last_request: PermitId,
        cost: Tokens,
    ) {
        let conditions = self.conditions();
        self.quotas
            .charge_unconfirmed(account, last_request, cost, conditions, &mut self.rng);
    }

    /// Another gateway renews the lease of a permit.
    pub(crate) fn on_permit_renewal(&mut self, account: AccountId, permit: PermitId) {
        let conditions = self.conditions();
        self.quotas
            .renew_permit(account, permit, conditions, &mut self.rng);
    }
}
