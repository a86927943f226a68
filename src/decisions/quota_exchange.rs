//! What passes between a gateway as the client of a quota and the quota's owner. They may be the same
//! gateway: then nothing is sent.

use super::fleet_scale::fleet_scale;
use super::quota_client::keep_unused;
use super::{Decisions, quota_owner};
use crate::events::{GatewayId, PlanIndex};
use crate::gossip::{
    GossipMessage, OwnerState, PermitId, QuotaDecision, QuotaRequest, QuotaRequestId, TenantKey,
};
use crate::records::{
    AccountId, Authorization, ClientLedger, OwnerLedger, OwnerTerms, PendingRequest,
};
use crate::records::{Tenant, WaitingFor};
use rand::Rng;

/// Settled usage may wait this long for a datagram that goes anyway.
const SETTLEMENT_DELAY_MS: f64 = 1000.0;
/// The part of the largest cost that stays in a bucket, as far as usage beyond the quota is penalized and as
/// the fleet is large: what its gateways have in flight is not settled yet. With three it costs more than it
/// saves.
const BUCKET_RESERVE: f64 = 0.3;
/// Timers may fire early by this much.
pub(super) const TIMER_TOLERANCE_MS: f64 = 0.1;

impl Decisions {
    /// The tenant, which counts as seen now. A new one starts with a random part of the credit for polling
    /// the owner, so that the gateways of a shard do not poll together.
    pub(super) fn tenant(&mut self, account: AccountId) -> &mut Tenant {
        let (plan, now_ms) = (self.settings.plan(account.plan), self.now_ms);
        let poll_credit = self.rng.random::<f64>();
        self.tenants.touch(account.tenant, now_ms, || Tenant {
            plan: account.plan,
            owner: OwnerLedger::new(plan, now_ms),
            client: ClientLedger::new(plan, poll_credit, now_ms),
        })
    }

    fn owner_terms(&self, plan: PlanIndex) -> OwnerTerms {
        let plan = self.settings.plan(plan).clone();
        let penalty = plan.over_quota_penalty.min(1.0);
        OwnerTerms {
            reserve: BUCKET_RESERVE
                * fleet_scale(&self.settings)
                * self.settings.max_request_cost.0
                * penalty,
            mean_latency_ms: self.load_balancer.mean_latency().as_f64(),
            gossip_enabled: self.settings.gossip_enabled,
            now_ms: self.now_ms,
            plan,
        }
    }

    /// The owned account, brought up to now. Its own plan counts, as that in a damaged message may be
    /// another.
    pub(crate) fn owned(&mut self, account: AccountId) -> &mut OwnerLedger {
        let (settings, lease_ms, now_ms) =
            (self.settings.clone(), self.permit_lease_ms(), self.now_ms);
        let tenant = self.tenant(account);
        tenant.owner.advance(
            settings.plan(tenant.plan),
            &quota_owner::LEDGER,
            lease_ms,
            now_ms,
        );
        &mut tenant.owner
    }

    fn serve_owned_queue(&mut self, account: AccountId) {
        let terms = self.owner_terms(account.plan);
        let Some(tenant) = self.tenants.get_mut(&account.tenant) else {
            return;
        };
        for (request, decision) in quota_owner::serve_queue(&mut tenant.owner, &terms) {
            self.respond(account, &request, decision);
        }
    }

    pub(super) fn decide_quota(
        &mut self,
        account: AccountId,
        request: QuotaRequest,
        demand: f64,
    ) -> QuotaDecision {
        self.owned(account);
        // Permits whose release was lost expire by time alone: nothing else would make the queue move.
        self.serve_owned_queue(account);
        let mut terms = self.owner_terms(account.plan);
        let Some(tenant) = self.tenants.get_mut(&account.tenant) else {
            return QuotaDecision::Denied;
        };
        terms.plan = self.settings.plan(tenant.plan).clone();
        quota_owner::decide(&mut tenant.owner, request, demand, &terms)
    }

    pub(crate) fn on_quota_request(
        &mut self,
        account: AccountId,
        request: QuotaRequest,
        demand: f64,
    ) {
        let decision = self.decide_quota(account, request, demand);
        self.respond(account, &request, decision);
    }

    /// Sends a decision to the gateway that asked.
    fn respond(&mut self, account: AccountId, request: &QuotaRequest, decision: QuotaDecision) {
        if request.gateway == self.settings.gateway {
            return self.on_quota_decision(account.tenant, account.owner, request.id, decision);
        }
        let Some(tenant) = self.tenants.get(&account.tenant) else {
            return;
        };
        let state = tenant.owner.state();
        let response = GossipMessage::QuotaResponse {
            request: request.id,
            decision,
            state,
        };
        self.actions
            .send_gossip(request.gateway, account.tenant, &response, 0.0);
    }

    pub(crate) fn settle_owned(&mut self, account: AccountId, cost: f64, permit: Option<PermitId>) {
        let plan = self.settings.plan(account.plan).clone();
        self.owned(account).settle(cost, permit, &plan);
        self.serve_owned_queue(account);
    }

    pub(crate) fn renew_owned(&mut self, account: AccountId, permit: PermitId) {
        if let Some(tenant) = self.tenants.get_mut(&account.tenant) {
            let permits = self.settings.plan(tenant.plan).max_concurrency as usize;
            let capacity = quota_owner::MAX_RENEWED_PERMIT_MULTIPLE * permits;
            tenant.owner.renew_permit(permit, capacity, self.now_ms);
        }
    }

    /// A gateway that hears others may be heard again: owners learn what went ahead without them.
    pub(crate) fn report_unconfirmed_usage(&mut self) {
        for (account, report) in self.unconfirmed_usage.take_reports() {
            self.actions.send_to_owner(account, &report, 0.0);
        }
    }

    /// Reports usage that differs from what was granted, and a permit to release.
    pub(super) fn settle_usage(
        &mut self,
        account: AccountId,
        cost: f64,
        permit: Option<QuotaRequestId>,
    ) {
        let AccountId { plan, owner, .. } = account;
        if owner == self.settings.gateway {
            let permit = permit.map(|request| PermitId {
                gateway: owner,
                request,
            });
            return self.settle_owned(account, cost, permit);
        }
        if permit.is_some() || (cost != 0.0 && self.settings.plan(plan).refill_rate.0 > 0.0) {
            let delay_ms = if permit.is_some() {
                0.0
            } else {
                SETTLEMENT_DELAY_MS
            };
            self.actions.send_to_owner(
                account,
                &GossipMessage::SettleUsage { plan, cost, permit },
                delay_ms,
            );
        }
    }

    /// Keeps tokens that were granted and not used for the next requests, or returns them, with their permit.
    pub(super) fn return_unused(
        &mut self,
        key: TenantKey,
        owner: GatewayId,
        cost: f64,
        permit: Option<QuotaRequestId>,
    ) {
        let Some(plan) = self.tenants.get(&key).map(|tenant| tenant.plan) else {
            return;
        };
        let account = AccountId {
            tenant: key,
            plan,
            owner,
        };
        let shares_permits = self.shares_permits(account);
        let may_keep = !shares_permits && owner != self.settings.gateway;
        let Some(tenant) = self.tenants.get_mut(&key) else {
            return;
        };
        if may_keep && keep_unused(&mut tenant.client, cost, self.now_ms) {
            return;
        }
        if cost > 0.0 || shares_permits && permit.is_some() {
            self.settle_usage(account, -cost, permit);
        }
    }

    /// Whether the gateways of a tenant's shard share the permits of its plan.
    pub(super) fn shares_permits(&self, account: AccountId) -> bool {
        self.settings.plan(account.plan).max_concurrency > 0
            && !self.tenants.has_local_permits(account)
    }

    pub(crate) fn on_owner_state(&mut self, tenant: TenantKey, state: OwnerState) {
        if let Some(tenant) = self.tenants.get_mut(&tenant) {
            tenant.client.set_owner_state(state, self.now_ms);
        }
    }

    /// The owner has decided on a request of this gateway.
    pub(crate) fn on_quota_decision(
        &mut self,
        tenant: TenantKey,
        owner: GatewayId,
        request: QuotaRequestId,
        decision: QuotaDecision,
    ) {
        match (self.requests.take(request), decision) {
            (Some(pending), QuotaDecision::Granted { cost }) => {
                // A grant that is repeated names no tokens.
                if cost > 0.0 {
                    self.return_unused(tenant, owner, cost - pending.request.cost.0, None);
                }
                self.admit(PendingRequest {
                    authorization: Authorization::Granted(request),
                    ..pending
                });
            }
            (Some(pending), QuotaDecision::Denied) => self.reject(&pending.request),
            (Some(mut pending), QuotaDecision::Queued) => {
                pending.waits_until_ms = self.wait_limit_ms(&pending);
                pending.waiting_for = WaitingFor::Permit;
                self.park(pending);
            }
            (None, QuotaDecision::Granted { cost }) => {
                self.on_late_grant(tenant, owner, request, cost);
            }
            (None, _) => {}
        }
    }

    /// A grant that comes too late to be waited for covers the request if it went ahead meanwhile; otherwise
    /// it is returned.
    fn on_late_grant(
        &mut self,
        tenant: TenantKey,
        owner: GatewayId,
        request: QuotaRequestId,
        cost: f64,
    ) {
        let forwarded = self.requests.forwarded_mut(request);
        match forwarded.map(|forwarded| &mut forwarded.admitted.authorization) {
            Some(authorization) if *authorization == Authorization::Unconfirmed => {
                *authorization = Authorization::Granted(request);
                self.set_renewal_timer(request);
            }
            Some(authorization) if authorization.permit() == Some(request) => {}
            _ => self.return_unused(tenant, owner, cost, Some(request)),
        }
    }
}
