//! The account of a tenant as a gateway keeps it that uses the quota without owning it.

use super::LocalPermits;
use crate::gossip::OwnerState;
use crate::settings::Plan;
use crate::statistics::DecayingValue;
use crate::token_bucket::{BucketLimits, TokenBucket};
use crate::units::{Milliseconds, Timestamp, Tokens};

/// The owner's state as it was last received.
#[derive(Clone, Copy)]
pub(crate) struct ReceivedState {
    pub at_ms: f64,
    pub state: OwnerState,
}

/// Tokens that the owner granted in advance.
struct Prefetch {
    tokens: f64,
    /// Negative infinity for never.
    requested_at_ms: f64,
}

impl Default for Prefetch {
    fn default() -> Prefetch {
        Prefetch {
            tokens: 0.0,
            requested_at_ms: f64::NEG_INFINITY,
        }
    }
}

/// Tokens, permits and demand of one tenant on one plan at this gateway.
pub(crate) struct ClientLedger {
    pub permits: LocalPermits,
    owner_state: Option<ReceivedState>,
    /// The part of requests that may ask the owner, saved up.
    poll_credit: f64,
    demand: DecayingValue,
    unreported_demand: f64,
    prefetch: Prefetch,
    /// This gateway's even parts of the quota, and of the hard limit as far as no owner is asked.
    quota_allotment: TokenBucket,
    hard_limit_allotment: TokenBucket,
    allotments_at_ms: f64,
}

impl ClientLedger {
    /// The hard limit's allotment starts empty, as an earlier incarnation of this gateway may have spent it.
    pub(crate) fn new(plan: &Plan, poll_credit: f64, now_ms: f64) -> ClientLedger {
        ClientLedger {
            permits: LocalPermits::default(),
            owner_state: None,
            poll_credit,
            demand: DecayingValue::default(),
            unreported_demand: 0.0,
            prefetch: Prefetch::default(),
            quota_allotment: TokenBucket::with_level(plan.burst),
            hard_limit_allotment: TokenBucket::default(),
            allotments_at_ms: now_ms,
        }
    }

    /// Refills the allotments: an even part of the quota for each of `gateways`, and such a part of this fraction of
    /// the hard limit.
    pub(crate) fn accrue_allotments(
        &mut self,
        plan: &Plan,
        gateways: u32,
        hard_limit_fraction: f64,
        now_ms: f64,
    ) {
        let elapsed = Milliseconds(now_ms - self.allotments_at_ms);
        self.allotments_at_ms = now_ms;
        let gateways = f64::from(gateways);
        let fraction = hard_limit_fraction / gateways;
        let hard_limit = BucketLimits {
            refill_rate: plan.hard_limit_rate * fraction,
            burst: plan.hard_limit_burst * fraction,
        };
        self.hard_limit_allotment.refill(hard_limit, elapsed);
        let quota = BucketLimits {
            refill_rate: plan.refill_rate / gateways,
            burst: plan.burst / gateways,
        };
        self.quota_allotment.refill(quota, elapsed);
    }

    /// Counts the cost of a request.
    pub(crate) fn record_demand(&mut self, cost: f64, now_ms: f64, window_ms: f64) {
        self.demand
            .add_event(cost, Timestamp(now_ms), Milliseconds(window_ms));
    }

    /// Tokens a second that were asked for here, as of the last request.
    pub(crate) fn demand(&self) -> f64 {
        self.demand.last_value()
    }

    /// Counts demand that the owner is to hear of.
    pub(crate) fn add_unreported_demand(&mut self, tokens: f64) {
        self.unreported_demand += tokens;
    }

    /// Takes the demand to report to the owner.
    pub(crate) fn take_unreported_demand(&mut self) -> f64 {
        std::mem::take(&mut self.unreported_demand)
    }

    /// Adds to the credit for polling the owner.
    pub(crate) fn earn_poll_credit(&mut self, probability: f64) {
        self.poll_credit += probability;
    }

    /// Whether the credit pays for a poll.
    pub(crate) fn may_poll(&self) -> bool {
        self.poll_credit >= 1.0
    }

    /// Pays for a poll, as far as the credit goes. No more than another poll is saved up.
    pub(crate) fn spend_poll_credit(&mut self) {
        self.poll_credit = (self.poll_credit - 1.0).clamp(0.0, 1.0);
    }

    /// The prefetched tokens that are left.
    pub(crate) fn prefetched(&self) -> f64 {
        self.prefetch.tokens
    }

    /// How long ago tokens were last asked for in advance; infinite if never.
    pub(crate) fn prefetch_age_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.prefetch.requested_at_ms
    }

    /// Tokens were asked for in advance.
    pub(crate) fn prefetch_requested(&mut self, now_ms: f64) {
        self.prefetch.requested_at_ms = now_ms;
    }

    /// Adds to the prefetched tokens, or takes from them (`tokens` below zero).
    pub(crate) fn add_prefetched(&mut self, tokens: f64) {
        self.prefetch.tokens += tokens;
    }

    /// Takes all prefetched tokens.
    pub(crate) fn take_all_prefetched(&mut self) -> f64 {
        std::mem::take(&mut self.prefetch.tokens)
    }

    /// The owner's state as it was last received.
    pub(crate) fn owner_state(&self) -> Option<ReceivedState> {
        self.owner_state
    }

    /// The owner's state has come with a response.
    pub(crate) fn set_owner_state(&mut self, state: OwnerState, now_ms: f64) {
        self.owner_state = Some(ReceivedState {
            at_ms: now_ms,
            state,
        });
    }

    /// The tokens left of the quota's allotment.
    pub(crate) fn quota_allotment(&self) -> f64 {
        self.quota_allotment.level().as_f64()
    }

    /// Charges the quota's allotment.
    pub(crate) fn charge_quota(&mut self, cost: f64) {
        self.quota_allotment.take(Tokens(cost));
    }

    /// The tokens left of the hard limit's allotment.
    pub(crate) fn hard_limit_allotment(&self) -> f64 {
        self.hard_limit_allotment.level().as_f64()
    }

    /// Charges the hard limit's allotment.
    pub(crate) fn charge_hard_limit(&mut self, cost: f64) {
        self.hard_limit_allotment.take(Tokens(cost));
    }
}
