//! What an entry does once its links to the endpoints are back.

use std::time::Duration;

use pistachioyard_standins::wait_until;

use super::{Cut, SETTLE_WINDOW};
use crate::support::Site;

/// How long after a cut an entry may take to use its own links again.
const RETURN_TIMEOUT: Duration = Duration::from_secs(3);
/// What an entry logs of a request that was running at an endpoint when it was lost.
const LOST_UNDER_REQUEST: &str = "quarantine: endpoint lost under a request";

/// Endpoints without a report are used again after a cut.
#[tokio::test(flavor = "multi_thread")]
async fn plain_endpoints_that_were_out_of_reach_are_used_again() {
    let site = Site::start(1).await;
    site.cut_off(&[0], Cut::Hang).await;
    site.first_tries(0).await;
    site.set_proxy_faults(&[]).await;
    let to = site.entries[0].caller_address();
    wait_until(RETURN_TIMEOUT, "a plain request", || async {
        site.check_plain(to, "/record/a").await.result.is_ok()
    })
    .await
    .expect("the plain endpoints are used again");
}

/// No endpoint counts as lost under a request because a cut ended the request's connection.
#[tokio::test(flavor = "multi_thread")]
async fn losses_behind_a_cut_count_against_no_request() {
    let site = Site::start(2).await;
    for cut in [Cut::Reset, Cut::Hang, Cut::ResetAll] {
        let cut_in_stream = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            site.cut_off(&[0], cut).await;
            tokio::time::sleep(SETTLE_WINDOW).await;
            site.set_proxy_faults(&[]).await;
        };
        tokio::join!(site.first_tries(0), cut_in_stream);
        site.await_service().await;
        for entry in &site.entries {
            let log = entry.process.log();
            let lost = log.lines().find(|line| line.contains(LOST_UNDER_REQUEST));
            assert_eq!(lost, None, "{cut:?}");
        }
    }
}
