//! Logs and counts what happens to a request and how it ends.

use pistachioyard_policy::{Path, Route};
use pistachioyard_wire::ServiceName;

use crate::prelude::*;
use crate::router::log::ms;
use crate::router::{ActiveConfig, metric};

/// Holds what is known of a request so far; it is logged when the request ends.
///
/// A record that is dropped before its end belongs to a caller that disconnected.
pub(crate) struct Record {
    arrived_at: Instant,
    request_id: Arc<str>,
    route: Option<Arc<Route>>,
    service: Option<ServiceName>,
    version: u64,
    config_age_ms: u64,
    sends: u32,
    /// When the caller was last sent events.
    last_events_at: Option<Instant>,
    first_event: Duration,
    longest_pause: Duration,
    has_ended: bool,
}

impl Record {
    /// Creates the record of a request that has just arrived.
    pub(crate) fn new(arrived_at: Instant) -> Self {
        Self {
            arrived_at,
            request_id: "-".into(),
            route: None,
            service: None,
            version: 0,
            config_age_ms: 0,
            sends: 0,
            last_events_at: None,
            first_event: Duration::ZERO,
            longest_pause: Duration::ZERO,
            has_ended: false,
        }
    }

    /// Creates a record that logs nothing when it is dropped.
    pub(crate) fn placeholder(arrived_at: Instant) -> Self {
        let mut record = Self::new(arrived_at);
        record.has_ended = true;
        record
    }

    pub(crate) fn set_request_id(&mut self, request_id: &Arc<str>) {
        self.request_id = request_id.clone();
    }

    pub(crate) fn set_config(&mut self, config: &ActiveConfig) {
        self.version = config.table.version;
        self.config_age_ms = ms(config.adopted_at.elapsed());
    }

    pub(crate) fn set_route(&mut self, route: &Arc<Route>) {
        self.route = Some(route.clone());
    }

    pub(crate) fn set_service(&mut self, service: &ServiceName) {
        self.service = Some(service.clone());
    }

    /// Returns the number of times that the request was sent.
    pub(crate) fn sends(&self) -> u32 {
        self.sends
    }

    /// Logs that the request is sent to an endpoint, and the state that led to this choice.
    pub(crate) fn log_send(&mut self, endpoint: &EndpointId, load: u32, age: Duration, why: &str) {
        self.sends += 1;
        spdlog::info!("request: sent", kv: {
            request = &*self.request_id, endpoint = endpoint.as_str(), attempt = self.sends,
            why, in_flight_there = load, entry_age_ms = ms(age), config = self.version
        });
    }

    /// Logs that the request is sent along a path, and the state that led to this choice.
    pub(crate) fn log_path_send(&mut self, path: &Path, age: Duration, why: &str) {
        self.sends += 1;
        spdlog::info!("request: sent", kv: {
            request = &*self.request_id, path = format_stages(path).as_str(), attempt = self.sends,
            why, expected_ms = path.cost_ms as u64, crossings = path.crossings,
            oldest_entry_ms = ms(age), config = self.version
        });
    }

    /// Records that events are sent to the caller, to measure the longest pause between them.
    pub(crate) fn note_events(&mut self, now: Instant) {
        match self.last_events_at.replace(now) {
            None => {
                self.first_event = now.saturating_duration_since(self.arrived_at);
                metric::record_first_event(self.first_event);
            }
            Some(before) => {
                let pause = now.saturating_duration_since(before);
                self.longest_pause = self.longest_pause.max(pause);
            }
        }
    }

    /// Logs that the request continues on a repaired path without being sent again.
    pub(crate) fn log_path_repaired(&self, path: &Path, why: &str) {
        metric::count_path_repair(true);
        spdlog::info!("request: path repaired", kv: {
            request = &*self.request_id, path = format_stages(path).as_str(), why,
            expected_ms = path.cost_ms as u64, crossings = path.crossings,
            after_ms = ms(self.arrived_at.elapsed())
        });
    }

    /// Logs that the path could not be repaired.
    pub(crate) fn log_repair_failed(&self, lost: &EndpointId, why: &str, refusal: &str) {
        metric::count_path_repair(false);
        spdlog::info!("request: path not repaired", kv: {
            request = &*self.request_id, endpoint = lost.as_str(), why, refusal,
            after_ms = ms(self.arrived_at.elapsed())
        });
    }

    /// Logs that a path which was silent for `silence` goes on.
    pub(crate) fn log_silence_over(&self, why: &str, silence: Duration) {
        spdlog::info!("request: silent path goes on", kv: {
            request = &*self.request_id, attempt = self.sends, why, silent_ms = ms(silence),
            after_ms = ms(self.arrived_at.elapsed())
        });
    }

    /// Logs an attempt that failed.
    pub(crate) fn log_attempt_failed(&self, endpoint: &EndpointId, why: &str) {
        spdlog::warn!("request: attempt failed", kv: {
            request = &*self.request_id, endpoint = endpoint.as_str(), attempt = self.sends,
            why, after_ms = ms(self.arrived_at.elapsed())
        });
    }

    /// Ends the record of a request that was refused or failed.
    pub(crate) fn end_refused(&mut self, problem: &Problem) {
        self.end(problem.kind.as_str(), problem.status, &problem.detail);
    }

    /// Ends the record of a request whose answer was sent to the caller.
    pub(crate) fn end_answered(&mut self, status: u16) {
        self.end("answered", status, "");
    }

    /// Ends the record of a stream that was aborted.
    pub(crate) fn end_aborted(&mut self, why: &str) {
        self.end("broken_off", 200, why);
    }

    fn end(&mut self, ended: &'static str, status: u16, detail: &str) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        let took = self.arrived_at.elapsed();
        metric::count_request(ended, took);
        if self.last_events_at.is_some() {
            metric::record_longest_pause(self.longest_pause);
        }
        let route = self.route.as_ref().map_or("-", |route| &route.name);
        let service = self.service.as_ref().map_or("-", ServiceName::as_str);
        spdlog::info!("request: ended", kv: {
            request = &*self.request_id, ended, status, route, service, sends = self.sends,
            took_ms = ms(took), first_event_ms = ms(self.first_event),
            longest_pause_ms = ms(self.longest_pause), config = self.version,
            config_age_ms = self.config_age_ms, detail
        });
    }
}

/// Formats the endpoints of a path with their layers.
fn format_stages(path: &Path) -> String {
    let stages = path.stages.iter();
    let formatted: Vec<String> = stages
        .map(|stage| format!("{}={}", stage.endpoint, stage.layers))
        .collect();
    formatted.join(",")
}

impl Drop for Record {
    fn drop(&mut self) {
        let ended = match std::thread::panicking() {
            true => "panicked",
            false => "caller_gone",
        };
        self.end(ended, 0, "");
    }
}
