//! A worker that registers in the store and runs requests.
//!
//! With `--card` it is an engine: it holds layers of a model and streams events. Before each
//! event, all stages of the request's path must confirm that they hold their layers.
//! Otherwise the request stalls until an order moves it to another path, or fails after
//! [`STALL_LIMIT`]. Without `--card` it is a plain service. A request whose body is
//! [`POISON`] ends the process. `GET /control/runs` lists the ids of the requests started;
//! `PUT /control/leaving` makes all later answers say that the worker leaves, while its object
//! in the store stays `ready`; `PUT /control/pause` with a number of seconds makes it turn all
//! requests away with that `Retry-After`, until it gets 0; `GET /control/turned_away` lists the
//! ids of these requests.

mod control;
mod path;

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

use self::path::{Stages, check_path, holds, parse_path};
use super::http::{Body, full_body, json_response, read_json, serve, status_only};
use crate::http::{HttpClient, HttpClientConfig};

/// The interval at which a worker renews its object in the store.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// The interval between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);
/// The time to load one layer.
const LAYER_LOAD_TIME: Duration = Duration::from_millis(5);
/// The run time of a request to a plain service.
const PLAIN_REQUEST_TIME: Duration = Duration::from_millis(10);

/// Holds the arguments of a worker.
#[derive(Clone, Debug, clap::Args)]
pub struct SiteWorkerArgs {
    /// The id of the worker.
    #[arg(long)]
    pub id: String,
    /// The address to listen on.
    #[arg(long)]
    pub listen: SocketAddr,
    /// The address under which others reach it, such as a route of the fault proxy;
    /// defaults to the listen address.
    #[arg(long)]
    pub advertise: Option<SocketAddr>,
    /// The service that the worker belongs to.
    #[arg(long)]
    pub service: String,
    /// The data centre of the worker.
    #[arg(long)]
    pub zone: String,
    /// The address of the store.
    #[arg(long)]
    pub store: SocketAddr,
    /// The type of its accelerator card; omitted for a plain service.
    #[arg(long)]
    pub card: Option<String>,
    /// The number of events in each stream.
    #[arg(long, default_value_t = 20)]
    pub events: u64,
    /// Whether all answers say from the start that the worker leaves.
    #[arg(long)]
    pub leaving: bool,
}

/// The maximum time that a request stalls before it fails.
const STALL_LIMIT: Duration = Duration::from_millis(2_500);
/// The interval at which a stalled request checks its path again.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The body of a poison request, which crashes every worker that starts to run it.
const POISON: &[u8] = b"poison";

struct Worker {
    args: SiteWorkerArgs,
    started_at_ms: u64,
    client: HttpClient,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    layers: Option<(u64, u64)>,
    busy: bool,
    orders: u64,
    heartbeats: u64,
    runs: Vec<String>,
    /// The paths of the running requests, by request id.
    paths: BTreeMap<String, Stages>,
    /// The stalled requests by id, with the address of the stage that blocks each.
    stalled: BTreeMap<String, SocketAddr>,
    /// Whether all answers say that the worker leaves.
    is_leaving: bool,
    /// The `Retry-After` with which requests are turned away, in seconds; 0 if they are not.
    pause_s: f64,
    /// The ids of the requests that were turned away.
    turned_away: Vec<String>,
}

/// Serves a worker until the process ends.
///
/// # Errors
///
/// Fails when the address cannot be bound or a connection cannot be accepted.
pub async fn run_site_worker(args: SiteWorkerArgs) -> std::io::Result<()> {
    let listen = args.listen;
    let started_at = SystemTime::now().duration_since(UNIX_EPOCH);
    let client = HttpClient::new(HttpClientConfig {
        request_timeout: Duration::from_millis(500),
        ..HttpClientConfig::default()
    });
    let state = State {
        is_leaving: args.leaving,
        ..State::default()
    };
    let worker = Arc::new(Worker {
        args,
        started_at_ms: started_at.map_or(0, |since| since.as_millis() as u64),
        client,
        state: Mutex::new(state),
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

    /// Returns the worker's status; `sequence` counts heartbeats in the store, orders in reports.
    fn status_report(&self, sequence: u64) -> Value {
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
            "busy": state.busy, "sequence": sequence, "born": self.started_at_ms, "queued": 0,
            "active": 0, "kv_used": 0, "kv_total": 1_000_000, "pace": 1.0, "stalled": stalled,
        })
    }
}

async fn register(worker: Arc<Worker>) {
    loop {
        let heartbeats = {
            let mut state = worker.state.lock();
            state.heartbeats += 1;
            state.heartbeats
        };
        let path = format!("/objects/servers/{}", worker.args.id);
        let body = json!({ "spec": worker.status_report(heartbeats) }).to_string();
        // If the store is down, the next heartbeat writes to it again.
        let _ = worker
            .client
            .send(Method::PUT, worker.args.store, &path, &[], body.into())
            .await;
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn handle(worker: Arc<Worker>, req: Request<Incoming>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    if let Some(command) = path.strip_prefix("/control/") {
        let command = command.to_owned();
        let body = read_json(req.into_body()).await;
        return control::handle(&worker, &command, &body);
    }
    let mut answer = answer(&worker, &path, req).await;
    control::mark_leaving(&worker, answer.headers_mut());
    answer
}

async fn answer(worker: &Arc<Worker>, path: &str, req: Request<Incoming>) -> Response<Body> {
    match path {
        "/report" => {
            let orders = worker.state.lock().orders;
            json_response(StatusCode::OK, &worker.status_report(orders))
        }
        "/order" => {
            let body = read_json(req.into_body()).await;
            match body["op"].as_str() {
                Some("repath") => repath(worker, &body).await,
                _ => order(worker, &body),
            }
        }
        "/holds" => holds(worker, req.uri().query().unwrap_or_default()),
        _ => run(worker.clone(), req).await,
    }
}

fn order(worker: &Arc<Worker>, order: &Value) -> Response<Body> {
    let (Some(from), Some(to)) = (order["from"].as_u64(), order["to"].as_u64()) else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    let mut state = worker.state.lock();
    if state.layers == Some((from, to)) {
        return status_only(StatusCode::OK);
    }
    if state.busy
        || order["expect"]
            .as_u64()
            .is_some_and(|expected| expected != state.orders)
    {
        return status_only(StatusCode::CONFLICT);
    }
    state.busy = true;
    state.orders += 1;
    state.layers = None;
    let worker = worker.clone();
    tokio::spawn(async move {
        tokio::time::sleep(LAYER_LOAD_TIME * (to - from) as u32).await;
        let mut state = worker.state.lock();
        state.layers = Some((from, to));
        state.busy = false;
    });
    status_only(StatusCode::ACCEPTED)
}

/// Moves a running request to another path.
async fn repath(worker: &Worker, body: &Value) -> Response<Body> {
    let (Some(id), Some(path)) = (body["id"].as_str(), body["path"].as_str()) else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    let path = parse_path(path);
    let first = worker.state.lock().paths.get(id).map(|old| old[0]);
    match first {
        None => return status_only(StatusCode::NOT_FOUND),
        Some(first) if path.first() != Some(&first) => return status_only(StatusCode::BAD_REQUEST),
        Some(_) => {}
    }
    if let Err(missing) = check_path(worker, &path).await {
        let at = missing.map(|(_, at)| at);
        return json_response(StatusCode::CONFLICT, &json!({ "address": at }));
    }
    worker.state.lock().paths.insert(id.to_owned(), path);
    status_only(StatusCode::ACCEPTED)
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn not_run(status: StatusCode, at: SocketAddr) -> Response<Body> {
    let mut answer = status_only(status);
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
    if let Some(refusal) = control::turn_away(&worker, &id) {
        return refusal;
    }
    if parts.headers.contains_key("authorization") || !parts.headers.contains_key("x-tenant") {
        return status_only(StatusCode::IM_A_TEAPOT); // the router drops API keys, sets x-tenant
    }
    let Ok(body) = body.collect().await else {
        return not_run(StatusCode::SERVICE_UNAVAILABLE, worker.address());
    };
    if body.to_bytes() == POISON {
        // Simulates a worker that crashes when it starts to run the request.
        std::process::exit(1);
    }
    if !worker.is_engine() {
        worker.state.lock().runs.push(id.clone());
        tokio::time::sleep(PLAIN_REQUEST_TIME).await;
        return with_signature(&id, full_body(format!("{}\n\n", answer_line(&id, 0))));
    }
    let path = parse_path(header(&parts.headers, "x-hop-count").unwrap_or_default());
    if let Err(missing) = check_path(&worker, &path).await {
        return match missing {
            Some((status, at)) => not_run(status, at),
            None => status_only(StatusCode::IM_A_TEAPOT),
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
    with_signature(&id, body.boxed_unsync())
}

fn with_signature(id: &str, body: Body) -> Response<Body> {
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

/// Returns the data of event `n` of a request, which is the same on every worker.
fn answer_line(id: &str, n: u64) -> String {
    format!("{:016x}", xxh3_64(format!("{id}/{n}").as_bytes()))
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
    /// Returns the next event once every stage of the path holds its layers.
    async fn next(&mut self) -> std::io::Result<Option<Bytes>> {
        if self.next >= self.worker.args.events {
            return Ok(None);
        }
        tokio::time::sleep(EVENT_INTERVAL).await;
        self.wait_for_path().await?;
        let n = self.next;
        self.next += 1;
        Ok(Some(
            format!("id: {n}\ndata: {}\n\n", answer_line(&self.id, n)).into(),
        ))
    }

    async fn wait_for_path(&self) -> std::io::Result<()> {
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
            tokio::time::sleep(STALL_POLL_INTERVAL).await;
        }
        Err(std::io::ErrorKind::ConnectionAborted.into())
    }
}
