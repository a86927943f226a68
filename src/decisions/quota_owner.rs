//! The owner's side of a tenant's quota: which requests get tokens, concurrency permits, or a place in the
//! queue.
//!
//! One gateway of a tenant's shard, found from the tenant's key, owns the quota. All of the shard, itself
//! among them, ask it for tokens and permits.

use super::{DEMAND_WINDOW_MS, FALLBACK_FRACTION};
use crate::gossip::{QuotaDecision, QuotaRequest};
use crate::records::{OwnerLedger, OwnerLedgerParameters, OwnerTerms};
use crate::settings::Plan;

pub(super) const LEDGER: OwnerLedgerParameters = OwnerLedgerParameters {
    demand_window_ms: DEMAND_WINDOW_MS,
    leased_rate_fraction: 1.0 - FALLBACK_FRACTION,
    // Leased tokens may still wait at a gateway.
    leased_burst_fraction: 0.5,
    // A request is sent again within half a second, in which a tenant at its quota is granted fewer.
    remembered_grants: 16,
};
/// Renewals are believed up to so many times the permits that there are.
pub(super) const MAX_RENEWED_PERMIT_MULTIPLE: usize = 4;

/// Decides on a request. Granted tokens and permits are taken at once.
pub(super) fn decide(
    ledger: &mut OwnerLedger,
    request: QuotaRequest,
    demand: f64,
    terms: &OwnerTerms,
) -> QuotaDecision {
    // Sent again because the response was lost: it is charged already, or in the queue.
    if ledger.has_granted(&request) {
        return QuotaDecision::Granted { cost: 0.0 };
    }
    if ledger.has_queued(&request) {
        return QuotaDecision::Queued;
    }
    ledger.record_demand(demand, &LEDGER);
    let hard_limit_applies = terms.plan.hard_limit_rate.0 > 0.0 && terms.gossip_enabled;
    let leasable = if hard_limit_applies {
        ledger.leasable()
    } else {
        f64::INFINITY
    };
    if leasable < request.cost || !bucket_covers(ledger, request.cost, terms) {
        return QuotaDecision::Denied;
    }
    if request.needs_permit && !(permit_is_free(ledger, &terms.plan) && ledger.queued() == 0) {
        return enqueue(ledger, request, terms);
    }
    // Half of what is left at the most goes as a prefetch, as other gateways ask too.
    let left = ledger.tokens().min(leasable) - request.cost;
    let cost = request.cost + request.prefetch.min(left / 2.0).max(0.0);
    ledger.grant(&request, cost, &LEDGER, terms.now_ms);
    QuotaDecision::Granted { cost }
}

/// Queues a request for a permit, if one is likely to be free in time.
fn enqueue(ledger: &mut OwnerLedger, request: QuotaRequest, terms: &OwnerTerms) -> QuotaDecision {
    let permits = f64::from(terms.plan.max_concurrency.max(1));
    let expected_wait_ms = terms.mean_latency_ms * (ledger.queued() + 1) as f64 / permits;
    if terms.now_ms + expected_wait_ms > request.expires_at_ms {
        return QuotaDecision::Denied;
    }
    ledger.enqueue(request);
    QuotaDecision::Queued
}

/// Leases free permits to the requests in the queue. One whose tokens are used up meanwhile is denied.
pub(super) fn serve_queue(
    ledger: &mut OwnerLedger,
    terms: &OwnerTerms,
) -> Vec<(QuotaRequest, QuotaDecision)> {
    let mut decisions = Vec::new();
    while permit_is_free(ledger, &terms.plan)
        && let Some(request) = ledger.dequeue()
    {
        let cost = request.cost;
        let over_hard_limit = terms.plan.hard_limit_rate.0 > 0.0 && ledger.leasable() < cost;
        if over_hard_limit || !bucket_covers(ledger, cost, terms) {
            decisions.push((request, QuotaDecision::Denied));
            continue;
        }
        ledger.grant(&request, cost, &LEDGER, terms.now_ms);
        decisions.push((request, QuotaDecision::Granted { cost }));
    }
    decisions
}

fn bucket_covers(ledger: &OwnerLedger, cost: f64, terms: &OwnerTerms) -> bool {
    let plan = &terms.plan;
    plan.refill_rate.0 <= 0.0 || ledger.tokens() >= (cost + terms.reserve).min(plan.burst.0)
}

fn permit_is_free(ledger: &OwnerLedger, plan: &Plan) -> bool {
    ledger.permits_out() < plan.max_concurrency as usize
}
