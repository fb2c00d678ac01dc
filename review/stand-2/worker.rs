//! Workers: endpoints of a service. One with a card is an engine that holds layers of a model and
//! streams events; the others answer with a body.

use std::collections::BTreeSet;
use std::io::{Error, ErrorKind, Result, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Accepted, Cut, Head, Request, Then, answer, serve};
use crate::json::Json;
use crate::record::Record;
use crate::rng::Rng;
use crate::store::Store;

/// The layers of the model; each engine holds them all, as its card has room for them.
pub const LAYERS: u64 = 8;
/// The time between two events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(20);

unsafe extern "C" {
    fn shutdown(fd: i32, how: i32) -> i32;
}

/// One request that has reached a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub worker: String,
    pub id: String,
    pub from: IpAddr,
}

pub struct Worker {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub zone: &'static str,
    card: Option<&'static str>,
    /// The shortest and the longest time that a request takes, in ms.
    work_ms: (u64, u64),
    /// The number of events in a stream.
    events: u64,
    has_exited: AtomicBool,
    listener: Mutex<RawFd>,
    layers: Mutex<Option<(u64, u64)>>,
    orders: AtomicU64,
    born: u64,
    record: Arc<Record>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    rng: Mutex<Rng>,
    /// The sources whose connections are reset.
    cut: Cut,
    accepted: Mutex<Accepted>,
    /// The id of a prompt part that crashes the worker when it begins to write an answer on it.
    deadly_part: Option<&'static str>,
    framing: Framing,
}

/// Says how the end of a stream is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// By chunks.
    Chunks,
    /// By the end of the connection.
    Connection,
}

#[derive(Clone)]
pub struct Terms {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub card: Option<&'static str>,
    pub work_ms: (u64, u64),
    pub events: u64,
    pub deadly_part: Option<&'static str>,
    pub framing: Framing,
}

impl Worker {
    pub fn start(
        terms: Terms,
        store: &Store,
        record: &Arc<Record>,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
    ) -> Arc<Self> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        let listener = TcpListener::bind(terms.address).expect("the worker's address is free");
        let seed = terms
            .id
            .bytes()
            .fold(3u64, |sum, b| sum.wrapping_mul(31) + u64::from(b));
        let cut = Cut::default();
        let worker = Arc::new(Self {
            id: terms.id,
            service: terms.service,
            address: terms.address,
            zone: terms.zone,
            card: terms.card,
            work_ms: terms.work_ms,
            events: terms.events,
            has_exited: AtomicBool::new(false),
            listener: Mutex::new(listener.as_raw_fd()),
            layers: Mutex::default(),
            orders: AtomicU64::new(0),
            born,
            record: record.clone(),
            arrivals: arrivals.clone(),
            rng: Mutex::new(Rng::new(seed)),
            cut: cut.clone(),
            accepted: Mutex::default(),
            deadly_part: terms.deadly_part,
            framing: terms.framing,
        });
        let served = worker.clone();
        let handler = Arc::new(move |req, to: &mut TcpStream| served.handle(req, to));
        let accepted = serve(listener, handler, cut);
        *worker.accepted.lock().unwrap() = accepted;
        worker.register(store);
        worker
    }

    /// Writes the entry. It changes only when more than `sequence` does, so it is written once more
    /// only after a change.
    pub fn register(&self, store: &Store) {
        store.put("servers", &self.id, self.state(0));
    }

    /// Ends the process: the port is closed, and so are all connections.
    pub fn exit(&self) {
        self.has_exited.store(true, Ordering::SeqCst);
        let listener = *self.listener.lock().unwrap();
        // SAFETY: the descriptor is that of the listener, which lives as long as its thread.
        unsafe { shutdown(listener, 2) };
        for stream in self.accepted.lock().unwrap().lock().unwrap().iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn has_exited(&self) -> bool {
        self.has_exited.load(Ordering::SeqCst)
    }

    /// Resets the connections of these sources: the open ones at once, new ones as soon as a
    /// request comes on them.
    pub fn reset(&self, sources: &[Ipv4Addr]) {
        let sources: BTreeSet<IpAddr> = sources.iter().map(|ip| IpAddr::V4(*ip)).collect();
        for stream in self.accepted.lock().unwrap().lock().unwrap().iter() {
            let from = stream.peer_addr().map(|peer| peer.ip());
            if from.is_ok_and(|from| sources.contains(&from)) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        *self.cut.lock().unwrap() = sources;
    }

    /// Returns an entry for this process under another service, as another writer may have it.
    pub fn entry_under(&self, service: &str) -> String {
        let own = format!("\"service\":\"{}\"", self.service);
        self.state(0)
            .replace(&own, &format!("\"service\":\"{service}\""))
    }

    /// Returns what the worker says of itself.
    fn state(&self, sequence: u64) -> String {
        let layers = match *self.layers.lock().unwrap() {
            Some((from, to)) => format!("{{\"from\":{from},\"to\":{to},\"version\":1}}"),
            None => "null".to_owned(),
        };
        let kind = self
            .card
            .map_or("null".to_owned(), |card| format!("\"{card}\""));
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"both\",\
             \"models\":[],\"kind\":{kind},\"layers\":{layers},\"busy\":false,\
             \"sequence\":{sequence},\"born\":{},\"queued\":0,\"active\":0,\"kv_used\":0,\
             \"kv_total\":100000,\"handles\":0,\"pace\":1.0,\"stalled\":[]}}",
            self.service, self.address, self.zone, self.born
        )
    }

    fn handle(&self, req: Request, to: &mut TcpStream) -> Result<Then> {
        if self.has_exited() {
            return Ok(Then::Close);
        }
        let path = req.head.word(1);
        if path == "/report" {
            let status = if self.card.is_some() { 200 } else { 404 };
            let body = self.state(self.orders.load(Ordering::SeqCst));
            answer(
                to,
                status,
                &[("content-type", "application/json")],
                body.as_bytes(),
            )?;
            return Ok(Then::KeepOpen);
        }
        if path == "/order" {
            let order = Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
            let status = self.order(&order);
            answer(to, status, &[], b"{}")?;
            return Ok(Then::KeepOpen);
        }
        self.run(&req, to)
    }

    fn order(&self, order: &Json) -> u16 {
        let ends = order.get("from").u64().zip(order.get("to").u64());
        let Some(ends) = ends.filter(|_| order.get("op").text() == Some("place")) else {
            return 400;
        };
        let mut layers = self.layers.lock().unwrap();
        if *layers == Some(ends) {
            return 200;
        }
        let orders = self.orders.load(Ordering::SeqCst);
        if order
            .get("expect")
            .u64()
            .is_some_and(|expected| expected != orders)
        {
            return 409;
        }
        self.orders.fetch_add(1, Ordering::SeqCst);
        *layers = Some(ends);
        202
    }

    fn run(&self, req: &Request, to: &mut TcpStream) -> Result<Then> {
        let head = &req.head;
        let id = head.header("x-attempt-id").unwrap_or("").to_owned();
        if head
            .header("x-expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            answer(to, 421, &[("x-not-executed", "1")], b"")?;
            return Ok(Then::KeepOpen);
        }
        self.arrivals.lock().unwrap().push(Arrival {
            at: Instant::now(),
            worker: self.id.clone(),
            id: id.clone(),
            from: req.from,
        });
        self.record
            .line(&format!("{} runs {id}, sent by {}", self.id, req.from));
        let work_ms = self
            .rng
            .lock()
            .unwrap()
            .between(self.work_ms.0, self.work_ms.1);
        std::thread::sleep(Duration::from_millis(work_ms));
        let signature = format!("sig.{}.{id}", self.id);
        if self.card.is_none() {
            if self.has_exited.load(Ordering::SeqCst) {
                self.record
                    .line(&format!("{} has exited under {id}", self.id));
                return Ok(Then::Close);
            }
            let body = format!("done {id} by {}", self.id);
            let headers = [
                ("x-attempt-id", id.as_str()),
                ("x-response-signature", &signature),
            ];
            answer(to, 200, &headers, body.as_bytes())?;
            return Ok(Then::KeepOpen);
        }
        let after = head
            .header("last-event-id")
            .and_then(|v| v.parse::<u64>().ok());
        let framing = match self.framing {
            Framing::Chunks => "transfer-encoding: chunked",
            Framing::Connection => "connection: close",
        };
        let text = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-attempt-id: {id}\r\n\
             x-response-signature: {signature}\r\n{framing}\r\n\r\n"
        );
        to.write_all(text.as_bytes())?;
        if self
            .deadly_part
            .is_some_and(|part| has_shared_part(head, part))
        {
            self.record.line(&format!("{} crashes under {id}", self.id));
            self.exit();
            return Err(Error::from(ErrorKind::ConnectionAborted));
        }
        for n in after.map_or(0, |n| n + 1)..self.events {
            if self.has_exited() {
                return Err(Error::from(ErrorKind::ConnectionAborted));
            }
            std::thread::sleep(EVENT_GAP);
            let event = format!("id: {n}\ndata: {id}-{n}\n\n");
            match self.framing {
                Framing::Chunks => {
                    to.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
                }
                Framing::Connection => to.write_all(event.as_bytes())?,
            }
        }
        if self.framing == Framing::Connection {
            return Ok(Then::Close);
        }
        to.write_all(b"0\r\n\r\n")?;
        Ok(Then::KeepOpen)
    }
}

/// Returns whether a part of the prompt other than the last, the request's own, has this id.
fn has_shared_part(head: &Head, part: &str) -> bool {
    let parts = head.header("x-prompt-prefix").unwrap_or("");
    let shared = parts.rsplit(',').skip(1);
    shared
        .filter_map(|entry| entry.split(':').next())
        .any(|id| id == part)
}
