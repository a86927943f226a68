//! Token accounting of one tenant at the owner of its quota.

use crate::decisions::gossip::OwnerState;
use crate::decisions::quota::{DEMAND_WINDOW, FALLBACK_FRACTION};
use crate::settings::Plan;
use crate::statistics::exponential_decay;
use crate::token_bucket::{BucketLimits, TokenBucket};
use crate::units::{Timestamp, Tokens, TokensPerSecond};

/// Fraction of the hard limit's rate that the owner leases. The gateways use the rest without a lease.
const LEASED_RATE_FRACTION: f64 = 1.0 - FALLBACK_FRACTION;
/// Fraction of the hard limit's burst that the owner may lease at once. It is smaller than the fraction of
/// the rate, because tokens leased earlier may still be unused at the gateways.
const LEASED_BURST_FRACTION: f64 = 0.5;

/// Token buckets, demand and grant rate of one tenant on one plan.
pub(super) struct TokenLedger {
    updated_at: Timestamp,
    bucket: TokenBucket,
    /// Tokens that recently did not fit into the bucket, decayed over [`DEMAND_WINDOW`].
    overflow: Tokens,
    /// Tokens that may still be leased under the hard limit. Returned tokens are not added back.
    hard_limit: TokenBucket,
    /// Rates at which tokens were requested and granted, as of `updated_at`.
    demand: TokensPerSecond,
    granted: TokensPerSecond,
}

impl TokenLedger {
    /// Creates a ledger with a full bucket. The hard-limit bucket starts empty, because an earlier
    /// incarnation of this gateway may have spent its tokens.
    pub(super) fn new(plan: &Plan, now: Timestamp) -> TokenLedger {
        TokenLedger {
            updated_at: now,
            bucket: TokenBucket::with_level(plan.burst),
            overflow: Tokens::ZERO,
            hard_limit: TokenBucket::default(),
            demand: TokensPerSecond::ZERO,
            granted: TokensPerSecond::ZERO,
        }
    }

    pub(super) fn updated_at(&self) -> Timestamp {
        self.updated_at
    }

    /// Returns the bucket level; negative if the bucket is overdrawn.
    pub(super) fn tokens(&self) -> Tokens {
        self.bucket.level()
    }

    /// Returns the number of tokens that may still be leased under the hard limit.
    pub(super) fn leasable(&self) -> Tokens {
        self.hard_limit.level()
    }

    /// Returns the state that is sent with each response.
    pub(super) fn state(&self) -> OwnerState {
        OwnerState {
            demand: self.demand,
            granted: self.granted,
            tokens: self.tokens(),
        }
    }

    /// Refills the buckets and decays demand and grants up to `now`.
    pub(super) fn advance(&mut self, plan: &Plan, now: Timestamp) {
        let elapsed = now - self.updated_at;
        self.updated_at = now;
        let limits = BucketLimits {
            refill_rate: plan.refill_rate,
            burst: plan.burst,
        };
        let refill = self.bucket.refill(limits, elapsed);
        let decay = exponential_decay(elapsed, DEMAND_WINDOW);
        self.overflow = self.overflow * decay + refill.uncapped_level - refill.level;
        let leased = BucketLimits {
            refill_rate: plan.hard_limit_rate * LEASED_RATE_FRACTION,
            burst: plan.hard_limit_burst * LEASED_BURST_FRACTION,
        };
        self.hard_limit.refill(leased, elapsed);
        self.demand *= decay;
        self.granted *= decay;
    }

    pub(super) fn record_demand(&mut self, tokens: Tokens) {
        self.demand += tokens.per(DEMAND_WINDOW);
    }

    /// Charges granted tokens to the bucket and to the hard limit.
    pub(super) fn charge_grant(&mut self, cost: Tokens) {
        self.bucket.take(cost);
        self.hard_limit.take(cost);
        self.granted += cost.per(DEMAND_WINDOW);
    }

    /// Charges tokens used without a grant, or credits returned tokens if `cost` is negative.
    pub(super) fn settle(&mut self, cost: Tokens, plan: &Plan) {
        self.bucket.settle(cost, plan.burst);
    }

    /// Charges tokens used while the owner could not be reached. They are taken from the recent overflow
    /// first, then from the bucket until it is empty. Usage beyond the quota is not charged.
    pub(super) fn charge_unconfirmed(&mut self, cost: Tokens) {
        let charged = cost - cost.min(self.overflow);
        self.overflow -= cost - charged;
        self.bucket.take_without_debt(charged);
    }

    /// Whether the bucket holds `cost` and, in addition, `reserve`. A full bucket covers any request.
    pub(super) fn covers(&self, cost: Tokens, reserve: Tokens, plan: &Plan) -> bool {
        let needed = (cost + reserve).min(plan.burst);
        plan.refill_rate <= TokensPerSecond::ZERO || self.tokens() >= needed
    }
}
