//! Entries that share one retry budget divide its burst.

use pistachioyard_policy::RetryBudget;

/// Replays the overload that broke the budget of a site: four entries, each asked for
/// far more retries than the whole budget has.
#[test]
fn entries_that_divide_the_burst_stay_within_the_whole_budget() {
    const SLACK: f64 = 196.0;
    const SHARE: f64 = 0.2;
    const REQUESTS: u32 = 720;
    let mut retries = 0;
    for _ in 0..4 {
        let mut budget = RetryBudget::new(SHARE, SLACK);
        budget.set_burst(SLACK / 4.0);
        for _ in 0..REQUESTS / 4 {
            budget.on_first_try();
            for _ in 0..3 {
                retries += u32::from(budget.try_retry());
            }
        }
    }
    let allowed = SHARE * f64::from(REQUESTS) + SLACK;
    assert!(
        f64::from(retries) <= allowed,
        "{retries} retries, {allowed} allowed"
    );
}

#[test]
fn a_larger_burst_does_not_give_back_what_was_used() {
    let mut budget = RetryBudget::new(0.2, 10.0);
    assert_eq!((0..20).filter(|_| budget.try_retry()).count(), 10);
    budget.set_burst(20.0);
    assert_eq!((0..20).filter(|_| budget.try_retry()).count(), 10);
    budget.set_burst(5.0);
    assert!(!budget.try_retry());
}
