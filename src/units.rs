//! Quantities with units: timestamps, durations, tokens and token rates.
//!
//! Each quantity is a newtype over `f64` that supports only meaningful arithmetic: a duration can be added to
//! a timestamp, but two timestamps cannot be added. A bare `f64` in this crate is a ratio, a weight or a
//! count.
//!
//! Conversions between tokens, durations and rates multiply before they divide. This order is part of their
//! contract, because the results of the decision engine must be bit-for-bit reproducible.

use derive_more::{
    Add, AddAssign, Display, Div, DivAssign, Mul, MulAssign, Neg, Sub, SubAssign, Sum,
};
use std::ops;

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// Implements what all quantities share: zero, access to the number, minimum and maximum.
macro_rules! impl_quantity {
    ($quantity:ident) => {
        impl $quantity {
            /// Zero in the unit of the type.
            pub const ZERO: $quantity = $quantity(0.0);

            /// Returns the number in the unit of the type.
            #[must_use]
            pub const fn as_f64(self) -> f64 {
                self.0
            }

            /// Returns the smaller value; if one of the values is NaN, returns the other.
            #[must_use]
            pub fn min(self, other: $quantity) -> $quantity {
                $quantity(self.0.min(other.0))
            }

            /// Returns the larger value; if one of the values is NaN, returns the other.
            #[must_use]
            pub fn max(self, other: $quantity) -> $quantity {
                $quantity(self.0.max(other.0))
            }
        }
    };
}

/// Defines a quantity that supports addition, subtraction and scaling, and has an infinite value.
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
            /// Greater than any finite value.
            pub const INFINITY: $quantity = $quantity(f64::INFINITY);

            /// Returns false for infinities and NaN.
            #[must_use]
            pub fn is_finite(self) -> bool {
                self.0.is_finite()
            }
        }
    };
}

amount! {
    /// Duration in milliseconds; negative for the time until a point in the past.
    Milliseconds
}

amount! {
    /// Amount of quota tokens, such as the cost of a request or the level of a bucket; negative for a debt or
    /// a refund.
    Tokens
}

amount! {
    /// Rate in quota tokens per second.
    TokensPerSecond
}

/// Point in time, in milliseconds on the caller's clock. The clock has an arbitrary origin and never goes
/// backwards.
#[derive(Debug, Display, Clone, Copy, PartialEq, PartialOrd, Default)]
pub struct Timestamp(pub f64);

impl_quantity!(Timestamp);

impl Milliseconds {
    /// Rounds the duration up to a whole number of milliseconds.
    #[must_use]
    pub fn ceil(self) -> Milliseconds {
        Milliseconds(self.0.ceil())
    }

    /// Returns this duration divided by `other`.
    #[must_use]
    pub fn ratio_to(self, other: Milliseconds) -> f64 {
        self.0 / other.0
    }
}

impl Tokens {
    /// Limits the amount to the range from `min` to `max`.
    ///
    /// # Panics
    /// Panics if `min` is greater than `max` or either of them is NaN.
    #[must_use]
    pub fn clamp(self, min: Tokens, max: Tokens) -> Tokens {
        Tokens(self.0.clamp(min.0, max.0))
    }

    /// Returns the rate that uses up this amount within `duration`.
    #[must_use]
    pub fn per(self, duration: Milliseconds) -> TokensPerSecond {
        TokensPerSecond(self.0 * MILLISECONDS_PER_SECOND / duration.0)
    }

    /// Returns the time that it takes to accumulate this amount at `rate`.
    #[must_use]
    pub fn time_at(self, rate: TokensPerSecond) -> Milliseconds {
        Milliseconds(MILLISECONDS_PER_SECOND * self.0 / rate.0)
    }
}

impl TokensPerSecond {
    /// Returns the number of tokens that accumulate at this rate within `duration`.
    #[must_use]
    pub fn over(self, duration: Milliseconds) -> Tokens {
        Tokens(self.0 * duration.0 / MILLISECONDS_PER_SECOND)
    }
}

impl Timestamp {
    /// Earlier than any other timestamp.
    pub const DISTANT_PAST: Timestamp = Timestamp(f64::NEG_INFINITY);
    /// Later than any other timestamp.
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
