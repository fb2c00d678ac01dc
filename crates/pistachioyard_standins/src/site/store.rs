//! The object store of the operators' platform.
//!
//! `PUT /control/fault` with a status code makes it answer every call with that status;
//! 0 removes the fault.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use ::http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::sync::Notify;

use super::http::{Body, json_response, read_json, serve, status_only};

/// The maximum number of events kept for watches.
const MAX_EVENTS: usize = 4_096;

/// Holds the arguments of the store.
#[derive(Clone, Debug, clap::Args)]
pub struct SiteStoreArgs {
    /// The address to listen on.
    #[arg(long)]
    pub listen: SocketAddr,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    by_key: BTreeMap<(String, String), Value>,
    /// The kind, the revision and the event of each change.
    events: Vec<(String, u64, Value)>,
}

#[derive(Default)]
struct Store {
    objects: Mutex<Objects>,
    changed: Notify,
    fault: AtomicU16,
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
    if path == "/control/fault" {
        let status = body.as_u64().unwrap_or_default() as u16;
        store.fault.store(status, Ordering::SeqCst);
        store.changed.notify_waiters();
        return status_only(StatusCode::OK);
    }
    if let Some(fault) = store.fault() {
        return status_only(fault);
    }
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (&parts.method, segments.as_slice()) {
        (&Method::GET, ["objects", kind]) => match query_u64(&query, "watch") {
            Some(after) => store.watch(kind, after, query_u64(&query, "wait_ms")).await,
            None => store.list(kind),
        },
        (&Method::GET, ["objects", kind, name]) => store.read(kind, name),
        (&Method::POST, ["objects", kind]) => {
            let name = body["metadata"]["name"].as_str().unwrap_or_default();
            store.write(kind, name, &body, true)
        }
        (&Method::PUT, ["objects", kind, name]) => store.write(kind, name, &body, false),
        (&Method::DELETE, ["objects", kind, name]) => store.delete(kind, name),
        _ => status_only(StatusCode::BAD_REQUEST),
    }
}

fn query_u64(query: &str, name: &str) -> Option<u64> {
    let value = |part: &str| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok();
    query.split('&').find_map(value)
}

impl Store {
    fn fault(&self) -> Option<StatusCode> {
        StatusCode::from_u16(self.fault.load(Ordering::SeqCst)).ok()
    }

    fn list(&self, kind: &str) -> Response<Body> {
        let objects = self.objects.lock();
        let of_kind = objects.by_key.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<&Value> = of_kind.map(|(_, object)| object).collect();
        let page = json!({ "items": items, "has_more": false, "current_rev": objects.revision });
        json_response(StatusCode::OK, &page)
    }

    async fn watch(&self, kind: &str, after: u64, wait_ms: Option<u64>) -> Response<Body> {
        let wait = Duration::from_millis(wait_ms.unwrap_or_default());
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            if let Some(fault) = self.fault() {
                return status_only(fault);
            }
            let page = self.changes(kind, after);
            if page["events"].as_array().is_some_and(|e| !e.is_empty()) {
                return json_response(StatusCode::OK, &page);
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return json_response(StatusCode::OK, &page);
            }
        }
    }

    fn changes(&self, kind: &str, after: u64) -> Value {
        let objects = self.objects.lock();
        let newer = objects
            .events
            .iter()
            .filter(|(k, rev, _)| k == kind && *rev > after);
        let events: Vec<&Value> = newer.map(|(_, _, event)| event).collect();
        json!({ "events": events, "current_rev": objects.revision })
    }

    fn read(&self, kind: &str, name: &str) -> Response<Body> {
        let objects = self.objects.lock();
        match objects.by_key.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => json_response(StatusCode::OK, object),
            None => status_only(StatusCode::NOT_FOUND),
        }
    }

    fn write(&self, kind: &str, name: &str, body: &Value, create: bool) -> Response<Body> {
        let mut objects = self.objects.lock();
        let key = (kind.to_owned(), name.to_owned());
        let old = objects.by_key.get(&key);
        let expected = body["metadata"]["revision"].as_u64();
        let current = old.and_then(|object| object["metadata"]["revision"].as_u64());
        if create && old.is_some() || !create && expected.is_some() && expected != current {
            return json_response(StatusCode::CONFLICT, old.unwrap_or(&Value::Null));
        }
        objects.revision += 1;
        let revision = objects.revision;
        let object = json!({
            "metadata": { "name": name, "revision": revision, "created": revision,
                "finalizers": [], "deleting": false },
            "spec": body["spec"], "status": null,
        });
        objects.by_key.insert(key, object.clone());
        objects.record_event(kind, revision, &object, false);
        drop(objects);
        self.changed.notify_waiters();
        json_response(StatusCode::OK, &object)
    }

    fn delete(&self, kind: &str, name: &str) -> Response<Body> {
        let mut objects = self.objects.lock();
        let Some(mut object) = objects.by_key.remove(&(kind.to_owned(), name.to_owned())) else {
            return status_only(StatusCode::NOT_FOUND);
        };
        objects.revision += 1;
        let revision = objects.revision;
        object["metadata"]["revision"] = revision.into();
        objects.record_event(kind, revision, &object, true);
        drop(objects);
        self.changed.notify_waiters();
        json_response(StatusCode::OK, &object)
    }
}

impl Objects {
    fn record_event(&mut self, kind: &str, revision: u64, object: &Value, deleted: bool) {
        let event = json!({ "object": object, "deleted": deleted });
        self.events.push((kind.to_owned(), revision, event));
        let surplus = self.events.len().saturating_sub(MAX_EVENTS);
        self.events.drain(..surplus);
    }
}
