//! The true state of a tenant's quota, which no gateway of a fleet knows, and what forwarding beyond it costs.

use super::arrivals::Arrival;
use marlshelf::Plan;

/// The true token bucket, hard limit and attempts in flight of one tenant.
#[derive(Clone)]
pub struct QuotaLedger {
    updated_at_ms: f64,
    tokens: f64,
    hard_limit_tokens: f64,
    lowest_hard_limit_tokens: f64,
    in_flight: u32,
}

/// The value of all that a fleet forwarded.
#[derive(Default, Debug)]
pub struct ForwardedValue {
    /// Within quotas.
    pub within_quota: f64,
    /// The penalty for what was forwarded over quota.
    pub over_quota_cost: f64,
}

impl QuotaLedger {
    pub fn new(plan: &Plan) -> Self {
        QuotaLedger {
            updated_at_ms: 0.0,
            tokens: plan.burst.as_f64(),
            hard_limit_tokens: plan.hard_limit_burst.as_f64(),
            lowest_hard_limit_tokens: 0.0,
            in_flight: 0,
        }
    }

    /// How many tokens were forwarded beyond the hard limit at worst.
    pub fn hard_limit_excess(&self) -> f64 {
        -self.lowest_hard_limit_tokens
    }

    pub fn refill(&mut self, plan: &Plan, now_ms: f64) {
        let seconds = (now_ms - self.updated_at_ms) / 1000.0;
        self.updated_at_ms = now_ms;
        self.tokens = (self.tokens + plan.refill_rate.as_f64() * seconds).min(plan.burst.as_f64());
        self.hard_limit_tokens = (self.hard_limit_tokens + plan.hard_limit_rate.as_f64() * seconds)
            .min(plan.hard_limit_burst.as_f64());
    }

    pub fn has_capacity(&self, plan: &Plan, cost: f64) -> bool {
        let has_permit = plan.max_concurrency == 0 || self.in_flight < plan.max_concurrency;
        self.tokens >= cost && has_permit
    }

    /// Starts an attempt. Returns whether it is within the quota.
    pub fn forward(
        &mut self,
        plan: &Plan,
        now_ms: f64,
        estimated_cost: f64,
        value: &mut ForwardedValue,
    ) -> bool {
        self.refill(plan, now_ms);
        self.hard_limit_tokens -= estimated_cost;
        self.lowest_hard_limit_tokens = self.lowest_hard_limit_tokens.min(self.hard_limit_tokens);
        let within_quota = self.has_capacity(plan, estimated_cost);
        if within_quota {
            self.tokens -= estimated_cost;
            value.within_quota += plan.weight * estimated_cost;
        } else {
            value.over_quota_cost += plan.over_quota_penalty * plan.weight * estimated_cost;
        }
        self.in_flight += 1;
        within_quota
    }

    /// Ends an attempt and charges these tokens beside the estimate.
    pub fn finish(&mut self, plan: &Plan, now_ms: f64, settlement: f64) {
        self.refill(plan, now_ms);
        self.tokens = (self.tokens - settlement).min(plan.burst.as_f64());
        self.in_flight -= 1;
    }
}

/// What the end of an attempt charges beside the estimate, if the estimate was charged.
pub fn settlement(arrival: &Arrival, within_quota: bool) -> f64 {
    if within_quota {
        arrival.actual_cost - arrival.estimated_cost
    } else {
        0.0
    }
}
