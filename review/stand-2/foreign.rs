//! Another writer has an entry for each worker of a service, under a service that the configuration
//! does not name.

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

/// `settle_window_ms` of the settings.
const SETTLE: Duration = Duration::from_secs(3);
/// How long requests are sent.
const TRAFFIC: Duration = Duration::from_secs(30);
/// The workers of the service of the first routes, and those of the routes that are added later.
const FIRST: usize = 3;
const LATER: usize = 3;

pub fn run(has_trouble: bool, record: &Arc<Record>, files: &Path) -> Verdict {
    let mut addresses = Addresses::find();
    let store_at = (addresses.next(), 8223).into();
    let store = Store::start(store_at, record.clone());
    store.put("config", "main", config(3, false));
    let arrivals = Arc::new(Mutex::new(Vec::<Arrival>::new()));
    let mut add = |n: usize, service: &'static str| {
        let terms = Terms {
            id: format!("w-{n}"),
            service,
            address: (addresses.next(), 8120).into(),
            zone: if n % 2 == 0 { "east" } else { "west" },
            card: None,
            work_ms: (10, 40),
            events: 0,
            deadly_part: None,
            framing: Framing::Chunks,
        };
        Worker::start(terms, &store, record, &arrivals)
    };
    let _first: Vec<Arc<Worker>> = (0..FIRST).map(|n| add(n, "registar")).collect();
    let later: Vec<Arc<Worker>> = (FIRST..FIRST + LATER).map(|n| add(n, "archiv")).collect();
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
    std::thread::sleep(SETTLE);
    store.put("config", "main", config(6, true));
    record.line("store: acknowledged version 6, which adds the route /archiv/");
    std::thread::sleep(SETTLE);
    if has_trouble {
        for worker in &later {
            let name = format!("{}-sidecar", worker.id);
            store.put("servers", &name, worker.entry_under("archiv-probe"));
            record.line(&format!(
                "store: another writer's entry {name}: service archiv-probe, {}",
                worker.address
            ));
        }
    }
    std::thread::sleep(SETTLE);
    let fronts: Vec<SocketAddr> = machines.iter().map(Machine::front).collect();
    let ends_at = Instant::now() + TRAFFIC;
    let clients: Vec<_> = ["/status/", "/archiv/"]
        .into_iter()
        .flat_map(|path| fronts.clone().into_iter().map(move |front| (path, front)))
        .map(|(path, front)| {
            let record = record.clone();
            std::thread::spawn(move || client(path, front, ends_at, &record))
        })
        .collect();
    let (mut first, mut added) = ((0, 0), (0, 0));
    for (n, client) in clients.into_iter().enumerate() {
        let (sent, served) = client.join().unwrap_or_default();
        let sum = if n < fronts.len() {
            &mut first
        } else {
            &mut added
        };
        *sum = (sum.0 + sent, sum.1 + served);
    }
    let running = machines
        .iter_mut()
        .filter_map(|m| m.is_running().then_some(()))
        .count();
    record.line(&format!(
        "the first route: {} of {} requests served; the route that was added later: {} of {}; \
         {running} machines run",
        first.1, first.0, added.1, added.0
    ));
    println!("first: {first:?}, added: {added:?}");
    if first.0 < 20 || added.0 < 20 || running < machines.len() {
        return Verdict::NotRun;
    }
    let of = |(sent, served): (u32, u32)| f64::from(served) / f64::from(sent);
    match of(added) < of(first) / 4.0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Sends requests and returns how many were sent and how many were served.
fn client(path: &str, front: SocketAddr, ends_at: Instant, record: &Record) -> (u32, u32) {
    let mut client = Client::new(front);
    let (mut sent, mut served) = (0, 0);
    while Instant::now() < ends_at {
        sent += 1;
        let id = format!("{}-{front}-{sent}", path.trim_matches('/'));
        let text = format!(
            "GET {path}1 HTTP/1.1\r\nhost: desk.example\r\nx-attempt-id: {id}\r\n\
             x-deadline-ms: 2500\r\nauthorization: Bearer key-one\r\ncontent-length: 0\r\n\r\n"
        );
        let answer = client.send(&text, b"", Duration::from_secs(4));
        served += u32::from(answer.status == 200 && answer.broken.is_empty());
        record.line(&format!(
            "client: {id}: {} {}",
            answer.status, answer.broken
        ));
        std::thread::sleep(Duration::from_millis(150));
    }
    (sent, served)
}

fn config(version: u32, has_added: bool) -> String {
    let route = |name: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"idempotent\",\"timeout_ms\":2500,\"target_latency_ms\":150,\"priority\":2,\
             \"service\":\"{service}\",\"max_attempts\":2,\"anonymous\":false}}"
        )
    };
    let mut routes = vec![route("status", "registar")];
    if has_added {
        routes.push(route("archiv", "archiv"));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":10000}},\
         \"tenants\":[{{\"name\":\"one\",\"api_keys\":[\"key-one\"],\"priority\":1}}],\
         \"services\":[{{\"name\":\"registar\",\"max_connections\":96}},\
         {{\"name\":\"archiv\",\"max_connections\":96}}]}}",
        routes.join(",")
    )
}
