//! A small site: a store, workers of a model and of a plain service, entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use http::Method;
use pistachioyard_standins::{
    AddressPool, Child, FaultRule, HttpClient, HttpClientConfig, Launcher, wait_until,
};
use serde_json::{Value, json};
use tempfile::TempDir;

use super::deployment::{config, entry, standins_binary, worker_process};

pub(crate) const ZONES: [&str; 2] = ["east", "west"];
pub(crate) const KEY: &str = "key-one";
/// The events of each stream; long enough for a fault to meet it.
pub(crate) const EVENTS: u64 = 20;
const START_TIMEOUT: Duration = Duration::from_secs(20);
pub(crate) const ENTRY_PORTS: [u16; 5] = [8_001, 8_002, 8_003, 8_004, 9_464];

/// A process that can be started again.
pub(crate) struct Process {
    pub(crate) name: String,
    pub(crate) program: PathBuf,
    pub(crate) args: Vec<String>,
    pub(crate) child: Option<Child>,
}

impl Process {
    pub(crate) fn start(&mut self, launcher: &Launcher) {
        self.child = None;
        let child = launcher.spawn(&self.name, &self.program, &self.args);
        self.child = Some(child.expect("the process starts"));
    }

    /// Returns the program and its arguments, for a test that starts it in its own way.
    pub(crate) fn command(&self) -> (PathBuf, Vec<String>) {
        (self.program.clone(), self.args.clone())
    }

    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the process can be killed");
        }
    }

    pub(crate) fn running(&mut self) -> &mut Child {
        self.child.as_mut().expect("the process runs")
    }
}

pub(crate) struct Worker {
    pub(crate) process: Process,
    /// Where the test itself asks it.
    pub(crate) address: SocketAddr,
    pub(crate) is_plain: bool,
    /// The runs that were seen before it was killed.
    pub(crate) runs_before: Vec<String>,
}

pub(crate) struct Entry {
    pub(crate) process: Process,
    pub(crate) ip: std::net::IpAddr,
}

impl Entry {
    pub(crate) fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, ENTRY_PORTS[0])
    }

    pub(crate) fn directory(&self) -> SocketAddr {
        SocketAddr::new(self.ip, ENTRY_PORTS[2])
    }

    fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, ENTRY_PORTS[1])
    }

    pub(crate) fn metrics(&self) -> SocketAddr {
        SocketAddr::new(self.ip, ENTRY_PORTS[4])
    }
}

/// The whole site; its processes end with it.
pub(crate) struct Site {
    pub(crate) launcher: Launcher,
    _pool: AddressPool,
    _files: TempDir,
    _fixed: Vec<Child>,
    store: SocketAddr,
    proxy: SocketAddr,
    pub(crate) entries: Vec<Entry>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) client: HttpClient,
    version: u64,
    routes: u64,
}

impl Site {
    /// Starts a site and waits until its entries are ready.
    pub(crate) async fn start(entries: usize) -> Self {
        let launcher = Launcher::new().expect("logs can be kept");
        let pool = AddressPool::new().expect("addresses are free");
        let next = || pool.next_address().expect("an address is free");
        let standins = standins_binary();
        let (store, store_route, proxy) = (next(), next(), next());
        let mut fixed = vec![
            launcher
                .spawn(
                    "store",
                    &standins,
                    [
                        "--exit-with-stdin",
                        "site-store",
                        "--listen",
                        &store.to_string(),
                    ],
                )
                .expect("the store starts"),
        ];
        let mut routes = vec![format!("{store_route}={store}")];
        let mut workers = Vec::new();
        for zone in ZONES {
            for (count, is_plain) in [(3, false), (1, true)] {
                for at in 0..count {
                    let (address, advertised) = (next(), next());
                    routes.push(format!("{advertised}={address}"));
                    let process =
                        worker_process(&standins, zone, at, is_plain, address, advertised, store);
                    workers.push(Worker {
                        process,
                        address,
                        is_plain,
                        runs_before: Vec::new(),
                    });
                }
            }
        }
        let control = proxy.to_string();
        let mut args = vec!["--exit-with-stdin", "proxy", "--listen-control", &control];
        for route in &routes {
            args.extend(["--route", route]);
        }
        fixed.push(
            launcher
                .spawn("proxy", &standins, args)
                .expect("the proxy starts"),
        );
        let files = tempfile::tempdir().expect("a folder can be made");
        let entries = (0..entries)
            .map(|at| entry(files.path(), at, next().ip(), store_route))
            .collect();
        let mut site = Self {
            launcher,
            _pool: pool,
            _files: files,
            _fixed: fixed,
            store,
            proxy,
            entries,
            workers,
            client: HttpClient::new(HttpClientConfig {
                connect_timeout: Duration::from_secs(1),
                request_timeout: Duration::from_secs(8),
                ..HttpClientConfig::default()
            }),
            version: 0,
            routes: 0,
        };
        site.await_store().await;
        assert!(
            site.apply_config().await,
            "the store takes the configuration"
        );
        for worker in &mut site.workers {
            worker.process.start(&site.launcher);
        }
        for entry in &mut site.entries {
            entry.process.start(&site.launcher);
        }
        site.await_service().await;
        site
    }

    async fn await_store(&self) {
        wait_until(START_TIMEOUT, "the store", || async {
            self.call(self.store, Method::GET, "/objects/config", Value::Null)
                .await
                .is_some()
        })
        .await
        .expect("the store answers");
    }

    /// Waits until every entry is ready and serves a stream.
    pub(crate) async fn await_service(&self) {
        for entry in &self.entries {
            wait_until(START_TIMEOUT, &entry.process.name, || async {
                let ready = self
                    .call(entry.ready(), Method::GET, "/ready", Value::Null)
                    .await;
                ready == Some(200) && self.stream(entry.callers()).await.is_ok()
            })
            .await
            .expect("the entry serves");
        }
    }

    /// Waits until every entry counts so many live ones, for some gossip periods.
    pub(crate) async fn await_live_entries(&self, count: usize) {
        let wanted = format!("router_entries_live {count}");
        for entry in &self.entries {
            wait_until(Duration::from_secs(2), "live entries", || async {
                let metrics = self.metrics_of(entry).await;
                metrics.lines().any(|line| line == wanted)
            })
            .await
            .expect("the entries know each other");
        }
    }

    /// Reads an entry's metrics.
    pub(crate) async fn metrics_of(&self, entry: &Entry) -> String {
        let sent = self
            .client
            .send(Method::GET, entry.metrics(), "/metrics", &[], "".into())
            .await;
        let body = sent.expect("the metrics are served").body;
        String::from_utf8_lossy(&body).into_owned()
    }

    /// Makes a call and returns its status.
    pub(crate) async fn call(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: Value,
    ) -> Option<u16> {
        let sent = self
            .client
            .send(method, to, path, &[], body.to_string().into())
            .await;
        sent.ok().map(|answer| answer.status.as_u16())
    }

    /// Writes the next version of the configuration, as the operator does; tells
    /// whether the store took it.
    pub(crate) async fn apply_config(&mut self) -> bool {
        self.version += 3;
        // The client names the address that it connects to as the host.
        let hosts: Vec<String> = self
            .entries
            .iter()
            .map(|entry| entry.ip.to_string())
            .collect();
        let spec = config(self.version, self.routes, &hosts);
        let body = json!({ "metadata": { "name": "main" }, "spec": spec });
        let created = self
            .call(self.store, Method::POST, "/objects/config", body.clone())
            .await;
        if created == Some(409) {
            let put = self
                .call(self.store, Method::PUT, "/objects/config/main", body)
                .await;
            return put == Some(200);
        }
        created == Some(200)
    }

    /// Adds a route and returns its path; none if the store did not take it.
    pub(crate) async fn add_route(&mut self) -> Option<String> {
        self.routes += 1;
        let path = format!("/extra-{}/", self.routes);
        self.apply_config().await.then_some(path)
    }

    /// Makes the store answer with a status; 0 ends it.
    pub(crate) async fn set_store_fault(&self, status: u16) {
        let set = self
            .call(self.store, Method::PUT, "/control/fault", json!(status))
            .await;
        assert_eq!(set, Some(200));
    }

    /// Replaces the faults of the proxy before the store and the workers.
    pub(crate) async fn set_proxy_faults(&self, rules: &[FaultRule]) {
        let body = serde_json::to_value(rules).expect("rules are JSON");
        let headers = [("content-type", "application/json")];
        let sent = self
            .client
            .send(
                Method::PUT,
                self.proxy,
                "/control/faults",
                &headers,
                body.to_string().into(),
            )
            .await
            .expect("the proxy answers");
        assert!(sent.status.is_success(), "{:?}", sent.status);
    }

    /// Finds a worker that is never the first of a path and whose layers another one of
    /// its data centre, the first entry's, holds too.
    pub(crate) async fn backed_up_worker(&self) -> usize {
        let mut held = Vec::new();
        for (at, worker) in self.workers.iter().enumerate() {
            let sent = self
                .client
                .get_json::<Value>(worker.address, "/report")
                .await;
            let report = sent.expect("a worker answers");
            let is_home = report["zone"] == ZONES[0];
            if is_home && report["layers"]["from"].as_u64() > Some(0) {
                held.push((at, report["layers"].clone()));
            }
        }
        let twin = |layers: &Value| held.iter().filter(|(_, other)| other == layers).count() > 1;
        let backed_up = held.iter().find(|(_, layers)| twin(layers));
        backed_up.expect("a pair holds the same layers").0
    }

    /// Remembers the runs of a worker that is about to be killed.
    pub(crate) async fn note_runs(&mut self, at: usize) {
        let runs = self.runs_of(&self.workers[at]).await;
        self.workers[at].runs_before.extend(runs);
    }

    async fn runs_of(&self, worker: &Worker) -> Vec<String> {
        let sent = self.client.send(
            Method::GET,
            worker.address,
            "/control/runs",
            &[],
            bytes::Bytes::new(),
        );
        sent.await
            .ok()
            .and_then(|answer| answer.json().ok())
            .unwrap_or_default()
    }

    /// Counts the runs of each request over all workers.
    pub(crate) async fn runs(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for worker in &self.workers {
            let now = self.runs_of(worker).await;
            for id in worker.runs_before.iter().cloned().chain(now) {
                *counts.entry(id).or_default() += 1;
            }
        }
        counts
    }
}
