//! Metrics of the daemon, by the `metrics` crate.
//!
//! Names follow the Prometheus conventions; label sets are bounded. The table in
//! `docs/operators/metrics.md` lists them.

use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

use crate::prelude::*;

/// The bounds of latency buckets, in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 12] = [
    0.001, 0.005, 0.01, 0.02, 0.031, 0.05, 0.1, 0.3, 0.5, 1.0, 1.7, 5.0,
];

/// Installs the recorder for this process.
pub(crate) fn install() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new()
        .set_buckets(&LATENCY_BUCKETS_SECONDS)?
        .install_recorder()
}

/// Counts a request by how it ended.
pub(crate) fn request_ended(route: &'static str, ended: &'static str) {
    counter!("pistachioyard_requests_total", "route" => route, "ended" => ended).increment(1);
}

/// Records the time from arrival to the first token.
pub(crate) fn first_token(elapsed: Duration) {
    histogram!("pistachioyard_first_token_seconds").record(elapsed.as_secs_f64());
}

/// Records the time between two tokens.
pub(crate) fn between_tokens(elapsed: Duration) {
    histogram!("pistachioyard_between_tokens_seconds").record(elapsed.as_secs_f64());
}

/// Records the time from the loss of a stage to the next token.
pub(crate) fn recovery(elapsed: Duration) {
    histogram!("pistachioyard_recovery_seconds").record(elapsed.as_secs_f64());
}

/// Counts an attempt that replaces an earlier one.
pub(crate) fn retry(reason: &'static str) {
    counter!("pistachioyard_retries_total", "reason" => reason).increment(1);
}

/// Counts bytes sent to peers.
pub(crate) fn peer_bytes_sent(bytes: usize) {
    counter!("pistachioyard_peer_sent_bytes_total").increment(bytes as u64);
}

/// Counts bytes received from peers.
pub(crate) fn peer_bytes_received(bytes: usize) {
    counter!("pistachioyard_peer_received_bytes_total").increment(bytes as u64);
}

/// Sets the gauges that are read from the node's state.
pub(crate) fn set_gauges(node: &Node) {
    gauge!("pistachioyard_config_revision").set(node.revision().0 as f64);
    gauge!("pistachioyard_requests_in_flight").set(node.lifecycle.in_flight() as f64);
    gauge!("pistachioyard_requests_waiting").set(node.admission.waiting() as f64);
    gauge!("pistachioyard_ready").set(f64::from(u8::from(node.is_ready())));
    let live = node.membership.lock().live(Instant::now()).len();
    gauge!("pistachioyard_entries_live").set(live as f64);
}
