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

/// What all quantities have: the value 0, the value as a number, and the comparison of two values.
macro_rules! impl_quantity {
    ($quantity:ident) => {
        impl $quantity {
            /// The value 0.
            pub const ZERO: $quantity = $quantity(0.0);

            /// The value as a number, in the unit of the type.
            #[must_use]
            pub const fn as_f64(self) -> f64 {
                self.0
            }

            /// The lesser of two values.
            #[must_use]
            pub fn min(self, other: $quantity) -> $quantity {
                $quantity(self.0.min(other.0))
            }

            /// The greater of two values.
            #[must_use]
            pub fn max(self, other: $quantity) -> $quantity {
                $quantity(self.0.max(other.0))
            }
        }
    };
}

/// A quantity whose values can be added, subtracted, scaled and unlimited.
macro_rules! amount {
    ($(#[$attribute:meta])* $quantity:ident) => {
        $(#[$attribute])*
        #[derive(
            Debug, Clone, Copy, PartialEq, PartialOrd, Default, Display,
            Add, AddAssign, Sub, SubAssign, Neg, Sum, Mul, MulAssign, Div, DivAssign,
        )]
        pub struct $quantity(pub f64);

        impl_quantity!($quantity);

        impl $quantity {
            /// More than any finite value.
            pub const INFINITY: $quantity = $quantity(f64::INFINITY);

            /// Whether the value is neither infinite nor not a number.
            #[must_use]
            pub fn is_finite(self) -> bool {
                self.0.is_finite()
            }
        }
    };
}

amount! {
    /// A duration in milliseconds. It is negative for the distance to a point in time that has passed.
    Milliseconds
}

amount! {
    /// An amount of quota tokens: the cost of a request, the level of a bucket. It is negative for a debt or a refund.
    Tokens
}

amount! {
    /// A rate in quota tokens per second.
    TokensPerSecond
}

/// A point in time: milliseconds on the caller's clock, which has no particular origin and only moves forward.
#[derive(Debug, Display, Clone, Copy, PartialEq, PartialOrd, Default)]
pub struct Timestamp(pub f64);

impl_quantity!(Timestamp);

impl Milliseconds {
    /// The duration, rounded up to a whole number of milliseconds.
    #[must_use]
    pub fn ceil(self) -> Milliseconds {
        Milliseconds(self.0.ceil())
    }

    /// How many times as long as `other` this duration is.
    #[must_use]
    pub fn ratio_to(self, other: Milliseconds) -> f64 {
        self.0 / other.0
    }
}

impl Tokens {
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

impl TokensPerSecond {
    /// The tokens that flow within `duration`.
    #[must_use]
    pub fn over(self, duration: Milliseconds) -> Tokens {
        Tokens(self.0 * duration.0 / MILLISECONDS_PER_SECOND)
    }
}

impl Timestamp {
    /// Before any point in time.
    pub const DISTANT_PAST: Timestamp = Timestamp(f64::NEG_INFINITY);
    /// After any point in time.
    pub const DISTANT_FUTURE: Timestamp = Timestamp(f64::INFINITY);
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
