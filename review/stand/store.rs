//! The platform's store: objects by kind and name, lists, watches and conditional writes.

use std::collections::BTreeMap;
use std::io::Result;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Buffer, Message, read_message, write_answer};
use crate::json;

/// The time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    spec: Vec<u8>,
}

impl Object {
    fn encode(&self) -> Vec<u8> {
        let mut text = format!(
            "{{\"metadata\":{{\"name\":\"{}\",\"revision\":{},\"created\":{},\"finalizers\":[],\
             \"deleting\":false}},\"spec\":",
            self.name, self.revision, self.revision
        )
        .into_bytes();
        text.extend_from_slice(&self.spec);
        text.extend_from_slice(b",\"status\":null}");
        text
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<(String, Object, bool)>,
}

impl State {
    /// Writes an object; a write that changes nothing makes no event.
    fn put(&mut self, kind: &str, name: &str, spec: &[u8]) -> Object {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(old) = self.objects.get(&key)
            && old.spec == spec
        {
            return old.clone();
        }
        self.revision += 1;
        let object = Object {
            name: name.to_owned(),
            revision: self.revision,
            spec: spec.to_vec(),
        };
        self.objects.insert(key, object.clone());
        self.events.push((kind.to_owned(), object.clone(), false));
        object
    }
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// How many times as long as usual the store takes to answer, less one.
    slower: AtomicU32,
}

impl Store {
    /// Serves the store at an address.
    pub fn start(address: SocketAddr) -> Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let store = Arc::new(Self::default());
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object, as the operator, a worker or another writer does.
    pub fn put(&self, kind: &str, name: &str, spec: &[u8]) {
        self.state.lock().unwrap().put(kind, name, spec);
        self.changed.notify_all();
    }

    /// Makes the store take `times` as long to answer.
    pub fn slow_down(&self, times: u32) {
        self.slower.store(times.saturating_sub(1), Ordering::SeqCst);
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(mut object) = state.objects.remove(&key) {
            state.revision += 1;
            object.revision = state.revision;
            state.events.push((kind.to_owned(), object, true));
            self.changed.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Buffer::default();
        while let Ok(Some(call)) = read_message(&mut stream, &mut buffer, false) {
            thread::sleep(ANSWER_TIME * (1 + self.slower.load(Ordering::SeqCst)));
            let (status, body) = self.handle(&call);
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if write_answer(&mut stream, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn handle(&self, call: &Message) -> (u16, Vec<u8>) {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let asked = |name: &str| {
            query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
        };
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (call.method(), segments.as_slice()) {
            ("GET", ["objects", kind]) => match asked("watch").and_then(|r| r.parse().ok()) {
                Some(after) => {
                    let wait = asked("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
                    self.watch(kind, after, Duration::from_millis(wait))
                }
                None => self.list(kind),
            },
            ("GET", ["objects", kind, name]) => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&((*kind).to_owned(), (*name).to_owned())) {
                    Some(object) => (200, object.encode()),
                    None => (404, b"{}".to_vec()),
                }
            }
            ("POST", ["objects", kind]) => {
                let metadata = json::field(&call.body, "metadata").unwrap_or(b"{}");
                match json::text(metadata, "name") {
                    Some(name) => self.write(kind, &name, &call.body, true),
                    None => (400, b"{}".to_vec()),
                }
            }
            ("PUT", ["objects", kind, name]) => self.write(kind, name, &call.body, false),
            ("DELETE", ["objects", kind, name]) => {
                let revision = asked("revision").and_then(|r| r.parse::<u64>().ok());
                let key = ((*kind).to_owned(), (*name).to_owned());
                let old = self.state.lock().unwrap().objects.get(&key).cloned();
                match (old, revision) {
                    (None, _) => (404, b"{}".to_vec()),
                    (Some(old), Some(r)) if old.revision != r => (409, old.encode()),
                    (Some(old), _) => {
                        self.remove(kind, name);
                        (200, old.encode())
                    }
                }
            }
            _ => (400, b"{}".to_vec()),
        }
    }

    fn write(&self, kind: &str, name: &str, body: &[u8], creates: bool) -> (u16, Vec<u8>) {
        let metadata = json::field(body, "metadata").unwrap_or(b"{}");
        let expected = json::number(metadata, "revision");
        let spec = json::field(body, "spec").unwrap_or(b"null").to_vec();
        let key = (kind.to_owned(), name.to_owned());
        let mut state = self.state.lock().unwrap();
        match state.objects.get(&key) {
            Some(old) if creates || expected.is_some_and(|r| r != old.revision) => {
                return (409, old.encode());
            }
            None if expected.is_some() => return (404, b"{}".to_vec()),
            _ => {}
        }
        let object = state.put(kind, name, &spec);
        self.changed.notify_all();
        (200, object.encode())
    }

    fn list(&self, kind: &str) -> (u16, Vec<u8>) {
        let state = self.state.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<Vec<u8>> = of_kind.map(|(_, object)| object.encode()).collect();
        let mut body = b"{\"items\":[".to_vec();
        body.extend(items.join(&b","[..]));
        body.extend(format!("],\"has_more\":false,\"current_rev\":{}}}", state.revision).bytes());
        (200, body)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, Vec<u8>) {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let newer = state.events.iter().filter(|(k, o, _)| k == kind && o.revision > after);
            let events: Vec<Vec<u8>> = newer
                .map(|(_, object, deleted)| {
                    let mut event = b"{\"object\":".to_vec();
                    event.extend(object.encode());
                    event.extend(format!(",\"deleted\":{deleted}}}").bytes());
                    event
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let mut body = b"{\"events\":[".to_vec();
                body.extend(events.join(&b","[..]));
                body.extend(format!("],\"current_rev\":{}}}", state.revision).bytes());
                return (200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
