//! Single faults that were met on the operators' bench, each replayed here.

use std::time::Duration;

use http::Method;
use pistachioyard_standins::wait_until;

use super::caller::new_id;
use super::support::{KEY, Site};

/// Found on a day with `platform_down` and restarts: an entry that started while the
/// store was down served nothing until it was back.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_while_the_store_is_down_learns_from_a_peer() {
    let mut site = Site::start(2).await;
    site.set_store_fault(503).await;
    site.entries[1].process.kill();
    let launcher = site.launcher.clone();
    site.entries[1].process.start(&launcher);
    let to = site.entries[1].callers();
    wait_until(
        Duration::from_secs(6),
        "a stream at the new entry",
        || async { site.stream(to).await.is_ok() },
    )
    .await
    .expect("it serves by what its peer knows");
    site.set_store_fault(0).await;
}

/// Found on days with `srv_crash`: the layers of a lost worker have to be placed anew.
#[tokio::test(flavor = "multi_thread")]
async fn the_layers_of_a_lost_worker_are_placed_anew_while_the_store_is_down() {
    let mut site = Site::start(2).await;
    site.set_store_fault(503).await;
    let lost: Vec<usize> = (0..site.workers.len())
        .filter(|at| !site.workers[*at].is_plain)
        .collect();
    site.workers[lost[0]].process.kill();
    site.workers[lost[3]].process.kill();
    for entry in &site.entries {
        wait_until(Duration::from_secs(6), "a stream", || async {
            site.stream(entry.callers()).await.is_ok()
        })
        .await
        .expect("the rest of the workers hold all layers");
    }
    site.set_store_fault(0).await;
}

/// A stop that is planned cuts off no request in progress.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_finishes_what_is_in_progress() {
    let mut site = Site::start(2).await;
    let to = site.entries[0].callers();
    let client = &site;
    let streams = futures_util::future::join_all((0..8).map(|_| client.stream(to)));
    let stop = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
    };
    // The signal is sent by the process's id, since the streams borrow the site.
    let pid = site.entries[0]
        .process
        .child
        .as_ref()
        .map(pistachioyard_standins::Child::id);
    let signal = async {
        stop.await;
        let pid = nix::unistd::Pid::from_raw(pid.expect("it runs") as i32);
        nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGTERM).expect("it is signalled");
    };
    let (streams, ()) = tokio::join!(streams, signal);
    for ended in streams {
        ended.expect("each stream is whole");
    }
    let child = site.entries[0].process.running();
    wait_until(Duration::from_secs(5), "the entry's end", || {
        let running = child.is_running().unwrap_or(true);
        async move { !running }
    })
    .await
    .expect("it ends within its grace period");
}

/// Found by reading: a stream that was sent and got no answer before its deadline was
/// refused as not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_was_sent_and_not_answered_is_not_called_not_run() {
    let mut site = Site::start(1).await;
    let engines = site.workers.iter_mut().filter(|worker| !worker.is_plain);
    for worker in engines {
        worker.process.running().freeze().expect("it is signalled");
    }
    let key = format!("Bearer {KEY}");
    let headers = [
        ("x-attempt-id", "frozen-1"),
        ("x-deadline-ms", "200"),
        ("authorization", key.as_str()),
        ("x-token-usage", "100,20"),
    ];
    let to = site.entries[0].callers();
    let sent = site
        .client
        .send(Method::POST, to, "/draft/a", &headers, "body".into())
        .await;
    let status = sent.expect("it is answered").status.as_u16();
    assert!(!matches!(status, 408 | 421 | 429 | 503), "{status}");
}

/// Found on all days with `srv_crash`: when a worker died in the middle of paths, every
/// stream through it was sent again from the beginning, and came too late.
#[tokio::test(flavor = "multi_thread")]
async fn streams_whose_middle_worker_dies_go_on_without_being_sent_again() {
    let mut site = Site::start(1).await;
    let lost = site.backed_up_worker().await;
    site.note_runs(lost).await;
    let ids: Vec<String> = (0..16).map(|_| new_id()).collect();
    let to = site.entries[0].callers();
    let mut dying = site.workers[lost].process.child.take();
    let streams = futures_util::future::join_all(ids.iter().map(|id| site.stream_of(to, id)));
    let death = async {
        wait_until(Duration::from_secs(5), "all streams to run", || async {
            let runs = site.runs().await;
            ids.iter().all(|id| runs.contains_key(id))
        })
        .await
        .expect("they run");
        dying.as_mut().expect("it runs").kill().expect("it ends");
    };
    let (streams, ()) = tokio::join!(streams, death);
    for ended in streams {
        ended.expect("each stream is whole");
    }
    let runs = site.runs().await;
    for id in &ids {
        assert_eq!(runs.get(id), Some(&1), "{id} was sent once");
    }
    let metrics = site.metrics_of(&site.entries[0]).await;
    let mended = metrics
        .lines()
        .any(|line| line.starts_with("router_paths_mended_total{mended=\"yes\"}"));
    assert!(mended, "{metrics}");
}

/// A request that crashes each worker that begins to run it, sent again and again at two
/// entries, costs three workers; the entries tell each other, and others are served on.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_workers_costs_three_of_them() {
    let mut site = Site::start(2).await;
    let key = format!("Bearer {KEY}");
    let mut last = None;
    for at in 0..12 {
        let id = new_id();
        let headers = [
            ("x-attempt-id", id.as_str()),
            ("x-deadline-ms", "2000"),
            ("authorization", key.as_str()),
            ("x-token-usage", "100,20"),
        ];
        let to = site.entries[at % 2].callers();
        let sent = site
            .client
            .send(Method::POST, to, "/draft/poison", &headers, "poison".into())
            .await;
        last = sent.ok().map(|answer| answer.status.as_u16());
        // Longer than the entries take to tell each other.
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    assert_eq!(last, Some(429), "it is refused as not run");
    let workers = site.workers.iter_mut().filter(|worker| !worker.is_plain);
    let crashed = workers
        .filter_map(|worker| worker.process.running().is_running().ok())
        .filter(|is_running| !is_running)
        .count();
    assert_eq!(crashed, 3);
    for entry in &site.entries {
        wait_until(Duration::from_secs(6), "a stream", || async {
            site.stream(entry.callers()).await.is_ok()
        })
        .await
        .expect("others are served");
    }
}

/// An entry that was paused for longer than a peer may be silent is heard of again soon;
/// entries that were cut off are in the policy's `membership` tests.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_was_paused_is_heard_of_again_soon() {
    let mut site = Site::start(2).await;
    site.await_live_entries(2).await;
    let paused = site.entries[1].process.running();
    paused.freeze().expect("it is signalled");
    // Longer than a peer may be silent, and shorter than it is remembered.
    tokio::time::sleep(Duration::from_secs(3)).await;
    paused.thaw().expect("it is signalled");
    site.await_live_entries(2).await;
}
