//! A request that crashes workers comes after other workers have crashed.
//!
//! First, single workers crash under load, and the requests that they lose are answered by others.
//! Then a request that crashes each worker that runs it comes at one machine after the other.

use std::io::Result;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, SETTLE, record_in, wait_until};
use crate::http::Client;
use crate::worker::{Behaviour, POISON};

/// The workers, and how many of them crash before the poison comes, one at a time: 1 of 8 is
/// within the largest share (0.17) of the days.
const WORKERS: usize = 8;
const CRASHES: usize = 9;
/// How long a worker is away; the days have up to 5 s.
const DOWN: Duration = Duration::from_millis(2_500);
const BETWEEN: Duration = Duration::from_millis(2_800);
/// How long a request runs, at most 220 ms on the sheet, and the clients of each machine.
const WORK: Duration = Duration::from_millis(50);
const CLIENTS: usize = 28;
/// How long a client waits after a request that was not served; no less than `Retry-After` says.
const AFTER_REFUSAL: Duration = Duration::from_millis(1_000);
/// The pause between two of the poison's requests, in which a gossip round passes several times.
const PAUSE: Duration = Duration::from_millis(2_000);
/// The requests of the poison after the time to settle, and how many may reach workers.
const LATER: usize = 12;
const MAX_LATER_RUNS: usize = 3;
const POISON_PATH: &str = "/predaja/poison";

pub fn play(folder: &str, has_trouble: bool) -> Result<bool> {
    let record = record_in(folder)?;
    let behaviour = Behaviour {
        work: WORK,
        down: DOWN,
        goes_dark: false,
    };
    let fleet = Arc::new(Fleet::start(record.clone(), 4, WORKERS, behaviour)?);
    load(&fleet, has_trouble);
    let poison_runs = || {
        let runs = record.runs();
        runs.into_iter().filter(|run| run.path == POISON_PATH).collect::<Vec<_>>()
    };
    // The request comes at one machine after the other.
    let mut turns = (0..fleet.machines.len()).cycle();
    let mut send = |label: &str| {
        let machine = &fleet.machines[turns.next().unwrap_or(0)];
        let outcome = fleet.send(machine, "POST", POISON_PATH, POISON);
        record.say(&format!("{label} at {}: {}", machine.name, outcome.text()));
        thread::sleep(PAUSE);
    };
    for _ in 0..8 {
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
    for machine in &fleet.machines {
        let log = machine.log_text();
        let lines = log.lines().filter(|line| line.contains("quarantine: request refused"));
        for line in lines {
            record.note(&format!("log of {}: {line}", machine.name));
        }
    }
    Ok(later <= MAX_LATER_RUNS)
}

/// Sends requests that differ from each other, while single workers crash if there is trouble.
fn load(fleet: &Arc<Fleet>, has_trouble: bool) {
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for machine in 0..fleet.machines.len() {
        for client in 0..CLIENTS {
            let (fleet, is_over) = (fleet.clone(), is_over.clone());
            clients.push(thread::spawn(move || {
                let machine = &fleet.machines[machine];
                let mut connection = Client::new(machine.front());
                let (mut sent, mut served) = (0, 0);
                while !is_over.load(Ordering::SeqCst) {
                    let path = format!("/status/{}-{client}-{sent}", machine.name);
                    let outcome = fleet.send_on(&mut connection, machine, "GET", &path, b"");
                    sent += 1;
                    let is_served = outcome.status() == 200;
                    served += usize::from(is_served);
                    if !is_served {
                        thread::sleep(AFTER_REFUSAL);
                    }
                }
                (sent, served)
            }));
        }
    }
    thread::sleep(Duration::from_secs(1));
    for _ in 0..CRASHES {
        if has_trouble {
            let Some(worker) = fleet.workers.iter().max_by_key(|worker| worker.load()) else {
                continue;
            };
            fleet.record.say(&format!("{} crashes with {} requests", worker.name, worker.load()));
            worker.crash();
        }
        thread::sleep(BETWEEN);
    }
    is_over.store(true, Ordering::SeqCst);
    let (mut sent, mut served) = (0, 0);
    for client in clients {
        let (s, ok) = client.join().unwrap_or_default();
        sent += s;
        served += ok;
    }
    fleet.record.say(&format!("load: {served} of {sent} requests were served"));
    wait_until(DOWN * 2, || fleet.workers.iter().all(|worker| worker.is_up()));
    thread::sleep(Duration::from_secs(1));
}
