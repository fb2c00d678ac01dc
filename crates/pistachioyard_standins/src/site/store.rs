//! The object store of the operators' platform.
//!
//! `PUT /control/fault` with a status code makes it answer every call with that status;
//! 0 removes the fault. `PUT /control/copy` takes a copy of the objects, and
//! `PUT /control/restore` makes the store come back from it in a new era, which every answer
//! names. `PUT /control/odd` with a list of texts puts each, as it is, in front of the entries of
//! workers in all lists, and in front of their changes. `PUT /control/hang` makes watches hang, and the next
//! lists of a kind; `PUT /control/cut_watches` with a number of milliseconds closes their connections
//! after that time. `PUT /control/strangers` with an address puts it into the registrations of
//! entries in place of their own, so that they never hear each other. `PUT /control/haste` makes it answer without letting watches wait.
//! `GET /control/lists` returns the number of lists of each kind, `GET /control/reads` that of all
//! reads and watches.

mod haste;
mod orders;
mod state;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};
use std::time::Duration;

use ::http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::Instant;

use self::haste::Haste;
use self::orders::{CopyOrder, HangOrder, RestoreOrder};
use self::state::{Objects, State};
use super::http::{Body, broken_body, json_response, read_json, serve, status_only};

/// Holds the arguments of the store.
#[derive(Clone, Debug, clap::Args)]
pub struct SiteStoreArgs {
    /// The address to listen on.
    #[arg(long)]
    pub listen: SocketAddr,
}

#[derive(Default)]
struct Store {
    state: Mutex<State>,
    copy: Mutex<Objects>,
    changed: Notify,
    fault: AtomicU16,
    haste: Mutex<Haste>,
    /// The number of reads and watches.
    reads: AtomicU64,
    /// The number of lists of each kind.
    lists: Mutex<BTreeMap<String, u64>>,
    /// Whether calls get no answer.
    is_silent: AtomicBool,
    /// The time before which no watch is answered.
    watches_wait_until: Mutex<Option<Instant>>,
    /// How long a watch waits before its connection is closed, in ms; 0 if it is not.
    watches_cut_ms: AtomicU64,
    /// The number of lists of each kind that are still to hang.
    hanging_lists: Mutex<BTreeMap<String, u64>>,
}

/// Serves the store until the process ends.
///
/// # Errors
///
/// Fails when the address cannot be bound or a connection cannot be accepted.
pub async fn run_site_store(args: SiteStoreArgs) -> std::io::Result<()> {
    let store = Arc::new(Store::default());
    serve(args.listen, move |req| handle(store.clone(), req)).await
}

async fn handle(store: Arc<Store>, req: Request<Incoming>) -> Response<Body> {
    let (parts, body) = req.into_parts();
    let path = parts.uri.path().to_owned();
    let query = parts.uri.query().unwrap_or_default().to_owned();
    let body = read_json(body).await;
    if let Some(action) = path.strip_prefix("/control/") {
        return store.control(action, body).await;
    }
    if parts.method == Method::GET {
        store.reads.fetch_add(1, Ordering::SeqCst);
    }
    if let Some(answer) = store.fault_answer().await {
        return answer;
    }
    let haste = *store.haste.lock();
    if haste == Haste::RisingEra {
        store.state.lock().era += 1;
    }
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (&parts.method, segments.as_slice()) {
        (&Method::GET, ["objects", kind]) => match query_u64(&query, "watch") {
            Some(after) => store.watch(kind, after, query_u64(&query, "wait_ms")).await,
            None => {
                let page = haste.list(&store.state.lock(), query_text(&query, "after"));
                match page {
                    Some(page) => page,
                    None => store.list(kind).await,
                }
            }
        },
        (&Method::GET, ["objects", kind, name]) => store.state.lock().read(kind, name),
        (&Method::POST, ["objects", kind]) => {
            let name = body["metadata"]["name"].as_str().unwrap_or_default();
            store.write(kind, name, &body, true)
        }
        (&Method::PUT, ["objects", kind, name]) => store.write(kind, name, &body, false),
        (&Method::DELETE, ["objects", kind, name]) => store.delete(kind, name),
        _ => store.state.lock().refuse(StatusCode::BAD_REQUEST),
    }
}

fn query_text<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut parts = query.split('&');
    parts.find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}

fn query_u64(query: &str, name: &str) -> Option<u64> {
    query_text(query, name)?.parse().ok()
}

impl Store {
    async fn control(&self, action: &str, body: Value) -> Response<Body> {
        match action {
            "fault" => {
                let status = body.as_u64().unwrap_or_default() as u16;
                self.set_fault(status);
            }
            "copy" => match serde_json::from_value(body) {
                Ok(order) => self.take_copy(&order),
                Err(e) => return json_response(StatusCode::BAD_REQUEST, &json!(e.to_string())),
            },
            "restore" => match serde_json::from_value(body) {
                Ok(order) => self.restore(order).await,
                Err(e) => return json_response(StatusCode::BAD_REQUEST, &json!(e.to_string())),
            },
            "hang" => match serde_json::from_value(body) {
                Ok(order) => self.hang(order),
                Err(e) => return json_response(StatusCode::BAD_REQUEST, &json!(e.to_string())),
            },
            "haste" => match serde_json::from_value(body) {
                Ok(haste) => {
                    *self.haste.lock() = haste;
                    self.changed.notify_waiters();
                }
                Err(e) => return json_response(StatusCode::BAD_REQUEST, &json!(e.to_string())),
            },
            "odd" => {
                let texts = body.as_array().into_iter().flatten();
                let texts = texts.filter_map(|text| text.as_str().map(str::to_owned));
                self.state.lock().odd = texts.collect();
            }
            "strangers" => self.state.lock().strangers = body,
            "cut_watches" => {
                let after_ms = body.as_u64().unwrap_or_default();
                self.watches_cut_ms.store(after_ms, Ordering::SeqCst);
                self.changed.notify_waiters();
            }
            "lists" => return json_response(StatusCode::OK, &json!(*self.lists.lock())),
            "reads" => {
                let reads = self.reads.load(Ordering::SeqCst);
                return json_response(StatusCode::OK, &json!(reads));
            }
            _ => return status_only(StatusCode::NOT_FOUND),
        }
        status_only(StatusCode::OK)
    }

    fn set_fault(&self, status: u16) {
        self.fault.store(status, Ordering::SeqCst);
        self.changed.notify_waiters();
    }

    /// Returns the answer of every call while a fault lasts; does not return during silence.
    async fn fault_answer(&self) -> Option<Response<Body>> {
        if self.is_silent.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        let status = StatusCode::from_u16(self.fault.load(Ordering::SeqCst)).ok()?;
        Some(self.state.lock().refuse(status))
    }

    fn take_copy(&self, order: &CopyOrder) {
        let mut objects = self.state.lock().objects.clone();
        objects
            .by_key
            .retain(|(kind, _), _| !order.without.contains(kind));
        *self.copy.lock() = objects;
    }

    async fn restore(&self, order: RestoreOrder) {
        if order.away_ms > 0 {
            self.is_silent.store(order.silent, Ordering::SeqCst);
            self.set_fault(StatusCode::SERVICE_UNAVAILABLE.as_u16());
            tokio::time::sleep(Duration::from_millis(order.away_ms)).await;
        }
        self.hold_watches(order.watches_wait_ms);
        {
            let mut state = self.state.lock();
            state.objects = self.copy.lock().clone();
            state.era += 1;
        }
        self.is_silent.store(false, Ordering::SeqCst);
        self.set_fault(0);
    }

    fn hold_watches(&self, ms: u64) {
        *self.watches_wait_until.lock() = Some(Instant::now() + Duration::from_millis(ms));
    }

    fn hang(&self, order: HangOrder) {
        self.hold_watches(order.watches_ms);
        self.hanging_lists.lock().insert(order.kind, order.lists);
        // Those that wait already are held, too.
        self.changed.notify_waiters();
    }

    async fn list(&self, kind: &str) -> Response<Body> {
        *self.lists.lock().entry(kind.to_owned()).or_default() += 1;
        if self.takes_hanging_list(kind) {
            std::future::pending::<()>().await;
        }
        self.state.lock().list(kind)
    }

    fn takes_hanging_list(&self, kind: &str) -> bool {
        let mut hanging = self.hanging_lists.lock();
        let left = hanging.get_mut(kind).filter(|left| **left > 0);
        left.map(|left| *left -= 1).is_some()
    }

    async fn watch(&self, kind: &str, after: u64, wait_ms: Option<u64>) -> Response<Body> {
        let wait = Duration::from_millis(wait_ms.unwrap_or_default());
        let began = Instant::now();
        let deadline = began + wait;
        loop {
            let changed = self.changed.notified();
            let wait_until = *self.watches_wait_until.lock();
            if let Some(until) = wait_until {
                tokio::time::sleep_until(until).await;
            }
            if let Some(answer) = self.fault_answer().await {
                return answer;
            }
            let haste = *self.haste.lock();
            if let Some(answer) = haste.watch(&self.state.lock(), kind, after) {
                return answer;
            }
            let is_over = Instant::now() >= deadline;
            if let Some(answer) = self.state.lock().changes(kind, after, is_over) {
                return answer;
            }
            let cut_ms = self.watches_cut_ms.load(Ordering::SeqCst);
            let cut_at = began + Duration::from_millis(cut_ms);
            if cut_ms > 0 && Instant::now() >= cut_at {
                return self.state.lock().with_era(Response::new(broken_body()));
            }
            let until = if cut_ms > 0 {
                deadline.min(cut_at)
            } else {
                deadline
            };
            // At the deadline the changes are read once more.
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }

    fn write(&self, kind: &str, name: &str, body: &Value, create: bool) -> Response<Body> {
        let answer = self.state.lock().write(kind, name, body, create);
        self.changed.notify_waiters();
        answer
    }

    fn delete(&self, kind: &str, name: &str) -> Response<Body> {
        let answer = self.state.lock().delete(kind, name);
        self.changed.notify_waiters();
        answer
    }
}
