//! Tokens that a gateway leases in advance, so that most requests need not wait for the owner of the quota.

use crate::units::{Milliseconds, Timestamp, Tokens, TokensPerSecond};

/// Tokens for the demand of this duration are leased in advance. Older ones are returned: kept by all
/// gateways, they would add up to more than a hard limit.
const PREFETCH_HORIZON: Milliseconds = Milliseconds(400.0);
/// After a request for a prefetch there is no further one for this duration, in which the owner responds.
const PREFETCH_PAUSE: Milliseconds = Milliseconds(100.0);
/// Tokens that were granted and not used are kept if they are at most the demand of this duration.
const KEPT_DEMAND_HORIZON: Milliseconds = Milliseconds(800.0);

/// Tokens of one tenant that were leased in advance and are not used yet.
pub(super) struct PrefetchedTokens {
    tokens: Tokens,
    requested_at: Timestamp,
}

impl PrefetchedTokens {
    /// No tokens, and none requested yet.
    pub(super) fn new() -> PrefetchedTokens {
        PrefetchedTokens {
            tokens: Tokens::ZERO,
            requested_at: Timestamp::DISTANT_PAST,
        }
    }

    /// Takes the cost of a request, if there are enough tokens that are recent enough. Returns whether it
    /// did.
    pub(super) fn try_take(&mut self, cost: Tokens, now: Timestamp) -> bool {
        let covers = self.is_fresh(now) && self.tokens >= cost;
        if covers {
            self.tokens -= cost;
        }
        covers
    }

    /// Takes the tokens that are too old to be kept.
    pub(super) fn take_expired(&mut self, now: Timestamp) -> Tokens {
        if self.is_fresh(now) {
            Tokens::ZERO
        } else {
            std::mem::take(&mut self.tokens)
        }
    }

    /// The tokens to lease in advance at this demand, which count as requested now: none where they are less
    /// than the cost of a request, or where some were requested just now.
    pub(super) fn request(
        &mut self,
        demand: TokensPerSecond,
        cost: Tokens,
        now: Timestamp,
    ) -> Tokens {
        let missing = demand.over(PREFETCH_HORIZON) - self.tokens;
        if missing < cost || missing <= Tokens::ZERO || self.age(now) < PREFETCH_PAUSE {
            return Tokens::ZERO;
        }
        self.requested_at = now;
        missing
    }

    /// Keeps unused tokens for later requests, if these are likely to use them. Returns whether it did.
    pub(super) fn keep(&mut self, unused: Tokens, demand: TokensPerSecond, now: Timestamp) -> bool {
        let usable = demand.over(KEPT_DEMAND_HORIZON);
        let keeps = self.is_fresh(now) && usable >= unused + self.tokens;
        if keeps {
            self.tokens += unused;
        }
        keeps
    }

    fn is_fresh(&self, now: Timestamp) -> bool {
        self.age(now) <= PREFETCH_HORIZON
    }

    fn age(&self, now: Timestamp) -> Milliseconds {
        now - self.requested_at
    }
}
