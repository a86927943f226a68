//! Owner state of a tenant's quota: grants tokens and concurrency permits.
//!
//! One gateway of the tenant's shard, selected by the hash of the tenant's name, owns the quota. All gateways
//! of the shard, including the owner, request tokens and permits from it. Differences between a grant and the
//! actual usage are settled afterwards.

mod bounded_history;
mod ledger;
mod permit_pool;

use crate::decisions::fleet_scale::fleet_scale;
use crate::decisions::gossip::{OwnerState, PermitId, QuotaDecision, QuotaRequest};
use crate::decisions::quota::EventSnapshot;
use crate::settings::{Plan, Settings};
use crate::units::{Milliseconds, Timestamp, Tokens, TokensPerSecond};
use bounded_history::BoundedHistory;
use ledger::TokenLedger;
use permit_pool::PermitPool;
use std::collections::VecDeque;

/// Fraction of the maximum request cost that is held back in the bucket for usage that is in flight and not
/// settled yet. It is scaled by the plan's over-quota penalty and by the size of the fleet: with three
/// gateways, the reserve costs more than it saves.
const BUCKET_RESERVE_FRACTION: f64 = 0.3;
/// Number of recent grants kept to detect retransmitted requests. Retransmissions happen within half a
/// second, and a tenant at its quota is granted fewer requests than this in that time.
const REMEMBERED_GRANTS: usize = 16;
/// When a holder renews a permit whose lease has already expired here, the permit is leased again only while
/// fewer than this multiple of the concurrency limit are leased.
const MAX_RENEWED_PERMIT_MULTIPLE: usize = 4;
/// Fraction of the remaining tokens that one gateway may prefetch. The rest is left for other gateways.
const MAX_PREFETCH_FRACTION: f64 = 0.5;

/// A decision on a request that was queued for a permit.
pub(crate) struct QueuedDecision {
    pub request: QuotaRequest,
    pub decision: QuotaDecision,
}

/// Owner state of the quota of one tenant on one plan.
pub(crate) struct QuotaOwner {
    ledger: TokenLedger,
    permits: PermitPool,
    /// Requests that wait for a permit, oldest first.
    queue: VecDeque<QuotaRequest>,
    recent_grants: BoundedHistory<PermitId>,
}

impl QuotaOwner {
    pub(super) fn new(plan: &Plan, now: Timestamp) -> QuotaOwner {
        QuotaOwner {
            ledger: TokenLedger::new(plan, now),
            permits: PermitPool::default(),
            queue: VecDeque::new(),
            recent_grants: BoundedHistory::new(),
        }
    }

    /// Returns the bucket level as of the last update; negative if the bucket is overdrawn.
    pub(super) fn tokens(&self) -> Tokens {
        self.ledger.tokens()
    }

    pub(super) fn updated_at(&self) -> Timestamp {
        self.ledger.updated_at()
    }

    /// Returns the state that is sent with each response.
    pub(super) fn state(&self) -> OwnerState {
        self.ledger.state()
    }

    /// Advances the state to `now`: refills the bucket, and drops permits whose lease has ended and queued
    /// requests that have expired.
    pub(super) fn advance(&mut self, plan: &Plan, permit_lease: Milliseconds, now: Timestamp) {
        self.ledger.advance(plan, now);
        self.permits.expire(permit_lease, now);
        self.queue.retain(|request| request.expires_at > now);
    }

    /// Decides on a quota request. Granted tokens and permits are charged immediately.
    pub(super) fn decide(
        &mut self,
        request: QuotaRequest,
        plan: &Plan,
        reserve: Tokens,
        gossip_enabled: bool,
        snapshot: EventSnapshot,
    ) -> QuotaDecision {
        // A retransmission after a lost response: the request has already been charged or queued.
        if self.recent_grants.contains(&request.permit_id()) {
            let cost = Tokens::ZERO;
            return QuotaDecision::Granted { cost };
        }
        if self.is_queued(&request) {
            return QuotaDecision::Queued;
        }
        self.ledger.record_demand(request.demand);
        let leasable = if plan.hard_limit_rate > TokensPerSecond::ZERO && gossip_enabled {
            self.ledger.leasable()
        } else {
            Tokens::INFINITY
        };
        if leasable < request.cost || !self.ledger.covers(request.cost, reserve, plan) {
            return QuotaDecision::Denied;
        }
        let permit_available = self.queue.is_empty() && self.has_free_permit(plan);
        if request.needs_permit && !permit_available {
            return self.enqueue(request, plan, snapshot);
        }
        let remaining = self.ledger.tokens().min(leasable) - request.cost;
        let prefetch = request.prefetch.min(remaining * MAX_PREFETCH_FRACTION);
        let cost = request.cost + prefetch.max(Tokens::ZERO);
        self.grant(&request, cost, snapshot.now);
        QuotaDecision::Granted { cost }
    }

    /// Queues a request for a permit, or denies it if no permit is likely to become free before it expires.
    fn enqueue(
        &mut self,
        request: QuotaRequest,
        plan: &Plan,
        snapshot: EventSnapshot,
    ) -> QuotaDecision {
        let position = self.queue.len() + 1;
        let permits = f64::from(plan.max_concurrency.max(1));
        let expected_wait = snapshot.mean_latency * position as f64 / permits;
        if snapshot.now + expected_wait > request.expires_at {
            return QuotaDecision::Denied;
        }
        self.queue.push_back(request);
        QuotaDecision::Queued
    }

    /// Leases free permits to queued requests. Denies a queued request if its tokens were used up in the
    /// meantime.
    pub(super) fn grant_queued(
        &mut self,
        plan: &Plan,
        reserve: Tokens,
        now: Timestamp,
    ) -> Vec<QueuedDecision> {
        let mut decisions = Vec::new();
        while self.has_free_permit(plan)
            && let Some(request) = self.queue.pop_front()
        {
            let cost = request.cost;
            let over_hard_limit =
                plan.hard_limit_rate > TokensPerSecond::ZERO && self.ledger.leasable() < cost;
            let decision = if over_hard_limit || !self.ledger.covers(cost, reserve, plan) {
                QuotaDecision::Denied
            } else {
                self.grant(&request, cost, now);
                QuotaDecision::Granted { cost }
            };
            decisions.push(QueuedDecision { request, decision });
        }
        decisions
    }

    /// Charges tokens used without a grant, or credits returned tokens if `cost` is negative, and releases
    /// the permit, if any.
    pub(super) fn settle(&mut self, cost: Tokens, permit: Option<PermitId>, plan: &Plan) {
        self.ledger.settle(cost, plan);
        if let Some(permit) = permit {
            self.permits.release(permit);
        }
    }

    /// Charges usage that a gateway reports after this owner did not respond, unless the last request in the
    /// report was granted after all.
    pub(super) fn charge_unconfirmed(&mut self, last_request: PermitId, cost: Tokens) {
        if !self.recent_grants.contains(&last_request) {
            self.ledger.charge_unconfirmed(cost);
        }
    }

    pub(super) fn renew_permit(&mut self, permit: PermitId, plan: &Plan, now: Timestamp) {
        let capacity = MAX_RENEWED_PERMIT_MULTIPLE * plan.max_concurrency as usize;
        self.permits.renew(permit, capacity, now);
    }

    fn grant(&mut self, request: &QuotaRequest, cost: Tokens, now: Timestamp) {
        self.ledger.charge_grant(cost);
        if request.needs_permit {
            self.permits.lease(request.permit_id(), now);
        }
        self.recent_grants
            .push(request.permit_id(), REMEMBERED_GRANTS);
    }

    fn is_queued(&self, request: &QuotaRequest) -> bool {
        let permit = request.permit_id();
        self.queue.iter().any(|queued| queued.permit_id() == permit)
    }

    fn has_free_permit(&self, plan: &Plan) -> bool {
        self.permits.len() < plan.max_concurrency as usize
    }
}

/// Returns the tokens that must remain in the bucket after a grant, unless the bucket is full.
pub(super) fn bucket_reserve(settings: &Settings, plan: &Plan) -> Tokens {
    let reserve_fraction = BUCKET_RESERVE_FRACTION * fleet_scale(settings);
    let penalty = plan.over_quota_penalty.min(1.0);
    settings.max_request_cost * reserve_fraction * penalty
}
