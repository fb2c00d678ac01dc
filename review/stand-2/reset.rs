//! A machine loses its paths to all workers: its connections are reset.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Addresses, Machine, await_ready, machine};
use crate::http::Client;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Arrival, Framing, Terms, Worker};

const WORKERS: usize = 4;
/// `settle_window_ms` of the settings.
const SETTLE: Duration = Duration::from_secs(3);
/// How long the machine is cut off.
const CUT: Duration = Duration::from_secs(12);
/// How long requests are sent before and after that.
const CALM: Duration = Duration::from_secs(8);
const CLIENTS_PER_MACHINE: usize = 3;
/// The first tries that may fail whatever the share, and the share that may.
const FAILURES_ALLOWED: f64 = 10.0;
const SHARE_ALLOWED: f64 = 1.0 / 50.0;
/// The least share of first tries served at the machine that is cut off, against the others.
const LEAST_SHARE: f64 = 2.0 / 3.0;

/// One first try.
struct Try {
    machine: usize,
    sent: Instant,
    is_served: bool,
}

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
                service: "registar",
                address: (addresses.next(), 8120).into(),
                zone: if n % 2 == 0 { "east" } else { "west" },
                card: None,
                work_ms: (10, 40),
                events: 0,
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
            let name = format!("edge-{n}");
            machine(&name, addresses.next(), zone, store_at, files)
        })
        .collect();
    let root = std::env::current_dir().expect("there is a current folder");
    machines.iter_mut().for_each(|m| m.start(&root));
    if !await_ready(&machines) {
        record.line("the machines did not get ready");
        return Verdict::NotRun;
    }
    std::thread::sleep(SETTLE);
    let cut_at = Instant::now() + CALM;
    let heals_at = cut_at + CUT;
    let ends_at = heals_at + CALM;
    let clients: Vec<_> = machines
        .iter()
        .enumerate()
        .flat_map(|(n, m)| (0..CLIENTS_PER_MACHINE).map(move |client| (n, m.front(), client)))
        .map(|(n, front, number)| {
            let record = record.clone();
            std::thread::spawn(move || client(n, front, number, ends_at, &record))
        })
        .collect();
    std::thread::sleep(cut_at.saturating_duration_since(Instant::now()));
    if has_trouble {
        workers.iter().for_each(|w| w.reset(&[machines[0].ip]));
        record.line(&format!(
            "the connections of {} to all workers are reset",
            machines[0].ip
        ));
    }
    std::thread::sleep(heals_at.saturating_duration_since(Instant::now()));
    workers.iter().for_each(|w| w.reset(&[]));
    record.line("all machines reach all workers");
    let mut tries: Vec<Try> = Vec::new();
    for client in clients {
        tries.extend(client.join().unwrap_or_default());
    }
    let count = |from: Instant, to: Instant, is_cut: bool| {
        let counted = tries.iter().filter(|t| t.sent >= from && t.sent < to);
        let counted: Vec<&Try> = counted.filter(|t| (t.machine == 0) == is_cut).collect();
        (
            counted.len(),
            counted.iter().filter(|t| t.is_served).count(),
        )
    };
    let from = cut_at + SETTLE;
    let (cut, others) = (count(from, heals_at, true), count(from, heals_at, false));
    let before = count(cut_at - CALM, cut_at, true);
    let after = count(heals_at + SETTLE, ends_at, true);
    let running = machines
        .iter_mut()
        .filter_map(|m| m.is_running().then_some(()))
        .count();
    record.line(&format!(
        "first tries served from settle_window_ms after the cut began: {} of {} at the machine that \
         is cut off, {} of {} at the others; at that machine {} of {} before, {} of {} after; \
         {running} machines run",
        cut.1, cut.0, others.1, others.0, before.1, before.0, after.1, after.0
    ));
    println!("cut: {cut:?}, others: {others:?}, before: {before:?}, after: {after:?}");
    if cut.0 < 20 || others.0 < 20 || running < machines.len() {
        return Verdict::NotRun;
    }
    let sent = (cut.0 + others.0) as f64;
    let failed = (cut.0 + others.0 - cut.1 - others.1) as f64;
    let share = |(sent, served): (usize, usize)| served as f64 / sent as f64;
    let is_broken = share(cut) < share(others) * LEAST_SHARE
        && failed > FAILURES_ALLOWED + sent * SHARE_ALLOWED;
    match is_broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Sends requests, each once, and returns how they ended.
fn client(
    machine: usize,
    front: SocketAddr,
    number: usize,
    ends_at: Instant,
    record: &Record,
) -> Vec<Try> {
    let mut client = Client::new(front);
    let mut tries = Vec::new();
    while Instant::now() < ends_at {
        let id = format!("m{machine}-{number}-{}", tries.len());
        let (line, body) = match tries.len() % 3 {
            0 => ("GET /status/1", String::new()),
            _ => ("POST /predaja/1", format!("submission {id}")),
        };
        let text = format!(
            "{line} HTTP/1.1\r\nhost: desk.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: 2500\r\n\
             authorization: Bearer key-one\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let sent = Instant::now();
        let answer = client.send(&text, body.as_bytes(), Duration::from_secs(4));
        let is_served = answer.status == 200 && answer.broken.is_empty();
        record.line(&format!(
            "client: {line} {id}: {} {}",
            answer.status, answer.broken
        ));
        tries.push(Try {
            machine,
            sent,
            is_served,
        });
        std::thread::sleep(Duration::from_millis(100));
    }
    tries
}

fn config() -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":2500,\"target_latency_ms\":150,\"priority\":2,\
             \"service\":\"registar\",\"max_attempts\":{attempts},\"anonymous\":false}}"
        )
    };
    let routes = [
        route("predaja", "non_idempotent", 1),
        route("status", "idempotent", 2),
    ];
    format!(
        "{{\"version\":3,\"routes\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":10000}},\
         \"tenants\":[{{\"name\":\"one\",\"api_keys\":[\"key-one\"],\"priority\":1}}],\
         \"services\":[{{\"name\":\"registar\",\"max_connections\":96}}]}}",
        routes.join(",")
    )
}
