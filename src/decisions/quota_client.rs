//! A gateway as a client of the gateway that owns a tenant's quota: which requests ask the owner, tokens
//! leased in advance, and the allotment that it falls back on while the owner is silent.

use super::{DEMAND_WINDOW_MS, FALLBACK_FRACTION};
use crate::records::{ClientLedger, ClientTerms, LeasePlan, ReceivedState};
use crate::statistics::exponential_decay;
use crate::units::Milliseconds;

/// The time constant with which the demand in the owner's last state fades.
const OWNER_STATE_DECAY_MS: f64 = 2000.0;
/// The owner is asked for so many times what it granted, or can grant; the rest is rejected at once.
const POLL_HEADROOM: f64 = 1.5;
/// Tokens for this time of this gateway's own demand are leased in advance, so that most requests need not
/// wait.
const PREFETCH_HORIZON_MS: f64 = 400.0;
/// Unused tokens up to the demand of this time are kept for the next requests.
const KEPT_DEMAND_MS: f64 = 2.0 * PREFETCH_HORIZON_MS;

/// Takes in a request. `None` where it is rejected at once: the owner was asked for far more than it can
/// grant.
pub(super) fn plan_lease(
    ledger: &mut ClientLedger,
    cost: f64,
    terms: &ClientTerms,
) -> Option<LeasePlan> {
    let now_ms = terms.now_ms;
    // All of the hard limit where no owner can be asked.
    let hard_limit_fraction = if terms.gossip_enabled {
        FALLBACK_FRACTION
    } else {
        1.0
    };
    ledger.accrue_allotments(terms.plan, terms.shard_size, hard_limit_fraction, now_ms);
    let needs_permit = ledger
        .permits
        .divide(terms.plan.max_concurrency, terms.shard_size);
    let poll_probability = poll_probability(ledger, cost, needs_permit, terms);
    ledger.record_demand(cost, now_ms, DEMAND_WINDOW_MS);
    let fresh = prefetched_is_fresh(ledger, now_ms);
    let uses_prefetched = !needs_permit && fresh && ledger.prefetched() >= cost;
    if uses_prefetched {
        ledger.add_prefetched(-cost);
    }
    ledger.earn_poll_credit(poll_probability);
    if !terms.owner_is_local && !uses_prefetched && !ledger.may_poll() {
        return None;
    }
    ledger.spend_poll_credit();
    // The request stands for those that were rejected without asking the owner.
    ledger.add_unreported_demand(cost / poll_probability);
    let expired = if fresh {
        0.0
    } else {
        ledger.take_all_prefetched()
    };
    let may_prefetch = !needs_permit && !terms.owner_is_local;
    let prefetch = if may_prefetch {
        wanted_prefetch(ledger, cost, now_ms)
    } else {
        0.0
    };
    Some(LeasePlan {
        uses_prefetched,
        prefetch,
        expired,
        needs_permit,
    })
}

/// The load shedder's rule, on what the owner was asked for and what it granted. What the quota and the
/// permits can sustain is asked for in any case: otherwise grants would sink further and further.
fn poll_probability(
    ledger: &ClientLedger,
    cost: f64,
    needs_permit: bool,
    terms: &ClientTerms,
) -> f64 {
    let plan = terms.plan;
    let (demand, granted) =
        ledger
            .owner_state()
            .map_or((0.0, 0.0), |ReceivedState { at_ms, state }| {
                let decay = exponential_decay(
                    Milliseconds(terms.now_ms - at_ms),
                    Milliseconds(OWNER_STATE_DECAY_MS),
                );
                (state.demand * decay, state.granted)
            });
    let mut sustainable = if plan.refill_rate.0 > 0.0 {
        plan.refill_rate.0
    } else {
        f64::INFINITY
    };
    if needs_permit {
        let permits = f64::from(plan.max_concurrency);
        sustainable = sustainable.min(permits * cost * 1000.0 / terms.mean_latency_ms.max(1.0));
    }
    1.0 - ((demand - POLL_HEADROOM * granted.max(sustainable)) / (demand + cost)).max(0.0)
}

/// Prefetched tokens are used soon or returned: kept by all gateways, they would pass a hard limit.
fn prefetched_is_fresh(ledger: &ClientLedger, now_ms: f64) -> bool {
    ledger.prefetch_age_ms(now_ms) <= PREFETCH_HORIZON_MS
}

fn wanted_prefetch(ledger: &ClientLedger, cost: f64, now_ms: f64) -> f64 {
    let wanted = ledger.demand() * PREFETCH_HORIZON_MS / 1000.0 - ledger.prefetched();
    let asked_just_now = ledger.prefetch_age_ms(now_ms) < PREFETCH_HORIZON_MS / 4.0;
    if wanted < cost || asked_just_now {
        0.0
    } else {
        wanted
    }
}

/// Whether a request goes ahead whose owner is silent: by the part that the owner granted last, or else by
/// the even allotment; and within the even part of the permits (0 where there is no limit).
pub(super) fn passes_unconfirmed(
    ledger: &mut ClientLedger,
    cost: f64,
    permits: f64,
    draw: f64,
) -> bool {
    let within_quota = match ledger.owner_state() {
        Some(ReceivedState { state, .. }) => draw * state.demand <= state.granted,
        None => ledger.quota_allotment() > 0.0,
    };
    ledger.charge_quota(cost);
    within_quota && (permits <= 0.0 || f64::from(ledger.permits.in_flight()) < permits.max(1.0))
}

/// Keeps unused tokens for the next requests, if they will want them.
pub(super) fn keep_unused(ledger: &mut ClientLedger, cost: f64, now_ms: f64) -> bool {
    let wanted = ledger.demand() * KEPT_DEMAND_MS / 1000.0;
    let keeps = prefetched_is_fresh(ledger, now_ms) && wanted >= cost + ledger.prefetched();
    if keeps {
        ledger.add_prefetched(cost);
    }
    keeps
}
