//! Single faults, most of them first seen in the operators' bench.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use http::Method;
use pistachioyard_standins::wait_until;

use super::caller::new_request_id;
use super::support::{KEY, Site};

/// How long streams are sent until one of them runs through the endpoint that is to crash.
const CRASH_TIMEOUT: Duration = Duration::from_secs(20);

/// An entry that starts while the store is down takes its state from a peer.
///
/// In the bench, with `platform_down` and restarts, such an entry served nothing until the
/// store was back.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_while_the_store_is_down_learns_from_a_peer() {
    let mut site = Site::start(2).await;
    site.set_store_fault(503).await;
    site.entries[1].process.kill();
    let launcher = site.launcher.clone();
    site.entries[1].process.start(&launcher);
    let to = site.entries[1].caller_address();
    wait_until(
        Duration::from_secs(6),
        "a stream at the new entry",
        || async { site.check_stream(to).await.is_ok() },
    )
    .await
    .expect("the entry serves with the state of its peer");
    site.set_store_fault(0).await;
}

/// The layers of a lost endpoint are placed on others, even while the store is down.
///
/// First seen in the bench with `srv_crash` faults.
#[tokio::test(flavor = "multi_thread")]
async fn the_layers_of_a_lost_endpoint_are_reassigned_while_the_store_is_down() {
    let mut site = Site::start(2).await;
    site.set_store_fault(503).await;
    let lost: Vec<usize> = (0..site.endpoints.len())
        .filter(|index| !site.endpoints[*index].is_plain)
        .collect();
    site.endpoints[lost[0]].process.kill();
    site.endpoints[lost[3]].process.kill();
    for entry in &site.entries {
        wait_until(Duration::from_secs(6), "a stream", || async {
            site.check_stream(entry.caller_address()).await.is_ok()
        })
        .await
        .expect("the remaining endpoints hold all layers");
    }
    site.set_store_fault(0).await;
}

/// A planned stop interrupts no request in progress.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_finishes_what_is_in_progress() {
    let mut site = Site::start(2).await;
    let to = site.entries[0].caller_address();
    let site_ref = &site;
    let streams = futures_util::future::join_all((0..8).map(|_| site_ref.check_stream(to)));
    let delay = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
    };
    let signal = async {
        delay.await;
        let entry = &site_ref.entries[0];
        entry.process.signal(nix::sys::signal::Signal::SIGTERM);
    };
    let (streams, ()) = tokio::join!(streams, signal);
    for result in streams {
        result.expect("every stream is complete");
    }
    let child = site.entries[0].process.running_child();
    wait_until(Duration::from_secs(5), "the entry to exit", || {
        let running = child.is_running().unwrap_or(true);
        async move { !running }
    })
    .await
    .expect("the entry exits within its grace period");
}

/// A stream that was sent to an endpoint and is not answered before its deadline may have
/// run, so it must not be refused as not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_was_sent_and_not_answered_is_not_called_not_run() {
    let mut site = Site::start(1).await;
    let model_endpoints = site
        .endpoints
        .iter_mut()
        .filter(|endpoint| !endpoint.is_plain);
    for endpoint in model_endpoints {
        endpoint
            .process
            .running_child()
            .freeze()
            .expect("the signal is sent");
    }
    let key = format!("Bearer {KEY}");
    let headers = [
        ("x-attempt-id", "frozen-1"),
        ("x-deadline-ms", "200"),
        ("authorization", key.as_str()),
        ("x-token-usage", "100,20"),
    ];
    let to = site.entries[0].caller_address();
    let result = site
        .client
        .send(Method::POST, to, "/draft/a", &headers, "body".into())
        .await;
    let status = result.expect("the request is answered").status.as_u16();
    assert!(!matches!(status, 408 | 421 | 429 | 503), "{status}");
}

/// When an endpoint in the middle of a path dies, its streams continue along a repaired path.
///
/// The endpoint crashes on a call of a stream that runs through it at that moment. In the bench,
/// with `srv_crash` faults, every stream through such an endpoint was sent again from the
/// beginning and missed its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn streams_whose_middle_worker_dies_go_on_without_being_sent_again() {
    let mut site = Site::start(1).await;
    let candidates = site.redundant_endpoints().await;
    let repaired_before = site.count_repaired_paths().await;
    let to = site.entries[0].caller_address();
    let mut all_ids = Vec::new();
    // The entry knows the layers of an endpoint that it has used, so it can replace the lost one.
    let mut known = BTreeSet::new();
    let mut chosen = None;
    let give_up_at = Instant::now() + CRASH_TIMEOUT;
    loop {
        let ids: Vec<String> = (0..16).map(|_| new_request_id()).collect();
        let streams =
            futures_util::future::join_all(ids.iter().map(|id| site.check_stream_with_id(to, id)));
        let crash = async {
            wait_until(Duration::from_secs(5), "all streams to run", || async {
                let runs = site.count_runs().await;
                ids.iter().all(|id| runs.contains_key(id))
            })
            .await
            .expect("all streams run");
            if chosen.is_some() {
                return;
            }
            let in_use = site.endpoints_in_use(&ids, &candidates).await;
            known.extend(in_use.iter().copied());
            if known.len() == candidates.len() {
                chosen = in_use.first().copied();
            }
            if let Some(lost) = chosen {
                site.crash_in_stream(lost).await;
            }
        };
        let (streams, ()) = tokio::join!(streams, crash);
        for result in streams {
            result.expect("every stream is complete");
        }
        all_ids.extend(ids);
        // All streams of a round may take other paths, or end before the call.
        if let Some(lost) = chosen
            && !site.endpoints[lost].process.is_running()
        {
            break;
        }
        assert!(
            Instant::now() < give_up_at,
            "no stream crashed {chosen:?} of {candidates:?}; used so far: {known:?}"
        );
    }
    let runs = site.count_runs().await;
    for id in &all_ids {
        assert_eq!(runs.get(id), Some(&1), "{id} was sent once");
    }
    let repaired = site.count_repaired_paths().await;
    assert!(repaired > repaired_before, "{repaired} paths were repaired");
}

/// A request that crashes every endpoint on which it runs crashes only three of them, even if
/// it is repeated at two entries.
///
/// The entries gossip about such a request and then refuse it; other requests are served.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_endpoints_crashes_only_three() {
    let mut site = Site::start(2).await;
    let key = format!("Bearer {KEY}");
    let mut last_status = None;
    for index in 0..12 {
        let id = new_request_id();
        let headers = [
            ("x-attempt-id", id.as_str()),
            ("x-deadline-ms", "2000"),
            ("authorization", key.as_str()),
            ("x-token-usage", "100,20"),
        ];
        let to = site.entries[index % 2].caller_address();
        let result = site
            .client
            .send(Method::POST, to, "/draft/poison", &headers, "poison".into())
            .await;
        last_status = result.ok().map(|answer| answer.status.as_u16());
        // Longer than gossip between the entries takes.
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    assert_eq!(last_status, Some(429), "the request is refused as not run");
    let endpoints = site
        .endpoints
        .iter_mut()
        .filter(|endpoint| !endpoint.is_plain);
    let crashed = endpoints
        .filter_map(|endpoint| endpoint.process.running_child().is_running().ok())
        .filter(|is_running| !is_running)
        .count();
    assert_eq!(crashed, 3);
    for entry in &site.entries {
        wait_until(Duration::from_secs(6), "a stream", || async {
            site.check_stream(entry.caller_address()).await.is_ok()
        })
        .await
        .expect("other requests are served");
    }
}

/// An entry that was paused for longer than the peer timeout counts as live again soon after.
///
/// The policy's `membership` tests cover entries that were cut off.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_entry_counts_as_live_again_soon() {
    let mut site = Site::start(2).await;
    site.await_live_entries(2).await;
    let paused = site.entries[1].process.running_child();
    paused.freeze().expect("the signal is sent");
    // Longer than a peer may be silent, and shorter than its record is kept.
    tokio::time::sleep(Duration::from_secs(3)).await;
    paused.thaw().expect("the signal is sent");
    site.await_live_entries(2).await;
}
