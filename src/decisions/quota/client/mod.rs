//! A gateway as a client of the gateway that owns a tenant's quota.
//!
//! The client decides which requests ask the owner, leases tokens in advance, and falls back on a quota of
//! its own while the owner does not respond.

mod fallback_quota;
mod local_permits;
mod polling;
mod prefetch;
mod unconfirmed_usage;

use super::{AccountId, Conditions, DEMAND_WINDOW, KnownTokens, shard_size};
use crate::decisions::gossip::OwnerState;
use crate::events::Request;
use crate::settings::{Plan, Settings};
use crate::statistics::{DecayingValue, exponential_decay};
use crate::units::{Milliseconds, Timestamp, Tokens, TokensPerSecond};
use fallback_quota::FallbackQuota;
use local_permits::LocalPermits;
use polling::{PollCredit, poll_probability, sustainable_rate};
use prefetch::PrefetchedTokens;

pub(super) use unconfirmed_usage::UnconfirmedUsage;

/// The time constant with which the demand in the owner's last state decays.
const OWNER_STATE_DECAY: Milliseconds = Milliseconds(2000.0);

/// How a request gets its tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum LeaseDecision {
    /// It is rejected at once, because the owner is asked for far more than it can grant.
    Reject,
    /// This gateway owns the quota and decides on the request itself.
    DecideAsOwner(LeaseRequest),
    /// Prefetched tokens cover it, and it is forwarded without waiting.
    UsePrefetched {
        /// What the owner is asked for to replace them.
        replenish: Option<LeaseRequest>,
    },
    /// It waits for the owner's response.
    AskOwner {
        /// What the owner is asked for; `None` where gateways exchange no gossip.
        lease: Option<LeaseRequest>,
        /// Prefetched tokens that are too old to be kept, to be returned to the owner.
        expired: Tokens,
    },
}

/// What the owner is asked for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LeaseRequest {
    /// The cost of the request; 0 where prefetched tokens cover it.
    pub cost: Tokens,
    /// Tokens to lease in advance.
    pub prefetch: Tokens,
    /// The demand since the owner was last asked.
    pub demand: Tokens,
    /// Whether the request needs one of the permits that the gateways of the shard share.
    pub needs_permit: bool,
}

/// The owner's state as it was last received.
#[derive(Clone, Copy)]
struct ReceivedState {
    at: Timestamp,
    state: OwnerState,
}

/// The quota of one tenant on one plan, as this gateway uses it.
pub(crate) struct QuotaClient {
    permits: LocalPermits,
    owner_state: Option<ReceivedState>,
    poll_credit: PollCredit,
    /// The demand at this gateway, in tokens per second, as of the last request.
    demand: DecayingValue,
    unreported_demand: Tokens,
    prefetched: PrefetchedTokens,
    fallback: FallbackQuota,
}

impl QuotaClient {
    /// A quota of which nothing is used yet, with this credit for asking the owner.
    pub(super) fn new(plan: &Plan, poll_credit: f64, now: Timestamp) -> QuotaClient {
        QuotaClient {
            permits: LocalPermits::default(),
            owner_state: None,
            poll_credit: PollCredit::new(poll_credit),
            demand: DecayingValue::default(),
            unreported_demand: Tokens::ZERO,
            prefetched: PrefetchedTokens::new(),
            fallback: FallbackQuota::new(plan, now),
        }
    }

    /// Decides how a request that has just arrived gets its tokens.
    pub(super) fn request(
        &mut self,
        account: AccountId,
        request: &Request,
        settings: &Settings,
        conditions: Conditions,
    ) -> LeaseDecision {
        let (plan, now) = (settings.plan(account.plan), conditions.now);
        let (cost, gossip_enabled) = (request.cost, settings.gossip_enabled);
        let shard_size = shard_size(request, settings.gateway_count);
        self.fallback.refill(plan, shard_size, gossip_enabled, now);
        let needs_permit = self.permits.divide(plan.max_concurrency, shard_size);
        let sustainable = sustainable_rate(plan, cost, needs_permit, conditions.mean_latency);
        let (demand, granted) = self.reported_rates(now);
        let poll_probability = poll_probability(demand, granted, sustainable, cost);
        self.demand.add_event(cost.as_f64(), now, DEMAND_WINDOW);
        let uses_prefetched = !needs_permit && self.prefetched.try_take(cost, now);
        let owner_is_local = account.owner == settings.gateway;
        let exempt = owner_is_local || uses_prefetched;
        if !self.poll_credit.try_poll(poll_probability, exempt) {
            return LeaseDecision::Reject;
        }
        // The request stands for those that were rejected without asking the owner.
        self.unreported_demand += cost / poll_probability;
        let expired = self.prefetched.take_expired(now);
        if owner_is_local {
            return LeaseDecision::DecideAsOwner(LeaseRequest {
                cost,
                prefetch: Tokens::ZERO,
                demand: cost,
                needs_permit,
            });
        }
        if uses_prefetched {
            let replenish = self.replenish_request(cost, gossip_enabled, now);
            return LeaseDecision::UsePrefetched { replenish };
        }
        let lease = gossip_enabled.then(|| self.lease_request(cost, needs_permit, now));
        LeaseDecision::AskOwner { lease, expired }
    }

    /// The owner is asked for the cost of a request and, where that needs no permit, for a prefetch.
    fn lease_request(&mut self, cost: Tokens, needs_permit: bool, now: Timestamp) -> LeaseRequest {
        let prefetch = if needs_permit {
            Tokens::ZERO
        } else {
            self.prefetched.request(self.demand(), cost, now)
        };
        LeaseRequest {
            cost,
            prefetch,
            demand: std::mem::take(&mut self.unreported_demand),
            needs_permit,
        }
    }

    /// After a request that prefetched tokens cover, the owner is asked for a prefetch alone, if one is
    /// wanted.
    fn replenish_request(
        &mut self,
        cost: Tokens,
        gossip_enabled: bool,
        now: Timestamp,
    ) -> Option<LeaseRequest> {
        if !gossip_enabled {
            return None;
        }
        let prefetch = self.prefetched.request(self.demand(), cost, now);
        (prefetch > Tokens::ZERO).then(|| LeaseRequest {
            cost: Tokens::ZERO,
            prefetch,
            demand: std::mem::take(&mut self.unreported_demand),
            needs_permit: false,
        })
    }

    /// The rates of demand and of grants that the owner reported. The demand decays since, as the traffic may
    /// have ended.
    fn reported_rates(&self, now: Timestamp) -> (TokensPerSecond, TokensPerSecond) {
        let Some(ReceivedState { at, state }) = self.owner_state else {
            return (TokensPerSecond::ZERO, TokensPerSecond::ZERO);
        };
        let decay = exponential_decay(now - at, OWNER_STATE_DECAY);
        (state.demand * decay, state.granted)
    }

    /// Decides whether a request is forwarded although the owner has not responded: in the proportion that
    /// the owner granted last, or else within the fallback quota; and within an even part of the plan's
    /// permits. `draw` is a random number between 0 and 1.
    pub(super) fn admits_unconfirmed(&mut self, request: &Request, plan: &Plan, draw: f64) -> bool {
        let within_quota = match self.owner_state {
            Some(ReceivedState { state, .. }) => state.demand * draw <= state.granted,
            None => self.fallback.has_quota(),
        };
        self.fallback.charge_quota(request.cost);
        let gateways = f64::from(request.shard_size.max(1));
        let permits = f64::from(plan.max_concurrency) / gateways;
        let in_flight = f64::from(self.permits.in_flight());
        within_quota && (permits <= 0.0 || in_flight < permits.max(1.0))
    }

    /// Keeps tokens that were granted and not used for later requests, if these are likely to use them.
    /// Returns whether it did.
    pub(super) fn keep_unused(&mut self, unused: Tokens, now: Timestamp) -> bool {
        self.prefetched.keep(unused, self.demand(), now)
    }

    /// Whether this gateway's part of the hard limit covers the cost of a request.
    pub(super) fn hard_limit_covers(&self, cost: Tokens) -> bool {
        self.fallback.hard_limit_covers(cost)
    }

    /// Counts a request that is forwarded, and charges `hard_limit_cost` to this gateway's part of the hard
    /// limit.
    pub(super) fn start_request(&mut self, hard_limit_cost: Tokens) {
        self.fallback.charge_hard_limit(hard_limit_cost);
        self.permits.acquire();
    }

    /// Counts a request that has ended.
    pub(super) fn end_request(&mut self) {
        self.permits.release();
    }

    /// Whether any request of the tenant is in flight here.
    pub(super) fn is_in_use(&self) -> bool {
        self.permits.in_flight() > 0
    }

    /// The most requests in flight, if this gateway has permits of its own.
    pub(super) fn local_permit_limit(&self) -> Option<u32> {
        self.permits.limit()
    }

    /// The number of permits of this gateway's own, if it has any and all are in use.
    pub(super) fn used_up_permits(&self) -> Option<u32> {
        self.permits.used_up()
    }

    /// Records the state that came with a response of the owner.
    pub(super) fn set_owner_state(&mut self, state: OwnerState, now: Timestamp) {
        self.owner_state = Some(ReceivedState { at: now, state });
    }

    /// The tokens in the owner's bucket as it last reported them, and when that was.
    pub(super) fn reported_tokens(&self) -> Option<KnownTokens> {
        self.owner_state
            .map(|ReceivedState { at, state }| KnownTokens {
                tokens: state.tokens,
                as_of: at,
            })
    }

    fn demand(&self) -> TokensPerSecond {
        TokensPerSecond(self.demand.last_value())
    }
}
