//! Answers that end with their connection, or on a connection that is announced to end.

use futures_util::future::join_all;
use serde_json::json;

use super::{DEADLINE_MS, ONE_PATH, apply_config, start_site};
use crate::caller::{Failure, new_request_id};
use crate::layout::Layout;
use crate::raw::{Exchange, RawConnection};
use crate::support::{DATA_CENTRES, Site};

/// The number of requests of each kind; few enough for all of them to be retried.
const REQUESTS: usize = 20;
/// The header by which a request selects how its answer ends.
const ENDING: &str = "X-Answer-End";

/// Requests streams with this ending beside a change of the configuration, and checks that each
/// is complete.
async fn check_streams_ending(site: &Site, ending: &str) {
    let to = site.entries[0].caller_address();
    let headers = [("x-deadline-ms", DEADLINE_MS), (ENDING, ending)];
    let streams = join_all((0..REQUESTS).map(|_| async {
        site.check_stream_with(to, &new_request_id(), &headers)
            .await
    }));
    let (streams, ()) = tokio::join!(streams, apply_config(site));
    let failed: Vec<&Failure> = streams
        .iter()
        .filter_map(|result| result.as_ref().err())
        .collect();
    assert!(failed.is_empty(), "{} failed: {failed:?}", failed.len());
}

/// Sends requests with this ending to one path and returns how each was answered.
async fn request_ending(site: &Site, path: &str, ending: &str) -> Vec<Exchange> {
    let to = site.entries[0].caller_address();
    join_all((0..REQUESTS).map(|_| async {
        let mut connection = RawConnection::open(to).await;
        let headers = [(ENDING, ending)];
        assert!(connection.write(path, &new_request_id(), &headers).await);
        connection.read().await
    }))
    .await
}

/// Checks that the stand-in sends neither a length nor chunks.
async fn assert_no_length(site: &Site) {
    let plain = site.endpoints.iter().find(|endpoint| endpoint.is_plain);
    let to = plain.expect("there is a plain endpoint").address;
    let headers = [("x-tenant", "one"), (ENDING, "connection")];
    let answer = site.client.post(to, "/record/a", &headers, "body").await;
    let headers = answer.expect("the endpoint answers").headers;
    assert!(!headers.contains_key("content-length"), "{headers:?}");
    assert!(!headers.contains_key("transfer-encoding"), "{headers:?}");
}

/// A stream that ends with its connection is taken for one that broke.
#[tokio::test(flavor = "multi_thread")]
async fn streams_that_end_with_their_connection_are_complete() {
    let site = start_site(ONE_PATH).await;
    check_streams_ending(&site, "connection").await;
    let runs = site.count_runs().await;
    assert!(
        runs.values().all(|count| *count == 1),
        "none was sent again"
    );
}

/// A stream whose connection ends inside an event is taken for a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn streams_whose_connection_ends_inside_an_event_are_resumed() {
    let site = start_site(ONE_PATH).await;
    check_streams_ending(&site, "inside-event").await;
}

/// A stream that may not be resumed and ends inside an event is taken for a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn streams_that_end_inside_an_event_and_cannot_be_resumed_are_broken_off() {
    let site = start_site(ONE_PATH).await;
    site.adopt_config_with(|spec| {
        for route in spec["routes"].as_array_mut().expect("there are routes") {
            route["resumable"] = json!(false);
        }
    })
    .await;
    let answers = request_ending(&site, "/draft/a", "inside-event").await;
    let is_cut = |answer: &Exchange| matches!(answer, Exchange::Cut(_));
    assert!(answers.iter().all(is_cut), "{answers:?}");
}

/// A stream that stalls goes on for ever since a byte arrives now and then. It has to go on along
/// another path, where there is one.
#[tokio::test(flavor = "multi_thread")]
async fn streams_that_stall_and_drip_bytes_go_on_at_another_endpoint() {
    let site = start_site(Layout {
        data_centres: &DATA_CENTRES,
        ..ONE_PATH
    })
    .await;
    check_streams_ending(&site, "drip").await;
}

/// The same stream has an end at its deadline where there is no other path, and does not look
/// complete.
#[tokio::test(flavor = "multi_thread")]
async fn streams_that_drip_bytes_for_ever_end_at_their_deadline() {
    let site = start_site(ONE_PATH).await;
    let to = site.entries[0].caller_address();
    let mut connection = RawConnection::open(to).await;
    let headers = [(ENDING, "drip"), ("x-deadline-ms", "4000")];
    assert!(
        connection
            .write("/draft/a", &new_request_id(), &headers)
            .await
    );
    let answer = connection.read().await;
    assert!(matches!(answer, Exchange::Cut(_)), "{answer:?}");
}

/// An answer of a plain service that ends with its connection is taken for one that broke.
#[tokio::test(flavor = "multi_thread")]
async fn plain_answers_that_end_with_their_connection_are_complete() {
    let site = start_site(ONE_PATH).await;
    assert_no_length(&site).await;
    for path in ["/record/a", "/lookup/a", "/feed/a"] {
        let (answers, ()) = tokio::join!(
            request_ending(&site, path, "connection"),
            apply_config(&site)
        );
        let is_complete = |answer: &Exchange| matches!(answer, Exchange::Complete(200, _));
        assert!(answers.iter().all(is_complete), "{path}: {answers:?}");
    }
}

/// A stream is left when its endpoint announces that the connection will end.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_an_endpoint_that_announces_its_leaving_are_complete() {
    let site = start_site(ONE_PATH).await;
    check_streams_ending(&site, "leaving").await;
    let runs = site.count_runs().await;
    assert!(
        runs.values().all(|count| *count == 1),
        "none was sent again"
    );
}
