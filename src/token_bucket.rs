//! A token bucket that can be overdrawn.

use crate::units::{Milliseconds, Tokens, TokensPerSecond};

/// How a bucket fills.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketLimits {
    /// The rate at which tokens are added.
    pub refill_rate: TokensPerSecond,
    /// The most tokens that the bucket holds.
    pub burst: Tokens,
}

/// What a refill did to a bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refill {
    /// The level that the bucket would have without its limit.
    pub uncapped_level: Tokens,
    /// The level that it has.
    pub level: Tokens,
}

impl Refill {
    /// The tokens that did not fit.
    #[must_use]
    pub fn overflow(&self) -> Tokens {
        self.uncapped_level - self.level
    }
}

/// A number of tokens, refilled over time. The level may go below zero: that is a debt which
/// refills pay off.
///
/// The limits come with each refill, since they may change while the level stays.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TokenBucket {
    level: Tokens,
}

impl TokenBucket {
    /// A bucket that holds `level` tokens.
    #[must_use]
    pub fn with_level(level: Tokens) -> Self {
        TokenBucket { level }
    }

    /// The tokens in the bucket; negative when it is overdrawn.
    #[must_use]
    pub fn level(&self) -> Tokens {
        self.level
    }

    /// Adds the tokens of the time that has passed since the last refill, up to the burst.
    pub fn refill(&mut self, limits: BucketLimits, elapsed: Milliseconds) -> Refill {
        let uncapped_level = self.level + limits.refill_rate.over(elapsed);
        self.level = uncapped_level.min(limits.burst);
        Refill {
            uncapped_level,
            level: self.level,
        }
    }

    /// Takes tokens, into debt when the bucket holds fewer.
    pub fn take(&mut self, tokens: Tokens) {
        self.level -= tokens;
    }

    /// Takes tokens down to an empty bucket. A bucket in debt stays as it is.
    pub fn take_without_debt(&mut self, tokens: Tokens) {
        self.level = (self.level - tokens).max(self.level.min(Tokens::ZERO));
    }

    /// Takes tokens, or gives them back where `tokens` is negative, between a debt of `burst` and a
    /// full bucket.
    ///
    /// # Panics
    /// When `burst` is negative or not a number.
    pub fn settle(&mut self, tokens: Tokens, burst: Tokens) {
        self.level = (self.level - tokens).clamp(-burst, burst);
    }
}
