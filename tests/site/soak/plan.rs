//! The faults that a seed of the soak of starts and signals draws.

use std::time::Duration;

use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::ENTRY_PORTS;

/// The time between two faults, at most.
const MAX_GAP: Duration = Duration::from_millis(400);
/// The number of signals in a series, at most.
const MAX_SIGNALS: usize = 4;
/// The time between a program's `main` and the first signal, at least; a program cannot catch what
/// is sent before its first instructions have run.
const MAIN_MARGIN: Duration = Duration::from_millis(1);
/// The time in which most of the signals at a start are sent.
const EARLY_TIME: Duration = Duration::from_millis(3);
/// The time in which signals at a start are sent.
const START_TIME: Duration = Duration::from_millis(20);
/// The bounds of the time for which a port is held or a settings file is damaged after a start.
const HELD_TIME: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(400)];

/// The time from the end of a store's haste to its next, at most.
const CALM_TIME: Duration = Duration::from_secs(2);
/// How long a store is hasty, at most.
const HASTE_TIME: Duration = Duration::from_secs(2);
/// How a store leaves no pause between its answers.
const HASTES: &str = "at_once same_events many_invalid many_deleted undecodable rising_revision \
    rising_era history_gone same_page endless_pages nameless_page";

/// A fault and its parameters.
#[derive(Clone, Debug)]
pub(super) enum Fault {
    /// SIGHUP in service, with the times since its begin.
    Hangups(Vec<Duration>),
    /// SIGHUP at a start, with the times since its `main`.
    HangupsAtStart(Vec<Duration>),
    /// SIGTERM at a start.
    TerminateAtStart(Duration),
    /// SIGTERM twice.
    TerminateTwice(Duration),
    /// A restart.
    Kill,
    /// A port that another socket holds at a start and for this time after it.
    PortHeld(Port, Duration),
    /// A settings file that is damaged at a start and for this time after it.
    Settings(Damage, Duration),
    /// Callers whose large bodies never become whole.
    LargeBodies,
    /// Callers whose heads do not end.
    EndlessHeads,
    /// New versions of the configuration, in series.
    Configs(usize),
    /// A store that answers with errors.
    Store(Duration),
    /// A store that leaves no pause between its answers, in this way.
    Haste(&'static str, Duration),
}

impl Fault {
    /// Returns the name of its kind.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            Self::Hangups(_) => "SIGHUP",
            Self::HangupsAtStart(_) => "SIGHUP at a start",
            Self::TerminateAtStart(_) => "SIGTERM at a start",
            Self::TerminateTwice(_) => "SIGTERM twice",
            Self::Kill => "restart",
            Self::PortHeld(..) => "port held",
            Self::Settings(..) => "settings damaged",
            Self::LargeBodies => "large bodies",
            Self::EndlessHeads => "endless heads",
            Self::Configs(_) => "configurations",
            Self::Store(_) => "store down",
            Self::Haste(..) => "hasty store",
        }
    }
}

/// A port of an entry, by its place in [`ENTRY_PORTS`].
#[derive(Clone, Copy, Debug)]
pub(super) enum Port {
    Tcp(usize),
    /// The port of gossip, which has datagrams too.
    Gossip,
}

/// What is wrong with a settings file.
#[derive(Clone, Copy, Debug)]
pub(super) enum Damage {
    Missing,
    Empty,
    /// Only this share of it is written.
    Half(f64),
}

/// A fault at an entry, and when it begins.
#[derive(Clone, Debug)]
pub(super) struct Planned {
    pub(super) after: Duration,
    pub(super) entry: usize,
    pub(super) fault: Fault,
}

/// Draws the faults of a soak of this length.
pub(super) fn draw(entries: usize, length: Duration, rng: &mut ChaCha8Rng) -> Vec<Planned> {
    let mut planned = Vec::new();
    let mut after = Duration::ZERO;
    while after < length {
        planned.push(Planned {
            after,
            entry: rng.random_range(0..entries),
            fault: draw_fault(rng),
        });
        after += MAX_GAP.mul_f64(rng.random());
    }
    planned
}

/// Draws when the store is hasty, apart from the other faults of the seed.
pub(super) fn draw_haste(length: Duration, seed: u64) -> Vec<Planned> {
    let mut rng = ChaCha8Rng::seed_from_u64(!seed);
    let mut planned = Vec::new();
    let mut after = CALM_TIME.mul_f64(rng.random());
    while after < length {
        let haste = HASTES.split(' ').choose(&mut rng);
        let time = HASTE_TIME.mul_f64(rng.random());
        planned.push(Planned {
            after,
            entry: 0,
            fault: Fault::Haste(haste.expect("there are some"), time),
        });
        after += time + CALM_TIME.mul_f64(rng.random());
    }
    planned
}

fn draw_fault(rng: &mut ChaCha8Rng) -> Fault {
    let [shortest, longest] = HELD_TIME;
    let held = rng.random_range(shortest..longest);
    let signals = |rng: &mut ChaCha8Rng| {
        let count = rng.random_range(1..=MAX_SIGNALS);
        let mut times: Vec<_> = (0..count).map(|_| draw_start_time(rng)).collect();
        times.sort();
        times
    };
    match rng.random_range(0..16) {
        0 => Fault::Hangups(signals(rng)),
        1..=4 => Fault::HangupsAtStart(signals(rng)),
        5 => Fault::TerminateAtStart(draw_start_time(rng)),
        6 => Fault::TerminateTwice(START_TIME.mul_f64(rng.random())),
        7 => Fault::Kill,
        8 | 9 => {
            let gossip = [Port::Gossip];
            let ports = (0..ENTRY_PORTS.len()).map(Port::Tcp).chain(gossip);
            let ports: Vec<_> = ports.collect();
            let port = ports.choose(rng).expect("an entry has ports");
            Fault::PortHeld(*port, held)
        }
        10 | 11 => {
            let half = Damage::Half(rng.random_range(0.1..0.9));
            let damage = [Damage::Missing, Damage::Empty, half][rng.random_range(0..3)];
            Fault::Settings(damage, held)
        }
        12 => Fault::LargeBodies,
        13 => Fault::EndlessHeads,
        14 => Fault::Configs(rng.random_range(1..=MAX_SIGNALS)),
        _ => Fault::Store(held),
    }
}

/// Draws a time since the `main` of a program; half of them are among the first milliseconds.
fn draw_start_time(rng: &mut ChaCha8Rng) -> Duration {
    let end = if rng.random() { EARLY_TIME } else { START_TIME };
    rng.random_range(MAIN_MARGIN..end)
}
