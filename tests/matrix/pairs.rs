//! A seeded sample of fault pairs under continuous traffic.
//!
//! `MATRIX_SEED` sets the seed and `MATRIX_PAIRS` the number of pairs.

use std::time::Duration;

use pistachioyard_standins::{EngineFaults, FaultKind, FaultRule, GenerateEnd, PlatformFaults};
use pistachioyard_wire::Outcome;
use rand::SeedableRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;

use crate::support::{Harness, PendingAnswer, plan_with_replicas};

const DEFAULT_SEED: u64 = 20_261_203;
const DEFAULT_PAIRS: usize = 6;
/// The number of answers that run under each pair.
const ANSWERS: usize = 16;
/// How long each pair of faults stays in place.
const PAIR_DURATION: Duration = Duration::from_millis(1_500);

/// A fault that can be reverted, so that all pairs run on one cluster.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PairFault {
    FreezeEngine,
    FreezeEntry,
    KillEngine,
    CutLink,
    StallLink,
    SlowLink,
    DrainEngine,
    SlowEngine,
    PlatformDown,
    PlatformSlow,
    HostListLag,
}

const ALL_FAULTS: [PairFault; 11] = [
    PairFault::FreezeEngine,
    PairFault::FreezeEntry,
    PairFault::KillEngine,
    PairFault::CutLink,
    PairFault::StallLink,
    PairFault::SlowLink,
    PairFault::DrainEngine,
    PairFault::SlowEngine,
    PairFault::PlatformDown,
    PairFault::PlatformSlow,
    PairFault::HostListLag,
];

fn env_or(name: &str, default: u64) -> u64 {
    let raw = std::env::var(name).ok();
    raw.and_then(|raw| raw.parse().ok()).unwrap_or(default)
}

/// Under each pair of faults, every answer is correct or ends in an accurate refusal.
#[tokio::test(flavor = "multi_thread")]
async fn pairs_of_faults() {
    let seed = env_or("MATRIX_SEED", DEFAULT_SEED);
    let pairs = env_or("MATRIX_PAIRS", DEFAULT_PAIRS as u64);
    println!("MATRIX_SEED={seed} MATRIX_PAIRS={pairs}");
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut harness = Harness::start_with(plan_with_replicas(3)).await;
    for pair in 0..pairs {
        let chosen: Vec<PairFault> = ALL_FAULTS.choose_multiple(&mut rng, 2).copied().collect();
        println!("pair {pair}: {chosen:?}");
        run_pair(&mut harness, &chosen, &mut rng, pair).await;
    }
}

async fn run_pair(harness: &mut Harness, pair: &[PairFault], rng: &mut ChaCha8Rng, number: u64) {
    let ask = |harness: &Harness, i| harness.ask(i % 2, &format!("Pair {number}, answer {i}"));
    let mut running: Vec<PendingAnswer> =
        (0..ANSWERS / 2).map(|index| ask(harness, index)).collect();
    running[0].wait_for_tokens(10).await;
    let mut rules = Vec::new();
    let mut platform = PlatformFaults::default();
    let mut drained = Vec::new();
    let mut engines: Vec<usize> = (0..harness.cluster.engines.len()).collect();
    engines.shuffle(rng);
    for (fault, engines) in pair.iter().zip(engines.chunks(2)) {
        let (engine, other) = (engines[0], engines[1]);
        match fault {
            PairFault::CutLink => rules.push(harness.link_rule(engine, other, FaultKind::Cut)),
            PairFault::StallLink => rules.push(harness.link_rule(engine, other, FaultKind::Stall)),
            PairFault::SlowLink => {
                rules.push(harness.link_rule(engine, other, FaultKind::Delay { ms: 40 }));
            }
            PairFault::PlatformDown => platform.down = true,
            PairFault::PlatformSlow => platform.slow_ms = 800,
            PairFault::HostListLag => platform.host_lag_ms = 10_000,
            PairFault::DrainEngine => {
                drained.push(engine);
                inject_process_fault(harness, *fault, engine).await;
            }
            _ => inject_process_fault(harness, *fault, engine).await,
        }
    }
    set_cluster_faults(harness, &rules, &platform).await;
    running.extend((ANSWERS / 2..ANSWERS).map(|index| ask(harness, index)));
    tokio::time::sleep(PAIR_DURATION).await;
    clear_faults(harness, &drained).await;
    for running in running {
        let (answer, req) = running.wait().await;
        let is_allowed = match &answer.end {
            GenerateEnd::Complete => answer.is_correct(crate::support::DEPLOYMENT, &req),
            GenerateEnd::Problem(problem) => match problem.outcome {
                Outcome::NotRun => answer.resume.is_none(),
                Outcome::Failed => problem.retry_after_ms.is_some(),
                Outcome::Done | Outcome::Unknown => false,
            },
            GenerateEnd::Broken | GenerateEnd::Invalid(_) => false,
        };
        assert!(is_allowed, "{pair:?}: {}: {:?}", req.prompt, answer.end);
    }
    harness
        .cluster
        .wait_ready()
        .await
        .expect("the cluster did not become ready again");
}

async fn inject_process_fault(harness: &mut Harness, fault: PairFault, engine: usize) {
    match fault {
        PairFault::FreezeEngine => {
            let frozen = harness.cluster.engines[engine].child.freeze();
            frozen.expect("failed to freeze the engine");
        }
        PairFault::FreezeEntry => {
            let entry = engine % harness.cluster.entries.len();
            let frozen = harness.cluster.entries[entry].child.freeze();
            frozen.expect("failed to freeze the entry");
        }
        PairFault::KillEngine => {
            let killed = harness.cluster.engines[engine].child.kill();
            killed.expect("failed to kill the engine");
        }
        PairFault::DrainEngine => {
            let faults = EngineFaults {
                draining: true,
                ..EngineFaults::default()
            };
            harness.set_engine_faults(engine, &faults).await;
        }
        _ => {
            let faults = EngineFaults {
                slow_factor: 8.0,
                ..EngineFaults::default()
            };
            harness.set_engine_faults(engine, &faults).await;
        }
    }
}

async fn set_cluster_faults(harness: &Harness, rules: &[FaultRule], platform: &PlatformFaults) {
    let set = harness.cluster.set_proxy_faults(rules).await;
    set.expect("the proxy rejected the fault rules");
    let set = harness.cluster.set_platform_faults(platform).await;
    set.expect("the platform rejected the faults");
}

/// Clears all faults and restarts the engines that were killed or drained: an engine
/// that has begun to drain keeps draining until its process exits.
async fn clear_faults(harness: &mut Harness, drained: &[usize]) {
    set_cluster_faults(harness, &[], &PlatformFaults::default()).await;
    for index in 0..harness.cluster.entries.len() {
        let thawed = harness.cluster.entries[index].child.thaw();
        thawed.expect("failed to thaw the entry");
    }
    for index in 0..harness.cluster.engines.len() {
        let child = &mut harness.cluster.engines[index].child;
        child.thaw().expect("failed to thaw the engine");
        if drained.contains(&index) {
            child.kill().expect("failed to kill the engine");
        }
        if !child
            .is_running()
            .expect("failed to read the process state")
        {
            let restarted = harness.cluster.restart_engine(index);
            restarted.expect("failed to restart the engine");
        } else {
            harness
                .set_engine_faults(index, &EngineFaults::default())
                .await;
        }
    }
}
