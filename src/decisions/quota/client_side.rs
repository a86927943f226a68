//! Client-side operations of [`Quotas`]: obtaining tokens and permits from the owning gateways for requests
//! received here.

use super::owner::QueuedDecision;
use super::{
    LeaseDecision, LeaseRequest, QuotaClient, Quotas, Settlement, UnusedGrant, schedule_renewal,
};
use crate::decisions::account::AccountId;
use crate::decisions::context::EventContext;
use crate::decisions::gossip::{
    GossipMessage, OwnerState, PermitId, QuotaRequest, QuotaRequestId, TenantKey,
};
use crate::decisions::requests::{QuotaGrant, ReceivedRequest};
use crate::events::{GatewayId, Request};
use crate::units::{Milliseconds, Timestamp, Tokens, TokensPerSecond};

/// Result of [`Quotas::check_locally`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum LocalCheck {
    /// All of this gateway's local permits are in use.
    NoFreePermit { permits: u32 },
    /// The local share of the hard limit does not cover the cost of the request.
    OverHardLimit,
    /// The request may be forwarded.
    Passed {
        /// Tokens to charge to the local share of the hard limit.
        hard_limit_cost: Tokens,
    },
}

/// The permit that a finished request frees for the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FreedPermit {
    /// No reusable permit: the plan has no concurrency limit, or the request was forwarded without a permit.
    None,
    /// A local permit, from this gateway's own share.
    Local,
    /// A permit shared by the gateways of the shard and leased under this request id.
    Shared(QuotaRequestId),
}

impl Quotas {
    /// Decides how a newly received request obtains its tokens.
    pub(crate) fn on_request(
        &mut self,
        received: &ReceivedRequest,
        context: &mut EventContext,
    ) -> LeaseDecision {
        let (account, request) = (received.account, &received.request);
        let tenant = self.tenants.touch(account, &self.settings, context);
        tenant.record_request();
        let (client, snapshot) = (&mut tenant.client, context.snapshot());
        client.on_request(account, request, &self.settings, snapshot)
    }

    /// Sends a quota request to the owner. Does nothing if `lease` is `None`.
    pub(crate) fn send_quota_request(
        &self,
        received: &ReceivedRequest,
        lease: Option<LeaseRequest>,
        context: &mut EventContext,
    ) {
        let Some(lease) = lease else { return };
        let message = GossipMessage::RequestQuota {
            plan: received.account.plan,
            request: self.quota_request(received, lease),
        };
        context.send_to_owner(received.account, &message, Milliseconds::ZERO);
    }

    /// Resends the quota request, in case the first message or its response was lost. The owner charges the
    /// request only once.
    pub(crate) fn resend_quota_request(
        &self,
        received: &ReceivedRequest,
        context: &mut EventContext,
    ) {
        let lease = LeaseRequest {
            cost: received.request.cost,
            prefetch: Tokens::ZERO,
            demand: Tokens::ZERO,
            needs_permit: self.shares_permits(received.account),
        };
        self.send_quota_request(received, Some(lease), context);
    }

    pub(crate) fn quota_request(
        &self,
        received: &ReceivedRequest,
        lease: LeaseRequest,
    ) -> QuotaRequest {
        QuotaRequest {
            gateway: self.settings.gateway,
            id: received.quota_request,
            cost: lease.cost,
            prefetch: lease.prefetch,
            demand: lease.demand,
            needs_permit: lease.needs_permit,
            expires_at: received.wait_deadline,
        }
    }

    /// Stores the owner state reported in a response, if the tenant is still known.
    pub(crate) fn set_owner_state(&mut self, tenant: TenantKey, state: OwnerState, now: Timestamp) {
        if let Some(tenant) = self.tenants.get_mut(tenant) {
            tenant.client.set_owner_state(state, now);
        }
    }

    /// Decides whether to forward a request whose owner has not responded; `draw` is a random number between
    /// 0 and 1. If the request is forwarded, its cost, scaled by the over-quota penalty, is recorded and is
    /// reported to the owner once gossip gets through again.
    pub(crate) fn admit_unconfirmed(&mut self, received: &ReceivedRequest, draw: f64) -> bool {
        let (account, request) = (received.account, &received.request);
        let plan = self.settings.plan(account.plan);
        let Some(tenant) = self.tenants.get_mut(account.tenant) else {
            return false;
        };
        if !tenant.client.admits_unconfirmed(request, plan, draw) {
            return false;
        }
        let cost = request.cost * plan.over_quota_penalty.min(1.0);
        if self.settings.gossip_enabled && cost > Tokens::ZERO {
            let id = received.quota_request;
            self.unconfirmed_usage.add(account, id, cost);
        }
        true
    }

    /// Reports usage of requests forwarded without a response to the owners of their quotas.
    pub(crate) fn report_unconfirmed_usage(&mut self, context: &mut EventContext) {
        for (account, report) in self.unconfirmed_usage.take_reports() {
            context.send_to_owner(account, &report, Milliseconds::ZERO);
        }
    }

    /// Settles usage that differs from the grant, locally if this gateway is the owner and by a message
    /// otherwise. Returns the decisions on queued requests that result when this gateway is the owner.
    pub(crate) fn settle(
        &mut self,
        settlement: &Settlement,
        context: &mut EventContext,
    ) -> Vec<QueuedDecision> {
        let Settlement { account, cost, .. } = *settlement;
        let gateway = self.settings.gateway;
        if account.owner == gateway {
            let permit = settlement
                .permit
                .map(|request| PermitId { gateway, request });
            return self.settle_as_owner(account, cost, permit, context);
        }
        if let Some(max_delay) = settlement.max_delay(&self.settings) {
            context.send_to_owner(account, &settlement.message(), max_delay);
        }
        Vec::new()
    }

    /// Keeps unused granted tokens for later requests if possible. Otherwise returns the settlement that
    /// gives them, and the permit, back to the owner.
    pub(crate) fn return_unused(
        &mut self,
        key: TenantKey,
        owner: GatewayId,
        unused: UnusedGrant,
        now: Timestamp,
    ) -> Option<Settlement> {
        let UnusedGrant { tokens, permit } = unused;
        let tenant = self.tenants.get_mut(key)?;
        let shares_permits = tenant.shares_permits(&self.settings);
        let may_keep = !shares_permits && owner != self.settings.gateway;
        if may_keep && tenant.client.keep_unused(tokens, now) {
            return None;
        }
        let is_settled = tokens > Tokens::ZERO || shares_permits && permit.is_some();
        is_settled.then_some(Settlement {
            account: AccountId {
                tenant: key,
                plan: tenant.plan,
                owner,
            },
            cost: -tokens,
            permit,
        })
    }

    /// Checks a request against the limits that this gateway enforces without the owner: its local permits
    /// and its share of the hard limit.
    pub(crate) fn check_locally(
        &self,
        received: &ReceivedRequest,
        grant: QuotaGrant,
    ) -> LocalCheck {
        let account = received.account;
        let tenant = self.tenants.get(account.tenant);
        let client = tenant.map(|tenant| &tenant.client);
        if let Some(permits) = client.and_then(QuotaClient::exhausted_local_permits) {
            return LocalCheck::NoFreePermit { permits };
        }
        let has_hard_limit =
            self.settings.plan(account.plan).hard_limit_rate > TokensPerSecond::ZERO;
        let is_leased = self.settings.gossip_enabled && grant.covers_cost();
        let hard_limit_cost = if has_hard_limit && !is_leased {
            received.request.cost
        } else {
            Tokens::ZERO
        };
        let covers = |client: &QuotaClient| client.hard_limit_covers(hard_limit_cost);
        if !has_hard_limit || is_leased || client.is_some_and(covers) {
            LocalCheck::Passed { hard_limit_cost }
        } else {
            LocalCheck::OverHardLimit
        }
    }

    /// Counts a forwarded request as in flight, charges `hard_limit_cost` to the local share of the hard
    /// limit, and schedules the first renewal of the request's permit.
    pub(crate) fn start_request(
        &mut self,
        received: &ReceivedRequest,
        grant: QuotaGrant,
        hard_limit_cost: Tokens,
        context: &mut EventContext,
    ) {
        let (account, id) = (received.account, received.quota_request);
        if let Some(tenant) = self.tenants.get_mut(account.tenant) {
            tenant.client.start_request(hard_limit_cost);
        }
        if self.limits_concurrency(account) && grant.permit() == Some(id) {
            schedule_renewal(id, context);
        }
    }

    /// Counts a request as finished. Returns the permit that it frees for another request.
    pub(crate) fn end_request(&mut self, account: AccountId, grant: QuotaGrant) -> FreedPermit {
        let tenant = self.tenants.get_mut(account.tenant);
        let has_local_permits = tenant.is_some_and(|tenant| {
            tenant.client.end_request();
            tenant.client.local_permit_limit().is_some()
        });
        match grant.permit() {
            _ if has_local_permits => FreedPermit::Local,
            Some(permit) if self.limits_concurrency(account) => FreedPermit::Shared(permit),
            _ => FreedPermit::None,
        }
    }

    /// Renews the lease of a permit held by this gateway and returns the time of the next renewal. Returns
    /// `None` if the permits are not shared by the gateways of the shard and need no renewal.
    pub(crate) fn renew_permit(
        &mut self,
        account: AccountId,
        permit: QuotaRequestId,
        context: &mut EventContext,
    ) -> Option<Timestamp> {
        if !self.shares_permits(account) {
            return None;
        }
        let next_renewal = schedule_renewal(permit, context);
        let (plan, gateway) = (account.plan, self.settings.gateway);
        if account.owner == gateway {
            let request = permit;
            self.renew_as_owner(account, PermitId { gateway, request }, context.now);
        } else {
            let message = GossipMessage::RenewPermit { plan, permit };
            context.send_to_owner(account, &message, Milliseconds::ZERO);
        }
        Some(next_renewal)
    }

    pub(crate) fn has_local_permits(&self, account: AccountId) -> bool {
        let tenant = self.tenants.get(account.tenant);
        tenant.is_some_and(|tenant| tenant.client.local_permit_limit().is_some())
    }

    /// Whether the account's plan limits concurrency and the permits are shared by the gateways of its shard.
    fn shares_permits(&self, account: AccountId) -> bool {
        self.limits_concurrency(account) && !self.has_local_permits(account)
    }

    fn limits_concurrency(&self, account: AccountId) -> bool {
        self.settings.plan(account.plan).max_concurrency > 0
    }

    /// Computes the retry-after delay for a rejected request; 0 means no advice. A delay is only advised if
    /// the tokens will not be available within the latency objective of the request's class: for shorter
    /// times the client's own backoff works better.
    pub(crate) fn retry_after(&self, request: &Request, now: Timestamp) -> Milliseconds {
        let key = TenantKey::new(&request.tenant, request.plan);
        let tenant = self.tenants.get(key);
        let available_in = tenant
            .and_then(|tenant| tenant.time_until_available(request.cost, &self.settings, now));
        let class = self.settings.classes.get(request.class.0);
        let objective = class.map_or(Milliseconds::ZERO, |class| class.latency_objective);
        match available_in {
            Some(available_in) if available_in > objective => available_in.ceil(),
            _ => Milliseconds::ZERO,
        }
    }
}
