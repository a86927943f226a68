//! The token bucket and the savings budget.

use crate::assertions::assert_exactly;
use marlshelf::statistics::{BucketLimits, SavingsBudget, TokenBucket};

#[test]
fn a_bucket_fills_at_its_rate_up_to_the_burst() {
    let limits = BucketLimits {
        tokens_per_second: 10.0,
        burst: 20.0,
    };
    let mut bucket = TokenBucket::default();
    let refill = bucket.refill(limits, 500.0);
    assert_exactly(refill.level, 5.0);
    assert_exactly(refill.overflow(), 0.0);
    let refill = bucket.refill(limits, 2500.0);
    assert_exactly(refill.unlimited_level, 30.0);
    assert_exactly(refill.overflow(), 10.0);
    assert_exactly(bucket.level(), 20.0);
}

#[test]
fn a_bucket_above_a_lowered_burst_loses_the_rest_at_its_next_refill() {
    let mut bucket = TokenBucket::with_level(50.0);
    let limits = BucketLimits {
        tokens_per_second: 0.0,
        burst: 20.0,
    };
    assert_exactly(bucket.refill(limits, 0.0).overflow(), 30.0);
    assert_exactly(bucket.level(), 20.0);
}

#[test]
fn a_bucket_can_be_overdrawn_and_pays_its_debt_off() {
    let mut bucket = TokenBucket::with_level(3.0);
    bucket.take(5.0);
    assert_exactly(bucket.level(), -2.0);
    let limits = BucketLimits {
        tokens_per_second: 4.0,
        burst: 20.0,
    };
    bucket.refill(limits, 1000.0);
    assert_exactly(bucket.level(), 2.0);
}

#[test]
fn taking_without_debt_stops_at_an_empty_bucket() {
    let mut bucket = TokenBucket::with_level(3.0);
    bucket.take_without_debt(1.0);
    assert_exactly(bucket.level(), 2.0);
    bucket.take_without_debt(5.0);
    assert_exactly(bucket.level(), 0.0);
    bucket.take(4.0);
    bucket.take_without_debt(1.0);
    assert_exactly(bucket.level(), -4.0);
}

#[test]
fn settling_stays_between_a_debt_of_the_burst_and_a_full_bucket() {
    let mut bucket = TokenBucket::with_level(3.0);
    bucket.settle(1.0, 20.0);
    assert_exactly(bucket.level(), 2.0);
    bucket.settle(-100.0, 20.0);
    assert_exactly(bucket.level(), 20.0);
    bucket.settle(100.0, 20.0);
    assert_exactly(bucket.level(), -20.0);
}

#[test]
fn a_savings_budget_is_earned_up_to_its_limit_and_can_be_overspent() {
    let mut budget = SavingsBudget::full(2.0);
    assert_exactly(budget.saved(), 2.0);
    budget.earn(1.0);
    assert_exactly(budget.saved(), 2.0);
    budget.spend(3.0);
    assert_exactly(budget.saved(), -1.0);
    budget.earn(0.25);
    assert_exactly(budget.saved(), -0.75);
}
