//! A worker of a service without layers. It can crash and start again under a new id.

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Buffer, Message, read_message, write_answer};
use crate::record::Record;
use crate::store::Store;

/// The requests that a worker runs at once, and those that it queues.
pub const SLOTS: usize = 6;
pub const QUEUE: usize = 24;
/// The heartbeat interval of the settings; an entry is removed after three of them.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The body of a request that crashes each worker that begins to run it.
pub const POISON: &[u8] = b"poison";

/// How the workers behave; shared by all of them.
pub struct Behaviour {
    /// How long a request runs.
    pub work: Duration,
    /// How long a worker is away after a crash.
    pub down: Duration,
    /// Whether a worker that crashes goes dark: its connections stay open and silent, as those of a
    /// machine that has lost power.
    pub goes_dark: bool,
}

pub struct Worker {
    pub name: String,
    pub service: &'static str,
    pub zone: String,
    pub address: SocketAddr,
    store: Arc<Store>,
    record: Arc<Record>,
    behaviour: Arc<Behaviour>,
    runs: AtomicU64,
    run: Mutex<Option<Arc<Run>>>,
}

/// One run of a worker, between its start and its end.
struct Run {
    id: String,
    born: u128,
    is_over: AtomicBool,
    is_dark: AtomicBool,
    running: AtomicUsize,
    waiting: AtomicUsize,
    open: Mutex<BTreeMap<u64, TcpStream>>,
    next: AtomicU64,
}

impl Run {
    /// Closes the listener, within a millisecond, and all connections.
    fn end(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Holds a connection of a dark run open, and silent, for good.
    fn stay_silent(&self) {
        while self.is_dark.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_secs(1));
        }
    }
}

impl Worker {
    pub fn start(
        name: String,
        service: &'static str,
        zone: &str,
        address: SocketAddr,
        store: &Arc<Store>,
        record: &Arc<Record>,
        behaviour: &Arc<Behaviour>,
    ) -> Arc<Self> {
        let worker = Arc::new(Self {
            name,
            service,
            zone: zone.to_owned(),
            address,
            store: store.clone(),
            record: record.clone(),
            behaviour: behaviour.clone(),
            runs: AtomicU64::new(0),
            run: Mutex::new(None),
        });
        worker.begin_run();
        worker
    }

    /// The content of the worker's entry in the store.
    pub fn entry(&self, born: u128) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":{born},\
             \"sequence\":1}}",
            self.service, self.address, self.zone
        )
    }

    fn begin_run(self: &Arc<Self>) {
        let listener = (0..100).find_map(|_| {
            let bound = TcpListener::bind(self.address).ok();
            if bound.is_none() {
                thread::sleep(Duration::from_millis(20));
            }
            bound
        });
        let listener = listener.expect("the worker's address is free");
        listener.set_nonblocking(true).expect("the listener can be polled");
        let count = self.runs.fetch_add(1, Ordering::SeqCst);
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let run = Arc::new(Run {
            id: format!("{}-run{count}", self.name),
            born,
            is_over: AtomicBool::new(false),
            is_dark: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            open: Mutex::default(),
            next: AtomicU64::new(0),
        });
        *self.run.lock().unwrap() = Some(run.clone());
        self.store.put("servers", &run.id, self.entry(born).as_bytes());
        let worker = self.clone();
        thread::spawn(move || {
            while !run.is_over.load(Ordering::SeqCst) {
                if run.is_dark.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (worker, run) = (worker.clone(), run.clone());
                        thread::spawn(move || worker.serve(&run, stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    /// Ends the run at once, as a crash does, and starts the next one after a while.
    pub fn crash(self: &Arc<Self>) {
        let Some(run) = self.run.lock().unwrap().take() else {
            return;
        };
        self.record.note(&format!("worker {} crashes", run.id));
        if self.behaviour.goes_dark {
            run.is_dark.store(true, Ordering::SeqCst);
        } else {
            run.end();
        }
        let (worker, ended) = (self.clone(), run.clone());
        thread::spawn(move || {
            thread::sleep(worker.behaviour.down);
            ended.is_over.store(true, Ordering::SeqCst);
            worker.begin_run();
        });
        let (store, id) = (self.store.clone(), run.id.clone());
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            store.remove("servers", &id);
        });
    }

    pub fn is_up(&self) -> bool {
        self.run.lock().unwrap().is_some()
    }

    /// The number of requests that run or wait.
    pub fn load(&self) -> usize {
        let run = self.run.lock().unwrap();
        run.as_ref().map_or(0, |run| {
            run.running.load(Ordering::SeqCst) + run.waiting.load(Ordering::SeqCst)
        })
    }

    fn serve(self: Arc<Self>, run: &Arc<Run>, mut stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let key = run.next.fetch_add(1, Ordering::SeqCst);
        if let Ok(copy) = stream.try_clone() {
            run.open.lock().unwrap().insert(key, copy);
        }
        let mut buffer = Buffer::default();
        while !run.is_over.load(Ordering::SeqCst) {
            let Ok(Some(request)) = read_message(&mut stream, &mut buffer, false) else {
                break;
            };
            if run.is_dark.load(Ordering::SeqCst) || !self.answer(run, &mut stream, &request) {
                break;
            }
        }
        run.stay_silent();
        run.open.lock().unwrap().remove(&key);
    }

    /// Answers one request; returns whether the connection goes on.
    fn answer(self: &Arc<Self>, run: &Arc<Run>, stream: &mut TcpStream, request: &Message) -> bool {
        let path = request.target();
        if path == "/health" {
            return write_answer(stream, 200, &[("X-Instance-Id", &run.id)], b"").is_ok();
        }
        if path == "/report" {
            let report = format!(
                "{{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":0,\"queued\":0,\
                 \"active\":0,\"kv_used\":0,\"kv_total\":0,\"handles\":0,\"born\":{}}}",
                run.born
            );
            let headers = [("Content-Type", "application/json")];
            return write_answer(stream, 200, &headers, report.as_bytes()).is_ok();
        }
        let id = request.header("x-attempt-id").unwrap_or("").to_owned();
        if request.header("x-expect-instance").is_some_and(|expected| expected != run.id) {
            let headers = [("X-Instance-Id", run.id.as_str()), ("X-Not-Executed", "1")];
            return write_answer(stream, 421, &headers, b"").is_ok();
        }
        if run.running.load(Ordering::SeqCst) >= SLOTS {
            if run.waiting.fetch_add(1, Ordering::SeqCst) >= QUEUE {
                run.waiting.fetch_sub(1, Ordering::SeqCst);
                let headers = [("X-Not-Executed", "1"), ("X-Attempt-Id", id.as_str())];
                return write_answer(stream, 503, &headers, b"").is_ok();
            }
            while run.running.load(Ordering::SeqCst) >= SLOTS {
                if run.is_over.load(Ordering::SeqCst) {
                    return false;
                }
                thread::sleep(Duration::from_millis(1));
            }
            run.waiting.fetch_sub(1, Ordering::SeqCst);
        }
        run.running.fetch_add(1, Ordering::SeqCst);
        let tenant = request.header("x-tenant").unwrap_or("-").to_owned();
        self.record.ran(&run.id, &id, path, &tenant);
        if request.body == POISON {
            self.crash();
            return false;
        }
        let began = Instant::now();
        while began.elapsed() < self.behaviour.work && !run.is_over.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        run.running.fetch_sub(1, Ordering::SeqCst);
        if run.is_over.load(Ordering::SeqCst) {
            return false;
        }
        let headers = [
            ("X-Attempt-Id", id.as_str()),
            ("X-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
        ];
        write_answer(stream, 200, &headers, &[b'.'; 800]).is_ok()
    }
}
