//! Exact fleet-wide quota accounting, which no single gateway has, and the cost of requests forwarded over
//! quota.

use crate::{ClientRequest, Observer};
use marlshelf::{
    Action, AttemptResult, GatewayId, Milliseconds, Plan, PlanIndex, RequestId, Timestamp, Tokens,
    TokensPerSecond,
};
use std::collections::{BTreeMap, BTreeSet};

/// Fleet-wide token bucket, hard limit and number of attempts in flight of one tenant.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    updated_at: Timestamp,
    tokens: Tokens,
    hard_limit_tokens: Tokens,
    lowest_hard_limit_tokens: Tokens,
    in_flight: u32,
    most_in_flight: u32,
}

/// Value of the requests that a fleet forwarded.
#[derive(Clone, Copy, Debug, Default)]
pub struct ForwardedValue {
    /// Sum of plan weight times cost of the requests forwarded within quota.
    pub within_quota: f64,
    /// Sum of penalty times plan weight times cost of the requests forwarded over quota.
    pub over_quota_cost: f64,
}

impl QuotaLedger {
    /// Creates a ledger with full buckets at time 0.
    #[must_use]
    pub fn new(plan: &Plan) -> Self {
        QuotaLedger {
            updated_at: Timestamp::ZERO,
            tokens: plan.burst,
            hard_limit_tokens: plan.hard_limit_burst,
            lowest_hard_limit_tokens: Tokens::ZERO,
            in_flight: 0,
            most_in_flight: 0,
        }
    }

    /// Returns the largest number of tokens by which forwarded requests have exceeded the hard limit.
    #[must_use]
    pub fn hard_limit_excess(&self) -> Tokens {
        -self.lowest_hard_limit_tokens
    }

    /// Returns the largest number of attempts that were in flight above the concurrency limit.
    #[must_use]
    pub fn concurrency_excess(&self, plan: &Plan) -> u32 {
        match plan.max_concurrency {
            0 => 0,
            limit => self.most_in_flight.saturating_sub(limit),
        }
    }

    /// Refills both buckets for the time since the last refill.
    pub fn refill(&mut self, plan: &Plan, now: Timestamp) {
        let elapsed = now - self.updated_at;
        self.updated_at = now;
        self.tokens = refilled(self.tokens, plan.refill_rate, plan.burst, elapsed);
        self.hard_limit_tokens = refilled(
            self.hard_limit_tokens,
            plan.hard_limit_rate,
            plan.hard_limit_burst,
            elapsed,
        );
    }

    /// Returns whether an attempt of this cost would be within the quota and the concurrency limit.
    #[must_use]
    pub fn has_capacity(&self, plan: &Plan, cost: Tokens) -> bool {
        let has_permit = plan.max_concurrency == 0 || self.in_flight < plan.max_concurrency;
        self.tokens >= cost && has_permit
    }

    /// Records the start of an attempt and adds its value or penalty to `value`. Returns whether the attempt
    /// is within the quota and the concurrency limit.
    pub fn forward(
        &mut self,
        plan: &Plan,
        now: Timestamp,
        cost: Tokens,
        value: &mut ForwardedValue,
    ) -> bool {
        self.refill(plan, now);
        self.hard_limit_tokens -= cost;
        self.lowest_hard_limit_tokens = self.lowest_hard_limit_tokens.min(self.hard_limit_tokens);
        let within_quota = self.has_capacity(plan, cost);
        if within_quota {
            self.tokens -= cost;
            value.within_quota += plan.weight * cost.as_f64();
        } else {
            value.over_quota_cost += plan.over_quota_penalty * plan.weight * cost.as_f64();
        }
        self.in_flight += 1;
        self.most_in_flight = self.most_in_flight.max(self.in_flight);
        within_quota
    }

    /// Records the end of an attempt and charges `settlement`. A negative settlement is a refund.
    pub fn finish(&mut self, plan: &Plan, now: Timestamp, settlement: Tokens) {
        self.refill(plan, now);
        self.tokens = (self.tokens - settlement).min(plan.burst);
        self.in_flight -= 1;
    }
}

fn refilled(tokens: Tokens, rate: TokensPerSecond, burst: Tokens, elapsed: Milliseconds) -> Tokens {
    (tokens + rate.over(elapsed)).min(burst)
}

/// Returns the difference between the actual and the estimated cost, to be charged when the attempt ends.
/// Returns 0 if the estimate was not charged or the actual cost is unknown.
#[must_use]
pub fn settlement(request: &ClientRequest, within_quota: bool) -> Tokens {
    match request.actual_cost {
        Some(actual_cost) if within_quota => actual_cost - request.cost,
        _ => Tokens::ZERO,
    }
}

/// Keeps the ledgers of all tenants of a fleet, and checks that each request is forwarded at most once.
///
/// Use it only in scenarios where all attempts succeed, because it reports a retry as a second forward.
pub struct QuotaAudit<'a> {
    plans: &'a [Plan],
    ledgers: Vec<QuotaLedger>,
    value: ForwardedValue,
    forwarded: BTreeSet<RequestId>,
    /// The attempts in flight, and whether each was within the quota when it started.
    in_flight: BTreeMap<RequestId, bool>,
}

impl<'a> QuotaAudit<'a> {
    /// Creates the ledgers at time 0. `plans_of_tenants` yields the plan of each tenant in the order of
    /// [`ClientRequest::tenant_index`].
    #[must_use]
    pub fn new(plans: &'a [Plan], plans_of_tenants: impl IntoIterator<Item = PlanIndex>) -> Self {
        let ledger = |plan: PlanIndex| QuotaLedger::new(&plans[plan.0]);
        QuotaAudit {
            plans,
            ledgers: plans_of_tenants.into_iter().map(ledger).collect(),
            value: ForwardedValue::default(),
            forwarded: BTreeSet::new(),
            in_flight: BTreeMap::new(),
        }
    }

    /// Returns the ledgers of all tenants, indexed by [`ClientRequest::tenant_index`].
    #[must_use]
    pub fn ledgers(&self) -> &[QuotaLedger] {
        &self.ledgers
    }

    /// Returns the total value of the requests forwarded so far.
    #[must_use]
    pub fn value(&self) -> ForwardedValue {
        self.value
    }
}

impl Observer for QuotaAudit<'_> {
    /// # Panics
    /// Panics if a request is forwarded a second time.
    fn on_action(&mut self, _now: Timestamp, _gateway: GatewayId, action: &Action) {
        if let Action::Forward { request, .. } = action {
            let is_first = self.forwarded.insert(*request);
            assert!(is_first, "{request:?} is forwarded twice");
        }
    }

    fn on_attempt_start(&mut self, now: Timestamp, id: RequestId, request: &ClientRequest) {
        let plan = &self.plans[request.plan.0];
        let ledger = &mut self.ledgers[request.tenant_index];
        let within_quota = ledger.forward(plan, now, request.cost, &mut self.value);
        self.in_flight.insert(id, within_quota);
    }

    fn on_attempt_end(
        &mut self,
        now: Timestamp,
        id: RequestId,
        request: &ClientRequest,
        _result: AttemptResult,
    ) {
        let within_quota = self.in_flight.remove(&id);
        let within_quota = within_quota.expect("an attempt that ends has started");
        let settlement = settlement(request, within_quota);
        self.ledgers[request.tenant_index].finish(&self.plans[request.plan.0], now, settlement);
    }
}
