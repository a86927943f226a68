//! Owner-side operations of [`Quotas`]: decisions on the quota requests of all gateways of a shard, for
//! accounts that this gateway owns.

use super::Quotas;
use super::owner::{QueuedDecision, bucket_reserve};
use crate::decisions::account::AccountId;
use crate::decisions::context::EventContext;
use crate::decisions::gossip::{
    GossipMessage, PermitId, QuotaDecision, QuotaRequest, QuotaRequestId, QuotaResponse,
};
use crate::events::GatewayId;
use crate::units::{Milliseconds, Timestamp, Tokens};

impl Quotas {
    /// Refills the account up to the current time and grants free permits to queued requests. This check is
    /// needed because no message reports the expiry of a lease, and a permit whose release message was lost
    /// only becomes free when its lease expires.
    pub(crate) fn grant_queued(
        &mut self,
        account: AccountId,
        context: &mut EventContext,
    ) -> Vec<QueuedDecision> {
        let plan = self.settings.plan(account.plan);
        let reserve = bucket_reserve(&self.settings, plan);
        self.tenants
            .advance_owner(account, &self.settings, context)
            .grant_queued(plan, reserve, context.now)
    }

    /// Decides on a quota request. The caller must have called [`Quotas::grant_queued`] for the account
    /// during the same event.
    pub(crate) fn decide(
        &mut self,
        account: AccountId,
        request: QuotaRequest,
        context: &EventContext,
    ) -> QuotaDecision {
        let Some(tenant) = self.tenants.get_mut(account.tenant) else {
            return QuotaDecision::Denied;
        };
        let plan = self.settings.plan(tenant.plan);
        let reserve = bucket_reserve(&self.settings, self.settings.plan(account.plan));
        let gossip_enabled = self.settings.gossip_enabled;
        let snapshot = context.snapshot();
        if request.gateway != self.settings.gateway {
            tenant.record_request();
        }
        tenant
            .owner
            .decide(request, plan, reserve, gossip_enabled, snapshot)
    }

    /// Sends a decision to the gateway that made the request, which must not be this gateway.
    pub(crate) fn send_decision(
        &self,
        account: AccountId,
        request: &QuotaRequest,
        decision: QuotaDecision,
        context: &mut EventContext,
    ) {
        let Some(tenant) = self.tenants.get(account.tenant) else {
            return;
        };
        let response = GossipMessage::QuotaResponse(QuotaResponse {
            request: request.id,
            decision,
            state: tenant.owner.state(),
        });
        let max_delay = Milliseconds::ZERO;
        context.send(request.gateway, account.tenant, &response, max_delay);
    }

    /// Handles a message in which another gateway settles usage, reports unconfirmed usage or renews a
    /// permit. Returns the resulting decisions on queued requests.
    pub(crate) fn on_usage_message(
        &mut self,
        account: AccountId,
        from: GatewayId,
        message: GossipMessage,
        context: &mut EventContext,
    ) -> Vec<QueuedDecision> {
        let permit_of = |request: QuotaRequestId| PermitId {
            gateway: from,
            request,
        };
        match message {
            GossipMessage::SettleUsage { cost, permit, .. } => {
                return self.settle_as_owner(account, cost, permit.map(permit_of), context);
            }
            GossipMessage::ReportUnconfirmedUsage {
                last_request, cost, ..
            } => self
                .tenants
                .advance_owner(account, &self.settings, context)
                .charge_unconfirmed(permit_of(last_request), cost),
            GossipMessage::RenewPermit { permit, .. } => {
                self.tenants.advance_owner(account, &self.settings, context);
                self.renew_as_owner(account, permit_of(permit), context.now);
            }
            GossipMessage::RequestQuota { .. } | GossipMessage::QuotaResponse(_) => {}
        }
        Vec::new()
    }

    /// Applies a settlement to an account that this gateway owns, then grants free permits to queued
    /// requests.
    pub(super) fn settle_as_owner(
        &mut self,
        account: AccountId,
        cost: Tokens,
        permit: Option<PermitId>,
        context: &mut EventContext,
    ) -> Vec<QueuedDecision> {
        let plan = self.settings.plan(account.plan);
        let reserve = bucket_reserve(&self.settings, plan);
        let owner = self.tenants.advance_owner(account, &self.settings, context);
        owner.settle(cost, permit, plan);
        owner.grant_queued(plan, reserve, context.now)
    }

    pub(super) fn renew_as_owner(&mut self, account: AccountId, permit: PermitId, now: Timestamp) {
        if let Some(tenant) = self.tenants.get_mut(account.tenant) {
            let plan = self.settings.plan(tenant.plan);
            tenant.owner.renew_permit(permit, plan, now);
        }
    }
}
