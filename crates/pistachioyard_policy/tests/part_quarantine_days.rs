//! Tests on random days that bad prompt parts are refused soon, and sound ones never.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use pistachioyard_policy::{PROOF_WRITING_TIME, PartQuarantine, PartVerdict};
use pistachioyard_wire::{BootId, PromptPart};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

const BAD: PromptPart = PromptPart(666);

fn run(number: u128) -> BootId {
    BootId(Uuid::from_u128(number))
}

/// Holds what varies between random days.
struct Day {
    bad: Vec<PromptPart>,
    mass_crashes: usize,
    sound_per_second: f64,
    bad_per_second: f64,
}

/// Holds a request that runs at an endpoint.
struct Running {
    parts: Vec<PromptPart>,
    entry: usize,
    endpoint: usize,
    writes_from: u64,
    ends_at: u64,
    is_proved: bool,
}

/// Holds what came of a day: for each bad part the requests with it that ran long after the fifth
/// crash under it, and the sound parts that were refused.
#[derive(Debug, Default, Eq, PartialEq)]
struct DayResult {
    crashes: usize,
    late_runs: [usize; MAX_BAD],
    wrongly_refused: BTreeSet<PromptPart>,
}

const MAX_BAD: usize = 2;
/// How long a bad request has been writing when its endpoint crashes.
const CRASH_AFTER_MS: u64 = 60;
const ENTRIES: usize = 4;
const ENDPOINTS: usize = 16;
const TICK_MS: u64 = 20;
const DAY_MS: u64 = 40_000;
const GOSSIP_MS: u64 = 260;
const RESTART_MS: u64 = 3_000;
const SETTLE_MS: u64 = 3_000;

fn sound_parts(rng: &mut ChaCha8Rng) -> Vec<PromptPart> {
    // A few first parts are in most prompts, and many others are rare.
    let first = rng.random_range(0.0..1.0_f64).powi(3) * 8.0;
    let mut parts = vec![PromptPart(1 + first as u64)];
    if rng.random_bool(0.6) {
        parts.push(PromptPart(100 + rng.random_range(0..80)));
    }
    parts
}

fn play(day: &Day, seed: u64) -> DayResult {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut entries: Vec<PartQuarantine> =
        (0..ENTRIES).map(|_| PartQuarantine::default()).collect();
    let mut down_until = [0_u64; ENDPOINTS];
    let mut runs = [0_u128; ENDPOINTS];
    let mut running: Vec<Running> = Vec::new();
    let mut result = DayResult::default();
    let mut crashes_under = [0_usize; MAX_BAD];
    let mut fifth_crash_at = [None; MAX_BAD];
    let mass_crashes: BTreeSet<u64> = (0..day.mass_crashes)
        .map(|_| rng.random_range(10..DAY_MS / TICK_MS) * TICK_MS)
        .collect();
    let start = Instant::now();
    for now_ms in (0..DAY_MS).step_by(TICK_MS as usize) {
        let now = start + Duration::from_millis(now_ms);
        let tick_s = TICK_MS as f64 / 1e3;
        let mut arriving = Vec::new();
        if rng.random_bool((day.sound_per_second * tick_s).min(1.0)) {
            arriving.push(sound_parts(&mut rng));
        }
        if !day.bad.is_empty() && rng.random_bool((day.bad_per_second * tick_s).min(1.0)) {
            let bad = day.bad[rng.random_range(0..day.bad.len())];
            let mut parts = sound_parts(&mut rng);
            parts.insert(rng.random_range(0..=parts.len()), bad);
            arriving.push(parts);
        }
        for parts in arriving {
            let entry = rng.random_range(0..ENTRIES);
            let up: Vec<usize> = (0..ENDPOINTS)
                .filter(|at| down_until[*at] <= now_ms)
                .collect();
            if let PartVerdict::Refused { part, .. } = entries[entry].verdict(&parts, now) {
                if !day.bad.contains(&part) {
                    result.wrongly_refused.insert(part);
                }
                continue;
            }
            if up.is_empty() {
                continue;
            }
            let writes_from = now_ms + rng.random_range(40..400);
            for (at, bad) in day.bad.iter().enumerate() {
                let is_late = fifth_crash_at[at].is_some_and(|since| now_ms > since + SETTLE_MS);
                result.late_runs[at] += usize::from(is_late && parts.contains(bad));
            }
            running.push(Running {
                parts,
                entry,
                endpoint: up[rng.random_range(0..up.len())],
                writes_from,
                ends_at: writes_from + rng.random_range(200..4_000),
                is_proved: false,
            });
        }
        let mut crashing = BTreeSet::new();
        for request in &mut running {
            let is_bad = request.parts.iter().any(|part| day.bad.contains(part));
            if is_bad && now_ms >= request.writes_from + CRASH_AFTER_MS {
                crashing.insert(request.endpoint);
            }
            let proof_ms = request.writes_from + PROOF_WRITING_TIME.as_millis() as u64;
            if !is_bad && !request.is_proved && now_ms >= proof_ms.min(request.ends_at) {
                request.is_proved = true;
                entries[request.entry].record_sound(&request.parts, now);
            }
        }
        if mass_crashes.contains(&now_ms) {
            let first = rng.random_range(0..ENDPOINTS);
            crashing.extend((first..first + 6).map(|at| at % ENDPOINTS));
        }
        for endpoint in crashing {
            if down_until[endpoint] > now_ms {
                continue;
            }
            down_until[endpoint] = now_ms + RESTART_MS;
            let run = run(runs[endpoint] * 100 + endpoint as u128);
            runs[endpoint] += 1;
            for request in running
                .iter()
                .filter(|request| request.endpoint == endpoint)
            {
                entries[request.entry].record_loss(run, &request.parts, now);
            }
            for entry in &mut entries {
                entry.confirm_crash(run, now);
            }
            result.crashes += 1;
            for (at, bad) in day.bad.iter().enumerate() {
                let is_under_it = running.iter().any(|request| {
                    request.endpoint == endpoint
                        && request.parts.contains(bad)
                        && now_ms >= request.writes_from + CRASH_AFTER_MS
                });
                crashes_under[at] += usize::from(is_under_it);
                if is_under_it && crashes_under[at] == 5 {
                    fifth_crash_at[at] = Some(now_ms);
                }
            }
        }
        running
            .retain(|request| down_until[request.endpoint] <= now_ms && request.ends_at > now_ms);
        if now_ms % GOSSIP_MS == 0 {
            let reports: Vec<_> = entries.iter().map(|entry| entry.report(now)).collect();
            for entry in &mut entries {
                for report in &reports {
                    entry.merge(report, now);
                }
            }
        }
    }
    result
}

#[test]
fn mass_crashes_on_random_days_of_sound_requests_convict_nothing() {
    for seed in 0..300 {
        let day = Day {
            bad: Vec::new(),
            mass_crashes: 1 + seed as usize % 4,
            sound_per_second: [3.0, 20.0, 45.0][seed as usize % 3],
            bad_per_second: 0.0,
        };
        let result = play(&day, seed);
        assert_eq!(
            result.wrongly_refused,
            BTreeSet::new(),
            "seed {seed}: {result:?}"
        );
    }
}

/// Plays a random day with one or two bad parts and checks what is refused.
fn check_bad_day(seed: u64) {
    let bad: [PromptPart; MAX_BAD] = [BAD, PromptPart(667)];
    let day = Day {
        bad: bad[..1 + seed as usize % 2].to_vec(),
        mass_crashes: seed as usize % 2,
        sound_per_second: [3.0, 20.0, 45.0][seed as usize % 3],
        bad_per_second: [0.5, 2.0, 8.0][seed as usize / 3 % 3],
    };
    let result = play(&day, seed);
    assert!(
        result.late_runs.iter().all(|late| *late <= 3),
        "seed {seed}: {result:?}"
    );
    assert_eq!(
        result.wrongly_refused,
        BTreeSet::new(),
        "seed {seed}: {result:?}"
    );
}

#[test]
fn on_random_days_bad_parts_are_refused_soon_and_sound_ones_are_not() {
    for seed in 0..300 {
        check_bad_day(seed);
    }
}

#[test]
fn two_bad_parts_that_crash_everything_at_once_do_not_convict_a_popular_one() {
    for seed in [357, 501, 537, 591] {
        check_bad_day(seed);
    }
}

#[test]
fn two_bad_parts_convict_no_sound_one_on_days_with_chance_coincidences() {
    for seed in [1185, 1203, 1711, 2193, 2907] {
        check_bad_day(seed);
    }
}

#[test]
fn two_bad_parts_are_told_from_sound_ones_on_days_with_rarer_coincidences() {
    for seed in [539, 5919] {
        check_bad_day(seed);
    }
}
