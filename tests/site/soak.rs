//! A randomized soak: faults in series that overlap, while callers check what is promised.
//!
//! `SOAK_SEEDS=50 SOAK_SECONDS=12 cargo test --test site soak -- --nocapture` runs more
//! seeds; `SOAK_SEED=N` runs one. A seed that ever failed is kept in [`REGRESSIONS`].

use std::time::Duration;

use futures_util::future::join_all;
use pistachioyard_standins::{FaultKind, FaultRule};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::caller::{Ended, Outcome};
use super::support::Site;

/// Seeds that failed once, with the cause.
const REGRESSIONS: [(u64, &str); 0] = [];
/// The seeds that CI runs, and for how long each.
const CI_SEEDS: u64 = 2;
const CI_SECONDS: u64 = 6;
/// The requests that are under way at the same time.
const CALLERS: usize = 12;
/// The time in which a calm site serves again.
const RECOVERY: Duration = Duration::from_secs(10);

fn number(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |value| value.parse().expect("it is a number"))
}

#[tokio::test(flavor = "multi_thread")]
async fn soak() {
    let seconds = Duration::from_secs(number("SOAK_SECONDS", CI_SECONDS));
    let first = number("SOAK_SEED", 1);
    let is_single = std::env::var("SOAK_SEED").is_ok();
    let count = if is_single {
        1
    } else {
        number("SOAK_SEEDS", CI_SEEDS)
    };
    let kept = REGRESSIONS.iter().map(|(seed, _)| *seed);
    for seed in kept.filter(|_| !is_single).chain(first..first + count) {
        println!("soak: seed {seed}");
        run(seed, seconds).await;
    }
}

async fn run(seed: u64, seconds: Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut site = Site::start(3).await;
    let end = Instant::now() + seconds;
    let mut records: Vec<Outcome> = Vec::new();
    while Instant::now() < end {
        let faults = rng.random_range(1..=2);
        for _ in 0..faults {
            strike(&mut site, &mut rng).await;
        }
        records.extend(press(&site, &mut rng).await);
        mend(&mut site, &mut rng).await;
    }
    calm_down(&mut site).await;
    check(&site, &records, seed).await;
}

/// Injects one fault from outside.
async fn strike(site: &mut Site, rng: &mut ChaCha8Rng) {
    let entry = rng.random_range(0..site.entries.len());
    let worker = rng.random_range(0..site.workers.len());
    match rng.random_range(0..8) {
        0 => site.entries[entry].process.kill(),
        1 => {
            if let Some(child) = &mut site.entries[entry].process.child {
                child.terminate().expect("it is signalled");
            }
        }
        2 => {
            if let Some(child) = &mut site.entries[entry].process.child {
                child.freeze().expect("it is signalled");
            }
        }
        3 => {
            // Asked first, so that what it ran still counts.
            site.note_runs(worker).await;
            site.workers[worker].process.kill();
        }
        4 => {
            let status = if rng.random() { 503 } else { 429 };
            site.set_store_fault(status).await;
        }
        5 => {
            let kinds = [
                FaultKind::Cut,
                FaultKind::Stall,
                FaultKind::CutFromTarget,
                FaultKind::CutToTarget,
                FaultKind::Delay { ms: 40 },
            ];
            let kind = kinds[rng.random_range(0..kinds.len())];
            let from = Some(site.entries[entry].ip.to_string());
            site.set_proxy_faults(&[FaultRule {
                from,
                to: None,
                kind,
            }])
            .await;
        }
        // The store may be down, and then the operator is told so.
        _ => drop(site.add_route().await),
    }
}

/// Sends requests of all kinds to all entries, as callers that hold old addresses do.
async fn press(site: &Site, rng: &mut ChaCha8Rng) -> Vec<Outcome> {
    let targets: Vec<_> = (0..CALLERS)
        .map(|_| rng.random_range(0..site.entries.len()))
        .collect();
    let streams = targets
        .iter()
        .map(|at| site.stream(site.entries[*at].callers()));
    let plain = targets
        .iter()
        .map(|at| site.plain(site.entries[*at].callers(), "/record/a"));
    // How a stream ends is open under faults; that it is right is checked as it comes.
    let (_, records) = tokio::join!(join_all(streams), join_all(plain));
    records
}

/// Ends some of the faults, so that the next ones meet the rest.
async fn mend(site: &mut Site, rng: &mut ChaCha8Rng) {
    let launcher = site.launcher.clone();
    for entry in &mut site.entries {
        if rng.random_bool(0.7) {
            revive(&mut entry.process, &launcher);
        }
    }
    for worker in &mut site.workers {
        if rng.random_bool(0.7) && worker.process.child.is_none() {
            worker.process.start(&launcher);
        }
    }
    if rng.random_bool(0.7) {
        site.set_store_fault(0).await;
        site.set_proxy_faults(&[]).await;
    }
}

fn revive(process: &mut super::support::Process, launcher: &pistachioyard_standins::Launcher) {
    let is_running = match &mut process.child {
        Some(child) => {
            child.thaw().expect("it is signalled");
            child.is_running().unwrap_or(false)
        }
        None => false,
    };
    if !is_running {
        process.start(launcher);
    }
}

async fn calm_down(site: &mut Site) {
    let launcher = site.launcher.clone();
    site.set_store_fault(0).await;
    site.set_proxy_faults(&[]).await;
    for worker in site
        .workers
        .iter_mut()
        .filter(|w| w.process.child.is_none())
    {
        worker.process.start(&launcher);
    }
    // Those that were told to stop get their grace period.
    tokio::time::sleep(Duration::from_secs(4)).await;
    for entry in &mut site.entries {
        revive(&mut entry.process, &launcher);
    }
    let served = tokio::time::timeout(RECOVERY, site.await_service()).await;
    served.expect("a calm site serves again");
}

async fn check(site: &Site, records: &[Outcome], seed: u64) {
    let runs = site.runs().await;
    let (mut done, mut refused, mut open) = (0, 0, 0);
    for Outcome { id, ended } in records {
        let ran = runs.get(id).copied().unwrap_or_default();
        assert!(ran <= 1, "seed {seed}: {id} ran {ran} times");
        match ended {
            Ok(()) => done += 1,
            Err(Ended::NotRun(status)) => {
                assert_eq!(ran, 0, "seed {seed}: {id} got {status} and has run");
                refused += 1;
            }
            Err(Ended::Unknown(_)) => open += 1,
        }
    }
    println!("soak: seed {seed}: {done} records done, {refused} not run, {open} open");
}
