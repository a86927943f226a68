//! Per-tenant quota state, evicted when idle and when there are too many tenants.

use super::expiring_map::{ExpiringMap, Retention};
use super::permit_lease::permit_lease;
use super::{QuotaClient, QuotaOwner};
use crate::decisions::account::AccountId;
use crate::decisions::context::EventContext;
use crate::decisions::gossip::TenantKey;
use crate::events::{PlanIndex, TenantStatistics};
use crate::settings::Settings;
use crate::units::{Milliseconds, Timestamp, Tokens, TokensPerSecond};
use foldhash::fast::FixedState;
use rand::Rng;
use std::hash::BuildHasher;

/// Tenants idle for this long are evicted. By then every bucket is full again.
const MAX_IDLE: Milliseconds = Milliseconds(60_000.0);
/// Minimum time between two scans for idle tenants.
const EVICTION_INTERVAL: Milliseconds = Milliseconds(6_000.0);

/// Memory that the state of one tenant occupies, with its share of the map and of the heap.
const TENANT_BYTES: usize = 512;

/// Quota state of a tenant on one plan: the client state for requests received here, and the owner state if
/// this gateway owns the quota.
pub(super) struct Tenant {
    pub plan: PlanIndex,
    pub owner: QuotaOwner,
    pub client: QuotaClient,
    requests: RequestHistory,
}

/// How many requests of a tenant this gateway knows of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestHistory {
    None,
    /// The tenant may never come again.
    One,
    Several,
}

/// The level of a tenant's bucket at a point in time.
pub(super) struct BucketSnapshot {
    pub tokens: Tokens,
    pub as_of: Timestamp,
}

impl Tenant {
    /// Counts a request, received here or by another gateway that asked this one as the owner.
    pub(super) fn record_request(&mut self) {
        self.requests = match self.requests {
            RequestHistory::None => RequestHistory::One,
            RequestHistory::One | RequestHistory::Several => RequestHistory::Several,
        };
    }

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

    /// Returns whether the tenant may be evicted. The state of a tenant with a single request is hardly
    /// worth keeping: its bucket is nearly full, like that of a new tenant. This way, a client that makes up
    /// tenants displaces those that it made up and not the tenants that return.
    fn retention(&self) -> Retention {
        if self.client.has_requests_in_flight() {
            Retention::InUse
        } else if self.requests == RequestHistory::Several {
            Retention::Valuable
        } else {
            Retention::Expendable
        }
    }

    /// Whether the plan limits concurrency and the gateways of the tenant's shard share its permits.
    pub(super) fn shares_permits(&self, settings: &Settings) -> bool {
        settings.plan(self.plan).max_concurrency > 0 && self.client.local_permit_limit().is_none()
    }
}

/// Key of a tenant in the table. Its order is random, so that successive entries are a random sample of the
/// tenants, also if clients choose the names of the tenants with care.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TableKey {
    position: u64,
    tenant: TenantKey,
}

/// The tenants that this gateway knows.
pub(super) struct Tenants {
    table: ExpiringMap<TableKey, Tenant>,
    capacity: usize,
    /// Determines the order of the table, by the seed of this process.
    order: FixedState,
    /// Number of tenants evicted so far because there were too many.
    displaced: u64,
}

impl Tenants {
    /// Creates an empty table whose tenants occupy about as much memory as the settings allow.
    pub(super) fn new(settings: &Settings, seed: u64) -> Tenants {
        Tenants {
            table: ExpiringMap::new(),
            capacity: settings.effective_tenant_memory_bytes() / TENANT_BYTES,
            order: FixedState::with_seed(seed),
            displaced: 0,
        }
    }

    fn table_key(&self, tenant: TenantKey) -> TableKey {
        TableKey {
            position: self.order.hash_one(tenant),
            tenant,
        }
    }

    pub(super) fn statistics(&self) -> TenantStatistics {
        TenantStatistics {
            known: self.table.len(),
            displaced: self.displaced,
        }
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
        let key = self.table_key(account.tenant);
        self.table.touch(key, now, || Tenant {
            plan: account.plan,
            owner: QuotaOwner::new(plan, now),
            client: QuotaClient::new(plan, poll_credit, now),
            requests: RequestHistory::None,
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
        self.table.get(&self.table_key(tenant))
    }

    pub(super) fn get_mut(&mut self, tenant: TenantKey) -> Option<&mut Tenant> {
        let key = self.table_key(tenant);
        self.table.get_mut(&key)
    }

    /// Evicts idle tenants, and others while there are too many. Tenants with requests in flight stay.
    /// Returns the keys of the evicted tenants.
    pub(super) fn evict(&mut self, context: &mut EventContext) -> Vec<TenantKey> {
        let retention = Tenant::retention;
        let now = context.now;
        let mut evicted = self
            .table
            .evict_idle(MAX_IDLE, EVICTION_INTERVAL, now, retention);
        let random_key = || TableKey {
            position: context.rng.random(),
            tenant: TenantKey(0),
        };
        let excess = self
            .table
            .evict_excess(self.capacity, random_key, retention);
        self.displaced += excess.len() as u64;
        evicted.extend(excess);
        evicted.into_iter().map(|key| key.tenant).collect()
    }
}
