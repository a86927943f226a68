//! The owner's side of a tenant's quota: which requests are granted tokens and concurrency permits.
//!
//! One gateway of a tenant's shard, selected by the tenant's key, owns the quota. All gateways of the shard,
//! itself among them, request tokens and permits from it. What they use beyond a grant, or do not use of it,
//! is settled later.

mod bounded_history;
mod ledger;
mod permit_pool;

use crate::decisions::fleet_scale::fleet_scale;
use crate::decisions::gossip::{OwnerState, PermitId, QuotaDecision, QuotaRequest};
use crate::decisions::quota::Conditions;
use crate::settings::{Plan, Settings};
use crate::units::{Milliseconds, Timestamp, Tokens, TokensPerSecond};
use bounded_history::BoundedHistory;
use ledger::TokenLedger;
use permit_pool::PermitPool;
use std::collections::VecDeque;

/// The fraction of the largest cost of a request that stays in the bucket, as far as usage beyond the quota
/// is penalized and as the fleet is large: what its gateways have in flight is not settled yet. In a fleet of
/// three the reserve costs more than it saves.
const BUCKET_RESERVE_FRACTION: f64 = 0.3;
/// The number of granted requests that are remembered, to recognize those that are sent again. That happens
/// within half a second, in which a tenant at its quota is granted fewer.
const REMEMBERED_GRANTS: usize = 16;
/// A permit that this owner no longer counts is leased again when its holder renews it, as long as fewer than
/// this many times the limit are leased.
const MAX_RENEWED_PERMIT_MULTIPLE: usize = 4;
/// The fraction of the remaining tokens that one gateway may prefetch, since other gateways request tokens
/// too.
const MAX_PREFETCH_FRACTION: f64 = 0.5;

/// The decision on a request that was in the queue.
pub(crate) struct QueuedDecision {
    pub request: QuotaRequest,
    pub decision: QuotaDecision,
}

/// The quota of one tenant on one plan, as its owner keeps it.
pub(crate) struct QuotaOwner {
    ledger: TokenLedger,
    permits: PermitPool,
    /// Requests that wait for a permit, in the order of their arrival.
    queue: VecDeque<QuotaRequest>,
    recent_grants: BoundedHistory<PermitId>,
}

impl QuotaOwner {
    /// A quota of which nothing is used yet.
    pub(super) fn new(plan: &Plan, now: Timestamp) -> QuotaOwner {
        QuotaOwner {
            ledger: TokenLedger::new(plan, now),
            permits: PermitPool::default(),
            queue: VecDeque::new(),
            recent_grants: BoundedHistory::new(),
        }
    }

    /// The tokens in the bucket as of the last update; negative while it is overdrawn.
    pub(super) fn tokens(&self) -> Tokens {
        self.ledger.tokens()
    }

    /// When the quota was last advanced.
    pub(super) fn updated_at(&self) -> Timestamp {
        self.ledger.updated_at()
    }

    /// The state that goes with each response.
    pub(super) fn state(&self) -> OwnerState {
        self.ledger.state()
    }

    /// Brings the quota up to now: refills the bucket, and drops permits whose lease has ended and requests
    /// that have waited too long.
    pub(super) fn advance(&mut self, plan: &Plan, permit_lease: Milliseconds, now: Timestamp) {
        self.ledger.advance(plan, now);
        self.permits.expire(permit_lease, now);
        self.queue.retain(|request| request.expires_at > now);
    }

    /// Decides on a request. The tokens and the permit of a grant are charged at once.
    pub(super) fn decide(
        &mut self,
        request: QuotaRequest,
        plan: &Plan,
        reserve: Tokens,
        gossip_enabled: bool,
        conditions: Conditions,
    ) -> QuotaDecision {
        // A request that is sent again because the response was lost has been charged or queued already.
        if self.recent_grants.contains(&request.permit_id()) {
            let cost = Tokens::ZERO;
            return QuotaDecision::Granted { cost };
        }
        if self.has_queued(&request) {
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
            return self.enqueue(request, plan, conditions);
        }
        let remaining = self.ledger.tokens().min(leasable) - request.cost;
        let prefetch = request.prefetch.min(remaining * MAX_PREFETCH_FRACTION);
        let cost = request.cost + prefetch.max(Tokens::ZERO);
        self.grant(&request, cost, conditions.now);
        QuotaDecision::Granted { cost }
    }

    /// Queues a request for a permit, if one is likely to be free before it expires.
    fn enqueue(
        &mut self,
        request: QuotaRequest,
        plan: &Plan,
        conditions: Conditions,
    ) -> QuotaDecision {
        let position = self.queue.len() + 1;
        let permits = f64::from(plan.max_concurrency.max(1));
        let expected_wait = conditions.mean_latency * position as f64 / permits;
        if conditions.now + expected_wait > request.expires_at {
            return QuotaDecision::Denied;
        }
        self.queue.push_back(request);
        QuotaDecision::Queued
    }

    /// Leases free permits to the requests in the queue. A request whose tokens have been used up meanwhile
    /// is denied.
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

    /// Charges tokens that were used without a grant, or takes unused ones back (`cost` negative), and takes
    /// back a permit.
    pub(super) fn settle(&mut self, cost: Tokens, permit: Option<PermitId>, plan: &Plan) {
        self.ledger.settle(cost, plan);
        if let Some(permit) = permit {
            self.permits.release(permit);
        }
    }

    /// Charges what a gateway used while this owner did not respond, unless the last request of it was
    /// granted after all.
    pub(super) fn charge_unconfirmed(&mut self, last_request: PermitId, cost: Tokens) {
        if !self.recent_grants.contains(&last_request) {
            self.ledger.charge_unconfirmed(cost);
        }
    }

    /// Renews the lease of a permit.
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

    fn has_queued(&self, request: &QuotaRequest) -> bool {
        let permit = request.permit_id();
        self.queue.iter().any(|queued| queued.permit_id() == permit)
    }

    fn has_free_permit(&self, plan: &Plan) -> bool {
        self.permits.len() < plan.max_concurrency as usize
    }
}

/// The tokens that stay in the bucket of a plan beside the cost of a request, unless the bucket is full.
pub(super) fn bucket_reserve(settings: &Settings, plan: &Plan) -> Tokens {
    let largest_fraction = BUCKET_RESERVE_FRACTION * fleet_scale(settings);
    let penalty = plan.over_quota_penalty.min(1.0);
    settings.max_request_cost * largest_fraction * penalty
}
