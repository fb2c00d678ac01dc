//! Requests that crash the endpoints that run them.
//!
//! An endpoint runs many requests at once, so a crash has bystanders. Everyone
//! who shared a crash is a suspect and runs apart from other suspects
//! ([`SuspectLanes`]) until it completes. See `docs/design/quarantine.md`.
//!
//! A request is convicted when either of these holds:
//!
//! - It was in two crashes, and it was the only request of one of them that was
//!   in two. Since suspects run apart, a second crash has one such request.
//! - It was in three crashes. This settles the case that suspects did share a
//!   second crash, for example through two entries.
//!
//! A request that crashes each endpoint thus costs two of them while suspects
//! are kept apart. A bystander is in one crash only; it is cleared by completing,
//! not by the conviction of another, since that other may be wrongly convicted.
//! That happens to a suspect whose second endpoint dies of another cause: it
//! cannot be told from a culprit without the loss of a third endpoint, so it is
//! refused for the hold time.

mod lanes;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use pistachioyard_wire::{BootId, QuarantineMark, RequestDigest};

pub use lanes::SuspectLanes;

/// The crashes that convict when the request was alone among repeaters in one.
const CRASHES_TO_CONVICT_ALONE: usize = 2;
/// The crashes that convict in any case.
const CRASHES_TO_CONVICT: usize = 3;

/// The most cases that peers can bring to one entry.
const MAX_CASES: usize = 4_096;
/// The most crashes that are taken from one mark of a peer.
const MAX_CRASHES_OF_MARK: usize = 16;

/// How a request is to be treated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may run anywhere.
    Clear,
    /// It may run, but on no endpoint that runs another suspect.
    Suspect {
        /// The crashes that it was in.
        crashes: usize,
    },
    /// It is refused with its final answer.
    Convicted {
        /// When it is taken again.
        retry_after: Duration,
    },
}

#[derive(Clone, Debug)]
struct Case {
    /// The endpoint runs that crashed with the request.
    crashed: BTreeSet<BootId>,
    /// Crashes that no longer count, since the request has completed since.
    cleared: BTreeSet<BootId>,
    convicted: bool,
    /// The time of the newest crash, or of clearing.
    since: Instant,
}

impl Case {
    fn new(since: Instant) -> Self {
        Self {
            crashed: BTreeSet::new(),
            cleared: BTreeSet::new(),
            convicted: false,
            since,
        }
    }

    fn is_repeater(&self) -> bool {
        self.crashed.len() >= CRASHES_TO_CONVICT_ALONE
    }
}

/// The requests that crashes are known of, at one entry.
#[derive(Clone, Debug)]
pub struct Quarantine {
    hold: Duration,
    /// Whether suspects run apart, so that two crashes can be enough.
    keeps_suspects_apart: bool,
    cases: BTreeMap<RequestDigest, Case>,
}

impl Quarantine {
    /// Starts without cases; each is kept for `hold` after its newest crash.
    pub fn new(hold: Duration) -> Self {
        Self {
            hold,
            keeps_suspects_apart: true,
            cases: BTreeMap::new(),
        }
    }

    /// Starts without cases, for callers of this type that do not keep suspects apart.
    ///
    /// Only three crashes convict then, since a bystander can share two.
    pub fn without_lanes(hold: Duration) -> Self {
        Self {
            keeps_suspects_apart: false,
            ..Self::new(hold)
        }
    }

    /// Notes the crash of an endpoint's run.
    ///
    /// `running` are all requests of this entry that had a stage there. The same
    /// run may be reported more than once.
    pub fn crashed(&mut self, running: &[RequestDigest], boot: BootId, now: Instant) {
        self.expire(now);
        for digest in running {
            let case = self.cases.entry(*digest).or_insert_with(|| Case::new(now));
            if case.crashed.insert(boot) {
                case.cleared.remove(&boot);
                case.since = case.since.max(now);
            }
        }
        self.convict();
    }

    /// Tells how to treat a request at `now`.
    pub fn verdict(&self, digest: RequestDigest, now: Instant) -> Verdict {
        let Some(case) = self.cases.get(&digest) else {
            return Verdict::Clear;
        };
        let age = now.saturating_duration_since(case.since);
        let retry_after = self.hold.saturating_sub(age);
        match (retry_after.is_zero(), case.convicted, case.crashed.len()) {
            (true, _, _) | (false, false, 0) => Verdict::Clear,
            (false, true, _) => Verdict::Convicted { retry_after },
            (false, false, crashes) => Verdict::Suspect { crashes },
        }
    }

    /// Notes that a request completed, so it did not cause its crashes.
    pub fn cleared(&mut self, digest: RequestDigest) {
        let Some(case) = self.cases.get_mut(&digest) else {
            return;
        };
        let crashed = std::mem::take(&mut case.crashed);
        case.cleared.extend(crashed);
        case.convicted = false;
        self.convict();
    }

    /// Returns what to pass on to peers.
    pub fn marks(&self, now: Instant) -> Vec<QuarantineMark> {
        let open = self.cases.iter().filter(|(_, c)| !c.crashed.is_empty());
        open.map(|(digest, case)| QuarantineMark {
            digest: *digest,
            crashed: case.crashed.iter().copied().collect(),
            convicted: case.convicted,
            age_ms: age_ms(now, case.since),
        })
        .filter(|mark| Duration::from_millis(mark.age_ms) < self.hold)
        .collect()
    }

    /// Takes in the marks of a peer.
    ///
    /// A mark keeps its age on the way, so that marks that go round do not last
    /// longer. Crashes that were cleared here are not taken in again.
    pub fn merge(&mut self, marks: &[QuarantineMark], now: Instant) {
        self.expire(now);
        for mark in marks {
            let age = Duration::from_millis(mark.age_ms);
            if age < self.hold {
                let since = now.checked_sub(age).unwrap_or(now);
                self.merge_one(mark, since);
            }
        }
        self.convict();
    }

    /// Forgets cases that are older than the hold time.
    pub fn expire(&mut self, now: Instant) {
        let hold = self.hold;
        self.cases
            .retain(|_, case| now.saturating_duration_since(case.since) < hold);
    }

    fn merge_one(&mut self, mark: &QuarantineMark, since: Instant) {
        let known = self.cases.get(&mark.digest);
        let counts = |boot: &BootId| known.is_none_or(|case| !case.cleared.contains(boot));
        let listed = mark.crashed.iter().take(MAX_CRASHES_OF_MARK);
        let crashed: Vec<BootId> = listed.copied().filter(counts).collect();
        if crashed.is_empty() || known.is_none() && self.cases.len() >= MAX_CASES {
            return;
        }
        let case = self
            .cases
            .entry(mark.digest)
            .or_insert_with(|| Case::new(since));
        let convicts = mark.convicted && !case.convicted;
        let before = case.crashed.len();
        case.crashed.extend(crashed);
        case.convicted |= mark.convicted;
        if convicts || case.crashed.len() > before {
            case.since = case.since.max(since);
        }
    }

    fn convict(&mut self) {
        let mut repeaters: BTreeMap<BootId, usize> = BTreeMap::new();
        for case in self.cases.values().filter(|c| c.is_repeater()) {
            for boot in &case.crashed {
                *repeaters.entry(*boot).or_default() += 1;
            }
        }
        for case in self.cases.values_mut().filter(|c| c.is_repeater()) {
            let alone = case.crashed.iter().any(|boot| repeaters[boot] == 1);
            let is_enough = alone && self.keeps_suspects_apart;
            case.convicted |= is_enough || case.crashed.len() >= CRASHES_TO_CONVICT;
        }
    }
}

/// Returns the age rounded up, so that a mark that goes round cannot get younger.
fn age_ms(now: Instant, since: Instant) -> u64 {
    let age = now.saturating_duration_since(since);
    u64::try_from(age.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
