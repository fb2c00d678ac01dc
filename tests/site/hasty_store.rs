//! A store whose answers leave the next call to be made at once.

use std::time::Duration;

use serde_json::json;

use super::large_lists;
use super::memory::check_peak;
use super::support::Site;

/// The most calls of an entry a second: 2,000 reads a second of the platform's store, divided
/// among the 118 entries of the largest deployment.
const MAX_CALLS_PER_S: f64 = 2_000.0 / 118.0;
/// The most lines of an entry's log a second, two a call.
const MAX_LINES_PER_S: f64 = 2.0 * MAX_CALLS_PER_S;
/// How long an entry may take to use up the calls and lines that it may make at once.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// How long calls and lines are counted.
const COUNT_TIME: Duration = Duration::from_secs(8);
/// The time within which a change must be known; the sum of the bound on a change of the
/// configuration and of what a busy machine adds.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(4);

impl Site {
    async fn count_store_calls(&self) -> f64 {
        let reads = self.client.get_json::<u64>(self.store, "/control/reads");
        reads.await.expect("the store counts its reads") as f64
    }

    fn count_lines(&self) -> f64 {
        self.entries[0].process.log().lines().count() as f64
    }
}

/// Checks the pace of an entry whose store answers in this way. `is_told` says whether the answers
/// still tell of changes.
async fn check_pace(haste: &str, is_told: bool) {
    let site = large_lists::start().await;
    site.control_store("haste", json!(haste)).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let (calls, lines) = (site.count_store_calls().await, site.count_lines());
    tokio::time::sleep(COUNT_TIME).await;
    let calls = (site.count_store_calls().await - calls) / COUNT_TIME.as_secs_f64();
    let lines = (site.count_lines() - lines) / COUNT_TIME.as_secs_f64();
    let to = site.entries[0].caller_address();
    let path = site.add_route().await.expect("the store takes the change");
    let is_known = !is_told || site.await_path(to, &path, CHANGE_TIMEOUT).await;
    let is_served = site.check_plain(to, "/record/a").await.result;
    println!("{haste}: {calls:.1} calls/s, {lines:.1} lines/s, known: {is_known}, {is_served:?}");
    assert!(calls <= MAX_CALLS_PER_S, "{haste}: {calls} calls a second");
    assert!(lines <= MAX_LINES_PER_S, "{haste}: {lines} lines a second");
    assert!(is_known, "{haste}: a change was not known in time");
    assert_eq!(is_served, Ok(()), "{haste}");
    check_peak(&site);
}

/// Defines a test for each way in which a store leaves no pause.
macro_rules! check_paces {
    ($($test:ident: $haste:literal, $is_told:literal;)*) => {$(
        #[tokio::test(flavor = "multi_thread")]
        async fn $test() {
            check_pace($haste, $is_told).await;
        }
    )*};
}

check_paces! {
    watches_that_are_answered_at_once_do_not_set_the_pace: "at_once", true;
    changes_that_are_told_again_and_again_do_not_set_the_pace: "same_events", true;
    many_invalid_changes_do_not_fill_the_log: "many_invalid", false;
    many_deletions_of_what_is_not_known_do_not_fill_the_log: "many_deleted", false;
    changes_that_cannot_be_decoded_do_not_set_the_pace: "undecodable", true;
    revisions_that_rise_with_each_answer_do_not_set_the_pace: "rising_revision", false;
    eras_that_rise_with_each_answer_do_not_set_the_pace: "rising_era", true;
    a_history_that_is_always_gone_does_not_set_the_pace: "history_gone", true;
    a_list_that_has_the_same_page_for_ever_does_not_set_the_pace: "same_page", false;
    a_list_without_an_end_does_not_set_the_pace: "endless_pages", false;
    // Such a list counted as complete, so that all endpoints on later pages were gone.
    a_list_that_does_not_tell_where_it_goes_on_removes_no_endpoint: "nameless_page", false;
}
