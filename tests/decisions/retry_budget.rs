//! Tests of the retry budget.

use marlshelf::RetryBudget;

fn assert_exactly(actual: f64, expected: f64) {
    assert_eq!(
        actual.to_bits(),
        expected.to_bits(),
        "expected {expected}, got {actual}"
    );
}

#[test]
fn a_retry_budget_fills_up_to_its_limit_and_can_be_overdrawn() {
    let mut budget = RetryBudget::full(2.0);
    assert_exactly(budget.balance(), 2.0);
    budget.deposit(1.0);
    assert_exactly(budget.balance(), 2.0);
    budget.withdraw(3.0);
    assert_exactly(budget.balance(), -1.0);
    budget.deposit(0.25);
    assert_exactly(budget.balance(), -0.75);
}
