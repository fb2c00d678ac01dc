//! The platform's store: objects by kind and name, lists, watches and conditional writes.
//!
//! Each answer names the era. A watch that is waiting may be cut off (PROTOCOL.md), if the case asks
//! for that; nothing else differs from a store without any disruption.

use std::collections::BTreeMap;
use std::io::Result;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Cut, Request, Then, answer, serve};
use crate::json::Json;
use crate::record::Record;
use crate::rng::Rng;

struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// The kind, the revision and the text of each event.
    events: Vec<(String, u64, String)>,
    /// How long a watch waits until it is cut off: the shortest and the longest time.
    cuts: Option<(u64, u64)>,
    cut_count: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    rng: Mutex<Rng>,
    record: Arc<Record>,
}

const HEADERS: [(&str, &str); 2] = [("content-type", "application/json"), ("store-era", "1")];

impl Store {
    pub fn start(listen: SocketAddr, record: Arc<Record>) -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::new(State {
                revision: 1000,
                ..State::default()
            }),
            changed: Condvar::new(),
            rng: Mutex::new(Rng::new(7)),
            record,
        });
        let listener = TcpListener::bind(listen).expect("the store's address is free");
        let served = store.clone();
        let handler = Arc::new(move |req, to: &mut TcpStream| served.handle(req, to));
        serve(listener, handler, Cut::default());
        store
    }

    /// Makes the store cut off watches that have waited for a time between these, in ms.
    pub fn cut_watches(&self, between: Option<(u64, u64)>) {
        self.state.lock().unwrap().cuts = between;
    }

    pub fn cut_count(&self) -> u64 {
        self.state.lock().unwrap().cut_count
    }

    /// Writes an object as the operator or a worker does.
    pub fn put(&self, kind: &str, name: &str, spec: String) {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if state.objects.get(&key).is_some_and(|old| old.spec == spec) {
            return;
        }
        state.write(key, spec);
        drop(state);
        self.changed.notify_all();
    }

    /// Removes an object and returns when that was acknowledged.
    pub fn remove(&self, kind: &str, name: &str) -> Instant {
        let mut state = self.state.lock().unwrap();
        state.delete(kind, name);
        let at = Instant::now();
        drop(state);
        self.changed.notify_all();
        at
    }

    fn handle(&self, req: Request, to: &mut TcpStream) -> Result<Then> {
        let method = req.head.word(0).to_owned();
        let target = req.head.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let parameter = |name: &str| {
            let mut parts = query.split('&');
            parts
                .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
                .map(str::to_owned)
        };
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        let body = Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
        match (method.as_str(), segments.as_slice()) {
            ("GET", ["objects", kind]) => match parameter("watch").and_then(|v| v.parse().ok()) {
                Some(after) => {
                    let wait = parameter("wait_ms")
                        .and_then(|v| v.parse().ok())
                        .unwrap_or(0);
                    return self.watch(kind, after, wait, &req, to);
                }
                None => {
                    let page = self.state.lock().unwrap().list(kind);
                    answer(to, 200, &HEADERS, page.as_bytes())?;
                }
            },
            ("GET", ["objects", kind, name]) => {
                let found = self.state.lock().unwrap().text(kind, name);
                match found {
                    Some(text) => answer(to, 200, &HEADERS, text.as_bytes())?,
                    None => answer(to, 404, &HEADERS, b"{}")?,
                }
            }
            ("POST", ["objects", kind]) => {
                let name = body
                    .get("metadata")
                    .get("name")
                    .text()
                    .unwrap_or("")
                    .to_owned();
                self.change(kind, &name, &body, true, to)?;
            }
            ("PUT", ["objects", kind, name]) => self.change(kind, name, &body, false, to)?,
            ("DELETE", ["objects", kind, name]) => {
                let expected = parameter("revision").and_then(|v| v.parse::<u64>().ok());
                let mut state = self.state.lock().unwrap();
                let key = ((*kind).to_owned(), (*name).to_owned());
                let current = state.objects.get(&key).map(|o| o.revision);
                let status = match current {
                    None => 404,
                    Some(revision) if expected.is_some_and(|e| e != revision) => 409,
                    Some(_) => {
                        state.delete(kind, name);
                        200
                    }
                };
                drop(state);
                self.changed.notify_all();
                answer(to, status, &HEADERS, b"{}")?;
            }
            _ => answer(to, 400, &HEADERS, b"{}")?,
        }
        Ok(Then::KeepOpen)
    }

    fn change(
        &self,
        kind: &str,
        name: &str,
        body: &Json,
        create: bool,
        to: &mut TcpStream,
    ) -> Result<()> {
        let mut spec = String::new();
        body.get("spec").write(&mut spec);
        let expected = body.get("metadata").get("revision").u64();
        let key = (kind.to_owned(), name.to_owned());
        let mut state = self.state.lock().unwrap();
        let current = state.objects.get(&key).map(|o| o.revision);
        let conflicts = match create {
            true => current.is_some(),
            false => expected.is_some() && expected != current,
        };
        if !conflicts && state.objects.get(&key).is_none_or(|old| old.spec != spec) {
            state.write(key, spec);
        }
        let text = state.text(kind, name).unwrap_or_default();
        drop(state);
        self.changed.notify_all();
        answer(
            to,
            if conflicts { 409 } else { 200 },
            &HEADERS,
            text.as_bytes(),
        )
    }

    fn watch(
        &self,
        kind: &str,
        after: u64,
        wait_ms: u64,
        req: &Request,
        to: &mut TcpStream,
    ) -> Result<Then> {
        let began = Instant::now();
        let until = began + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        let cut_at = state.cuts.map(|(least, most)| {
            began + Duration::from_millis(self.rng.lock().unwrap().between(least, most))
        });
        loop {
            let now = Instant::now();
            let events: Vec<&str> = state
                .events
                .iter()
                .filter(|(k, revision, _)| k == kind && *revision > after)
                .map(|(_, _, text)| text.as_str())
                .collect();
            if !events.is_empty() || now >= until {
                let page = format!(
                    "{{\"events\":[{}],\"current_rev\":{}}}",
                    events.join(","),
                    state.revision
                );
                drop(state);
                answer(to, 200, &HEADERS, page.as_bytes())?;
                return Ok(Then::KeepOpen);
            }
            if cut_at.is_some_and(|at| now >= at) {
                state.cut_count += 1;
                drop(state);
                self.record.line(&format!(
                    "store: cut off a watch of {kind} by {} after {} ms",
                    req.from,
                    began.elapsed().as_millis()
                ));
                return Ok(Then::Close);
            }
            let next = cut_at.map_or(until, |at| at.min(until));
            let left = next.saturating_duration_since(now);
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn write(&mut self, key: (String, String), spec: String) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.objects.get(&key).map_or(revision, |old| old.created);
        let object = Object {
            revision,
            created,
            spec,
        };
        self.objects.insert(key.clone(), object);
        let text = self.text(&key.0, &key.1).unwrap_or_default();
        let event = format!("{{\"object\":{text},\"deleted\":false}}");
        self.events.push((key.0, revision, event));
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        self.revision += 1;
        let revision = self.revision;
        if let Some(object) = self.objects.get_mut(&key) {
            object.revision = revision;
        }
        let text = self.text(kind, name).unwrap_or_default();
        if self.objects.remove(&key).is_some() {
            let event = format!("{{\"object\":{text},\"deleted\":true}}");
            self.events.push((key.0, revision, event));
        }
    }

    fn text(&self, kind: &str, name: &str) -> Option<String> {
        let object = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        let mut name_text = String::new();
        Json::Text(name.to_owned()).write(&mut name_text);
        Some(format!(
            "{{\"metadata\":{{\"name\":{name_text},\"revision\":{},\"created\":{},\
             \"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
            object.revision, object.created, object.spec
        ))
    }

    fn list(&self, kind: &str) -> String {
        let of_kind = self.objects.keys().filter(|(k, _)| k == kind);
        let items: Vec<String> = of_kind.filter_map(|(k, name)| self.text(k, name)).collect();
        format!(
            "{{\"items\":[{}],\"has_more\":false,\"current_rev\":{}}}",
            items.join(","),
            self.revision
        )
    }
}
