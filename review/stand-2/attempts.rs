//! A machine is cut off from all workers, while some workers lose the answers of requests that they
//! have run.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Addresses, Machine, await_ready, machine};
use crate::http::Client;
use crate::record::Record;
use crate::store::Store;
use crate::streams::{Ask, MAX_ATTEMPTS, ask, config, is_whole};
use crate::worker::{Arrival, Framing, Terms, Worker};

/// The number of requests that may run on more workers than that; the rule allows three.
const ALLOWED: usize = 3;
const WORKERS: usize = 5;
/// The workers that lose answers, and how many of a thousand: `answer_lost` with a share of 0.6 and
/// x of 0.4.
const LOSING: usize = 3;
const LOST_PER_MILLE: u64 = 400;
/// How long they lose answers, and how long the machine is cut off.
const LOSS: Duration = Duration::from_secs(6);
const CUT: Duration = Duration::from_secs(12);
/// How often this is played, and the calm time between.
const ROUNDS: usize = 5;
const CALM: Duration = Duration::from_secs(5);
const CLIENTS: usize = 32;
/// The number of events in each answer.
const EVENTS: u64 = 12;
/// `settle_window_ms` of the settings.
const SETTLE: Duration = Duration::from_secs(3);

pub fn run(has_trouble: bool, record: &Arc<Record>, files: &Path) -> Verdict {
    let mut addresses = Addresses::find();
    let store_at = (addresses.next(), 8223).into();
    let store = Store::start(store_at, record.clone());
    store.put("config", "main", config());
    let arrivals = Arc::new(Mutex::new(Vec::<Arrival>::new()));
    let workers: Vec<Arc<Worker>> = (0..WORKERS)
        .map(|n| {
            let terms = Terms {
                id: format!("w-{n}"),
                service: "pisar",
                address: (addresses.next(), 8120).into(),
                zone: if n % 2 == 0 { "east" } else { "west" },
                card: Some("big"),
                work_ms: (5, 20),
                events: EVENTS,
                deadly_part: None,
                framing: Framing::Chunks,
            };
            Worker::start(terms, &store, record, &arrivals)
        })
        .collect();
    let mut machines: Vec<Machine> = ["east", "east", "west"]
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
    // The layers are ordered and loaded.
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until && !serves(&machines) {
        workers.iter().for_each(|w| w.register(&store));
        std::thread::sleep(Duration::from_millis(300));
    }
    if !serves(&machines) {
        record.line("no stream was served");
        return Verdict::NotRun;
    }
    let begun = arrivals.lock().unwrap().len();
    let served = Arc::new(AtomicU64::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let front = machines[0].front();
            let (record, served, stop) = (record.clone(), served.clone(), stop.clone());
            std::thread::spawn(move || {
                let mut client = Client::new(front);
                let mut count = 0;
                while !stop.load(Ordering::SeqCst) {
                    count += 1;
                    let id = format!("draft-{n}-{count}");
                    let came = request(&mut client, &id);
                    if is_whole(&came, EVENTS) {
                        served.fetch_add(1, Ordering::SeqCst);
                    }
                    record.line(&format!("client: {id}: {came}"));
                    std::thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    std::thread::sleep(CALM);
    for _ in 0..ROUNDS {
        // Entries change when layers do.
        workers.iter().for_each(|w| w.register(&store));
        let cut_at = Instant::now();
        if has_trouble {
            workers.iter().for_each(|w| w.cut_off(&[machines[0].ip]));
            record.line(&format!("{} is cut off from all workers", machines[0].ip));
        }
        std::thread::sleep(SETTLE);
        if has_trouble {
            let losing = workers.iter().take(LOSING);
            losing.for_each(|w| w.lose_answers(LOST_PER_MILLE));
            record.line(&format!("w-0 to w-{} lose answers", LOSING - 1));
        }
        std::thread::sleep(LOSS);
        workers.iter().for_each(|w| w.lose_answers(0));
        std::thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
        workers.iter().for_each(|w| w.cut_off(&[]));
        record.line("all machines reach all workers");
        std::thread::sleep(CALM);
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let mut by_request: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    let arrivals = arrivals.lock().unwrap();
    for arrival in &arrivals[begun..] {
        by_request
            .entry(arrival.id.clone())
            .or_default()
            .insert(arrival.worker.clone());
    }
    let over: Vec<_> = by_request
        .iter()
        .filter(|(_, at)| at.len() > MAX_ATTEMPTS)
        .collect();
    for (id, at) in &over {
        let at: Vec<&str> = at.iter().map(String::as_str).collect();
        record.line(&format!(
            "OVER: {id} ran on {}: {}",
            at.len(),
            at.join(", ")
        ));
    }
    let running = machines
        .iter_mut()
        .filter_map(|m| m.is_running().then_some(()))
        .count();
    record.line(&format!(
        "{} requests, {} served; {} ran on more than {MAX_ATTEMPTS} workers; {running} machines run",
        by_request.len(),
        served.load(Ordering::SeqCst),
        over.len()
    ));
    println!("requests: {}, over: {}", by_request.len(), over.len());
    match over.len() {
        over if over > ALLOWED => Verdict::Broken,
        _ if by_request.is_empty() || running < machines.len() => Verdict::NotRun,
        _ => Verdict::Held,
    }
}

fn serves(machines: &[Machine]) -> bool {
    let mut all = machines.iter().enumerate();
    all.all(|(n, m)| {
        let came = request(&mut Client::new(m.front()), &format!("first-{n}"));
        is_whole(&came, EVENTS)
    })
}

fn request(client: &mut Client, id: &str) -> String {
    let asked = Ask {
        id,
        key: "key-one",
        parts: &["a1"],
    };
    ask(client, &asked)
}
