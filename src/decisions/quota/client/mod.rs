//! Client state of a tenant's quota.
//!
//! The client decides which requests query the owner, leases tokens in advance, and uses a fallback quota
//! while the owner does not respond.

mod fallback_quota;
mod local_permits;
mod polling;
mod prefetch;
mod unconfirmed_usage;

use super::{AccountId, BucketSnapshot, DEMAND_WINDOW, EventSnapshot, shard_size};
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

/// Time constant with which the last reported demand decays.
const OWNER_STATE_DECAY: Milliseconds = Milliseconds(2000.0);

/// How a request obtains its tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum LeaseDecision {
    /// Reject the request without querying the owner, because demand far exceeds what the owner can grant.
    Reject,
    /// This gateway owns the quota and decides by itself.
    DecideAsOwner(LeaseRequest),
    /// Prefetched tokens cover the cost, so the request can proceed without waiting.
    UsePrefetched {
        /// Quota request that replaces the used tokens, if one is due.
        replenish: Option<LeaseRequest>,
    },
    /// Wait for the owner's response.
    QueryOwner {
        /// The lease to request; `None` if gossip is disabled.
        lease: Option<LeaseRequest>,
        /// Prefetched tokens that have expired and must be returned to the owner.
        expired: Tokens,
    },
}

/// Tokens and permit to request from the owner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LeaseRequest {
    /// Cost of the request; 0 if prefetched tokens cover it.
    pub cost: Tokens,
    /// Tokens to lease in advance, for later requests.
    pub prefetch: Tokens,
    /// Demand since the last quota request to the owner.
    pub demand: Tokens,
    /// Whether the request needs a permit from the pool that the gateways of the shard share.
    pub needs_permit: bool,
}

#[derive(Clone, Copy)]
struct ReceivedState {
    at: Timestamp,
    state: OwnerState,
}

/// Client state of the quota of one tenant on one plan.
pub(crate) struct QuotaClient {
    permits: LocalPermits,
    owner_state: Option<ReceivedState>,
    poll_credit: PollCredit,
    /// Demand at this gateway in tokens per second, updated on each request.
    demand: DecayingValue,
    unreported_demand: Tokens,
    prefetched: PrefetchedTokens,
    fallback: FallbackQuota,
}

impl QuotaClient {
    /// Creates the client state of an unused quota. `poll_credit` is the initial [`PollCredit`].
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

    /// Decides how a newly received request obtains its tokens.
    pub(super) fn on_request(
        &mut self,
        account: AccountId,
        request: &Request,
        settings: &Settings,
        snapshot: EventSnapshot,
    ) -> LeaseDecision {
        let (plan, now) = (settings.plan(account.plan), snapshot.now);
        let (cost, gossip_enabled) = (request.cost, settings.gossip_enabled);
        let shard_size = shard_size(request, settings.gateway_count);
        self.fallback.refill(plan, shard_size, gossip_enabled, now);
        let needs_permit = self.permits.update_limit(plan.max_concurrency, shard_size);
        let sustainable = sustainable_rate(plan, cost, needs_permit, snapshot.mean_latency);
        let (demand, granted) = self.reported_rates(now);
        let poll_probability = poll_probability(demand, granted, sustainable, cost);
        self.demand.add_event(cost.as_f64(), now, DEMAND_WINDOW);
        let uses_prefetched = !needs_permit && self.prefetched.try_take(cost, now);
        let owner_is_local = account.owner == settings.gateway;
        let exempt = owner_is_local || uses_prefetched;
        if !self.poll_credit.try_poll(poll_probability, exempt) {
            return LeaseDecision::Reject;
        }
        // Scaled up to include the requests that were rejected without querying the owner.
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
        LeaseDecision::QueryOwner { lease, expired }
    }

    /// Builds a lease for the cost of a request. A prefetch is added unless the request needs a shared
    /// permit.
    fn lease_request(&mut self, cost: Tokens, needs_permit: bool, now: Timestamp) -> LeaseRequest {
        let prefetch = if needs_permit {
            Tokens::ZERO
        } else {
            self.prefetched.request_prefetch(self.demand(), cost, now)
        };
        LeaseRequest {
            cost,
            prefetch,
            demand: std::mem::take(&mut self.unreported_demand),
            needs_permit,
        }
    }

    /// Builds a lease that only prefetches tokens, after a request was served from prefetched tokens. Returns
    /// `None` if no prefetch is due.
    fn replenish_request(
        &mut self,
        cost: Tokens,
        gossip_enabled: bool,
        now: Timestamp,
    ) -> Option<LeaseRequest> {
        if !gossip_enabled {
            return None;
        }
        let prefetch = self.prefetched.request_prefetch(self.demand(), cost, now);
        (prefetch > Tokens::ZERO).then(|| LeaseRequest {
            cost: Tokens::ZERO,
            prefetch,
            demand: std::mem::take(&mut self.unreported_demand),
            needs_permit: false,
        })
    }

    /// Returns the demand and the grant rate last reported by the owner. The demand decays since the report,
    /// because the traffic may have stopped.
    fn reported_rates(&self, now: Timestamp) -> (TokensPerSecond, TokensPerSecond) {
        let Some(ReceivedState { at, state }) = self.owner_state else {
            return (TokensPerSecond::ZERO, TokensPerSecond::ZERO);
        };
        let decay = exponential_decay(now - at, OWNER_STATE_DECAY);
        (state.demand * decay, state.granted)
    }

    /// Decides whether to forward a request although the owner has not responded. The request is forwarded
    /// with the last reported ratio of grants to demand or, if there was no report, within the fallback
    /// quota. In both cases the requests in flight must be within this gateway's even share of the plan's
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

    /// Keeps unused granted tokens if later requests are likely to use them. Returns whether they were kept.
    pub(super) fn keep_unused(&mut self, unused: Tokens, now: Timestamp) -> bool {
        self.prefetched.keep(unused, self.demand(), now)
    }

    pub(super) fn hard_limit_covers(&self, cost: Tokens) -> bool {
        self.fallback.hard_limit_covers(cost)
    }

    /// Counts a forwarded request as in flight and charges `hard_limit_cost` to the local share of the hard
    /// limit.
    pub(super) fn start_request(&mut self, hard_limit_cost: Tokens) {
        self.fallback.charge_hard_limit(hard_limit_cost);
        self.permits.acquire();
    }

    pub(super) fn end_request(&mut self) {
        self.permits.release();
    }

    pub(super) fn has_requests_in_flight(&self) -> bool {
        self.permits.in_flight() > 0
    }

    /// Returns the local concurrency limit; `None` if there is no limit or the permits are shared.
    pub(super) fn local_permit_limit(&self) -> Option<u32> {
        self.permits.limit()
    }

    /// Returns the local concurrency limit if it is reached.
    pub(super) fn exhausted_local_permits(&self) -> Option<u32> {
        self.permits.exhausted_limit()
    }

    pub(super) fn set_owner_state(&mut self, state: OwnerState, now: Timestamp) {
        self.owner_state = Some(ReceivedState { at: now, state });
    }

    /// Returns the owner's last reported bucket level and the time of the report.
    pub(super) fn reported_bucket(&self) -> Option<BucketSnapshot> {
        self.owner_state
            .map(|ReceivedState { at, state }| BucketSnapshot {
                tokens: state.tokens,
                as_of: at,
            })
    }

    fn demand(&self) -> TokensPerSecond {
        TokensPerSecond(self.demand.last_value())
    }
}
