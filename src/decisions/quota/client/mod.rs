//! A gateway as a client of the gateway that owns a tenant's quota.
//!
//! The client decides which requests ask the owner, leases tokens in advance, and falls back on a quota of
//! its own while the owner does not respond.

mod fallback_quota;
mod local_permits;
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
use prefetch::PrefetchedTokens;

pub(super) use unconfirmed_usage::UnconfirmedUsage;

/// The time constant with which the demand in the owner's last state decays.
const OWNER_STATE_DECAY: Milliseconds = Milliseconds(2000.0);
/// The owner is asked for at most this multiple of what it granted, or can grant. Further requests are
/// rejected without asking it.
const POLL_HEADROOM: f64 = 1.5;
/// Requests are expected to hold a permit at least this long.
const MIN_PERMIT_DURATION: Milliseconds = Milliseconds(1.0);

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
    /// The sum of the poll probabilities of recent requests. A request that asks the owner takes 1 of it.
    poll_credit: f64,
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
            poll_credit,
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
        let Conditions { now, mean_latency } = conditions;
        let plan = settings.plan(account.plan);
        let cost = request.cost;
        let shard_size = shard_size(request, settings.gateway_count);
        self.fallback
            .refill(plan, shard_size, settings.gossip_enabled, now);
        let needs_permit = self.permits.divide(plan.max_concurrency, shard_size);
        let sustainable = sustainable_rate(plan, cost, needs_permit, mean_latency);
        let poll_probability = self.poll_probability(cost, sustainable, now);
        self.demand.add_event(cost.as_f64(), now, DEMAND_WINDOW);
        let uses_prefetched = !needs_permit && self.prefetched.try_take(cost, now);
        let owner_is_local = account.owner == settings.gateway;
        self.poll_credit += poll_probability;
        if self.poll_credit < 1.0 && !owner_is_local && !uses_prefetched {
            return LeaseDecision::Reject;
        }
        // No more than another poll is saved up.
        self.poll_credit = (self.poll_credit - 1.0).clamp(0.0, 1.0);
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
        let lease = if settings.gossip_enabled {
            self.lease_request(cost, uses_prefetched, needs_permit, now)
        } else {
            None
        };
        if uses_prefetched {
            LeaseDecision::UsePrefetched { replenish: lease }
        } else {
            LeaseDecision::AskOwner { lease, expired }
        }
    }

    /// Takes the demand to report, and records the prefetch as requested. `None` if prefetched tokens cover
    /// the request and no more are wanted.
    fn lease_request(
        &mut self,
        cost: Tokens,
        uses_prefetched: bool,
        needs_permit: bool,
        now: Timestamp,
    ) -> Option<LeaseRequest> {
        let prefetch = if needs_permit {
            Tokens::ZERO
        } else {
            self.prefetched.wanted(self.demand(), cost, now)
        };
        if uses_prefetched && prefetch <= Tokens::ZERO {
            return None;
        }
        if prefetch > Tokens::ZERO {
            self.prefetched.on_requested(now);
        }
        Some(LeaseRequest {
            cost: if uses_prefetched { Tokens::ZERO } else { cost },
            prefetch,
            demand: std::mem::take(&mut self.unreported_demand),
            needs_permit,
        })
    }

    /// The probability with which a request asks the owner: adaptive throttling ("Handling Overload" in the
    /// SRE book) on the demand and the grants that the owner reported. What the quota can sustain is asked
    /// for in any case, since otherwise the grants, which follow the requests, would sink further and
    /// further.
    fn poll_probability(&self, cost: Tokens, sustainable: TokensPerSecond, now: Timestamp) -> f64 {
        let reported = self.owner_state.map(|ReceivedState { at, state }| {
            let decay = exponential_decay(now - at, OWNER_STATE_DECAY);
            (state.demand * decay, state.granted)
        });
        let (demand, granted) = reported.unwrap_or_default();
        let accepted = granted.max(sustainable) * POLL_HEADROOM;
        let excess = demand - accepted;
        1.0 - (excess.as_f64() / (demand.as_f64() + cost.as_f64())).max(0.0)
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

/// The rate that the quota can sustain, and the permits too where the gateways share them.
fn sustainable_rate(
    plan: &Plan,
    cost: Tokens,
    needs_permit: bool,
    mean_latency: Milliseconds,
) -> TokensPerSecond {
    let refill_rate = if plan.refill_rate > TokensPerSecond::ZERO {
        plan.refill_rate
    } else {
        TokensPerSecond::INFINITY
    };
    if !needs_permit {
        return refill_rate;
    }
    let tokens_in_flight = cost * f64::from(plan.max_concurrency);
    refill_rate.min(tokens_in_flight.per(mean_latency.max(MIN_PERMIT_DURATION)))
}
