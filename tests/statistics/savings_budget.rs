//! The savings budget.

use crate::assertions::assert_exactly;
use marlshelf::statistics::SavingsBudget;

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
