//! The tenants that a gateway knows.

use super::permit_lease::permit_lease;
use super::{ExpiringMap, QuotaClient, QuotaOwner};
use crate::decisions::account::AccountId;
use crate::decisions::context::EventContext;
use crate::decisions::gossip::TenantKey;
use crate::events::PlanIndex;
use crate::settings::Settings;
use crate::units::{Milliseconds, Timestamp, Tokens, TokensPerSecond};
use rand::Rng;

/// Tenants that have been idle for this long are dropped: by then every bucket is full again.
const MAX_IDLE: Milliseconds = Milliseconds(60_000.0);
/// The time between two searches for idle tenants.
const EVICTION_INTERVAL: Milliseconds = Milliseconds(6_000.0);

/// A tenant on one plan. The client's side is used for its requests at this gateway, and the owner's side if
/// this gateway owns the quota.
pub(super) struct Tenant {
    pub plan: PlanIndex,
    pub owner: QuotaOwner,
    pub client: QuotaClient,
}

/// The tokens in a tenant's bucket as of a time.
pub(super) struct KnownTokens {
    pub tokens: Tokens,
    pub as_of: Timestamp,
}

impl Tenant {
    /// The duration until the bucket holds the cost of a request, as far as this gateway knows. `None` if the
    /// rate of the plan is not limited; negative if the bucket held it already.
    pub(super) fn tokens_available_in(
        &self,
        cost: Tokens,
        settings: &Settings,
        now: Timestamp,
    ) -> Option<Milliseconds> {
        let refill_rate = settings.plan(self.plan).refill_rate;
        if refill_rate <= TokensPerSecond::ZERO {
            return None;
        }
        // As the owner last reported them, or as counted by this gateway.
        let known = self.client.reported_tokens().unwrap_or(KnownTokens {
            tokens: self.owner.tokens(),
            as_of: self.owner.updated_at(),
        });
        let missing = cost - known.tokens;
        Some(known.as_of + missing.time_at(refill_rate) - now)
    }

    /// Whether the gateways of the tenant's shard share the permits of its plan.
    pub(super) fn shares_permits(&self, settings: &Settings) -> bool {
        settings.plan(self.plan).max_concurrency > 0 && self.client.local_permit_limit().is_none()
    }
}

/// All tenants, by key. Those that have been idle for long are dropped.
pub(super) struct Tenants(ExpiringMap<TenantKey, Tenant>);

impl Tenants {
    /// No tenants yet.
    pub(super) fn new() -> Tenants {
        Tenants(ExpiringMap::new())
    }

    /// The tenant of an account, which counts as seen now. A new one starts with a random credit for asking
    /// the owner, so that the gateways of a shard do not ask at the same time.
    pub(super) fn touch(
        &mut self,
        account: AccountId,
        settings: &Settings,
        context: &mut EventContext,
    ) -> &mut Tenant {
        let now = context.now;
        // Drawn for known tenants too: decisions are reproducible only with the same sequence of draws.
        let poll_credit = context.rng.random::<f64>();
        let plan = settings.plan(account.plan);
        self.0.touch(account.tenant, now, || Tenant {
            plan: account.plan,
            owner: QuotaOwner::new(plan, now),
            client: QuotaClient::new(plan, poll_credit, now),
        })
    }

    /// The owner's side of an account, brought up to now. The tenant counts as seen now. The plan with which
    /// it became known applies, since the plan in a damaged message may be another.
    pub(super) fn advanced_owner(
        &mut self,
        account: AccountId,
        settings: &Settings,
        context: &mut EventContext,
    ) -> &mut QuotaOwner {
        let tenant = self.touch(account, settings, context);
        let plan = settings.plan(tenant.plan);
        let lease = permit_lease(context.mean_latency);
        tenant.owner.advance(plan, lease, context.now);
        &mut tenant.owner
    }

    /// The tenant with this key.
    pub(super) fn get(&self, tenant: TenantKey) -> Option<&Tenant> {
        self.0.get(&tenant)
    }

    /// The tenant with this key, for a change.
    pub(super) fn get_mut(&mut self, tenant: TenantKey) -> Option<&mut Tenant> {
        self.0.get_mut(&tenant)
    }

    /// Drops idle tenants without a request in flight. Returns whether it searched for them.
    pub(super) fn evict_idle(&mut self, now: Timestamp) -> bool {
        let in_use = |tenant: &Tenant| tenant.client.is_in_use();
        self.0.evict_idle(MAX_IDLE, EVICTION_INTERVAL, now, in_use)
    }
}
