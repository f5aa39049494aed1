//! Budgets of memory.

use base::MemoryBudget;

/// Guards against a budget that loses what was given back, or lets more be taken than there is.
#[test]
fn a_budget_holds_its_limit_and_gets_bytes_back() {
    let budget = MemoryBudget::new(100);
    let first = budget.take(60).expect("refused");
    assert!(budget.take(41).is_none());
    let second = budget.clone().take(40).expect("refused");
    assert_eq!(budget.used(), 100);
    drop(first);
    assert_eq!(budget.used(), 40);
    assert!(budget.take(61).is_none());
    drop(second);
    assert_eq!(budget.used(), 0);
}

/// Guards against a request within the limits that is never served, as it takes more than the budget.
#[test]
fn a_single_large_request_is_served() {
    let budget = MemoryBudget::new(100);
    let large = budget.take(150).expect("refused");
    assert!(budget.take(1).is_none());
    drop(large);
    assert!(budget.take(1).is_some());
}
