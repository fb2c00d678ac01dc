//! Prometheus metrics of the router daemon.
//!
//! Labels have fixed sets of values or name the services of the configuration, so the number of
//! series does not grow with traffic.
//! `docs/OPERATIONS.md` lists the metrics.

use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use pistachioyard_policy::{RunFate, StartAt, TurnHistory};
use pistachioyard_wire::ServiceName;

use crate::daemon::TurnMeter;
use crate::prelude::*;
use crate::router::Router;
use crate::shortage::Shortage;

/// The latency bucket bounds, in seconds; they surround the latency targets of the routes.
const LATENCY_BUCKETS_SECONDS: [f64; 10] = [0.01, 0.03, 0.06, 0.1, 0.15, 0.2, 0.5, 1.0, 2.5, 20.0];

/// The labels of urgencies, which bound the number of series.
const URGENCY_LABELS: [&str; 8] = ["0", "1", "2", "3", "4", "5", "6", "7+"];

/// The name of the counter of panics.
pub(crate) const PANICS: &str = "router_panics_total";

/// The name of the counter of tasks that were started again, by task.
pub(crate) const TASK_RESTARTS: &str = "router_task_restarts_total";

/// Holds where the metrics of this process are read.
#[derive(Clone, Debug)]
pub(crate) struct Exporter {
    handle: PrometheusHandle,
    turns: Arc<TurnMeter>,
}

/// Counts a request by how it ended and records its duration.
pub(crate) fn count_request(ended: &'static str, took: Duration) {
    counter!("router_requests_total", "ended" => ended).increment(1);
    histogram!("router_request_seconds").record(took.as_secs_f64());
}

/// Records the time to the first event of a stream.
pub(crate) fn record_first_event(took: Duration) {
    histogram!("router_first_event_seconds").record(took.as_secs_f64());
}

/// Counts the first try of a request for a service.
pub(crate) fn count_first_try(service: &ServiceName) {
    let service = service.as_str().to_owned();
    counter!("router_first_tries_total", "service" => service).increment(1);
}

/// Counts a retry at a service, by whether the retry budget allowed it, and records how many
/// retries are left of this entry's part.
pub(crate) fn count_retry(service: &ServiceName, allowed: bool, left: f64) {
    let allowed = if allowed { "yes" } else { "no" };
    let service = service.as_str().to_owned();
    gauge!("router_retries_left", "service" => service.clone()).set(left);
    counter!("router_retries_total", "service" => service, "allowed" => allowed).increment(1);
}

/// Records the longest pause between two events of a finished stream.
pub(crate) fn record_longest_pause(pause: Duration) {
    histogram!("router_longest_pause_seconds").record(pause.as_secs_f64());
}

/// Counts a path that lost an endpoint, by whether it was repaired without restarting the
/// request.
pub(crate) fn count_path_repair(repaired: bool) {
    let repaired = if repaired { "yes" } else { "no" };
    counter!("router_paths_mended_total", "mended" => repaired).increment(1);
}

/// Counts the ejection of an endpoint.
pub(crate) fn count_suspect() {
    counter!("router_suspects_total").increment(1);
}

/// Counts a request that is refused from now on, since it crashed endpoints.
pub(crate) fn count_quarantined_request() {
    counter!("router_requests_quarantined_total").increment(1);
}

/// Counts a loss that is held against no request, by what became of the endpoint's run.
pub(crate) fn count_uncounted_loss(fate: RunFate) {
    counter!("router_losses_uncounted_total", "fate" => fate.as_str()).increment(1);
}

/// Counts a list of all endpoints that was read because a peer had seen a newer change.
pub(crate) fn count_overtaken_watch() {
    counter!("router_watches_overtaken_total").increment(1);
}

/// Counts a copy of the store's objects that was read again because nothing had confirmed it.
pub(crate) fn count_expired_copy(kind: &'static str) {
    counter!("router_copies_expired_total", "kind" => kind).increment(1);
}

/// Counts a request that was refused because of a part of its prompt.
pub(crate) fn count_part_refusal() {
    counter!("router_part_refusals_total").increment(1);
}

/// Counts a part of prompts that is refused from now on.
pub(crate) fn count_part_conviction() {
    counter!("router_parts_refused_total").increment(1);
}

/// Counts a permit for a request to a limited endpoint, by whether it was granted.
pub(crate) fn count_permit(granted: bool) {
    let granted = if granted { "yes" } else { "no" };
    counter!("router_permits_total", "granted" => granted).increment(1);
}

/// Counts a request that was refused because the limits of the endpoints left no room.
pub(crate) fn count_limit_refusal() {
    counter!("router_limit_refusals_total").increment(1);
}

/// Counts a request that was refused on arrival, by its urgency and the cause.
pub(crate) fn count_admission_refusal(urgency: u8, why: &'static str) {
    let urgency = urgency_label(urgency);
    counter!("router_admission_refusals_total", "urgency" => urgency, "why" => why).increment(1);
}

/// Records how long a request waited for room, by its urgency and how the wait ended.
pub(crate) fn record_admission_wait(urgency: u8, ended: &'static str, waited: Duration) {
    let urgency = urgency_label(urgency);
    histogram!("router_admission_wait_seconds", "urgency" => urgency, "ended" => ended)
        .record(waited.as_secs_f64());
}

/// Records the share of the memory that requests of an urgency leave free for others.
pub(crate) fn record_reserve(urgency: u8, share: f64) {
    gauge!("router_admission_reserve_ratio", "urgency" => urgency_label(urgency)).set(share);
}

/// Returns the label of an urgency; the least urgent ones share the last label.
fn urgency_label(urgency: u8) -> &'static str {
    let last = URGENCY_LABELS.len() - 1;
    URGENCY_LABELS[usize::from(urgency).min(last)]
}

/// Counts what became of a return that refused callers were told: `booked`, `kept` or `missed`.
pub(crate) fn count_return(what: &'static str) {
    counter!("router_returns_total", "what" => what).increment(1);
}

/// Counts a call to the store, by whether it was answered.
pub(crate) fn count_store_call(answered: bool) {
    let answered = if answered { "yes" } else { "no" };
    counter!("router_store_calls_total", "answered" => answered).increment(1);
}

/// Counts a connection that was not opened, since this host lacks something.
pub(crate) fn count_shortage(of: Shortage) {
    counter!("router_host_shortages_total", "of" => of.as_str()).increment(1);
}

/// Counts a read of a kind that had to wait, since the store's answers leave no pause.
pub(crate) fn count_paced_read(kind: &'static str) {
    counter!("router_store_reads_paced_total", "kind" => kind).increment(1);
}

/// Counts an order sent to an endpoint.
pub(crate) fn count_order() {
    counter!("router_orders_total").increment(1);
}

/// Counts an attempt to connect to an endpoint.
pub(crate) fn count_connect() {
    counter!("router_endpoint_connects_total").increment(1);
}

/// Records how strongly requests want to leave the data centre, and the memory elsewhere that this
/// entry may use.
pub(crate) fn set_departures(service: &ServiceName, want: f64, granted_tokens: f64) {
    let service = service.as_str().to_owned();
    gauge!("router_departure_want", "service" => service.clone()).set(want);
    gauge!("router_departure_granted_tokens", "service" => service).set(granted_tokens);
}

/// Counts a path by where it starts and by what it may.
pub(crate) fn count_start(service: &ServiceName, at: StartAt) {
    let service = service.as_str().to_owned();
    counter!("router_path_starts_total", "service" => service, "at" => at.as_str()).increment(1);
}

/// Counts a request that is passed on to a peer.
pub(crate) fn count_relay() {
    counter!("router_relays_total").increment(1);
}

/// Installs the process-wide metrics recorder. If that fails, it is logged, and only the turns are
/// served.
pub(crate) fn install(turns: Arc<TurnMeter>) -> Exporter {
    let handle = install_recorder().unwrap_or_else(|e| {
        spdlog::error!("router: no metrics", kv: { why = e.to_string().as_str() });
        PrometheusBuilder::new().build_recorder().handle()
    });
    Exporter { handle, turns }
}

fn install_recorder() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new()
        .set_buckets(&LATENCY_BUCKETS_SECONDS)?
        .install_recorder()
}

impl Exporter {
    /// Keeps the memory of the recorder bounded.
    pub(crate) async fn keep_up(self) {
        crate::metrics_upkeep::run(self.handle).await;
    }

    /// Updates the gauges and renders all series.
    pub(crate) fn render(&self, router: &Router) -> String {
        let now = Instant::now();
        let (known, usable) = router.endpoints.lock().counts(now);
        gauge!("router_endpoints_known").set(known as f64);
        gauge!("router_endpoints_usable").set(usable as f64);
        let limited = router.endpoints.lock().limits().count();
        gauge!("router_endpoints_limited").set(limited as f64);
        gauge!("router_services_out_of_reach").set(router.count_out_of_reach() as f64);
        let parts = router.retries.lock().parts().unwrap_or_default();
        gauge!("router_retry_parts").set(parts as f64);
        let failing = u8::from(router.tasks.has_failing_task());
        gauge!("router_tasks_failing").set(f64::from(failing));
        gauge!("router_settings_assumed").set(router.settings.assumed.len() as f64);
        gauge!("router_entries_live").set(router.live_entries(now) as f64);
        gauge!("router_config_version").set(router.version() as f64);
        gauge!("router_requests_in_flight").set(router.lifecycle.in_flight() as f64);
        let mut waiting = [0; URGENCY_LABELS.len()];
        for (urgency, count) in router.waiting_by_urgency() {
            waiting[usize::from(urgency).min(URGENCY_LABELS.len() - 1)] += count;
        }
        for (label, count) in URGENCY_LABELS.into_iter().zip(waiting) {
            gauge!("router_admission_waiting", "urgency" => label).set(count as f64);
        }
        for share in router.memory.all() {
            let kind = share.kind().as_str();
            let (used_bytes, refusals) = share.usage();
            gauge!("router_memory_used_bytes", "kind" => kind).set(used_bytes as f64);
            counter!("router_memory_refusals_total", "kind" => kind).absolute(refusals);
        }
        let turns = self.turns.history();
        gauge!("router_longest_turn_seconds").set(turns.took().longest().as_secs_f64());
        gauge!("router_longest_turn_cpu_seconds").set(turns.cpu().longest().as_secs_f64());
        gauge!("router_log_lines_dropped").set(crate::router::log::dropped() as f64);
        self.handle.render() + &render_turns(&turns)
    }
}

/// Renders the turns, which are recorded at each wait and so not kept one by one.
fn render_turns(turns: &TurnHistory) -> String {
    let took = turns.took().render(
        "router_turn_seconds",
        "Time between two waits of the thread",
    );
    let cpu = turns.cpu().render(
        "router_turn_cpu_seconds",
        "Processor time between two waits",
    );
    took + &cpu
}
