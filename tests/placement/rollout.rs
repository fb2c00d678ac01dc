//! Another version is rolled out under traffic, within the weight store's rate.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use pistachioyard_wire::OrderKind;

use crate::support::{Bed, DEPLOYMENT, NEXT_VERSION, is_right_for};

/// The weight loads that may be ordered in a second, and at once.
const LOADS_PER_SECOND: f64 = 2.0;
const LOAD_BURST: f64 = 1.0;
/// The length of each caller's answers; the longest outlast steps of the rollout.
const TOKENS: [u32; 3] = [12, 60, 240];

/// One count of the loads ordered so far.
struct Sample {
    begun: Instant,
    ended: Instant,
    loads: usize,
}

async fn sample(bed: &Bed) -> Sample {
    let begun = Instant::now();
    let orders = bed.orders().await;
    let loads = orders
        .iter()
        .filter(|order| matches!(order.kind, OrderKind::Hold { .. }))
        .count();
    Sample {
        begun,
        ended: Instant::now(),
        loads,
    }
}

fn assert_rate(samples: &[Sample]) {
    for (place, first) in samples.iter().enumerate() {
        for last in &samples[place..] {
            let loads = last.loads.saturating_sub(first.loads) as f64;
            let passed = (last.ended - first.begun).as_secs_f64();
            assert!(
                loads <= LOADS_PER_SECOND * passed + LOAD_BURST,
                "{loads} loads in {passed} s"
            );
        }
    }
}

/// Asks for answers until told to stop; returns how many each version gave.
async fn ask(bed: &Bed, caller: usize, stop: &AtomicBool) -> [usize; 2] {
    let mut counts = [0, 0];
    while !stop.load(Ordering::Relaxed) {
        let prompt = format!("draft {caller} {counts:?}");
        let (req, answer) = bed.generate(caller, &prompt, TOKENS[caller]).await;
        let versions = [DEPLOYMENT.version(), NEXT_VERSION];
        let version = versions.iter().position(|v| is_right_for(&req, &answer, v));
        let Some(version) = version else {
            panic!("{answer:?}\n{}", bed.cluster.entry_logs());
        };
        counts[version] += 1;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    counts
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rollout_fails_no_request_and_keeps_the_load_rate() {
    let bed = Bed::start().await;
    let stop = AtomicBool::new(false);
    let mut samples = Vec::new();
    let watch = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        bed.apply_next_version(1).await;
        let applied_at = Instant::now();
        loop {
            samples.push(sample(&bed).await);
            let reports = bed.reports().await;
            let is_next = |r: &pistachioyard_wire::EndpointReport| {
                !r.loading
                    && r.version
                        .as_ref()
                        .is_some_and(|v| v.as_str() == NEXT_VERSION)
            };
            if reports.iter().all(is_next) {
                break;
            }
            let passed = applied_at.elapsed();
            assert!(
                passed < Duration::from_secs(90),
                "{}",
                bed.cluster.entry_logs()
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        println!("rolled out after {:?}", applied_at.elapsed());
        tokio::time::sleep(Duration::from_secs(1)).await;
        stop.store(true, Ordering::Relaxed);
    };
    let callers = futures_util::future::join_all((0..TOKENS.len()).map(|c| ask(&bed, c, &stop)));
    let (counts, ()) = tokio::join!(callers, watch);
    println!("answers by version: {counts:?}");
    assert!(counts.iter().all(|[_, next]| *next > 0), "{counts:?}");
    assert_rate(&samples);
    let (req, answer) = bed.generate(0, "after", 12).await;
    assert!(is_right_for(&req, &answer, NEXT_VERSION), "{answer:?}");
}
