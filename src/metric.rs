//! The daemon's metrics, recorded with the `metrics` crate.
//!
//! Names follow the Prometheus conventions. Label values come from fixed sets, so that the number
//! of series does not grow with the traffic. Every series exists from the start. The table in
//! `docs/operators/metrics.md` lists them.

use metrics::{
    Unit, counter, describe_counter, describe_gauge, describe_histogram, gauge, histogram,
};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

use crate::prelude::*;

/// The upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 12] = [
    0.001, 0.005, 0.01, 0.02, 0.031, 0.05, 0.1, 0.3, 0.5, 1.0, 1.7, 5.0,
];

/// The name of the counter of panics.
pub(crate) const PANICS: &str = "pistachioyard_panics_total";
/// The name of the counter of tasks that were started again, by task.
pub(crate) const TASK_RESTARTS: &str = "pistachioyard_task_restarts_total";
const REQUESTS: &str = "pistachioyard_requests_total";
const FIRST_TOKEN: &str = "pistachioyard_first_token_seconds";
const BETWEEN_TOKENS: &str = "pistachioyard_between_tokens_seconds";
const RECOVERY: &str = "pistachioyard_recovery_seconds";
const RETRIES: &str = "pistachioyard_retries_total";
const PEER_SENT: &str = "pistachioyard_peer_sent_bytes_total";
const PEER_RECEIVED: &str = "pistachioyard_peer_received_bytes_total";
const CONFIG_REVISION: &str = "pistachioyard_config_revision";
const IN_FLIGHT: &str = "pistachioyard_requests_in_flight";
const WAITING: &str = "pistachioyard_requests_waiting";
const READY: &str = "pistachioyard_ready";
const ENTRIES_LIVE: &str = "pistachioyard_entries_live";
const ENDPOINTS_USABLE: &str = "pistachioyard_endpoints_usable";
const PLATFORM_REACHABLE: &str = "pistachioyard_platform_reachable";

/// The values of the `route` label.
const ROUTES: [&str; 2] = ["generate", "operation"];
/// The values of the `reason` label: why an attempt replaces an earlier one.
const RETRY_REASONS: [&str; 5] = [
    "link_stalled",
    "not_reached",
    "old_attempt",
    "refused",
    "stage_lost",
];

/// Installs the recorder of this process and creates every series. If that fails, it is logged, and
/// no series are served.
pub(crate) fn install() -> PrometheusHandle {
    let handle = install_recorder().unwrap_or_else(|e| {
        spdlog::error!("entry: no metrics: {e}");
        PrometheusBuilder::new().build_recorder().handle()
    });
    describe();
    register();
    handle
}

fn install_recorder() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new()
        .set_buckets(&LATENCY_BUCKETS_SECONDS)?
        .install_recorder()
}

fn describe() {
    describe_counter!(REQUESTS, "Requests by route and by how they ended");
    describe_histogram!(
        FIRST_TOKEN,
        Unit::Seconds,
        "Time from arrival to the first token"
    );
    describe_histogram!(BETWEEN_TOKENS, Unit::Seconds, "Time between two tokens");
    describe_histogram!(
        RECOVERY,
        Unit::Seconds,
        "Time from the loss of a stage to the next token"
    );
    describe_counter!(RETRIES, "Attempts that replaced an earlier one, by reason");
    describe_counter!(PEER_SENT, Unit::Bytes, "Bytes queued for peers");
    describe_counter!(PEER_RECEIVED, Unit::Bytes, "Bytes received from peers");
    describe_counter!(TASK_RESTARTS, "Tasks that were started again, by task");
    describe_counter!(PANICS, "Panics of the process's tasks");
    describe_gauge!(
        CONFIG_REVISION,
        "Configuration revision in force; 0 if there is none"
    );
    describe_gauge!(IN_FLIGHT, "Requests in progress, including waiting ones");
    describe_gauge!(WAITING, "Requests that wait for a chain");
    describe_gauge!(READY, "1 while the entry accepts new work");
    describe_gauge!(ENTRIES_LIVE, "Entries that this entry considers live");
    describe_gauge!(ENDPOINTS_USABLE, "Endpoints that may get new work");
    describe_gauge!(
        PLATFORM_REACHABLE,
        "1 if the last call to the platform was answered"
    );
}

fn register() {
    for route in ROUTES {
        let problems = ProblemKind::ALL.map(ProblemKind::as_str);
        for ended in ["done", "caller_gone"].into_iter().chain(problems) {
            counter!(REQUESTS, "route" => route, "ended" => ended).absolute(0);
        }
    }
    for reason in RETRY_REASONS {
        counter!(RETRIES, "reason" => reason).absolute(0);
    }
    for name in [PEER_SENT, PEER_RECEIVED] {
        counter!(name).absolute(0);
    }
    for name in [FIRST_TOKEN, BETWEEN_TOKENS, RECOVERY] {
        let _ = histogram!(name);
    }
}

/// Counts a request by how it ended.
pub(crate) fn request_ended(route: &'static str, ended: &'static str) {
    counter!(REQUESTS, "route" => route, "ended" => ended).increment(1);
}

/// Records the time from arrival to the first token.
pub(crate) fn first_token(elapsed: Duration) {
    histogram!(FIRST_TOKEN).record(elapsed.as_secs_f64());
}

/// Records the time between two tokens.
pub(crate) fn between_tokens(elapsed: Duration) {
    histogram!(BETWEEN_TOKENS).record(elapsed.as_secs_f64());
}

/// Records the time from the loss of a stage to the next token.
pub(crate) fn recovery(elapsed: Duration) {
    histogram!(RECOVERY).record(elapsed.as_secs_f64());
}

/// Counts an attempt that replaces an earlier one.
pub(crate) fn retry(reason: &'static str) {
    counter!(RETRIES, "reason" => reason).increment(1);
}

/// Counts bytes that are queued for peers.
pub(crate) fn peer_bytes_sent(bytes: usize) {
    counter!(PEER_SENT).increment(bytes as u64);
}

/// Counts bytes received from peers.
pub(crate) fn peer_bytes_received(bytes: usize) {
    counter!(PEER_RECEIVED).increment(bytes as u64);
}

/// Sets the gauges from the current state of the node.
pub(crate) fn set_gauges(node: &Node) {
    let now = Instant::now();
    gauge!(CONFIG_REVISION).set(node.revision().0 as f64);
    gauge!(IN_FLIGHT).set(node.lifecycle.in_flight() as f64);
    gauge!(WAITING).set(node.admission.waiting() as f64);
    gauge!(READY).set(bool_gauge(node.is_ready()));
    gauge!(PLATFORM_REACHABLE).set(bool_gauge(node.platform.is_reachable()));
    let live = node.membership.lock().live(now).len();
    gauge!(ENTRIES_LIVE).set(live as f64);
    gauge!(ENDPOINTS_USABLE).set(node.usable_endpoints(now) as f64);
}

fn bool_gauge(value: bool) -> f64 {
    f64::from(u8::from(value))
}
