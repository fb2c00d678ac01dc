//! A seeded sample of pairs of faults under continuous traffic.
//!
//! `MATRIX_SEED` sets the seed and `MATRIX_PAIRS` the number of pairs.

use std::time::Duration;

use pistachioyard_standins::{EngineFaults, FaultKind, FaultRule, GenerateEnd, PlatformFaults};
use pistachioyard_wire::Outcome;
use rand::SeedableRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;

use crate::support::{Running, Trial, plan_with_copies};

const DEFAULT_SEED: u64 = 20_261_203;
const DEFAULT_PAIRS: usize = 6;
/// The answers that run under a pair.
const ANSWERS: usize = 16;
/// How long a pair of faults lasts.
const PAIR_TIME: Duration = Duration::from_millis(1_500);

/// A fault that can be lifted, so that pairs run on one cluster.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Disturbance {
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

const ALL: [Disturbance; 11] = [
    Disturbance::FreezeEngine,
    Disturbance::FreezeEntry,
    Disturbance::KillEngine,
    Disturbance::CutLink,
    Disturbance::StallLink,
    Disturbance::SlowLink,
    Disturbance::DrainEngine,
    Disturbance::SlowEngine,
    Disturbance::PlatformDown,
    Disturbance::PlatformSlow,
    Disturbance::HostListLag,
];

fn setting(name: &str, default: u64) -> u64 {
    let raw = std::env::var(name).ok();
    raw.and_then(|raw| raw.parse().ok()).unwrap_or(default)
}

/// Under each pair, every answer is right or is refused honestly.
#[tokio::test(flavor = "multi_thread")]
async fn pairs_of_faults() {
    let seed = setting("MATRIX_SEED", DEFAULT_SEED);
    let pairs = setting("MATRIX_PAIRS", DEFAULT_PAIRS as u64);
    println!("MATRIX_SEED={seed} MATRIX_PAIRS={pairs}");
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut trial = Trial::start_plan(plan_with_copies(3)).await;
    for pair in 0..pairs {
        let chosen: Vec<Disturbance> = ALL.choose_multiple(&mut rng, 2).copied().collect();
        println!("pair {pair}: {chosen:?}");
        run_pair(&mut trial, &chosen, &mut rng, pair).await;
    }
}

async fn run_pair(trial: &mut Trial, pair: &[Disturbance], rng: &mut ChaCha8Rng, number: u64) {
    let ask =
        |trial: &Trial, place| trial.ask(place % 2, &format!("Pair {number}, answer {place}"));
    let mut running: Vec<Running> = (0..ANSWERS / 2).map(|place| ask(trial, place)).collect();
    running[0].reach(10).await;
    let mut rules = Vec::new();
    let mut platform = PlatformFaults::default();
    let mut drained = Vec::new();
    let mut engines: Vec<usize> = (0..trial.cluster.engines.len()).collect();
    engines.shuffle(rng);
    for (disturbance, engines) in pair.iter().zip(engines.chunks(2)) {
        let (engine, other) = (engines[0], engines[1]);
        match disturbance {
            Disturbance::CutLink => rules.push(trial.link_rule(engine, other, FaultKind::Cut)),
            Disturbance::StallLink => rules.push(trial.link_rule(engine, other, FaultKind::Stall)),
            Disturbance::SlowLink => {
                rules.push(trial.link_rule(engine, other, FaultKind::Delay { ms: 40 }));
            }
            Disturbance::PlatformDown => platform.down = true,
            Disturbance::PlatformSlow => platform.slow_ms = 800,
            Disturbance::HostListLag => platform.host_lag_ms = 10_000,
            Disturbance::DrainEngine => {
                drained.push(engine);
                disturb_process(trial, *disturbance, engine).await;
            }
            _ => disturb_process(trial, *disturbance, engine).await,
        }
    }
    set_shared(trial, &rules, &platform).await;
    running.extend((ANSWERS / 2..ANSWERS).map(|place| ask(trial, place)));
    tokio::time::sleep(PAIR_TIME).await;
    lift(trial, &drained).await;
    for running in running {
        let (answer, req) = running.end().await;
        let is_honest = match &answer.end {
            GenerateEnd::Complete => answer.is_correct(crate::support::DEPLOYMENT, &req),
            GenerateEnd::Problem(problem) => match problem.outcome {
                Outcome::NotRun => answer.resume.is_none(),
                Outcome::Failed => problem.retry_after_ms.is_some(),
                Outcome::Done | Outcome::Unknown => false,
            },
            GenerateEnd::Broken | GenerateEnd::Invalid(_) => false,
        };
        assert!(is_honest, "{pair:?}: {}: {:?}", req.prompt, answer.end);
    }
    trial.cluster.wait_ready().await.expect("all is back");
}

async fn disturb_process(trial: &mut Trial, disturbance: Disturbance, engine: usize) {
    match disturbance {
        Disturbance::FreezeEngine => {
            let frozen = trial.cluster.engines[engine].child.freeze();
            frozen.expect("the engine can be frozen");
        }
        Disturbance::FreezeEntry => {
            let entry = engine % trial.cluster.entries.len();
            let frozen = trial.cluster.entries[entry].child.freeze();
            frozen.expect("the entry can be frozen");
        }
        Disturbance::KillEngine => {
            let killed = trial.cluster.engines[engine].child.kill();
            killed.expect("the engine can be killed");
        }
        Disturbance::DrainEngine => {
            let faults = EngineFaults {
                draining: true,
                ..EngineFaults::default()
            };
            trial.set_engine_faults(engine, &faults).await;
        }
        _ => {
            let faults = EngineFaults {
                slow_factor: 8.0,
                ..EngineFaults::default()
            };
            trial.set_engine_faults(engine, &faults).await;
        }
    }
}

async fn set_shared(trial: &Trial, rules: &[FaultRule], platform: &PlatformFaults) {
    let set = trial.cluster.set_proxy_faults(rules).await;
    set.expect("the proxy takes its rules");
    let set = trial.cluster.set_platform_faults(platform).await;
    set.expect("the platform takes its faults");
}

/// Lifts all faults and starts engines again that were killed, or that have left:
/// an engine that drains does so until its process ends.
async fn lift(trial: &mut Trial, drained: &[usize]) {
    set_shared(trial, &[], &PlatformFaults::default()).await;
    for place in 0..trial.cluster.entries.len() {
        let thawed = trial.cluster.entries[place].child.thaw();
        thawed.expect("the entry can be thawed");
    }
    for place in 0..trial.cluster.engines.len() {
        let child = &mut trial.cluster.engines[place].child;
        child.thaw().expect("the engine can be thawed");
        if drained.contains(&place) {
            child.kill().expect("the engine can be killed");
        }
        if !child.is_running().expect("the state can be asked") {
            let restarted = trial.cluster.restart_engine(place);
            restarted.expect("the engine starts again");
        } else {
            trial
                .set_engine_faults(place, &EngineFaults::default())
                .await;
        }
    }
}
