//! Tokens leased in advance, so that most requests do not wait for the quota owner.

use crate::units::{Milliseconds, Timestamp, Tokens, TokensPerSecond};

/// Tokens are leased in advance for the demand of this duration. Unused tokens that are older are returned to
/// the owner: if gateways kept them, the tokens held by all gateways could add up to more than a hard limit.
const PREFETCH_HORIZON: Milliseconds = Milliseconds(400.0);
/// Minimum time between prefetch requests, which gives the owner time to respond.
const PREFETCH_MIN_INTERVAL: Milliseconds = Milliseconds(100.0);
/// Unused granted tokens are kept only if they do not exceed the demand of this duration.
const RETENTION_HORIZON: Milliseconds = Milliseconds(800.0);

/// Prefetched tokens of one tenant that have not been used yet.
pub(super) struct PrefetchedTokens {
    tokens: Tokens,
    requested_at: Timestamp,
}

impl PrefetchedTokens {
    pub(super) fn new() -> PrefetchedTokens {
        PrefetchedTokens {
            tokens: Tokens::ZERO,
            requested_at: Timestamp::DISTANT_PAST,
        }
    }

    /// Takes `cost` if enough tokens are left and they have not expired. Returns whether it did.
    pub(super) fn try_take(&mut self, cost: Tokens, now: Timestamp) -> bool {
        let covers = self.is_fresh(now) && self.tokens >= cost;
        if covers {
            self.tokens -= cost;
        }
        covers
    }

    /// Removes the tokens and returns them if they have expired.
    pub(super) fn take_expired(&mut self, now: Timestamp) -> Tokens {
        if self.is_fresh(now) {
            Tokens::ZERO
        } else {
            std::mem::take(&mut self.tokens)
        }
    }

    /// Returns the number of tokens to prefetch at this demand, and records the request. Returns 0 if the
    /// shortfall is less than the cost of a request or the last prefetch was requested within
    /// [`PREFETCH_MIN_INTERVAL`].
    pub(super) fn request_prefetch(
        &mut self,
        demand: TokensPerSecond,
        cost: Tokens,
        now: Timestamp,
    ) -> Tokens {
        let missing = demand.over(PREFETCH_HORIZON) - self.tokens;
        if missing < cost || missing <= Tokens::ZERO || self.age(now) < PREFETCH_MIN_INTERVAL {
            return Tokens::ZERO;
        }
        self.requested_at = now;
        missing
    }

    /// Keeps unused tokens if later requests are likely to use them. Returns whether they were kept.
    pub(super) fn keep(&mut self, unused: Tokens, demand: TokensPerSecond, now: Timestamp) -> bool {
        let usable = demand.over(RETENTION_HORIZON);
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
