//! The quota of a request that has arrived: tokens and permits, and what the request waits for.

use super::Decisions;
use super::quota_client::{passes_unconfirmed, plan_lease};
use super::quota_exchange::TIMER_TOLERANCE_MS;
use crate::events::Request;
use crate::gossip::{GossipMessage, QuotaDecision, QuotaRequest, QuotaRequestId, TenantKey};
use crate::records::{AccountId, Authorization, ClientTerms, LeasePlan};
use crate::records::{PendingRequest, WaitingFor};
use rand::Rng;

/// A request may wait for a permit for this part of its latency objective.
const PERMIT_WAIT_FRACTION: f64 = 0.5;
/// An owner that is silent for longer than this part of the latency objective is taken for stalled or gone.
const OWNER_SILENCE_FRACTION: f64 = 0.3;

impl Decisions {
    pub(crate) fn on_request(&mut self, request: Request) {
        let Some(tier) = self.load_shedder.tier_of(request.class, request.plan) else {
            return self.reject(&request);
        };
        self.retry_policy.request_arrived();
        let (number, gateways) = (self.requests.next_id(), self.settings.gateway_count);
        let mut pending = PendingRequest::new(request, gateways, tier, number, self.now_ms);
        pending.waits_until_ms = self.wait_limit_ms(&pending);
        let account = pending.account;
        let Some(lease) = self.plan_lease(&pending) else {
            return self.reject(&pending.request);
        };
        if account.owner == self.settings.gateway {
            return self.take_owned_quota(pending, &lease);
        }
        self.request_quota(&pending, &lease);
        self.settle_usage(account, -lease.expired, None);
        if lease.uses_prefetched {
            return self.admit(PendingRequest {
                authorization: Authorization::Prefetched,
                ..pending
            });
        }
        self.await_response(pending);
    }

    fn plan_lease(&mut self, pending: &PendingRequest) -> Option<LeasePlan> {
        let settings = self.settings.clone();
        let terms = ClientTerms::new(
            &settings,
            pending,
            self.load_balancer.mean_latency().as_f64(),
            self.now_ms,
        );
        plan_lease(
            &mut self.tenant(pending.account).client,
            pending.request.cost.0,
            &terms,
        )
    }

    fn quota_request(&self, pending: &PendingRequest, needs_permit: bool) -> QuotaRequest {
        pending.to_quota_request(
            self.settings.gateway,
            needs_permit,
            self.wait_limit_ms(pending),
        )
    }

    /// Decides as the owner, with nothing sent.
    fn take_owned_quota(&mut self, pending: PendingRequest, lease: &LeasePlan) {
        let request = self.quota_request(&pending, lease.needs_permit);
        match self.decide_quota(pending.account, request, request.cost) {
            QuotaDecision::Granted { .. } => self.admit(pending),
            QuotaDecision::Denied => self.reject(&pending.request),
            QuotaDecision::Queued => self.park(pending),
        }
    }

    /// Asks the owner for what the request and those to come need.
    fn request_quota(&mut self, pending: &PendingRequest, lease: &LeasePlan) {
        let nothing_needed = lease.uses_prefetched && lease.prefetch <= 0.0;
        if !self.settings.gossip_enabled || nothing_needed {
            return;
        }
        let mut request = self.quota_request(pending, lease.needs_permit);
        request.prefetch = lease.prefetch;
        if lease.uses_prefetched {
            request.cost = 0.0;
        }
        let Some(known) = self.tenants.get_mut(&pending.account.tenant) else {
            return;
        };
        if lease.prefetch > 0.0 {
            known.client.prefetch_requested(self.now_ms);
        }
        let demand = known.client.take_unreported_demand();
        let message = GossipMessage::RequestQuota {
            plan: pending.account.plan,
            request,
            demand,
        };
        self.actions.send_to_owner(pending.account, &message, 0.0);
    }

    /// Waits for the owner's response: half of the time for the first request, half for the one sent again.
    fn await_response(&mut self, mut pending: PendingRequest) {
        let objective_ms = self
            .settings
            .class(pending.request.class)
            .latency_objective
            .0;
        let half_of_wait_ms = (pending.waits_until_ms - self.now_ms) / 2.0;
        let silence_ms = (OWNER_SILENCE_FRACTION * objective_ms).min(half_of_wait_ms);
        let first_wait_ms = if self.settings.gossip_enabled {
            silence_ms / 2.0
        } else {
            0.0
        };
        pending.waits_until_ms = self.now_ms + first_wait_ms;
        pending.waiting_for = WaitingFor::Response { resent: false };
        pending.authorization = Authorization::Unconfirmed;
        self.park(pending);
    }

    /// Until when a request waits at the most. A client's retry may have little of its time left: never past
    /// half of it.
    pub(super) fn wait_limit_ms(&self, pending: &PendingRequest) -> f64 {
        let request = &pending.request;
        let objective_ms = self.settings.class(request.class).latency_objective.0;
        let client_waits_ms = (request.client_deadline.0 - pending.arrived_at_ms).max(0.0);
        pending.arrived_at_ms + (PERMIT_WAIT_FRACTION * objective_ms).min(client_waits_ms / 2.0)
    }

    /// Keeps a request until what it waits for comes, or its time is up.
    pub(super) fn park(&mut self, pending: PendingRequest) {
        let delay_ms = (pending.waits_until_ms - self.now_ms).max(0.0);
        self.actions
            .set_request_timer(pending.quota_request, delay_ms);
        self.requests.park(pending);
    }

    /// The timer of a request has fired: its wait is over, or it is time to renew its permit.
    pub(crate) fn on_request_timer(&mut self, id: QuotaRequestId) {
        let now_ms = self.now_ms + TIMER_TOLERANCE_MS;
        if !self
            .requests
            .waits_until_ms(id)
            .is_some_and(|until_ms| now_ms >= until_ms)
        {
            return self.renew_permit(id);
        }
        let Some(pending) = self.requests.take(id) else {
            return;
        };
        let is_first = pending.waiting_for == WaitingFor::Response { resent: false };
        if self.settings.gossip_enabled && is_first {
            return self.resend_quota_request(pending);
        }
        if self.passes_unconfirmed(&pending) {
            self.record_unconfirmed_usage(&pending);
            return self.admit(pending);
        }
        self.abandon_wait(&pending);
        self.reject(&pending.request);
    }

    /// Sends a quota request again, as its datagram or the response was lost. The owner charges it once.
    fn resend_quota_request(&mut self, mut pending: PendingRequest) {
        let request = self.quota_request(&pending, self.shares_permits(pending.account));
        let message = GossipMessage::RequestQuota {
            plan: pending.account.plan,
            request,
            demand: 0.0,
        };
        self.actions.send_to_owner(pending.account, &message, 0.0);
        pending.waiting_for = WaitingFor::Response { resent: true };
        pending.waits_until_ms = 2.0 * pending.waits_until_ms - pending.arrived_at_ms;
        self.park(pending);
    }

    /// Whether a request goes ahead although its owner is silent.
    fn passes_unconfirmed(&mut self, pending: &PendingRequest) -> bool {
        let PendingRequest {
            request, account, ..
        } = pending;
        let draw = self.rng.random::<f64>();
        if pending.waits_for_permit() {
            return false;
        }
        let gateways = f64::from(request.shard_size.max(1));
        let permits = f64::from(self.settings.plan(account.plan).max_concurrency) / gateways;
        let tenant = self.tenants.get_mut(&account.tenant);
        tenant.is_some_and(|tenant| {
            passes_unconfirmed(&mut tenant.client, request.cost.0, permits, draw)
        })
    }

    fn record_unconfirmed_usage(&mut self, pending: &PendingRequest) {
        let penalty = self
            .settings
            .plan(pending.account.plan)
            .over_quota_penalty
            .min(1.0);
        let cost = pending.request.cost.0 * penalty;
        if self.settings.gossip_enabled && cost > 0.0 {
            self.unconfirmed_usage
                .add(pending.account, pending.quota_request, cost);
        }
    }

    /// Gives back the tokens of a request that waited in vain for one of this gateway's own permits.
    pub(super) fn abandon_wait(&mut self, pending: &PendingRequest) {
        if pending.waits_for_permit() && self.tenants.has_local_permits(pending.account) {
            self.return_lease(pending);
        }
    }

    pub(super) fn return_lease(&mut self, pending: &PendingRequest) {
        let AccountId { tenant, owner, .. } = pending.account;
        self.return_unused(
            tenant,
            owner,
            pending.request.cost.0,
            pending.authorization.permit(),
        );
    }

    /// Rejects a request. Where the tokens that it needs will not be there within its latency objective, as
    /// far as is known here, the client gets a Retry-After; for less, its own backoff serves better.
    pub(super) fn reject(&mut self, request: &Request) {
        let class = self.settings.classes.get(request.class.0);
        let objective_ms = class.map_or(0.0, |class| class.latency_objective.0);
        let refill_ms = self.tokens_available_in_ms(request).unwrap_or(0.0);
        let retry_after_ms = if refill_ms > objective_ms {
            refill_ms.ceil()
        } else {
            0.0
        };
        self.actions.reject(request.id, retry_after_ms);
    }

    fn tokens_available_in_ms(&self, request: &Request) -> Option<f64> {
        let tenant = self
            .tenants
            .get(&TenantKey::new(&request.tenant, request.plan))?;
        let refill_rate = self.settings.plan(tenant.plan).refill_rate.0;
        let known = tenant.known_tokens();
        let missing = 1000.0 * (request.cost.0 - known.tokens);
        (refill_rate > 0.0).then(|| missing / refill_rate + known.as_of_ms - self.now_ms)
    }
}
