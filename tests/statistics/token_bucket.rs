//! Tests of the token bucket: refill, burst, debt and settlement.

use crate::assertions::assert_exactly;
use marlshelf::{BucketLimits, Milliseconds, TokenBucket, Tokens, TokensPerSecond};

#[test]
fn a_bucket_fills_at_its_rate_up_to_the_burst() {
    let limits = BucketLimits {
        refill_rate: TokensPerSecond(10.0),
        burst: Tokens(20.0),
    };
    let mut bucket = TokenBucket::default();
    let refill = bucket.refill(limits, Milliseconds(500.0));
    assert_exactly(refill.level.as_f64(), 5.0);
    assert_exactly(refill.overflow().as_f64(), 0.0);
    let refill = bucket.refill(limits, Milliseconds(2500.0));
    assert_exactly(refill.uncapped_level.as_f64(), 30.0);
    assert_exactly(refill.overflow().as_f64(), 10.0);
    assert_exactly(bucket.level().as_f64(), 20.0);
}

#[test]
fn a_bucket_above_a_lowered_burst_loses_the_excess_at_its_next_refill() {
    let mut bucket = TokenBucket::with_level(Tokens(50.0));
    let limits = BucketLimits {
        refill_rate: TokensPerSecond(0.0),
        burst: Tokens(20.0),
    };
    assert_exactly(
        bucket.refill(limits, Milliseconds(0.0)).overflow().as_f64(),
        30.0,
    );
    assert_exactly(bucket.level().as_f64(), 20.0);
}

#[test]
fn a_bucket_can_be_overdrawn_and_refills_from_its_debt() {
    let mut bucket = TokenBucket::with_level(Tokens(3.0));
    bucket.take(Tokens(5.0));
    assert_exactly(bucket.level().as_f64(), -2.0);
    let limits = BucketLimits {
        refill_rate: TokensPerSecond(4.0),
        burst: Tokens(20.0),
    };
    bucket.refill(limits, Milliseconds(1000.0));
    assert_exactly(bucket.level().as_f64(), 2.0);
}

#[test]
fn taking_without_debt_stops_at_an_empty_bucket() {
    let mut bucket = TokenBucket::with_level(Tokens(3.0));
    bucket.take_without_debt(Tokens(1.0));
    assert_exactly(bucket.level().as_f64(), 2.0);
    bucket.take_without_debt(Tokens(5.0));
    assert_exactly(bucket.level().as_f64(), 0.0);
    bucket.take(Tokens(4.0));
    bucket.take_without_debt(Tokens(1.0));
    assert_exactly(bucket.level().as_f64(), -4.0);
}

#[test]
fn settling_stays_between_a_debt_of_the_burst_and_a_full_bucket() {
    let mut bucket = TokenBucket::with_level(Tokens(3.0));
    bucket.settle(Tokens(1.0), Tokens(20.0));
    assert_exactly(bucket.level().as_f64(), 2.0);
    bucket.settle(Tokens(-100.0), Tokens(20.0));
    assert_exactly(bucket.level().as_f64(), 20.0);
    bucket.settle(Tokens(100.0), Tokens(20.0));
    assert_exactly(bucket.level().as_f64(), -20.0);
}
