//! The account of a tenant as the owner of its quota keeps it.

use super::{BoundedHistory, PermitPool};
use crate::gossip::{OwnerState, PermitId, QuotaRequest};
use crate::settings::Plan;
use crate::statistics::exponential_decay;
use crate::token_bucket::{BucketLimits, TokenBucket};
use crate::units::{Milliseconds, Tokens};
use std::collections::VecDeque;

/// How an owner's ledger is kept.
pub(crate) struct OwnerLedgerParameters {
    /// The time constant of demand and grants.
    pub demand_window_ms: f64,
    /// The part of a hard limit's rate that the owner leases.
    pub leased_rate_fraction: f64,
    /// The part of a hard limit's burst that it may lease at one stroke.
    pub leased_burst_fraction: f64,
    /// The number of granted requests that are remembered.
    pub remembered_grants: usize,
}

/// Tokens, permits and requests of one tenant on one plan.
pub(crate) struct OwnerLedger {
    updated_at_ms: f64,
    bucket: TokenBucket,
    /// Tokens that did not fit into the bucket lately.
    overflow: f64,
    /// What the hard limit still lets the owner lease, whatever is returned.
    hard_limit: TokenBucket,
    /// Tokens a second that were asked for, and that were granted, as of the last update.
    demand: f64,
    granted: f64,
    permits: PermitPool,
    queue: VecDeque<QuotaRequest>,
    recent_grants: BoundedHistory<PermitId>,
}

impl OwnerLedger {
    /// A full bucket. The hard limit starts empty, as an earlier incarnation of this gateway may have spent it.
    pub(crate) fn new(plan: &Plan, now_ms: f64) -> OwnerLedger {
        OwnerLedger {
            updated_at_ms: now_ms,
            bucket: TokenBucket::with_level(plan.burst),
            overflow: 0.0,
            hard_limit: TokenBucket::default(),
            demand: 0.0,
            granted: 0.0,
            permits: PermitPool::default(),
            queue: VecDeque::new(),
            recent_grants: BoundedHistory::new(),
        }
    }

    /// When the ledger was last brought up to date.
    pub(crate) fn updated_at_ms(&self) -> f64 {
        self.updated_at_ms
    }

    /// The state that goes with each response.
    pub(crate) fn state(&self) -> OwnerState {
        OwnerState {
            demand: self.demand,
            granted: self.granted,
            tokens: self.bucket.level().as_f64(),
        }
    }

    /// Brings the ledger up to now: tokens, permits that expired, requests that waited too long.
    pub(crate) fn advance(
        &mut self,
        plan: &Plan,
        parameters: &OwnerLedgerParameters,
        permit_lease_ms: f64,
        now_ms: f64,
    ) {
        let elapsed = Milliseconds(now_ms - self.updated_at_ms);
        self.updated_at_ms = now_ms;
        self.refill(plan, parameters, elapsed);
        self.permits.expire(permit_lease_ms, now_ms);
        self.queue.retain(|request| request.expires_at_ms > now_ms);
    }

    fn refill(&mut self, plan: &Plan, parameters: &OwnerLedgerParameters, elapsed: Milliseconds) {
        let limits = BucketLimits {
            refill_rate: plan.refill_rate,
            burst: plan.burst,
        };
        let refill = self.bucket.refill(limits, elapsed);
        let decay = exponential_decay(elapsed, Milliseconds(parameters.demand_window_ms));
        self.overflow =
            self.overflow * decay + refill.unlimited_level.as_f64() - refill.level.as_f64();
        let leased = BucketLimits {
            refill_rate: plan.hard_limit_rate * parameters.leased_rate_fraction,
            burst: plan.hard_limit_burst * parameters.leased_burst_fraction,
        };
        self.hard_limit.refill(leased, elapsed);
        self.demand *= decay;
        self.granted *= decay;
    }

    /// The tokens in the bucket; below zero while it is overdrawn.
    pub(crate) fn tokens(&self) -> f64 {
        self.bucket.level().as_f64()
    }

    /// The tokens that the hard limit still lets the owner lease.
    pub(crate) fn leasable(&self) -> f64 {
        self.hard_limit.level().as_f64()
    }

    /// The number of permits that are out.
    pub(crate) fn permits_out(&self) -> usize {
        self.permits.len()
    }

    /// Whether a request is among those granted last.
    pub(crate) fn has_granted(&self, request: &QuotaRequest) -> bool {
        self.recent_grants.contains(&request.permit_id())
    }

    /// Whether a request waits in the queue.
    pub(crate) fn has_queued(&self, request: &QuotaRequest) -> bool {
        self.queue
            .iter()
            .any(|queued| queued.permit_id() == request.permit_id())
    }

    /// The number of requests in the queue.
    pub(crate) fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Adds a request to the end of the queue.
    pub(crate) fn enqueue(&mut self, request: QuotaRequest) {
        self.queue.push_back(request);
    }

    /// Takes the request that has waited the longest out of the queue.
    pub(crate) fn dequeue(&mut self) -> Option<QuotaRequest> {
        self.queue.pop_front()
    }

    /// Counts tokens that were asked for.
    pub(crate) fn record_demand(&mut self, tokens: f64, parameters: &OwnerLedgerParameters) {
        self.demand += tokens * 1000.0 / parameters.demand_window_ms;
    }

    /// Charges a granted request, and leases its permit.
    pub(crate) fn grant(
        &mut self,
        request: &QuotaRequest,
        cost: f64,
        parameters: &OwnerLedgerParameters,
        now_ms: f64,
    ) {
        self.bucket.take(Tokens(cost));
        self.hard_limit.take(Tokens(cost));
        self.granted += cost * 1000.0 / parameters.demand_window_ms;
        if request.needs_permit {
            self.permits.lease(request.permit_id(), now_ms);
        }
        self.recent_grants
            .push(request.permit_id(), parameters.remembered_grants);
    }

    /// Charges tokens that were used without a grant, or takes back unused ones (`cost` below zero), and a permit.
    pub(crate) fn settle(&mut self, cost: f64, permit: Option<PermitId>, plan: &Plan) {
        self.bucket.settle(Tokens(cost), plan.burst);
        if let Some(permit) = permit {
            self.permits.release(permit);
        }
    }

    /// Charges what a gateway used while the owner was silent, unless its last request was granted after all. Tokens
    /// that overflowed meanwhile are taken first; what was beyond the quota takes nothing.
    pub(crate) fn charge_unconfirmed(&mut self, last_request: PermitId, cost: f64) {
        if self.recent_grants.contains(&last_request) {
            return;
        }
        let charged = cost - cost.min(self.overflow);
        self.overflow -= cost - charged;
        self.bucket.take_without_debt(Tokens(charged));
    }

    /// Renews the lease of a permit. One that had expired is leased again, unless `capacity` permits are out.
    pub(crate) fn renew_permit(&mut self, permit: PermitId, capacity: usize, now_ms: f64) {
        self.permits.renew(permit, capacity, now_ms);
    }
}
