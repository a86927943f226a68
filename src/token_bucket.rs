//! A token bucket whose level may become negative.

use crate::units::{Milliseconds, Tokens, TokensPerSecond};

/// Refill rate and capacity of a token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketLimits {
    /// Tokens added per second.
    pub refill_rate: TokensPerSecond,
    /// Capacity of the bucket.
    pub burst: Tokens,
}

/// Result of [`TokenBucket::refill`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refill {
    /// Level that the bucket would have reached without its capacity limit.
    pub uncapped_level: Tokens,
    /// Level after the refill.
    pub level: Tokens,
}

impl Refill {
    /// Returns the number of tokens that exceeded the capacity and were discarded.
    #[must_use]
    pub fn overflow(&self) -> Tokens {
        self.uncapped_level - self.level
    }
}

/// Token bucket that can go into debt: a negative level is paid off by later refills.
///
/// The limits are passed to each refill instead of being stored, because they can change while the level
/// persists. The default bucket is empty.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TokenBucket {
    level: Tokens,
}

impl TokenBucket {
    /// Creates a bucket that holds `level` tokens; a negative level is a debt.
    #[must_use]
    pub fn with_level(level: Tokens) -> Self {
        TokenBucket { level }
    }

    /// Returns the number of tokens in the bucket; negative if it is overdrawn.
    #[must_use]
    pub fn level(&self) -> Tokens {
        self.level
    }

    /// Adds the tokens for the time elapsed since the last refill, up to the capacity.
    pub fn refill(&mut self, limits: BucketLimits, elapsed: Milliseconds) -> Refill {
        let uncapped_level = self.level + limits.refill_rate.over(elapsed);
        self.level = uncapped_level.min(limits.burst);
        Refill {
            uncapped_level,
            level: self.level,
        }
    }

    /// Takes tokens, going into debt if the bucket holds fewer.
    pub fn take(&mut self, tokens: Tokens) {
        self.level -= tokens;
    }

    /// Takes up to `tokens` without going into debt. A bucket already in debt is left unchanged.
    pub fn take_without_debt(&mut self, tokens: Tokens) {
        self.level = (self.level - tokens).max(self.level.min(Tokens::ZERO));
    }

    /// Takes tokens, or returns them if `tokens` is negative. The resulting level is limited to the range
    /// from `-burst` to `burst`.
    ///
    /// # Panics
    /// Panics if `burst` is negative or NaN.
    pub fn settle(&mut self, tokens: Tokens, burst: Tokens) {
        self.level = (self.level - tokens).clamp(-burst, burst);
    }
}
