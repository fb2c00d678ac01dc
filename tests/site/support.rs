//! A small site: a store, endpoints of a service with a pipeline and of one without, and entries.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::future::join_all;
use http::Method;
use pistachioyard_standins::{
    AddressPool, Child, FaultRule, HttpClient, HttpClientConfig, Launcher, wait_until,
};
use serde_json::{Value, json};
use tempfile::TempDir;

use super::deployment::{config, endpoint_process, entry, standins_binary};
use super::layout::Layout;
use super::process::Process;

/// The site's data centres.
pub(crate) const DATA_CENTRES: [&str; 2] = ["east", "west"];
/// The API key of the site's only workspace.
pub(crate) const KEY: &str = "key-one";
/// How long a process may take to start and serve.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a configuration may take to be in force; `config_ms` in the settings.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(2);
/// An entry's ports for callers, readiness, the directory, gossip and metrics.
pub(crate) const ENTRY_PORTS: [u16; 5] = [8_001, 8_002, 8_003, 8_004, 9_464];

/// Holds an endpoint, which the stand-in `site-worker` plays.
pub(crate) struct Endpoint {
    pub(crate) process: Process,
    /// The address on which the test reaches it without the proxy.
    pub(crate) address: SocketAddr,
    /// The address on which the entries and the other endpoints reach it.
    pub(crate) advertised: SocketAddr,
    /// Whether it belongs to the service without a pipeline and so holds no layers.
    pub(crate) is_plain: bool,
    /// The request ids that it ran before it was killed.
    pub(crate) earlier_runs: Vec<String>,
}

/// Holds an entry, which runs the router's own binary.
pub(crate) struct Entry {
    pub(crate) process: Process,
    pub(crate) ip: std::net::IpAddr,
    /// The whole content of its settings file at the start of the site.
    pub(crate) settings: String,
}

impl Entry {
    pub(crate) fn caller_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, ENTRY_PORTS[0])
    }

    pub(crate) fn directory_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, ENTRY_PORTS[2])
    }

    pub(crate) fn ready_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, ENTRY_PORTS[1])
    }

    pub(crate) fn metrics_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, ENTRY_PORTS[4])
    }
}

/// Holds a running site; dropping it ends its processes.
pub(crate) struct Site {
    pub(crate) launcher: Launcher,
    _pool: AddressPool,
    _files: TempDir,
    pub(crate) store_process: Process,
    _proxy_process: Child,
    pub(crate) store: SocketAddr,
    /// The address on which the entries reach the store.
    pub(crate) proxied_store: SocketAddr,
    proxy: SocketAddr,
    pub(crate) entries: Vec<Entry>,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) client: HttpClient,
    pub(crate) layout: Layout,
    version: AtomicU64,
    routes: AtomicU64,
}

impl Site {
    /// Starts a site of the default layout and waits until its entries serve requests.
    pub(crate) async fn start(entries: usize) -> Self {
        Self::start_with(Layout {
            entries,
            ..Layout::default()
        })
        .await
    }

    /// Starts a site and waits until its entries serve requests.
    pub(crate) async fn start_with(layout: Layout) -> Self {
        let mut site = Self::prepare(layout);
        site.start_store().await;
        assert!(
            site.apply_config().await,
            "the store accepts the configuration"
        );
        site.start_endpoints();
        site.start_entries();
        site.await_service().await;
        site
    }

    /// Returns a site of which only the proxy runs.
    pub(crate) fn prepare(layout: Layout) -> Self {
        let launcher = Launcher::new().expect("the launcher can be set up");
        let pool = AddressPool::new().expect("addresses are free");
        let next = || pool.next_address().expect("an address is free");
        let standins = standins_binary();
        let (store, proxied_store, proxy) = (next(), next(), next());
        let store_args = ["--exit-with-stdin", "site-store", "--listen"].map(str::to_owned);
        let store_args = store_args.into_iter().chain([store.to_string()]).collect();
        let store_process = Process::new("store".to_owned(), standins.clone(), store_args);
        let mut routes = vec![format!("{proxied_store}={store}")];
        let mut endpoints = Vec::new();
        for data_centre in layout.data_centres {
            let counts = [(layout.engines, false), (layout.plain_endpoints, true)];
            for (count, is_plain) in counts {
                for index in 0..count {
                    let address = next();
                    let advertised = if layout.is_proxied { next() } else { address };
                    if layout.is_proxied {
                        routes.push(format!("{advertised}={address}"));
                    }
                    let name = layout.endpoint_name(data_centre, index, is_plain);
                    let mut process = endpoint_process(&standins, name, data_centre, store);
                    process.args.extend(layout.endpoint_args(is_plain));
                    process.args.extend([
                        "--listen".to_owned(),
                        address.to_string(),
                        "--advertise".to_owned(),
                        advertised.to_string(),
                    ]);
                    endpoints.push(Endpoint {
                        process,
                        address,
                        advertised,
                        is_plain,
                        earlier_runs: Vec::new(),
                    });
                }
            }
        }
        let control = proxy.to_string();
        let mut args = vec!["--exit-with-stdin", "proxy", "--listen-control", &control];
        for route in &routes {
            args.extend(["--route", route]);
        }
        let proxy_process = launcher
            .spawn("proxy", &standins, args)
            .expect("the proxy starts");
        let files = tempfile::tempdir().expect("a directory can be created");
        let entries = (0..layout.entries)
            .map(|index| entry(files.path(), index, next().ip(), proxied_store, &layout))
            .collect();
        Self {
            launcher,
            _pool: pool,
            _files: files,
            store_process,
            _proxy_process: proxy_process,
            store,
            proxied_store,
            proxy,
            entries,
            endpoints,
            client: HttpClient::new(HttpClientConfig {
                connect_timeout: Duration::from_secs(1),
                request_timeout: Duration::from_secs(8),
                ..HttpClientConfig::default()
            }),
            layout,
            version: AtomicU64::new(0),
            routes: AtomicU64::new(0),
        }
    }

    /// Starts the store, empty, and waits until it answers; kills the one that runs, if any.
    pub(crate) async fn start_store(&mut self) {
        self.store_process.start(&self.launcher);
        self.await_store().await;
    }

    /// Starts all endpoints.
    pub(crate) fn start_endpoints(&mut self) {
        for endpoint in &mut self.endpoints {
            endpoint.process.start(&self.launcher);
        }
    }

    /// Starts all entries.
    pub(crate) fn start_entries(&mut self) {
        for entry in &mut self.entries {
            entry.process.start(&self.launcher);
        }
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

    /// Waits until every entry reports readiness and serves a stream.
    pub(crate) async fn await_service(&self) {
        // At the same time, so that the wait does not grow with the number of entries.
        join_all(self.entries.iter().map(|entry| async move {
            wait_until(START_TIMEOUT, &entry.process.name, || async {
                let ready = self
                    .call(entry.ready_address(), Method::GET, "/ready", Value::Null)
                    .await;
                ready == Some(200) && self.check_stream(entry.caller_address()).await.is_ok()
            })
            .await
            .expect("the entry serves requests");
        }))
        .await;
    }

    /// Kills all entries and starts them again, so that none has a peer that knows anything.
    pub(crate) fn restart_entries(&mut self) {
        for entry in &mut self.entries {
            entry.process.kill();
        }
        self.start_entries();
    }

    /// Waits, for some gossip periods at most, until every entry counts `count` live entries.
    pub(crate) async fn await_live_entries(&self, count: usize) {
        let expected = format!("router_entries_live {count}");
        for entry in &self.entries {
            wait_until(Duration::from_secs(2), "live entries", || async {
                let metrics = self.fetch_metrics(entry).await;
                metrics.lines().any(|line| line == expected)
            })
            .await
            .expect("every entry counts the expected live entries");
        }
    }

    /// Returns an entry's metrics as text.
    pub(crate) async fn fetch_metrics(&self, entry: &Entry) -> String {
        let result = self
            .client
            .send(
                Method::GET,
                entry.metrics_address(),
                "/metrics",
                &[],
                "".into(),
            )
            .await;
        let body = result.expect("the metrics are served").body;
        String::from_utf8_lossy(&body).into_owned()
    }

    /// Returns how many paths the first entry has repaired.
    pub(crate) async fn count_repaired_paths(&self) -> u64 {
        let metrics = self.fetch_metrics(&self.entries[0]).await;
        let count = metrics
            .lines()
            .find_map(|line| line.strip_prefix("router_paths_mended_total{mended=\"yes\"} "));
        count.map_or(0, |count| count.parse().expect("the metric is a number"))
    }

    /// Makes a call and returns the status of its answer; none if it fails.
    pub(crate) async fn call(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: Value,
    ) -> Option<u16> {
        let result = self
            .client
            .send(method, to, path, &[], body.to_string().into())
            .await;
        result.ok().map(|answer| answer.status.as_u16())
    }

    /// Writes the next version of the configuration, as an operator does, and returns whether
    /// the store accepted it.
    pub(crate) async fn apply_config(&self) -> bool {
        self.apply_config_with(|_| {}).await
    }

    /// Does the same as [`Site::apply_config`] with a change of that version.
    pub(crate) async fn apply_config_with(&self, change: impl FnOnce(&mut Value)) -> bool {
        let version = self.version.fetch_add(3, Ordering::SeqCst) + 3;
        // The client sends the address to which it connects as the host.
        let hosts: Vec<String> = self
            .entries
            .iter()
            .map(|entry| entry.ip.to_string())
            .collect();
        let mut spec = config(version, self.routes.load(Ordering::SeqCst), &hosts);
        change(&mut spec);
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

    /// Applies the next version with a change of it, and waits until it is in force at every
    /// entry.
    pub(crate) async fn adopt_config_with(&self, change: impl FnOnce(&mut Value)) {
        assert!(
            self.apply_config_with(change).await,
            "the store accepts the configuration"
        );
        let version = self.version.load(Ordering::SeqCst);
        let expected = format!("router_config_version {version}");
        for entry in &self.entries {
            wait_until(CONFIG_TIMEOUT, "the configuration", || async {
                let metrics = self.fetch_metrics(entry).await;
                metrics.lines().any(|line| line == expected)
            })
            .await
            .expect("the configuration is in force in time");
        }
    }

    /// Adds a route and returns its path; none if the store did not accept it.
    pub(crate) async fn add_route(&self) -> Option<String> {
        let routes = self.routes.fetch_add(1, Ordering::SeqCst) + 1;
        let path = format!("/extra-{routes}/");
        self.apply_config().await.then_some(path)
    }

    /// Makes the store answer every call with a status; 0 clears the fault.
    pub(crate) async fn set_store_fault(&self, status: u16) {
        let set = self
            .call(self.store, Method::PUT, "/control/fault", json!(status))
            .await;
        assert_eq!(set, Some(200));
    }

    /// Makes the store take a copy of its objects or come back from it.
    pub(crate) async fn control_store(&self, action: &str, body: Value) {
        let path = format!("/control/{action}");
        let status = self.call(self.store, Method::PUT, &path, body).await;
        assert_eq!(status, Some(200), "{action}");
    }

    /// Replaces the faults of the proxy in front of the store and the endpoints.
    pub(crate) async fn set_proxy_faults(&self, rules: &[FaultRule]) {
        let body = serde_json::to_value(rules).expect("the rules can be encoded");
        let headers = [("content-type", "application/json")];
        let answer = self
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
        assert!(answer.status.is_success(), "{:?}", answer.status);
    }
}
