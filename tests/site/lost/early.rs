//! Streams that are sent while an endpoint of their path is silent.

use std::time::Duration;

use futures_util::future::join_all;

use super::{
    DEADLINE_MS, ONE_PATH, Silence, apply_config, count_failures, engines_with_first_layer,
    silence, start_site,
};
use crate::caller::{Failure, new_request_id};

/// The number of streams, which are sent one after the other.
const STREAMS: u32 = 60;
/// The time between two streams; the last one is sent before the silence ends.
const STREAM_INTERVAL: Duration = Duration::from_millis(10);
/// The time after the begin of the silence at which the first stream is sent.
const LAG: Duration = Duration::from_millis(100);

/// Checks that streams sent during a silence are complete, or refused as not run.
async fn check_streams_sent_during(first: bool, how: Silence) {
    let site = &start_site(ONE_PATH).await;
    let silent = engines_with_first_layer(site, first).await;
    let to = site.entries[0].caller_address();
    let headers = [("x-deadline-ms", DEADLINE_MS)];
    let streams = join_all((0..STREAMS).map(|n| async move {
        tokio::time::sleep(LAG + STREAM_INTERVAL * n).await;
        site.check_stream_with(to, &new_request_id(), &headers)
            .await
    }));
    let disturb = async {
        tokio::join!(silence(site, &silent, how), apply_config(site));
    };
    let (ended, ()) = tokio::join!(streams, disturb);
    let failed: Vec<&Failure> = ended
        .iter()
        .filter_map(|result| result.as_ref().err())
        .filter(|failure| matches!(failure, Failure::Unknown(_)))
        .collect();
    assert!(
        failed.is_empty(),
        "{} of {STREAMS} streams failed; first: {:?}; as the entry logged them: {:#?}",
        failed.len(),
        failed[0],
        count_failures(&site.entries[0].process.log()),
    );
}

/// Streams sent to a paused first endpoint fail early.
#[tokio::test(flavor = "multi_thread")]
async fn streams_sent_while_their_first_endpoint_is_paused_are_answered() {
    check_streams_sent_during(true, Silence::Paused).await;
}

/// Streams sent to a first endpoint that accepts no connections fail early.
#[tokio::test(flavor = "multi_thread")]
async fn streams_sent_while_their_first_endpoint_is_deaf_are_answered() {
    check_streams_sent_during(true, Silence::Deaf).await;
}

/// Streams sent while an endpoint in the middle of their path is paused fail early.
#[tokio::test(flavor = "multi_thread")]
async fn streams_sent_while_their_middle_endpoint_is_paused_are_answered() {
    check_streams_sent_during(false, Silence::Paused).await;
}
