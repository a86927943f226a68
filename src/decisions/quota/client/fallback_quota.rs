//! The quota that a gateway may use while the owner does not respond.
//!
//! Doorman calls this safe capacity; its clients use it after their lease has expired.

use crate::decisions::quota::FALLBACK_FRACTION;
use crate::settings::Plan;
use crate::token_bucket::{BucketLimits, TokenBucket};
use crate::units::{Timestamp, Tokens};

/// One gateway's even share of a tenant's quota and of the part of its hard limit that needs no lease.
pub(super) struct FallbackQuota {
    quota: TokenBucket,
    hard_limit: TokenBucket,
    updated_at: Timestamp,
}

impl FallbackQuota {
    /// The quota bucket starts with the full burst. The hard-limit bucket starts empty, because an earlier
    /// incarnation of this gateway may have spent its tokens.
    pub(super) fn new(plan: &Plan, now: Timestamp) -> FallbackQuota {
        FallbackQuota {
            quota: TokenBucket::with_level(plan.burst),
            hard_limit: TokenBucket::default(),
            updated_at: now,
        }
    }

    /// Refills both buckets up to `now`. Without gossip no owner leases part of the hard limit, so the
    /// gateways divide all of it.
    pub(super) fn refill(
        &mut self,
        plan: &Plan,
        shard_size: u32,
        gossip_enabled: bool,
        now: Timestamp,
    ) {
        let elapsed = now - self.updated_at;
        self.updated_at = now;
        let gateways = f64::from(shard_size);
        let hard_limit_fraction = if gossip_enabled {
            FALLBACK_FRACTION
        } else {
            1.0
        };
        let fraction = hard_limit_fraction / gateways;
        let hard_limit = BucketLimits {
            refill_rate: plan.hard_limit_rate * fraction,
            burst: plan.hard_limit_burst * fraction,
        };
        self.hard_limit.refill(hard_limit, elapsed);
        let quota = BucketLimits {
            refill_rate: plan.refill_rate / gateways,
            burst: plan.burst / gateways,
        };
        self.quota.refill(quota, elapsed);
    }

    pub(super) fn has_quota(&self) -> bool {
        self.quota.level() > Tokens::ZERO
    }

    /// Charges the quota; the bucket may go into debt.
    pub(super) fn charge_quota(&mut self, cost: Tokens) {
        self.quota.take(cost);
    }

    pub(super) fn hard_limit_covers(&self, cost: Tokens) -> bool {
        self.hard_limit.level() >= cost
    }

    pub(super) fn charge_hard_limit(&mut self, cost: Tokens) {
        self.hard_limit.take(cost);
    }
}
