//! What is tried beside a silent path.

use std::time::Duration;

use futures_util::future::join_all;
use http::Method;

use super::{ONE_PATH, Silence, apply_config, engines_with_first_layer, silence, start_site};
use crate::caller::new_request_id;
use crate::layout::Layout;
use crate::support::DATA_CENTRES;

/// The number of streams, which are sent one after the other.
const STREAMS: u32 = 40;
/// The time between two streams; the last one is sent before the silence ends.
const STREAM_INTERVAL: Duration = Duration::from_millis(10);
/// The time after the begin of the silence at which the first stream is sent.
const LAG: Duration = Duration::from_millis(100);
/// The route's limit of attempts.
const MAX_ATTEMPTS: usize = 2;

/// A stream whose first endpoint is silent is sent again and again when the others answer with a
/// failure.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_beside_a_silent_endpoint_is_passed_on_after_two_attempts() {
    let site = &start_site(Layout {
        data_centres: &DATA_CENTRES,
        engines: 3,
        ..ONE_PATH
    })
    .await;
    let first = engines_with_first_layer(site, true).await;
    let is_local = |index: &usize| {
        let process = &site.endpoints[*index].process;
        process.name.contains(DATA_CENTRES[0])
    };
    let silent: Vec<usize> = first.into_iter().filter(is_local).collect();
    let to = site.entries[0].caller_address();
    let headers = [
        ("x-answer-status", "400"),
        ("x-deadline-ms", "6000"),
        ("x-token-usage", "100,20"),
    ];
    let streams = join_all((0..STREAMS).map(|n| async move {
        tokio::time::sleep(LAG + STREAM_INTERVAL * n).await;
        let id = new_request_id();
        let answer = site
            .send_request(to, Method::POST, "/draft/a", &id, &headers)
            .await;
        (id, answer)
    }));
    let disturb = async {
        tokio::join!(silence(site, &silent, Silence::Paused), apply_config(site));
    };
    let (answers, ()) = tokio::join!(streams, disturb);
    let runs = site.count_runs().await;
    for (id, answer) in answers {
        let status = answer.map(|(status, _)| status);
        assert_eq!(status, Ok(400), "the endpoint's failure for {id}");
        let count = runs.get(&id).copied().unwrap_or_default();
        assert!(count <= MAX_ATTEMPTS, "{id} ran {count} times");
    }
}
