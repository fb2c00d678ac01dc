//! Tests that the retries at each service stay within the budget of that service.

use std::time::{Duration, Instant};

use pistachioyard_policy::RetryBudgets;
use pistachioyard_wire::ServiceName;

const SHARE: f64 = 0.2;
const SLACK: f64 = 200.0;
const WINDOW: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(250);
const STEPS: u32 = 120;
const ENTRIES: usize = 4;

fn service(name: &str) -> ServiceName {
    ServiceName::try_from(name).expect("the name is valid")
}

/// Plays requests for two services at all entries, of which `failing` ones are retried as often as
/// the budget allows; checks the retries at both services in every window.
fn check_retries(
    requests_per_step: [u32; 2],
    is_failing: [bool; 2],
    max_attempts: u32,
) -> [u32; 2] {
    let services = [service("busy"), service("quiet")];
    let begin = Instant::now();
    let mut budgets = vec![RetryBudgets::new(SHARE, SLACK, WINDOW, true, begin); ENTRIES];
    let mut retries: Vec<[u32; 2]> = Vec::new();
    for step in 0..STEPS {
        let now = begin + STEP * step;
        let mut in_step = [0; 2];
        for budget in &mut budgets {
            budget.rebalance(Some(ENTRIES), now);
        }
        for (which, name) in services.iter().enumerate() {
            for request in 0..requests_per_step[which] {
                let budget = &mut budgets[request as usize % ENTRIES];
                budget.on_first_try(name);
                if is_failing[which] {
                    let tries = (1..max_attempts).filter(|_| budget.try_retry(name));
                    in_step[which] += tries.count() as u32;
                }
            }
        }
        retries.push(in_step);
    }
    let window_steps = (WINDOW.as_millis() / STEP.as_millis()) as usize;
    [0, 1].map(|which| {
        let most = retries
            .windows(window_steps)
            .map(|window| window.iter().map(|step| step[which]).sum::<u32>());
        let most = most.max().unwrap_or_default();
        let requests = requests_per_step[which] * window_steps as u32;
        let allowed = SHARE * f64::from(requests) + SLACK;
        assert!(
            f64::from(most) <= allowed,
            "{}: {most} retries, {allowed} allowed",
            services[which]
        );
        most
    })
}

/// Guards against a quiet service whose retries the requests of a busy one paid for.
#[test]
fn requests_of_a_busy_service_pay_for_no_retries_at_a_quiet_one() {
    check_retries([60, 10], [false, true], 4);
}

/// Guards against one slack for services that fail at the same time.
#[test]
fn each_of_two_failing_services_has_the_slack_to_itself() {
    let retries = check_retries([4, 4], [true, true], 4);
    for at_one in retries {
        assert!(f64::from(at_one) >= 0.8 * SLACK, "{at_one}");
    }
}

/// Guards against a service that a configuration drops and adds again with a new slack.
#[test]
fn a_service_that_is_dropped_and_added_again_has_used_its_retries() {
    let begin = Instant::now();
    let mut budgets = RetryBudgets::new(SHARE, SLACK, WINDOW, true, begin);
    let name = service("returning");
    let mut used = 0;
    // A report ends a window in which there was no request.
    for window in 0..2 {
        let now = begin + WINDOW * window;
        budgets.rebalance(Some(1), now);
        budgets.take_usage(now);
    }
    let busy_at = begin + WINDOW * 2 - STEP;
    budgets.rebalance(Some(1), busy_at);
    used += (0..1_000).filter(|_| budgets.try_retry(&name)).count();
    for step in 1..4 {
        let now = busy_at + STEP * step;
        budgets.rebalance(Some(1), now);
        budgets.take_usage(now);
        used += (0..1_000).filter(|_| budgets.try_retry(&name)).count();
    }
    assert!(used as f64 <= SLACK, "{used}");
}

/// Guards against memory that services of former configurations keep.
#[test]
fn services_without_requests_are_forgotten() {
    let begin = Instant::now();
    let mut budgets = RetryBudgets::new(SHARE, SLACK, WINDOW, true, begin);
    for n in 0..500 {
        let name = service(&format!("former-{n}"));
        budgets.on_first_try(&name);
        while budgets.try_retry(&name) {}
    }
    let mut counted = Vec::new();
    for window in 1..5 {
        let now = begin + WINDOW * window;
        budgets.rebalance(Some(1), now);
        counted.push(budgets.take_usage(now).map_or(0, |usage| usage.len()));
    }
    assert_eq!(counted[0], 500);
    assert_eq!(counted.last(), Some(&0), "{counted:?}");
}
