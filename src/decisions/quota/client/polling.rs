//! How often a gateway asks the owner of a quota that is asked for more than it can grant.
//!
//! Adaptive throttling ("Handling Overload" in the SRE book), with the demand and the grants that the owner
//! reported in place of requests and accepts: a request that the owner would deny anyway is rejected at once.

use crate::settings::Plan;
use crate::units::{Milliseconds, Tokens, TokensPerSecond};

/// The owner is asked for at most this multiple of what it granted, or can grant. Further requests are
/// rejected without asking it.
const POLL_HEADROOM: f64 = 1.5;
/// Requests are expected to hold a permit at least this long.
const MIN_PERMIT_DURATION: Milliseconds = Milliseconds(1.0);

/// The probability with which a request asks the owner, given the rates that the owner reported. What the
/// quota can sustain is asked for in any case, since otherwise the grants, which follow the requests, would
/// sink further and further.
pub(super) fn poll_probability(
    demand: TokensPerSecond,
    granted: TokensPerSecond,
    sustainable: TokensPerSecond,
    cost: Tokens,
) -> f64 {
    let excess = demand - granted.max(sustainable) * POLL_HEADROOM;
    1.0 - (excess.as_f64() / (demand.as_f64() + cost.as_f64())).max(0.0)
}

/// The rate that the quota can sustain, and the permits too where the gateways share them.
pub(super) fn sustainable_rate(
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

/// The sum of the poll probabilities of recent requests, from which each poll takes 1. So the fraction of
/// requests that ask the owner follows the probability without a random draw for each.
pub(super) struct PollCredit(f64);

impl PollCredit {
    /// A credit of this many polls.
    pub(super) fn new(polls: f64) -> PollCredit {
        PollCredit(polls)
    }

    /// Adds the poll probability of a request. Takes a poll if the credit covers one, or if the request is
    /// `exempt` from polling and proceeds in any case. Returns whether the request proceeds.
    pub(super) fn try_poll(&mut self, probability: f64, exempt: bool) -> bool {
        self.0 += probability;
        if self.0 < 1.0 && !exempt {
            return false;
        }
        // No more than another poll is saved up.
        self.0 = (self.0 - 1.0).clamp(0.0, 1.0);
        true
    }
}
