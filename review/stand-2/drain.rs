//! Workers leave one after the other while watches of the store are cut off now and then.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Addresses, Machine, await_ready, machine};
use crate::http::Client;
use crate::record::Record;
use crate::rng::Rng;
use crate::store::Store;
use crate::worker::{Arrival, Framing, Terms, Worker};

/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How long a worker serves after its entry was removed: `drain_ms` and a little longer.
const SERVES: Duration = Duration::from_millis(2_400);
/// The time between two workers that leave.
const GAP: Duration = Duration::from_millis(2_700);
const LEAVING: usize = 24;
const CLIENTS_PER_MACHINE: usize = 6;
/// How long a watch waits until the store cuts it off, in ms.
const CUTS_MS: (u64, u64) = (150, 1_000);

pub fn run(has_trouble: bool, record: &Arc<Record>, files: &Path) -> Verdict {
    let mut addresses = Addresses::find();
    let store_at = (addresses.next(), 8223).into();
    let store = Store::start(store_at, record.clone());
    store.put("config", "main", config());
    let arrivals = Arc::new(Mutex::new(Vec::<Arrival>::new()));
    let mut count = 0;
    let mut add = |addresses: &mut Addresses| {
        count += 1;
        let terms = Terms {
            id: format!("w-{count}"),
            service: "registar",
            address: (addresses.next(), 8120).into(),
            zone: if count % 2 == 0 { "east" } else { "west" },
            card: None,
            work_ms: (30, 220),
            events: 0,
            deadly_part: None,
            framing: Framing::Chunks,
        };
        Worker::start(terms, &store, record, &arrivals)
    };
    let mut workers: Vec<Arc<Worker>> = (0..3).map(|_| add(&mut addresses)).collect();
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
    let stop = Arc::new(AtomicBool::new(false));
    let (served, lost) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = machines
        .iter()
        .flat_map(|m| (0..CLIENTS_PER_MACHINE).map(move |n| (m.front(), m.name.clone(), n)))
        .map(|(front, name, n)| {
            let (stop, record) = (stop.clone(), record.clone());
            let (served, lost) = (served.clone(), lost.clone());
            std::thread::spawn(move || client(front, &name, n, &stop, &record, &served, &lost))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(4));
    if has_trouble {
        store.cut_watches(Some(CUTS_MS));
    }
    std::thread::sleep(Duration::from_secs(4));
    let mut removed = Vec::new();
    for _ in 0..LEAVING {
        // The new one starts first, as in a release.
        workers.push(add(&mut addresses));
        std::thread::sleep(Duration::from_millis(1_000));
        let leaving = workers.remove(0);
        let at = store.remove("servers", &leaving.id);
        record.line(&format!("store: acknowledged that {} is gone", leaving.id));
        removed.push((leaving.id.clone(), at));
        std::thread::sleep(SERVES.saturating_sub(at.elapsed()));
        leaving.exit();
        record.line(&format!("{} exits", leaving.id));
        std::thread::sleep(GAP.saturating_sub(at.elapsed()));
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let mut late = 0;
    for arrival in arrivals.lock().unwrap().iter() {
        let gone = removed.iter().find(|(id, _)| *id == arrival.worker);
        let age = gone.map(|(_, at)| arrival.at.saturating_duration_since(*at));
        if let Some(age) = age.filter(|age| *age > DRAIN) {
            late += 1;
            record.line(&format!(
                "LATE: {} reached {} from {} {} ms after its removal was acknowledged",
                arrival.id,
                arrival.worker,
                arrival.from,
                age.as_millis()
            ));
        }
    }
    let running = machines
        .iter_mut()
        .filter_map(|m| m.is_running().then_some(()))
        .count();
    record.line(&format!(
        "{} requests answered with success, {} of the non-idempotent ones lost; {} watches cut off; \
         {late} requests reached workers that were gone for over {} ms; {running} machines run",
        served.load(Ordering::SeqCst),
        lost.load(Ordering::SeqCst),
        store.cut_count(),
        DRAIN.as_millis()
    ));
    println!(
        "late requests: {late}, lost: {}",
        lost.load(Ordering::SeqCst)
    );
    match late {
        0 if running == machines.len() => Verdict::Held,
        0 => Verdict::NotRun,
        _ => Verdict::Broken,
    }
}

fn client(
    front: std::net::SocketAddr,
    name: &str,
    n: usize,
    stop: &AtomicBool,
    record: &Record,
    served: &AtomicU64,
    lost: &AtomicU64,
) {
    let mut client = Client::new(front);
    let mut rng = Rng::new(n as u64 + 11);
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        count += 1;
        let id = format!("{name}-{n}-{count}");
        let is_safe = count % 3 == 0;
        let (line, body) = match is_safe {
            true => ("GET /status/1", String::new()),
            false => ("POST /predaja/1", format!("submission {id}")),
        };
        let text = format!(
            "{line} HTTP/1.1\r\nhost: desk.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: 2500\r\n\
             authorization: Bearer key-one\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let sent = Instant::now();
        let answer = client.send(&text, body.as_bytes(), Duration::from_secs(4));
        let took = sent.elapsed().as_millis();
        if answer.status == 200 && answer.broken.is_empty() {
            served.fetch_add(1, Ordering::SeqCst);
        } else {
            record.line(&format!(
                "client: {line} {id}: {} {} after {took} ms",
                answer.status, answer.broken
            ));
            if !is_safe && !matches!(answer.status, 408 | 421 | 429 | 503) {
                lost.fetch_add(1, Ordering::SeqCst);
            }
        }
        std::thread::sleep(Duration::from_millis(rng.between(5, 40)));
    }
}

fn config() -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"path_prefix\":\"{prefix}\",\
             \"kind\":\"{kind}\",\"timeout_ms\":2500,\"target_latency_ms\":150,\"priority\":2,\
             \"service\":\"registar\",\"max_attempts\":{attempts},\"anonymous\":false}}"
        )
    };
    let routes = [
        route("predaja", "/predaja/", "non_idempotent", 1),
        route("status", "/status/", "idempotent", 2),
    ];
    format!(
        "{{\"version\":3,\"routes\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":10000}},\
         \"tenants\":[{{\"name\":\"one\",\"api_keys\":[\"key-one\"],\"priority\":1}}],\
         \"services\":[{{\"name\":\"registar\",\"max_connections\":96}}]}}",
        routes.join(",")
    )
}
