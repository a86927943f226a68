//! Memory budgets that are shared by connections.

use marlshelf::gateway::memory_budget::MemoryBudget;

const LIMIT: usize = 100;
const ALWAYS_ALLOWED: usize = 20;

#[test]
fn large_reservation_is_refused_when_the_budget_is_exceeded() {
    let budget = MemoryBudget::new(LIMIT);
    let (small, large) = (budget.reservation(), budget.reservation());
    assert!(large.set(90, ALWAYS_ALLOWED));
    assert!(
        small.set(20, ALWAYS_ALLOWED),
        "every reservation may use the always-allowed amount"
    );
    assert!(!large.set(91, ALWAYS_ALLOWED));
}

#[test]
fn small_reservation_is_refused_only_above_the_always_allowed_amount() {
    let budget = MemoryBudget::new(LIMIT);
    let (small, large) = (budget.reservation(), budget.reservation());
    assert!(large.set(100, ALWAYS_ALLOWED));
    assert!(small.set(20, ALWAYS_ALLOWED));
    assert!(!small.set(21, ALWAYS_ALLOWED));
}

#[test]
fn dropped_reservation_is_returned_to_the_budget() {
    let budget = MemoryBudget::new(LIMIT);
    let (small, large) = (budget.reservation(), budget.reservation());
    assert!(large.set(90, ALWAYS_ALLOWED));
    assert!(small.set(20, ALWAYS_ALLOWED));
    assert!(!large.set(91, ALWAYS_ALLOWED));
    drop(large);
    assert!(small.set(80, ALWAYS_ALLOWED));
}

#[test]
fn reduction_of_a_reservation_is_returned_to_the_budget() {
    let budget = MemoryBudget::new(LIMIT);
    let (first, second) = (budget.reservation(), budget.reservation());
    assert!(first.set(90, ALWAYS_ALLOWED));
    assert!(!second.set(30, ALWAYS_ALLOWED));
    assert!(first.set(70, ALWAYS_ALLOWED));
    assert!(second.set(30, ALWAYS_ALLOWED));
}
