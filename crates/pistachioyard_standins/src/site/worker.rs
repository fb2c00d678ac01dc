//! A worker that registers in the store and runs requests.
//!
//! With `--card` it is an engine: it holds layers of a model and streams events. Before each
//! event, all stages of the request's path must confirm that they hold their layers.
//! Otherwise the request stalls until an order moves it to another path, or fails after
//! some seconds. Without `--card` it is a plain service. A request whose body is [`POISON`]
//! ends the process, one with [`DARK_POISON`] after some seconds of silence; so does one with
//! [`LATE_POISON`], or whose prompt has the part
//! [`crash::CRASHING_PART`], once its answer has begun.
//! A request with `X-Answer-Bytes` has that many bytes in its answer, or in each event of it;
//! one with `X-Run-Ms` runs for that time on a plain service; `X-Answer-Status` selects the status
//! of an answer without events, `X-Resume-Status` that of one to a stream that goes on, and `X-Answer-End` how an answer ends. Tests observe and change a worker
//! under `/control/`, see [`control`].

mod answer;
mod control;
mod crash;
mod events;
mod silence;
mod stages;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ::http::{HeaderMap, Method, Request, Response, StatusCode};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use parking_lot::Mutex;
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

use self::answer::{Ending, padded, padded_len, set_status, signed};
use self::events::Events;
use self::stages::{HOLDS_PATH, PASS_PATH, Stages, check_path, holds, parse_path};
use super::http::{Body, full_body, json_response, read_json, serve, status_only};
use crate::http::{HttpClient, HttpClientConfig};

/// The interval at which a worker renews its object in the store.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
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
    /// The interval between two events of a stream, in milliseconds.
    #[arg(long, default_value_t = 15)]
    pub event_interval_ms: u64,
}

/// The body of a poison request, which crashes every worker that starts to run it.
const POISON: &[u8] = b"poison";
/// The body of a request that crashes every worker once its answer has begun.
const LATE_POISON: &[u8] = b"late poison";
/// The body of a request that crashes every worker so that its connections stay open for a while.
const DARK_POISON: &[u8] = b"dark poison";

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
    /// The highest fencing token of an order; orders with a lower one are refused.
    fence: u64,
    heartbeats: u64,
    runs: Vec<String>,
    /// The paths of the running requests, by request id.
    paths: BTreeMap<String, Stages>,
    /// The stalled requests by id, with the address of the stage that blocks each.
    stalled: BTreeMap<String, SocketAddr>,
    /// Whether the process ends when the next running stream passes through it.
    crashes_in_stream: bool,
    /// Whether all answers say that the worker leaves.
    is_leaving: bool,
    /// Whether the object in the store says that the worker leaves.
    is_draining: bool,
    /// Whether the object in the store is left to expire or to be deleted.
    is_unlisted: bool,
    /// The `Retry-After` with which requests are turned away, in seconds; 0 if they are not.
    pause_s: f64,
    /// The address that is named as at fault when requests are turned away, if not its own.
    blamed: Option<SocketAddr>,
    /// The ids of the requests that were turned away.
    turned_away: Vec<String>,
    /// The limits of requests that all answers name, a header for each.
    limits: Vec<String>,
    /// The Unix times at which requests arrived, in ms, and the hosts that they name.
    arrivals: Vec<(u64, String)>,
}

/// Serves a worker until the process ends.
///
/// # Errors
///
/// Fails when the address cannot be bound or a connection cannot be accepted.
pub async fn run_site_worker(args: SiteWorkerArgs) -> std::io::Result<()> {
    let listen = args.listen;
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
        started_at_ms: unix_ms(),
        client,
        state: Mutex::new(state),
    });
    tokio::spawn(register(worker.clone()));
    serve(listen, move |req| handle(worker.clone(), req)).await
}

/// Returns the time of day, in ms since the Unix epoch.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Worker {
    fn is_engine(&self) -> bool {
        self.args.card.is_some()
    }

    fn address(&self) -> SocketAddr {
        self.args.advertise.unwrap_or(self.args.listen)
    }

    fn holds(&self, (first, end): (u64, u64)) -> bool {
        let held = self.state.lock().layers;
        held.is_some_and(|(from, to)| from <= first && end <= to)
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
        let status = if state.is_draining {
            "draining"
        } else {
            "ready"
        };
        json!({
            "service": self.args.service, "address": self.address(), "zone": self.args.zone,
            "version": "v1", "slots": 16, "state": status, "cold_remaining_ms": 0,
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
            if state.is_unlisted {
                return;
            }
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
    control::name_limits(&worker, answer.headers_mut());
    answer
}

async fn answer(worker: &Arc<Worker>, path: &str, req: Request<Incoming>) -> Response<Body> {
    match path {
        // Endpoints of plain services hold no model to report on.
        "/report" if !worker.is_engine() => status_only(StatusCode::NOT_FOUND),
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
        HOLDS_PATH => holds(worker, req.uri().query().unwrap_or_default()),
        PASS_PATH => {
            if worker.state.lock().crashes_in_stream {
                std::process::exit(1);
            }
            holds(worker, req.uri().query().unwrap_or_default())
        }
        _ => run(worker.clone(), req).await,
    }
}

fn order(worker: &Arc<Worker>, order: &Value) -> Response<Body> {
    let (Some(from), Some(to)) = (order["from"].as_u64(), order["to"].as_u64()) else {
        return status_only(StatusCode::BAD_REQUEST);
    };
    let fence = order["fence"].as_u64().unwrap_or_default();
    let mut state = worker.state.lock();
    if fence < state.fence {
        return status_only(StatusCode::PRECONDITION_FAILED);
    }
    state.fence = fence;
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
    if let Err(missing) = check_path(worker, &path, HOLDS_PATH).await {
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
    let host = header(&parts.headers, "host")
        .unwrap_or_default()
        .to_owned();
    worker.state.lock().arrivals.push((unix_ms(), host));
    if let Some(refusal) = control::turn_away(&worker, &id) {
        return refusal;
    }
    if parts.headers.contains_key("authorization") || !parts.headers.contains_key("x-tenant") {
        return status_only(StatusCode::IM_A_TEAPOT); // the router drops API keys, sets x-tenant
    }
    let Ok(body) = body.collect().await else {
        return not_run(StatusCode::SERVICE_UNAVAILABLE, worker.address());
    };
    let body = body.to_bytes();
    if body == POISON && !parts.headers.contains_key("x-answer-status") {
        // Simulates a worker that crashes when it starts to run the request.
        std::process::exit(1);
    }
    if body == DARK_POISON {
        tokio::spawn(crash::crash_in_the_dark(worker.args.listen));
    }
    let ending = Ending::of(&parts.headers);
    let crashes = body == LATE_POISON || crash::has_crashing_part(&parts.headers);
    if !worker.is_engine() {
        worker.state.lock().runs.push(id.clone());
        if crashes {
            tokio::spawn(crash::crash_soon());
        }
        if body == DARK_POISON {
            std::future::pending::<()>().await;
        }
        let asked = header(&parts.headers, "x-run-ms").and_then(|ms| ms.parse().ok());
        tokio::time::sleep(asked.map_or(PLAIN_REQUEST_TIME, Duration::from_millis)).await;
        let line = padded(answer_line(&id, 0), padded_len(&parts.headers));
        let body = full_body(format!("{line}\n\n"));
        let mut answer = signed(&id, body, ending);
        set_status(&parts.headers, "x-answer-status", &mut answer);
        return answer;
    }
    let path = parse_path(header(&parts.headers, "x-hop-count").unwrap_or_default());
    if let Err(missing) = check_path(&worker, &path, HOLDS_PATH).await {
        return match missing {
            Some((status, at)) => not_run(status, at),
            None => status_only(StatusCode::IM_A_TEAPOT),
        };
    }
    worker.state.lock().runs.push(id.clone());
    if let Some(name) = answer::status_header(&parts.headers) {
        let mut answer = signed(&id, full_body(answer_line(&id, 0)), Ending::Framed);
        set_status(&parts.headers, name, &mut answer);
        return answer;
    }
    worker.state.lock().paths.insert(id.clone(), path);
    if crashes {
        tokio::spawn(crash::crash_soon());
    }
    let last = header(&parts.headers, "last-event-id").and_then(|id| id.parse().ok());
    let padded_len = padded_len(&parts.headers);
    let events = Events::new(worker, &id, last, padded_len, ending);
    let body = StreamBody::new(stream::unfold(Some(events), |events| async {
        let mut events = events?;
        match events.next().await {
            Ok(Some(event)) => Some((Ok(Frame::data(event)), Some(events))),
            Ok(None) => None,
            Err(e) => Some((Err(e), None)),
        }
    }));
    signed(&id, body.boxed_unsync(), ending)
}

/// Returns the data of event `n` of a request, which is the same on every worker.
fn answer_line(id: &str, n: u64) -> String {
    format!("{:016x}", xxh3_64(format!("{id}/{n}").as_bytes()))
}
