//! Tests that the entries of a fleet together keep the limits that endpoints name.

use std::time::{Duration, Instant};

use pistachioyard_policy::{
    EndpointRun, FleetPart, LimitChange, PermitAnswer, RequestLimits, RequestRate, ReturnSchedule,
    responsible_entry,
};
use pistachioyard_wire::EntryId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TICK_MS: u64 = 10;
const WINDOW_MS: u64 = 4_000;
const HANDOVER: Duration = Duration::from_secs(1);
/// The longest time until an entry notices that it hears others than before.
const MAX_HEARING_MS: u64 = 900;

fn run() -> EndpointRun {
    EndpointRun {
        endpoint: "needy".try_into().expect("the name is valid"),
        started_unix_ms: Some(1),
    }
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::try_from(per_second).expect("the rate is valid")
}

/// Says what an entry can do at a moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Condition {
    /// Entries reach those with the same number; none is reached by an entry that is down.
    part: Option<u8>,
}

const WHOLE: Condition = Condition { part: Some(0) };
const DOWN: Condition = Condition { part: None };

struct Entry {
    id: EntryId,
    limits: RequestLimits,
    /// The entries that it believes to reach, and the conditions that it will notice at a time.
    heard: Vec<usize>,
    notices: Vec<(u64, Vec<usize>)>,
}

/// A fleet before one endpoint with a limit.
struct Fleet {
    start: Instant,
    now_ms: u64,
    rng: ChaCha8Rng,
    rate: f64,
    entries: Vec<Entry>,
    conditions: Vec<Condition>,
    granted: Vec<u64>,
}

impl Fleet {
    fn new(entries: usize, per_second: f64, seed: u64) -> Self {
        let start = Instant::now();
        let all: Vec<usize> = (0..entries).collect();
        let entry = |index: usize| Entry {
            id: format!("entry-{index}")
                .try_into()
                .expect("the name is valid"),
            limits: RequestLimits::default(),
            heard: all.clone(),
            notices: Vec::new(),
        };
        let mut fleet = Self {
            start,
            now_ms: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            rate: per_second,
            entries: all.iter().map(|index| entry(*index)).collect(),
            conditions: vec![WHOLE; entries],
            granted: Vec::new(),
        };
        for index in 0..entries {
            // The fleet has been as it is for long.
            let since = (fleet.owner(index) == index).then(|| start - HANDOVER);
            let limits = &mut fleet.entries[index].limits;
            limits.note(&run(), Some(rate(per_second)), start, since);
        }
        fleet
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn owner(&self, of: usize) -> usize {
        let heard = &self.entries[of].heard;
        let ids = heard.iter().map(|index| &self.entries[*index].id);
        let owner = responsible_entry(7, ids);
        heard
            .iter()
            .copied()
            .find(|index| Some(&self.entries[*index].id) == owner)
            .unwrap_or(of)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let part = self.conditions[from].part;
        part.is_some() && part == self.conditions[to].part
    }

    /// Changes the conditions of entries, which all notice within the time of hearing.
    fn set(&mut self, change: impl Fn(usize) -> Option<Condition>) {
        for index in 0..self.entries.len() {
            let Some(condition) = change(index) else {
                continue;
            };
            let was_down = self.conditions[index] == DOWN;
            self.conditions[index] = condition;
            if was_down && condition != DOWN {
                // A restarted entry knows nothing and hears nobody yet.
                self.entries[index].limits = RequestLimits::default();
                self.entries[index].heard = vec![index];
                let (said, since) = (self.now(), Some(self.now()));
                let limit = Some(rate(self.rate));
                self.entries[index].limits.note(&run(), limit, said, since);
            }
        }
        for index in 0..self.entries.len() {
            let all = 0..self.entries.len();
            let heard = all.filter(|other| *other == index || self.reaches(index, *other));
            let heard = heard.collect();
            let at = self.now_ms + self.rng.random_range(0..MAX_HEARING_MS);
            self.entries[index].notices.push((at, heard));
        }
    }

    fn review(&mut self) {
        for index in 0..self.entries.len() {
            let now_ms = self.now_ms;
            let entry = &mut self.entries[index];
            while entry.notices.first().is_some_and(|(at, _)| *at <= now_ms) {
                entry.heard = entry.notices.remove(0).1;
            }
            let is_owner = self.owner(index) == index;
            let now = self.now();
            let limits = &mut self.entries[index].limits;
            limits.review(|_| is_owner, |_| true, now);
        }
    }

    /// Asks for a permit at an entry, and counts it if it is granted.
    fn ask(&mut self, from: usize) {
        if self.conditions[from] == DOWN {
            return;
        }
        let owner = self.owner(from);
        if owner != from && !self.reaches(from, owner) {
            return;
        }
        let part = FleetPart {
            heard: self.entries[owner].heard.len(),
            all: self.entries.len(),
        };
        let now = self.now();
        let limits = &mut self.entries[owner].limits;
        if limits.try_permit(&run(), part, HANDOVER, now) == PermitAnswer::Granted {
            self.granted.push(self.now_ms);
        }
    }

    /// Lets `askers` ask at each tick for a time.
    fn play(&mut self, time_ms: u64, askers: impl Fn(&mut ChaCha8Rng) -> Vec<usize>) {
        let end = self.now_ms + time_ms;
        while self.now_ms < end {
            self.now_ms += TICK_MS;
            self.review();
            for from in askers(&mut self.rng) {
                self.ask(from);
            }
        }
    }

    fn check_windows(&self) {
        let allowed = 1.5 * self.rate * WINDOW_MS as f64 / 1e3 + 5.0;
        for from in &self.granted {
            let window = *from..*from + WINDOW_MS;
            let count = self.granted.iter().filter(|at| window.contains(at)).count();
            assert!(
                count as f64 <= allowed,
                "{count} from {from} ms, {allowed} allowed"
            );
        }
    }
}

fn any_of(entries: usize) -> impl Fn(&mut ChaCha8Rng) -> Vec<usize> {
    move |rng| (0..3).map(|_| rng.random_range(0..entries)).collect()
}

/// Shares that are divided in advance would be lost where there is no demand, or be too small for
/// a single request.
#[test]
fn one_entry_with_all_load_gets_the_whole_limit_in_fleets_of_any_size() {
    for (entries, per_second) in [(1, 5.0), (4, 5.0), (100, 5.0), (100, 0.4)] {
        let mut fleet = Fleet::new(entries, per_second, 1);
        fleet.play(20_000, |_| vec![0]);
        fleet.check_windows();
        let got = fleet.granted.len() as f64;
        assert!(got >= 0.9 * per_second * 20.0, "{got} of {per_second} a s");
    }
}

#[test]
fn all_entries_of_a_large_fleet_keep_a_limit_below_one_a_second() {
    let mut fleet = Fleet::new(100, 0.4, 2);
    fleet.play(60_000, any_of(100));
    fleet.check_windows();
    assert!(fleet.granted.len() >= 20, "{}", fleet.granted.len());
}

/// Each part of a divided fleet has its own responsible entry.
#[test]
fn the_parts_of_a_divided_fleet_keep_the_limit_together() {
    for seed in 0..40 {
        for (entries, per_second) in [(4, 0.4), (4, 6.0), (31, 6.0)] {
            let mut fleet = Fleet::new(entries, per_second, seed);
            let parts = 2 + seed as u8 % 3;
            for _ in 0..3 {
                fleet.play(5_000, any_of(entries));
                fleet.set(|index| {
                    Some(Condition {
                        part: Some(index as u8 % parts),
                    })
                });
                fleet.play(9_000, any_of(entries));
                fleet.set(|_| Some(WHOLE));
            }
            fleet.play(5_000, any_of(entries));
            fleet.check_windows();
        }
    }
}

#[test]
fn entries_that_restart_in_any_order_keep_the_limit() {
    for seed in 0..60 {
        let mut fleet = Fleet::new(4, [0.4, 2.0, 9.0][seed as usize % 3], seed);
        for round in 0..8 {
            let victim = (seed as usize + round * 3) % 4;
            fleet.set(|index| (index == victim).then_some(DOWN));
            fleet.play(300 + 400 * (round as u64 % 4), any_of(4));
            fleet.set(|index| (index == victim).then_some(WHOLE));
            fleet.play(700 * (round as u64 % 3), any_of(4));
        }
        fleet.play(4_000, any_of(4));
        fleet.check_windows();
        let seconds = fleet.now_ms as f64 / 1e3;
        let got = fleet.granted.len() as f64;
        assert!(got >= 0.2 * fleet.rate * seconds, "seed {seed}: {got}");
    }
}

/// The responsible entry wakes with what had accrued, while another one took over.
#[test]
fn a_paused_process_waits_before_it_hands_out_permits_again() {
    let start = Instant::now();
    let mut limits = RequestLimits::default();
    limits.note(&run(), Some(rate(100.0)), start, Some(start - HANDOVER));
    let part = FleetPart { heard: 1, all: 1 };
    let permit = |limits: &mut RequestLimits, now| limits.try_permit(&run(), part, HANDOVER, now);
    assert_eq!(permit(&mut limits, start), PermitAnswer::Granted);
    let woke = start + Duration::from_secs(9);
    limits.note_paused(woke);
    assert_eq!(
        permit(&mut limits, woke),
        PermitAnswer::Denied { retry: HANDOVER }
    );
    let later = woke + HANDOVER + Duration::from_millis(10);
    assert_eq!(permit(&mut limits, later), PermitAnswer::Granted);
    assert_ne!(permit(&mut limits, later), PermitAnswer::Granted);
}

#[test]
fn the_newest_word_of_an_endpoint_counts() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    let mut limits = RequestLimits::default();
    assert_eq!(limits.note(&run(), None, now, None), None);
    assert_eq!(
        limits.note(&run(), Some(rate(4.0)), now + second, None),
        Some(LimitChange::Set)
    );
    assert_eq!(limits.note(&run(), None, now, None), None);
    assert!(limits.limit_of(&run()).is_some());
    assert_eq!(
        limits.note(&run(), Some(rate(4.1)), now + 2 * second, None),
        None
    );
    assert_eq!(
        limits.note(&run(), Some(rate(8.0)), now + 3 * second, None),
        Some(LimitChange::Changed)
    );
    limits.note_denied(&run(), second, now + 4 * second);
    assert!(limits.no_room_until(&run(), now + 4 * second).is_some());
    assert_eq!(
        limits.note(&run(), None, now + 4 * second, None),
        Some(LimitChange::Lifted)
    );
    assert!(limits.no_room_until(&run(), now + 4 * second).is_none());
    let part = FleetPart { heard: 1, all: 1 };
    let answer = limits.try_permit(&run(), part, HANDOVER, now + 4 * second);
    assert_eq!(answer, PermitAnswer::Granted);
}

/// An endpoint that takes nothing gives no answers, so the end of its limit would go unnoticed.
#[test]
fn a_limit_of_zero_leaves_a_few_requests() {
    let mut fleet = Fleet::new(4, 0.0, 3);
    fleet.play(60_000, any_of(4));
    fleet.check_windows();
    assert!(fleet.granted.len() >= 3, "{}", fleet.granted.len());
}

#[test]
fn only_the_first_of_several_invalid_limits_is_told() {
    let now = Instant::now();
    let mut limits = RequestLimits::default();
    limits.note(&run(), Some(rate(4.0)), now, None);
    assert!(limits.note_invalid(&run(), now));
    assert!(!limits.note_invalid(&run(), now));
    assert!(limits.limit_of(&run()).is_some());
    for bad in [-1.0, f64::NAN, f64::INFINITY] {
        assert!(RequestRate::try_from(bad).is_err(), "{bad}");
    }
}

/// Callers that all return at the next permit would be refused again.
#[test]
fn refused_callers_are_told_to_return_one_after_the_other() {
    let now = Instant::now();
    let mut schedule = ReturnSchedule::default();
    let first = Duration::from_millis(400);
    let waits: Vec<u128> = (0..4)
        .map(|_| schedule.book(first, 2.0, now).as_millis())
        .collect();
    assert_eq!(waits, [400, 900, 1_400, 1_900]);
    for number in 0..16 {
        schedule.note_permit(now + Duration::from_millis(100 * number));
    }
    let later = now + Duration::from_secs(2);
    let waits: Vec<u128> = (0..2)
        .map(|_| schedule.book(Duration::ZERO, 2.0, later).as_millis())
        .collect();
    assert_eq!(waits, [25, 150], "eight permits a second were granted");
}
