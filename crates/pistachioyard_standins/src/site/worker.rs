//! A worker that registers in the store and runs requests.
//!
//! With a card it holds layers of a model and streams events, each after all stages of
//! the request's path have said that they hold their layers; a request of whose path a
//! stage does not answer stalls, until it is ordered along another one or for
//! [`STALL_LIMIT`]. Else it is a plain service. A request whose body is [`POISON`] ends
//! the process. `GET /control/runs` lists the ids of the
//! requests that it began to run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ::http::{HeaderMap, Method, Request, Response, StatusCode};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Bytes, Frame, Incoming};
use parking_lot::Mutex;
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

use super::http::{Body, empty, json, read_json, serve, whole};
use crate::http::{HttpClient, HttpClientConfig};

/// How often a worker renews its entry.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// The pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(15);
/// How long loading a layer takes.
const LOAD_A_LAYER: Duration = Duration::from_millis(5);
/// How long a plain request takes.
const PLAIN_WORK: Duration = Duration::from_millis(10);

/// Settings of a worker.
#[derive(Clone, Debug, clap::Args)]
pub struct SiteWorkerArgs {
    /// Its id.
    #[arg(long)]
    pub id: String,
    /// Where it listens.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Where others reach it, such as a route of the fault proxy; where it listens if
    /// not given.
    #[arg(long)]
    pub advertise: Option<SocketAddr>,
    /// The service that it belongs to.
    #[arg(long)]
    pub service: String,
    /// Its data centre.
    #[arg(long)]
    pub zone: String,
    /// The store.
    #[arg(long)]
    pub store: SocketAddr,
    /// The kind of its card; none for a plain service.
    #[arg(long)]
    pub card: Option<String>,
    /// The events of each stream.
    #[arg(long, default_value_t = 20)]
    pub events: u64,
}

/// How long a request stalls until it is cut off.
const STALL_LIMIT: Duration = Duration::from_millis(2_500);
/// How often a request that stalls looks at its path.
const STALL_LOOK: Duration = Duration::from_millis(20);

/// The body of a request that crashes each worker that begins to run it.
const POISON: &[u8] = b"poison";

/// The stages of a path: an address and the layers that run there.
type Stages = Vec<(SocketAddr, u64, u64)>;

struct Worker {
    args: SiteWorkerArgs,
    born: u64,
    client: HttpClient,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    layers: Option<(u64, u64)>,
    busy: bool,
    orders: u64,
    beats: u64,
    runs: Vec<String>,
    /// The paths of the requests that run, by id.
    paths: BTreeMap<String, Stages>,
    /// The requests that stall, and the stage that does not answer.
    stalled: BTreeMap<String, SocketAddr>,
}

/// Serves a worker until the process ends.
///
/// # Errors
///
/// Fails when the address cannot be listened on.
pub async fn run_site_worker(args: SiteWorkerArgs) -> std::io::Result<()> {
    let listen = args.listen;
    let born = SystemTime::now().duration_since(UNIX_EPOCH);
    let client = HttpClient::new(HttpClientConfig {
        request_timeout: Duration::from_millis(500),
        ..HttpClientConfig::default()
    });
    let worker = Arc::new(Worker {
        args,
        born: born.map_or(0, |since| since.as_millis() as u64),
        client,
        state: Mutex::default(),
    });
    tokio::spawn(register(worker.clone()));
    serve(listen, move |req| handle(worker.clone(), req)).await
}

impl Worker {
    fn is_engine(&self) -> bool {
        self.args.card.is_some()
    }

    fn address(&self) -> SocketAddr {
        self.args.advertise.unwrap_or(self.args.listen)
    }

    /// What it says of itself; `sequence` counts heartbeats in the store and orders here.
    fn says(&self, sequence: u64) -> Value {
        let state = self.state.lock();
        let layers = state
            .layers
            .map(|(from, to)| json!({ "from": from, "to": to, "version": 1 }));
        let stalled = state.stalled.iter();
        let stalled: Vec<Value> = stalled
            .map(|(id, at)| json!({ "id": id, "address": at }))
            .collect();
        json!({
            "service": self.args.service, "address": self.address(), "zone": self.args.zone,
            "version": "v1", "slots": 16, "state": "ready", "cold_remaining_ms": 0,
            "stage": "both", "models": [], "kind": self.args.card, "layers": layers,
            "busy": state.busy, "sequence": sequence, "born": self.born, "queued": 0,
            "active": 0, "kv_used": 0, "kv_total": 1_000_000, "pace": 1.0, "stalled": stalled,
        })
    }
}

async fn register(worker: Arc<Worker>) {
    loop {
        let beats = {
            let mut state = worker.state.lock();
            state.beats += 1;
            state.beats
        };
        let path = format!("/objects/servers/{}", worker.args.id);
        let body = json!({ "spec": worker.says(beats) }).to_string();
        // A store that is down is written to again at the next heartbeat.
        let _ = worker
            .client
            .send(Method::PUT, worker.args.store, &path, &[], body.into())
            .await;
        tokio::time::sleep(HEARTBEAT).await;
    }
}

async fn handle(worker: Arc<Worker>, req: Request<Incoming>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    match path.as_str() {
        "/report" => {
            let orders = worker.state.lock().orders;
            json(StatusCode::OK, &worker.says(orders))
        }
        "/order" => {
            let asked = read_json(req.into_body()).await;
            match asked["op"].as_str() {
                Some("repath") => repath(&worker, &asked).await,
                _ => order(&worker, &asked),
            }
        }
        "/control/runs" => json(StatusCode::OK, &json!(worker.state.lock().runs)),
        "/holds" => holds(&worker, req.uri().query().unwrap_or_default()),
        _ => run(worker, req).await,
    }
}

fn order(worker: &Arc<Worker>, order: &Value) -> Response<Body> {
    let (Some(from), Some(to)) = (order["from"].as_u64(), order["to"].as_u64()) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let mut state = worker.state.lock();
    if state.layers == Some((from, to)) {
        return empty(StatusCode::OK);
    }
    if state.busy
        || order["expect"]
            .as_u64()
            .is_some_and(|expected| expected != state.orders)
    {
        return empty(StatusCode::CONFLICT);
    }
    state.busy = true;
    state.orders += 1;
    state.layers = None;
    let worker = worker.clone();
    tokio::spawn(async move {
        tokio::time::sleep(LOAD_A_LAYER * (to - from) as u32).await;
        let mut state = worker.state.lock();
        state.layers = Some((from, to));
        state.busy = false;
    });
    empty(StatusCode::ACCEPTED)
}

/// Has a request that runs here go on along another path.
async fn repath(worker: &Worker, asked: &Value) -> Response<Body> {
    let (Some(id), Some(path)) = (asked["id"].as_str(), asked["path"].as_str()) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let path = parse_path(path);
    let first = worker.state.lock().paths.get(id).map(|old| old[0]);
    match first {
        None => return empty(StatusCode::NOT_FOUND),
        Some(first) if path.first() != Some(&first) => return empty(StatusCode::BAD_REQUEST),
        Some(_) => {}
    }
    if let Err(lacking) = check_path(worker, &path).await {
        let at = lacking.map(|(_, at)| at);
        return json(StatusCode::CONFLICT, &json!({ "address": at }));
    }
    worker.state.lock().paths.insert(id.to_owned(), path);
    empty(StatusCode::ACCEPTED)
}

/// Tells whether it holds a range given as `FROM-TO`.
fn holds(worker: &Worker, range: &str) -> Response<Body> {
    let held = worker.state.lock().layers;
    let asked = parse_range(range);
    let is_held = match (held, asked) {
        (Some((from, to)), Some((first, end))) => from <= first && end <= to,
        _ => false,
    };
    empty(if is_held {
        StatusCode::OK
    } else {
        StatusCode::MISDIRECTED_REQUEST
    })
}

fn parse_range(range: &str) -> Option<(u64, u64)> {
    let (from, to) = range.split_once('-')?;
    Some((from.parse().ok()?, to.parse().ok()?))
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn not_run(status: StatusCode, at: SocketAddr) -> Response<Body> {
    let mut answer = empty(status);
    let headers = answer.headers_mut();
    headers.insert("x-not-executed", ::http::HeaderValue::from_static("1"));
    if let Ok(at) = ::http::HeaderValue::from_str(&at.to_string()) {
        headers.insert("at-server", at);
    }
    answer
}

async fn run(worker: Arc<Worker>, req: Request<Incoming>) -> Response<Body> {
    let (parts, body) = req.into_parts();
    let id = header(&parts.headers, "x-attempt-id")
        .unwrap_or_default()
        .to_owned();
    let is_expected = header(&parts.headers, "x-expect-instance")
        .is_none_or(|expected| expected == worker.args.id);
    if !is_expected {
        return not_run(StatusCode::MISDIRECTED_REQUEST, worker.address());
    }
    if parts.headers.contains_key("authorization") || !parts.headers.contains_key("x-tenant") {
        return empty(StatusCode::IM_A_TEAPOT);
    }
    let Ok(body) = body.collect().await else {
        return not_run(StatusCode::SERVICE_UNAVAILABLE, worker.address());
    };
    if body.to_bytes() == POISON {
        // As a worker that crashes when it begins to run the request.
        std::process::exit(1);
    }
    if !worker.is_engine() {
        worker.state.lock().runs.push(id.clone());
        tokio::time::sleep(PLAIN_WORK).await;
        return signed(&id, whole(format!("{}\n\n", answer_line(&id, 0))));
    }
    let path = parse_path(header(&parts.headers, "x-hop-count").unwrap_or_default());
    if let Err(lacking) = check_path(&worker, &path).await {
        return match lacking {
            Some((status, at)) => not_run(status, at),
            None => empty(StatusCode::IM_A_TEAPOT),
        };
    }
    {
        let mut state = worker.state.lock();
        state.runs.push(id.clone());
        state.paths.insert(id.clone(), path);
    }
    let last = header(&parts.headers, "last-event-id").and_then(|id| id.parse().ok());
    let events = Events {
        next: last.map_or(0, |last: u64| last + 1),
        worker,
        id: id.clone(),
    };
    let body = StreamBody::new(stream::unfold(Some(events), |events| async {
        let mut events = events?;
        match events.next().await {
            Ok(Some(event)) => Some((Ok(Frame::data(event)), Some(events))),
            Ok(None) => None,
            Err(e) => Some((Err(e), None)),
        }
    }));
    signed(&id, body.boxed_unsync())
}

fn signed(id: &str, body: Body) -> Response<Body> {
    let mut answer = Response::new(body);
    let headers = answer.headers_mut();
    if let Ok(id) = ::http::HeaderValue::from_str(id) {
        headers.insert("x-attempt-id", id);
    }
    headers.insert(
        "x-response-signature",
        ::http::HeaderValue::from_static("stand-in"),
    );
    answer
}

/// Returns the line that stands for event `n` of a request, the same at every worker.
fn answer_line(id: &str, n: u64) -> String {
    format!("{:016x}", xxh3_64(format!("{id}/{n}").as_bytes()))
}

fn parse_path(path: &str) -> Stages {
    let stages = path.split(',').filter_map(|stage| {
        let (address, range) = stage.split_once('=')?;
        let (from, to) = parse_range(range)?;
        Some((address.parse().ok()?, from, to))
    });
    stages.collect()
}

/// Asks each stage whether it holds its layers; names the one that does not, and none
/// if the layers are not in order.
async fn check_path(
    worker: &Worker,
    path: &[(SocketAddr, u64, u64)],
) -> Result<(), Option<(StatusCode, SocketAddr)>> {
    let mut next = 0;
    for (at, from, to) in path {
        if *from != next {
            return Err(None);
        }
        next = *to;
        let asked = format!("/holds?{from}-{to}");
        let sent = worker
            .client
            .send(Method::GET, *at, &asked, &[], Bytes::new());
        match sent.await {
            Ok(answer) if answer.status == StatusCode::OK => {}
            Ok(answer) => return Err(Some((answer.status, *at))),
            Err(_) => return Err(Some((StatusCode::SERVICE_UNAVAILABLE, *at))),
        }
    }
    Ok(())
}

struct Events {
    worker: Arc<Worker>,
    id: String,
    next: u64,
}

impl Drop for Events {
    fn drop(&mut self) {
        let mut state = self.worker.state.lock();
        state.paths.remove(&self.id);
        state.stalled.remove(&self.id);
    }
}

impl Events {
    /// Makes the next event, once every stage of the path holds its layers.
    async fn next(&mut self) -> std::io::Result<Option<Bytes>> {
        if self.next >= self.worker.args.events {
            return Ok(None);
        }
        tokio::time::sleep(EVENT_PAUSE).await;
        self.await_path().await?;
        let n = self.next;
        self.next += 1;
        Ok(Some(
            format!("id: {n}\ndata: {}\n\n", answer_line(&self.id, n)).into(),
        ))
    }

    async fn await_path(&self) -> std::io::Result<()> {
        let since = Instant::now();
        while since.elapsed() < STALL_LIMIT {
            let path = self.worker.state.lock().paths.get(&self.id).cloned();
            let checked = check_path(&self.worker, &path.unwrap_or_default()).await;
            match checked {
                Ok(()) => {
                    self.worker.state.lock().stalled.remove(&self.id);
                    return Ok(());
                }
                Err(Some((_, at))) => {
                    let stalled = &mut self.worker.state.lock().stalled;
                    stalled.insert(self.id.clone(), at);
                }
                Err(None) => break,
            }
            tokio::time::sleep(STALL_LOOK).await;
        }
        Err(std::io::ErrorKind::ConnectionAborted.into())
    }
}
