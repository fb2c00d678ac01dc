//! Tests that retries stay within a share of first tries.

use pistachioyard_policy::RetryBudget;

#[test]
fn retries_are_a_share_of_first_tries_after_the_burst() {
    let mut budget = RetryBudget::new(0.1, 3.0);
    let burst = (0..10).filter(|_| budget.try_retry()).count();
    assert_eq!(burst, 3);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.on_first_try();
        retries += usize::from(budget.try_retry());
    }
    assert_eq!(retries, 100);
}
