//! Quantities with a unit: points in time, durations, tokens and token rates.
//!
//! Each is a newtype over `f64`, with only the arithmetic that makes sense for it: a duration can be added to a point
//! in time, two points in time cannot be added. A bare `f64` in this crate is a ratio, a weight or a count.
//!
//! Conversions between tokens, durations and rates multiply before they divide. The results of the decision engine
//! are reproducible to the bit, so the order of these operations is part of their contract.

use derive_more::{
    Add, AddAssign, Display, Div, DivAssign, Mul, MulAssign, Neg, Sub, SubAssign, Sum,
};
use std::ops;

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// A duration in milliseconds. It may be negative: the distance to a point in time that has passed.
#[derive(
    Debug,
    Display,
    Clone,
    Copy,
    PartialEq,
    PartialOrd,
    Default,
    Add,
    AddAssign,
    Sub,
    SubAssign,
    Neg,
    Sum,
    Mul,
    MulAssign,
    Div,
    DivAssign,
)]
#[display("{_0} ms")]
pub struct Milliseconds(pub f64);

impl Milliseconds {
    /// No time at all.
    pub const ZERO: Milliseconds = Milliseconds(0.0);
    /// Longer than any duration.
    pub const INFINITY: Milliseconds = Milliseconds(f64::INFINITY);

    /// The duration as a number of milliseconds.
    #[must_use]
    pub const fn as_f64(self) -> f64 {
        self.0
    }

    /// The shorter of two durations.
    #[must_use]
    pub fn min(self, other: Milliseconds) -> Milliseconds {
        Milliseconds(self.0.min(other.0))
    }

    /// The longer of two durations.
    #[must_use]
    pub fn max(self, other: Milliseconds) -> Milliseconds {
        Milliseconds(self.0.max(other.0))
    }

    /// The duration, rounded up to a whole number of milliseconds.
    #[must_use]
    pub fn ceil(self) -> Milliseconds {
        Milliseconds(self.0.ceil())
    }

    /// Whether the duration is neither infinite nor not a number.
    #[must_use]
    pub fn is_finite(self) -> bool {
        self.0.is_finite()
    }

    /// How many times as long as `other` this duration is.
    #[must_use]
    pub fn ratio_to(self, other: Milliseconds) -> f64 {
        self.0 / other.0
    }
}

/// A point in time: milliseconds on the caller's clock, which has no particular origin and only moves forward.
#[derive(Debug, Display, Clone, Copy, PartialEq, PartialOrd, Default)]
#[display("{_0} ms")]
pub struct Timestamp(pub f64);

impl Timestamp {
    /// The origin of the caller's clock. In records of something that may never have happened it means never.
    pub const ZERO: Timestamp = Timestamp(0.0);
    /// Before any point in time.
    pub const DISTANT_PAST: Timestamp = Timestamp(f64::NEG_INFINITY);
    /// After any point in time.
    pub const DISTANT_FUTURE: Timestamp = Timestamp(f64::INFINITY);

    /// The point in time as milliseconds on the caller's clock.
    #[must_use]
    pub const fn as_f64(self) -> f64 {
        self.0
    }

    /// The earlier of two points in time.
    #[must_use]
    pub fn min(self, other: Timestamp) -> Timestamp {
        Timestamp(self.0.min(other.0))
    }

    /// The later of two points in time.
    #[must_use]
    pub fn max(self, other: Timestamp) -> Timestamp {
        Timestamp(self.0.max(other.0))
    }
}

impl ops::Add<Milliseconds> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Milliseconds) -> Timestamp {
        Timestamp(self.0 + duration.0)
    }
}

impl ops::AddAssign<Milliseconds> for Timestamp {
    fn add_assign(&mut self, duration: Milliseconds) {
        self.0 += duration.0;
    }
}

impl ops::Sub<Milliseconds> for Timestamp {
    type Output = Timestamp;

    fn sub(self, duration: Milliseconds) -> Timestamp {
        Timestamp(self.0 - duration.0)
    }
}

impl ops::Sub for Timestamp {
    type Output = Milliseconds;

    fn sub(self, earlier: Timestamp) -> Milliseconds {
        Milliseconds(self.0 - earlier.0)
    }
}

/// An amount of quota tokens: the cost of a request, the level of a bucket. Negative for a debt or a refund.
#[derive(
    Debug,
    Display,
    Clone,
    Copy,
    PartialEq,
    PartialOrd,
    Default,
    Add,
    AddAssign,
    Sub,
    SubAssign,
    Neg,
    Sum,
    Mul,
    MulAssign,
    Div,
    DivAssign,
)]
pub struct Tokens(pub f64);

impl Tokens {
    /// No tokens.
    pub const ZERO: Tokens = Tokens(0.0);
    /// More than any amount.
    pub const INFINITY: Tokens = Tokens(f64::INFINITY);

    /// The number of tokens.
    #[must_use]
    pub const fn as_f64(self) -> f64 {
        self.0
    }

    /// The smaller of two amounts.
    #[must_use]
    pub fn min(self, other: Tokens) -> Tokens {
        Tokens(self.0.min(other.0))
    }

    /// The larger of two amounts.
    #[must_use]
    pub fn max(self, other: Tokens) -> Tokens {
        Tokens(self.0.max(other.0))
    }

    /// The amount, limited to a range.
    ///
    /// # Panics
    /// When `least` is greater than `most`, or one of them is not a number.
    #[must_use]
    pub fn clamp(self, least: Tokens, most: Tokens) -> Tokens {
        Tokens(self.0.clamp(least.0, most.0))
    }

    /// The rate at which this amount is used up within `duration`.
    #[must_use]
    pub fn per(self, duration: Milliseconds) -> TokensPerSecond {
        TokensPerSecond(self.0 * MILLISECONDS_PER_SECOND / duration.0)
    }

    /// How long it takes to fill this amount at `rate`.
    #[must_use]
    pub fn time_at(self, rate: TokensPerSecond) -> Milliseconds {
        Milliseconds(MILLISECONDS_PER_SECOND * self.0 / rate.0)
    }
}

/// A rate in quota tokens per second.
#[derive(
    Debug,
    Display,
    Clone,
    Copy,
    PartialEq,
    PartialOrd,
    Default,
    Add,
    AddAssign,
    Sub,
    SubAssign,
    Sum,
    Mul,
    MulAssign,
    Div,
    DivAssign,
)]
pub struct TokensPerSecond(pub f64);

impl TokensPerSecond {
    /// Nothing flows.
    pub const ZERO: TokensPerSecond = TokensPerSecond(0.0);
    /// A rate without limit.
    pub const INFINITY: TokensPerSecond = TokensPerSecond(f64::INFINITY);

    /// The number of tokens per second.
    #[must_use]
    pub const fn as_f64(self) -> f64 {
        self.0
    }

    /// The lower of two rates.
    #[must_use]
    pub fn min(self, other: TokensPerSecond) -> TokensPerSecond {
        TokensPerSecond(self.0.min(other.0))
    }

    /// The higher of two rates.
    #[must_use]
    pub fn max(self, other: TokensPerSecond) -> TokensPerSecond {
        TokensPerSecond(self.0.max(other.0))
    }

    /// The tokens that flow within `duration`.
    #[must_use]
    pub fn over(self, duration: Milliseconds) -> Tokens {
        Tokens(self.0 * duration.0 / MILLISECONDS_PER_SECOND)
    }
}
