//! Tests that targets have retry budgets of their own.

use pistachioyard_policy::KeyedRetryBudgets;

const BURST: usize = 10;

/// Guards against requests for a busy target that pay for retries of a quiet one.
#[test]
fn first_tries_for_one_target_pay_for_no_retries_of_another() {
    let mut budgets = KeyedRetryBudgets::new(0.2, BURST as f64);
    let mut retries = 0;
    for _ in 0..1_000 {
        budgets.on_first_try(&"busy");
        retries += usize::from(budgets.try_retry(&"quiet"));
    }
    assert_eq!(retries, BURST);
    assert!(budgets.try_retry(&"busy"));
}

/// Guards against memory for each name that callers make up.
#[test]
fn targets_without_retries_take_no_memory() {
    let mut budgets = KeyedRetryBudgets::new(0.5, BURST as f64);
    (0..1_000).for_each(|name| budgets.on_first_try(&name));
    assert_eq!(budgets.used_targets(), 0);
    assert!(budgets.try_retry(&1));
    assert_eq!(budgets.used_targets(), 1);
    (0..2).for_each(|_| budgets.on_first_try(&1));
    assert_eq!(budgets.used_targets(), 0);
}
