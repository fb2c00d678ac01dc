//! A new version is rolled out under traffic without exceeding the weight store's rate limit.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use pistachioyard_wire::OrderKind;

use crate::support::{DEPLOYMENT, Harness, NEXT_VERSION, is_correct_for};

/// The maximum rate at which weight loads may be ordered.
const LOADS_PER_SECOND: f64 = 2.0;
/// The number of weight loads that may be ordered at once beyond that rate.
const LOAD_BURST: f64 = 1.0;
/// The answer length of each caller, in tokens; the longest answers span steps of the rollout.
const TOKENS: [u32; 3] = [12, 60, 240];

/// The number of loads ordered so far, and the interval in which it was read.
struct Sample {
    started_at: Instant,
    ended_at: Instant,
    loads: usize,
}

async fn sample(harness: &Harness) -> Sample {
    let started_at = Instant::now();
    let orders = harness.taken_orders().await;
    let loads = orders
        .iter()
        .filter(|order| matches!(order.kind, OrderKind::Hold { .. }))
        .count();
    Sample {
        started_at,
        ended_at: Instant::now(),
        loads,
    }
}

fn assert_rate(samples: &[Sample]) {
    for (index, first) in samples.iter().enumerate() {
        for last in &samples[index..] {
            let loads = last.loads.saturating_sub(first.loads) as f64;
            let elapsed = (last.ended_at - first.started_at).as_secs_f64();
            assert!(
                loads <= LOADS_PER_SECOND * elapsed + LOAD_BURST,
                "{loads} loads ordered in {elapsed} s"
            );
        }
    }
}

/// Sends requests until `stop` is set; returns the number of answers by version.
async fn generate_until_stopped(harness: &Harness, caller: usize, stop: &AtomicBool) -> [usize; 2] {
    let mut counts = [0, 0];
    while !stop.load(Ordering::Relaxed) {
        let prompt = format!("draft {caller} {counts:?}");
        let (req, answer) = harness.generate(caller, &prompt, TOKENS[caller]).await;
        let versions = [DEPLOYMENT.version(), NEXT_VERSION];
        let version = versions
            .iter()
            .position(|v| is_correct_for(&req, &answer, v));
        let Some(version) = version else {
            panic!("{answer:?}\n{}", harness.cluster.entry_logs());
        };
        counts[version] += 1;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    counts
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rollout_fails_no_request_and_keeps_the_load_rate() {
    let harness = Harness::start().await;
    let stop = AtomicBool::new(false);
    let mut samples = Vec::new();
    let roll_out = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        harness.apply_next_version(1).await;
        let applied_at = Instant::now();
        loop {
            samples.push(sample(&harness).await);
            let reports = harness.read_reports().await;
            let runs_next_version = |r: &pistachioyard_wire::EndpointReport| {
                !r.loading
                    && r.version
                        .as_ref()
                        .is_some_and(|v| v.as_str() == NEXT_VERSION)
            };
            if reports.iter().all(runs_next_version) {
                break;
            }
            let elapsed = applied_at.elapsed();
            assert!(
                elapsed < Duration::from_secs(90),
                "{}",
                harness.cluster.entry_logs()
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        println!("rolled out after {:?}", applied_at.elapsed());
        tokio::time::sleep(Duration::from_secs(1)).await;
        stop.store(true, Ordering::Relaxed);
    };
    let callers = futures_util::future::join_all(
        (0..TOKENS.len()).map(|c| generate_until_stopped(&harness, c, &stop)),
    );
    let (counts, ()) = tokio::join!(callers, roll_out);
    println!("answers by version: {counts:?}");
    assert!(counts.iter().all(|[_, next]| *next > 0), "{counts:?}");
    assert_rate(&samples);
    let (req, answer) = harness.generate(0, "after", 12).await;
    assert!(is_correct_for(&req, &answer, NEXT_VERSION), "{answer:?}");
}
