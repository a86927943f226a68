//! A token bucket that can be overdrawn.

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// How a bucket fills.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketLimits {
    /// Tokens added each second.
    pub tokens_per_second: f64,
    /// The most tokens that the bucket holds.
    pub burst: f64,
}

/// What a refill did to a bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refill {
    /// The level that the bucket would have without its limit.
    pub unlimited_level: f64,
    /// The level that it has.
    pub level: f64,
}

impl Refill {
    /// The tokens that did not fit.
    #[must_use]
    pub fn overflow(&self) -> f64 {
        self.unlimited_level - self.level
    }
}

/// A number of tokens, refilled over time. The level may go below zero: that is a debt which
/// refills pay off.
///
/// The limits come with each refill, since they may change while the level stays.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TokenBucket {
    level: f64,
}

impl TokenBucket {
    /// A bucket that holds `level` tokens.
    #[must_use]
    pub fn with_level(level: f64) -> Self {
        TokenBucket { level }
    }

    /// The tokens in the bucket; negative when it is overdrawn.
    #[must_use]
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Adds the tokens of `elapsed_ms`, up to the burst.
    pub fn refill(&mut self, limits: BucketLimits, elapsed_ms: f64) -> Refill {
        let added = limits.tokens_per_second * elapsed_ms / MILLISECONDS_PER_SECOND;
        let unlimited_level = self.level + added;
        self.level = unlimited_level.min(limits.burst);
        Refill {
            unlimited_level,
            level: self.level,
        }
    }

    /// Takes tokens, into debt when the bucket holds fewer.
    pub fn take(&mut self, tokens: f64) {
        self.level -= tokens;
    }

    /// Takes tokens down to an empty bucket. A bucket in debt stays as it is.
    pub fn take_without_debt(&mut self, tokens: f64) {
        self.level = (self.level - tokens).max(self.level.min(0.0));
    }

    /// Takes tokens, or gives them back where `tokens` is negative, between a debt of `burst` and a
    /// full bucket.
    ///
    /// # Panics
    /// When `burst` is negative or not a number.
    pub fn settle(&mut self, tokens: f64, burst: f64) {
        self.level = (self.level - tokens).clamp(-burst, burst);
    }
}
