//! A stream that may not be resumed makes each worker that runs it go dark, and comes again.

use std::io::Result;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, HOST, KEY, Machine, SETTLE, record_in};
use crate::http::Client;
use crate::worker::{Behaviour, POISON};

const WORKERS: usize = 8;
/// How long a worker is away.
const DOWN: Duration = Duration::from_millis(4_500);
/// Clients abandon a stream after a gap of two seconds, also before its first event.
const PATIENCE: Duration = Duration::from_secs(2);
/// Long enough that no two workers are away at once.
const PAUSE: Duration = Duration::from_millis(3_000);
/// The most requests before the third crash, those after the time to settle, and how many of these
/// may reach workers.
const MAX_FIRST: usize = 8;
const LATER: usize = 11;
const MAX_LATER_RUNS: usize = 3;
const POISON_PATH: &str = "/nacrt/poison";

/// Without trouble the crashes end the workers' connections, as those of a process do.
pub fn play(folder: &str, has_trouble: bool) -> Result<bool> {
    let record = record_in(folder)?;
    let behaviour = Behaviour {
        work: Duration::from_millis(30),
        down: DOWN,
        goes_dark: has_trouble,
    };
    let fleet = Fleet::start(record.clone(), 4, WORKERS, behaviour)?;
    let poison_runs = || {
        let runs = record.runs();
        runs.into_iter().filter(|run| run.path == POISON_PATH).collect::<Vec<_>>()
    };
    let mut turns = (0..fleet.machines.len()).cycle();
    let mut send = |label: &str| {
        let machine = &fleet.machines[turns.next().unwrap_or(0)];
        let end = send_poison(&fleet, machine);
        record.say(&format!("{label} at {}: {end}", machine.name));
        // Sound requests go on meanwhile.
        for machine in &fleet.machines {
            fleet.send(machine, "GET", &format!("/status/sound"), b"");
        }
        thread::sleep(PAUSE);
    };
    for _ in 0..MAX_FIRST {
        if poison_runs().len() < 3 {
            send("poison");
        }
    }
    let first = poison_runs();
    if first.len() < 3 {
        return Err(std::io::Error::other("the request did not crash three workers"));
    }
    let settled = first[2].at + SETTLE + Duration::from_millis(500);
    thread::sleep(settled.saturating_duration_since(Instant::now()));
    let since = Instant::now();
    for _ in 0..LATER {
        send("poison again");
    }
    let later = poison_runs().into_iter().filter(|run| run.at > since).count();
    record.say(&format!(
        "{later} requests reached workers later than settle_window_ms after the third crash; \
         at most {MAX_LATER_RUNS} may"
    ));
    Ok(later <= MAX_LATER_RUNS)
}

fn send_poison(fleet: &Fleet, machine: &Machine) -> String {
    let id = fleet.new_id();
    let key = format!("Bearer {KEY}");
    let headers = [
        ("Host", HOST),
        ("X-Attempt-Id", id.as_str()),
        ("X-Deadline-Ms", "20000"),
        ("Authorization", key.as_str()),
    ];
    fleet.record.note(&format!("{} gets {id} POST {POISON_PATH}", machine.name));
    let mut client = Client::new(machine.front());
    let outcome = client.send("POST", POISON_PATH, &headers, POISON, PATIENCE);
    fleet.record.answered(&machine.name, &id, &outcome);
    outcome.text()
}
