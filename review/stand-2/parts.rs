//! A part of some prompts crashes workers.
//!
//! In one case the workers end their answers with the connection; in the other, prompts have many
//! parts.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Addresses, Machine, await_ready, machine};
use crate::http::Client;
use crate::record::Record;
use crate::store::Store;
use crate::streams::{Ask, ask, config, is_whole};
use crate::worker::{Arrival, Framing, Terms, Worker};

const WORKERS: usize = 10;
/// How long a worker that has crashed is down.
const DOWN: Duration = Duration::from_secs(3);
/// `settle_window_ms` of the settings.
const SETTLE: Duration = Duration::from_secs(3);
/// The part that crashes each worker that begins to write an answer on it.
const DEADLY: &str = "dead01";
/// The first part of all prompts of the tenant.
const FIRST: &str = "aa01";
/// The number of events in each answer: they are written in less than half a second.
const EVENTS: u64 = 16;
/// The time between two requests of the clients that send sound ones, and the number of these.
const SOUND_GAP: Duration = Duration::from_millis(250);
const SOUND_CLIENTS: usize = 3;
/// The time between two requests with the part that crashes workers.
const DEADLY_GAP: Duration = Duration::from_millis(600);
/// How long only sound requests come.
const BEFORE: Duration = Duration::from_secs(12);
/// How long requests with the deadly part come beside them.
const DURING: Duration = Duration::from_secs(50);

/// The number of further parts in the case of many; the deadly one comes after most of them.
const MANY: usize = 40;
const DEADLY_AT: usize = 36;
/// The number of requests with the deadly part that may still reach workers.
const ALLOWED: usize = 3;

/// Says what is played and which rule is checked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Answers end with their connection; sound requests begin as often as before.
    Unframed,
    /// Prompts have many parts; requests with the deadly one do not go on to reach workers.
    Many,
}

impl Kind {
    /// Returns the parts of a sound prompt, and of one with the deadly part.
    fn parts(self, count: usize) -> (Vec<String>, Vec<String>) {
        let first = FIRST.to_owned();
        match self {
            Self::Unframed => (
                vec![first.clone(), format!("b{:x}", count % 7)],
                vec![first, DEADLY.to_owned()],
            ),
            Self::Many => {
                let further = (0..MANY).map(|n| format!("b{n:02x}"));
                let sound: Vec<String> = std::iter::once(first).chain(further).collect();
                let mut deadly = sound.clone();
                deadly[DEADLY_AT] = DEADLY.to_owned();
                (sound, deadly)
            }
        }
    }
}

/// One sound request and whether it began at its first attempt.
struct Sound {
    sent: Instant,
    id: String,
}

pub fn run(kind: Kind, has_trouble: bool, record: &Arc<Record>, files: &Path) -> Verdict {
    let mut addresses = Addresses::find();
    let store_at = (addresses.next(), 8223).into();
    let store = Store::start(store_at, record.clone());
    store.put("config", "main", config());
    let arrivals = Arc::new(Mutex::new(Vec::<Arrival>::new()));
    // Only to find the cause: with chunks the rule holds.
    let framing = match (kind, std::env::var("FRAMING").as_deref()) {
        (Kind::Many, _) | (_, Ok("chunks")) => Framing::Chunks,
        (Kind::Unframed, _) => Framing::Connection,
    };
    let terms: Vec<Terms> = (0..WORKERS)
        .map(|n| Terms {
            id: format!("w-{n}"),
            service: "pisar",
            address: (addresses.next(), 8120).into(),
            zone: if n % 2 == 0 { "east" } else { "west" },
            card: Some("big"),
            work_ms: (20, 60),
            events: EVENTS,
            deadly_part: Some(DEADLY),
            framing,
        })
        .collect();
    let start = |terms: &Terms| Worker::start(terms.clone(), &store, record, &arrivals);
    let mut workers: Vec<Arc<Worker>> = terms.iter().map(start).collect();
    let mut machines: Vec<Machine> = ["east", "west", "east"]
        .iter()
        .enumerate()
        .map(|(n, zone)| {
            machine(
                &format!("edge-{n}"),
                addresses.next(),
                zone,
                store_at,
                files,
            )
        })
        .collect();
    let root = std::env::current_dir().expect("there is a current folder");
    machines.iter_mut().for_each(|m| m.start(&root));
    if !await_ready(&machines) {
        record.line("the machines did not get ready");
        return Verdict::NotRun;
    }
    let fronts: Vec<SocketAddr> = machines.iter().map(Machine::front).collect();
    let until = Instant::now() + Duration::from_secs(15);
    let serves = || {
        let mut all = fronts.iter().enumerate();
        all.all(|(n, front)| {
            let id = format!("first-{n}");
            let asked = Ask {
                id: &id,
                key: "key-two",
                parts: &["cc01"],
            };
            is_whole(&ask(&mut Client::new(*front), &asked), EVENTS)
        })
    };
    while !serves() {
        if Instant::now() > until {
            record.line("no stream was served");
            return Verdict::NotRun;
        }
        workers.iter().for_each(|w| w.register(&store));
        std::thread::sleep(Duration::from_millis(300));
    }
    let began = Instant::now();
    let deadly_from = began + BEFORE;
    let ends_at = deadly_from + DURING;
    let stop = Arc::new(AtomicBool::new(false));
    let sound = Arc::new(Mutex::new(Vec::<Sound>::new()));
    let mut clients = Vec::new();
    for n in 0..SOUND_CLIENTS {
        let (fronts, stop) = (fronts.clone(), stop.clone());
        let (sound, record) = (sound.clone(), record.clone());
        clients.push(std::thread::spawn(move || {
            let mut count = n;
            while !stop.load(Ordering::SeqCst) {
                std::thread::sleep(SOUND_GAP);
                let now = Instant::now();
                count += 1;
                let id = format!("sound-{n}-{count}");
                let (parts, _) = kind.parts(count);
                let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
                let sent = Sound {
                    sent: now,
                    id: id.clone(),
                };
                sound.lock().unwrap().push(sent);
                let front = fronts[count % fronts.len()];
                let asked = Ask {
                    id: &id,
                    key: "key-one",
                    parts: &parts,
                };
                let came = ask(&mut Client::new(front), &asked);
                record.line(&format!("client: {id}, sound: {came}"));
            }
        }));
    }
    if has_trouble {
        let (fronts, stop, record) = (fronts.clone(), stop.clone(), record.clone());
        clients.push(std::thread::spawn(move || {
            let mut count = 0;
            while !stop.load(Ordering::SeqCst) {
                std::thread::sleep(DEADLY_GAP);
                if Instant::now() < deadly_from {
                    continue;
                }
                count += 1;
                let id = format!("deadly-{count}");
                let front = fronts[count % fronts.len()];
                let (_, parts) = kind.parts(count);
                let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
                let asked = Ask {
                    id: &id,
                    key: "key-one",
                    parts: &parts,
                };
                let came = ask(&mut Client::new(front), &asked);
                record.line(&format!("client: {id}, with {DEADLY}: {came}"));
            }
        }));
    }
    // Workers that have crashed are back after some seconds, empty.
    let mut down: Vec<(usize, Instant)> = Vec::new();
    let mut crashes = Vec::new();
    while Instant::now() < ends_at {
        std::thread::sleep(Duration::from_millis(20));
        for (n, worker) in workers.iter().enumerate() {
            if worker.has_exited() && !down.iter().any(|(other, _)| *other == n) {
                down.push((n, Instant::now()));
                crashes.push(Instant::now());
            }
        }
        let back: Vec<usize> = down
            .iter()
            .filter(|(_, at)| at.elapsed() >= DOWN)
            .map(|(n, _)| *n)
            .collect();
        down.retain(|(n, _)| !back.contains(n));
        for n in back {
            workers[n] = start(&terms[n]);
            record.line(&format!("w-{n} is back"));
        }
        // Entries change when layers do.
        workers
            .iter()
            .filter(|w| !w.has_exited())
            .for_each(|w| w.register(&store));
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let arrivals = arrivals.lock().unwrap();
    let begins = |id: &str| arrivals.iter().any(|a| a.id == id);
    let counted_from = crashes.get(4).or(crashes.last()).map(|at| *at + SETTLE * 2);
    let counted_from = counted_from.unwrap_or(deadly_from);
    let share = |from: Instant, to: Instant| {
        let sound = sound.lock().unwrap();
        let sent: Vec<&Sound> = sound
            .iter()
            .filter(|s| s.sent >= from && s.sent < to)
            .collect();
        let begun = sent.iter().filter(|s| begins(&s.id)).count();
        (sent.len(), begun)
    };
    let before = share(began, deadly_from);
    let during = share(counted_from, ends_at);
    let late_from = crashes.get(4).map(|at| *at + SETTLE);
    let late: Vec<&Arrival> = arrivals
        .iter()
        .filter(|a| a.id.starts_with("deadly") && late_from.is_some_and(|from| a.at > from))
        .collect();
    let running = machines
        .iter_mut()
        .filter_map(|m| m.is_running().then_some(()))
        .count();
    record.line(&format!(
        "{} crashes; sound requests of the key that began at the first attempt: {} of {} before, \
         {} of {} from 2 x settle_window_ms after the fifth crash; {} arrivals of requests with the \
         deadly part later than settle_window_ms after the fifth crash; {running} machines run",
        crashes.len(),
        before.1,
        before.0,
        during.1,
        during.0,
        late.len()
    ));
    println!(
        "crashes: {}, before: {before:?}, during: {during:?}, late: {}",
        crashes.len(),
        late.len()
    );
    if before.0 < 20 || during.0 < 20 || running < machines.len() {
        return Verdict::NotRun;
    }
    let of = |(sent, begun): (usize, usize)| begun as f64 / sent as f64;
    let is_broken = match kind {
        Kind::Unframed => of(during) < of(before) / 2.0,
        Kind::Many => late.len() > ALLOWED,
    };
    match is_broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
