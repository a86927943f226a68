//! Per-tenant quota state, evicted when idle.

use super::permit_lease::permit_lease;
use super::{ExpiringMap, QuotaClient, QuotaOwner};
use crate::decisions::account::AccountId;
use crate::decisions::context::EventContext;
use crate::decisions::gossip::TenantKey;
use crate::events::PlanIndex;
use crate::settings::Settings;
use crate::units::{Milliseconds, Timestamp, Tokens, TokensPerSecond};
use rand::Rng;

/// Tenants idle for this long are evicted. By then every bucket is full again.
const MAX_IDLE: Milliseconds = Milliseconds(60_000.0);
/// Minimum time between two scans for idle tenants.
const EVICTION_INTERVAL: Milliseconds = Milliseconds(6_000.0);

/// Quota state of a tenant on one plan: the client state for requests received here, and the owner state if
/// this gateway owns the quota.
pub(super) struct Tenant {
    pub plan: PlanIndex,
    pub owner: QuotaOwner,
    pub client: QuotaClient,
}

/// The level of a tenant's bucket at a point in time.
pub(super) struct BucketSnapshot {
    pub tokens: Tokens,
    pub as_of: Timestamp,
}

impl Tenant {
    /// Returns the time until the bucket holds `cost`, as far as this gateway knows; negative if it already
    /// does. Returns `None` if the plan does not limit the rate.
    pub(super) fn time_until_available(
        &self,
        cost: Tokens,
        settings: &Settings,
        now: Timestamp,
    ) -> Option<Milliseconds> {
        let refill_rate = settings.plan(self.plan).refill_rate;
        if refill_rate <= TokensPerSecond::ZERO {
            return None;
        }
        // The owner's last report, or the local state if there is none.
        let known = self.client.reported_bucket().unwrap_or(BucketSnapshot {
            tokens: self.owner.tokens(),
            as_of: self.owner.updated_at(),
        });
        let missing = cost - known.tokens;
        Some(known.as_of + missing.time_at(refill_rate) - now)
    }

    /// Whether the plan limits concurrency and the gateways of the tenant's shard share its permits.
    pub(super) fn shares_permits(&self, settings: &Settings) -> bool {
        settings.plan(self.plan).max_concurrency > 0 && self.client.local_permit_limit().is_none()
    }
}

pub(super) struct Tenants(ExpiringMap<TenantKey, Tenant>);

impl Tenants {
    pub(super) fn new() -> Tenants {
        Tenants(ExpiringMap::new())
    }

    /// Returns the tenant of an account, creating it if needed, and marks it as active. New tenants start
    /// with a random poll credit, so that the gateways of a shard do not all query the owner at the same
    /// time.
    pub(super) fn touch(
        &mut self,
        account: AccountId,
        settings: &Settings,
        context: &mut EventContext,
    ) -> &mut Tenant {
        let now = context.now;
        // Drawn for known tenants too, because decisions are only reproducible if the sequence of random
        // draws is the same.
        let poll_credit = context.rng.random::<f64>();
        let plan = settings.plan(account.plan);
        self.0.touch(account.tenant, now, || Tenant {
            plan: account.plan,
            owner: QuotaOwner::new(plan, now),
            client: QuotaClient::new(plan, poll_credit, now),
        })
    }

    /// Returns the owner state of an account after advancing it to the current time, and marks the tenant as
    /// active. Uses the plan under which the tenant was first seen, since the plan in a corrupted message may
    /// differ.
    pub(super) fn advance_owner(
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

    pub(super) fn get(&self, tenant: TenantKey) -> Option<&Tenant> {
        self.0.get(&tenant)
    }

    pub(super) fn get_mut(&mut self, tenant: TenantKey) -> Option<&mut Tenant> {
        self.0.get_mut(&tenant)
    }

    /// Evicts idle tenants without requests in flight. Returns false if the last scan was too recent.
    pub(super) fn evict_idle(&mut self, now: Timestamp) -> bool {
        let in_use = |tenant: &Tenant| tenant.client.has_requests_in_flight();
        self.0.evict_idle(MAX_IDLE, EVICTION_INTERVAL, now, in_use)
    }
}
