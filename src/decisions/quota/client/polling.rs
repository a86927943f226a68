//! Limits how often a gateway polls (sends quota requests to) the owner of an overloaded quota.
//!
//! This is adaptive throttling ("Handling Overload" in the SRE book), with the reported demand and grants in
//! place of requests and accepts: requests that the owner would probably deny are rejected locally.

use crate::settings::Plan;
use crate::units::{Milliseconds, Tokens, TokensPerSecond};

/// Demand is forwarded to the owner up to this multiple of the rate that the owner granted or can sustain.
/// Requests beyond that are rejected locally.
const POLL_HEADROOM: f64 = 1.5;
/// Lower bound of the expected time for which a request holds a permit.
const MIN_PERMIT_DURATION: Milliseconds = Milliseconds(1.0);

/// Returns the probability with which a request polls the owner, given the rates that the owner reported.
/// Polls are never limited to less than the sustainable rate. Otherwise grants would keep shrinking, because
/// they cannot exceed the demand that reaches the owner.
pub(super) fn poll_probability(
    demand: TokensPerSecond,
    granted: TokensPerSecond,
    sustainable: TokensPerSecond,
    cost: Tokens,
) -> f64 {
    let excess = demand - granted.max(sustainable) * POLL_HEADROOM;
    1.0 - (excess.as_f64() / (demand.as_f64() + cost.as_f64())).max(0.0)
}

/// Returns the token rate that the quota can sustain. If requests need shared permits, the permits limit the
/// rate too.
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

/// Sum of the poll probabilities of recent requests, minus 1 for each poll. Limiting polls by this credit
/// makes the fraction of requests that poll the owner follow the probability without a random draw per
/// request.
pub(super) struct PollCredit(f64);

impl PollCredit {
    pub(super) fn new(polls: f64) -> PollCredit {
        PollCredit(polls)
    }

    /// Adds the poll probability of a request, then takes one poll if the credit covers it or the request is
    /// `exempt`. Returns whether the request may proceed.
    pub(super) fn try_poll(&mut self, probability: f64, exempt: bool) -> bool {
        self.0 += probability;
        if self.0 < 1.0 && !exempt {
            return false;
        }
        // Caps the remaining credit at one poll.
        self.0 = (self.0 - 1.0).clamp(0.0, 1.0);
        true
    }
}
