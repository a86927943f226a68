//! The accounts that this gateway owns: it decides on the requests of all gateways of the shard.

use super::owner::{QueuedDecision, bucket_reserve};
use super::{AccountId, Conditions, Quotas};
use crate::decisions::gossip::{OwnerState, PermitId, QuotaDecision, QuotaRequest, TenantKey};
use crate::units::{Timestamp, Tokens};
use rand::Rng;

impl Quotas {
    /// Brings an account up to now, and grants free permits to the requests in its queue.
    pub(crate) fn grant_queued(
        &mut self,
        account: AccountId,
        conditions: Conditions,
        rng: &mut impl Rng,
    ) -> Vec<QueuedDecision> {
        let plan = self.settings.plan(account.plan);
        let reserve = bucket_reserve(&self.settings, plan);
        let owner = self
            .tenants
            .advanced_owner(account, &self.settings, conditions, rng);
        owner.grant_queued(plan, reserve, conditions.now)
    }

    /// Decides on a quota request. The account was brought up to now by [`Quotas::grant_queued`].
    pub(crate) fn decide(
        &mut self,
        account: AccountId,
        request: QuotaRequest,
        conditions: Conditions,
    ) -> QuotaDecision {
        let Some(tenant) = self.tenants.get_mut(account.tenant) else {
            return QuotaDecision::Denied;
        };
        let plan = self.settings.plan(tenant.plan);
        let reserve = bucket_reserve(&self.settings, self.settings.plan(account.plan));
        let gossip_enabled = self.settings.gossip_enabled;
        tenant
            .owner
            .decide(request, plan, reserve, gossip_enabled, conditions)
    }

    /// Charges or takes back what a gateway settles, and grants permits that became free to the requests in the queue.
    pub(crate) fn settle(
        &mut self,
        account: AccountId,
        cost: Tokens,
        permit: Option<PermitId>,
        conditions: Conditions,
        rng: &mut impl Rng,
    ) -> Vec<QueuedDecision> {
        let plan = self.settings.plan(account.plan);
        let reserve = bucket_reserve(&self.settings, plan);
        let owner = self
            .tenants
            .advanced_owner(account, &self.settings, conditions, rng);
        owner.settle(cost, permit, plan);
        owner.grant_queued(plan, reserve, conditions.now)
    }

    /// Charges what a gateway used while this owner did not respond.
    pub(crate) fn charge_unconfirmed(
        &mut self,
        account: AccountId,
        last_request: PermitId,
        cost: Tokens,
        conditions: Conditions,
        rng: &mut impl Rng,
    ) {
        self.tenants
            .advanced_owner(account, &self.settings, conditions, rng)
            .charge_unconfirmed(last_request, cost);
    }

    /// Renews the lease of a permit that another gateway holds.
    pub(crate) fn renew_permit(
        &mut self,
        account: AccountId,
        permit: PermitId,
        conditions: Conditions,
        rng: &mut impl Rng,
    ) {
        self.tenants
            .advanced_owner(account, &self.settings, conditions, rng);
        self.renew_own_permit(account, permit, conditions.now);
    }

    /// Renews the lease of a permit that this gateway holds as a client of its own account.
    pub(crate) fn renew_own_permit(
        &mut self,
        account: AccountId,
        permit: PermitId,
        now: Timestamp,
    ) {
        if let Some(tenant) = self.tenants.get_mut(account.tenant) {
            let plan = self.settings.plan(tenant.plan);
            tenant.owner.renew_permit(permit, plan, now);
        }
    }

    /// The state of an account, for a response.
    pub(crate) fn owner_state(&self, tenant: TenantKey) -> Option<OwnerState> {
        Some(self.tenants.get(tenant)?.owner.state())
    }
}
