//! The tokens of one tenant as the owner of its quota counts them.

use crate::decisions::gossip::OwnerState;
use crate::decisions::quota::{DEMAND_WINDOW, FALLBACK_FRACTION};
use crate::settings::Plan;
use crate::statistics::exponential_decay;
use crate::token_bucket::{BucketLimits, TokenBucket};
use crate::units::{Timestamp, Tokens, TokensPerSecond};

/// The fraction of a hard limit's rate that the owner leases. The gateways use the rest without asking.
const LEASED_RATE_FRACTION: f64 = 1.0 - FALLBACK_FRACTION;
/// The fraction of a hard limit's burst that the owner may lease at once. It is less than the fraction of the
/// rate, because tokens that were leased before may still be unused at the gateways.
const LEASED_BURST_FRACTION: f64 = 0.5;

/// The token buckets, the demand and the grants of one tenant on one plan.
pub(super) struct TokenLedger {
    updated_at: Timestamp,
    bucket: TokenBucket,
    /// Tokens that did not fit into the bucket recently.
    overflow: Tokens,
    /// What the owner may still lease under the hard limit. Returned tokens are not added to it.
    hard_limit: TokenBucket,
    /// The rates at which tokens were requested and granted, as of the last update.
    demand: TokensPerSecond,
    granted: TokensPerSecond,
}

impl TokenLedger {
    /// A ledger with a full bucket. The bucket of the hard limit starts empty, since an earlier incarnation
    /// of this gateway may have spent it.
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

    /// When the ledger was last advanced.
    pub(super) fn updated_at(&self) -> Timestamp {
        self.updated_at
    }

    /// The tokens in the bucket; negative while it is overdrawn.
    pub(super) fn tokens(&self) -> Tokens {
        self.bucket.level()
    }

    /// The tokens that the owner may still lease under the hard limit.
    pub(super) fn leasable(&self) -> Tokens {
        self.hard_limit.level()
    }

    /// The state that goes with each response.
    pub(super) fn state(&self) -> OwnerState {
        OwnerState {
            demand: self.demand,
            granted: self.granted,
            tokens: self.tokens(),
        }
    }

    /// Refills the buckets and lets demand and grants decay up to now.
    pub(super) fn advance(&mut self, plan: &Plan, now: Timestamp) {
        let elapsed = now - self.updated_at;
        self.updated_at = now;
        let limits = BucketLimits {
            refill_rate: plan.refill_rate,
            burst: plan.burst,
        };
        let refill = self.bucket.refill(limits, elapsed);
        let decay = exponential_decay(elapsed, DEMAND_WINDOW);
        self.overflow = self.overflow * decay + refill.unlimited_level - refill.level;
        let leased = BucketLimits {
            refill_rate: plan.hard_limit_rate * LEASED_RATE_FRACTION,
            burst: plan.hard_limit_burst * LEASED_BURST_FRACTION,
        };
        self.hard_limit.refill(leased, elapsed);
        self.demand *= decay;
        self.granted *= decay;
    }

    /// Counts tokens that were requested.
    pub(super) fn record_demand(&mut self, tokens: Tokens) {
        self.demand += tokens.per(DEMAND_WINDOW);
    }

    /// Charges a grant.
    pub(super) fn charge_grant(&mut self, cost: Tokens) {
        self.bucket.take(cost);
        self.hard_limit.take(cost);
        self.granted += cost.per(DEMAND_WINDOW);
    }

    /// Charges tokens that were used without a grant, or takes unused ones back (`cost` negative).
    pub(super) fn settle(&mut self, cost: Tokens, plan: &Plan) {
        self.bucket.settle(cost, plan.burst);
    }

    /// Charges tokens that a gateway used while the owner did not respond. They are taken from the tokens
    /// that overflowed meanwhile, then from the bucket as far as it holds any: usage beyond the quota is not
    /// charged.
    pub(super) fn charge_unconfirmed(&mut self, cost: Tokens) {
        let charged = cost - cost.min(self.overflow);
        self.overflow -= cost - charged;
        self.bucket.take_without_debt(charged);
    }

    /// Whether the bucket holds the cost of a request and `reserve` beside it. A full bucket covers any
    /// request.
    pub(super) fn covers(&self, cost: Tokens, reserve: Tokens, plan: &Plan) -> bool {
        let needed = (cost + reserve).min(plan.burst);
        plan.refill_rate <= TokensPerSecond::ZERO || self.tokens() >= needed
    }
}
