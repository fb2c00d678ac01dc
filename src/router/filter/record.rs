//! Says in one line what became of a request, and counts it.

use pistachioyard_policy::{Path, Route};
use pistachioyard_wire::ServiceName;

use crate::prelude::*;
use crate::router::log::ms;
use crate::router::{ActiveConfig, metric};

/// What is known of a request so far; written when the request has ended.
///
/// A record that is dropped without an end belongs to a caller that left.
pub(crate) struct Record {
    arrived_at: Instant,
    request_id: Arc<str>,
    route: Option<Arc<Route>>,
    service: Option<ServiceName>,
    version: u64,
    config_age_ms: u64,
    sends: u32,
    /// When the caller was given something last.
    passed_on_at: Option<Instant>,
    first_event: Duration,
    longest_pause: Duration,
    is_over: bool,
}

impl Record {
    /// Begins a record.
    pub(crate) fn new(arrived_at: Instant) -> Self {
        Self {
            arrived_at,
            request_id: "-".into(),
            route: None,
            service: None,
            version: 0,
            config_age_ms: 0,
            sends: 0,
            passed_on_at: None,
            first_event: Duration::ZERO,
            longest_pause: Duration::ZERO,
            is_over: false,
        }
    }

    /// Takes the record over, for a request whose end comes later.
    pub(crate) fn take(&mut self) -> Self {
        std::mem::replace(self, Self::placeholder(self.arrived_at))
    }

    /// Makes a record that says nothing, to stand where another one will.
    pub(crate) fn placeholder(arrived_at: Instant) -> Self {
        let mut record = Self::new(arrived_at);
        record.is_over = true;
        record
    }

    pub(crate) fn identified(&mut self, request_id: &Arc<str>) {
        self.request_id = request_id.clone();
    }

    pub(crate) fn under(&mut self, in_force: &ActiveConfig) {
        self.version = in_force.table.version;
        self.config_age_ms = ms(in_force.adopted_at.elapsed());
    }

    pub(crate) fn on_route(&mut self, route: &Arc<Route>) {
        self.route = Some(route.clone());
    }

    pub(crate) fn sent_to(&mut self, service: &ServiceName) {
        self.service = Some(service.clone());
    }

    /// Logs that the request goes to an endpoint, and what decided it.
    pub(crate) fn sends(&mut self, endpoint: &EndpointId, load: u32, age: Duration, why: &str) {
        self.sends += 1;
        spdlog::info!("request: sent", kv: {
            request = &*self.request_id, endpoint = endpoint.as_str(), attempt = self.sends,
            why, in_flight_there = load, entry_age_ms = ms(age), config = self.version
        });
    }

    /// Logs the path that was chosen, and what decided it.
    pub(crate) fn sends_along(&mut self, path: &Path, age: Duration, why: &str) {
        self.sends += 1;
        spdlog::info!("request: sent", kv: {
            request = &*self.request_id, path = stages(path).as_str(), attempt = self.sends,
            why, expected_ms = path.cost_ms as u64, crossings = path.crossings,
            oldest_entry_ms = ms(age), config = self.version
        });
    }

    /// Notes that events go to the caller, so that the end tells whether they paused.
    pub(crate) fn passes_on(&mut self, now: Instant) {
        match self.passed_on_at.replace(now) {
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

    /// Logs that the request goes on along another path without being sent again.
    pub(crate) fn goes_on_along(&self, path: &Path, why: &str) {
        metric::count_path_repair(true);
        spdlog::info!("request: path mended", kv: {
            request = &*self.request_id, path = stages(path).as_str(), why,
            expected_ms = path.cost_ms as u64, crossings = path.crossings,
            after_ms = ms(self.arrived_at.elapsed())
        });
    }

    /// Logs that the path could not be mended.
    pub(crate) fn not_mended(&self, lost: &EndpointId, why: &str, refusal: &str) {
        metric::count_path_repair(false);
        spdlog::info!("request: path not mended", kv: {
            request = &*self.request_id, endpoint = lost.as_str(), why, refusal,
            after_ms = ms(self.arrived_at.elapsed())
        });
    }

    /// Logs an attempt that failed.
    pub(crate) fn attempt_failed(&self, endpoint: &EndpointId, why: &str) {
        spdlog::warn!("request: attempt failed", kv: {
            request = &*self.request_id, endpoint = endpoint.as_str(), attempt = self.sends,
            why, after_ms = ms(self.arrived_at.elapsed())
        });
    }

    /// Ends the record of a request that was refused or failed.
    pub(crate) fn refused(&mut self, problem: &Problem) {
        self.end(problem.kind.as_str(), problem.status, &problem.detail);
    }

    /// Ends the record of a request whose answer was passed on.
    pub(crate) fn answered(&mut self, status: u16) {
        self.end("answered", status, "");
    }

    /// Ends the record of a stream that was broken off.
    pub(crate) fn broken_off(&mut self, why: &str) {
        self.end("broken_off", 200, why);
    }

    fn end(&mut self, ended: &'static str, status: u16, detail: &str) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        let took = self.arrived_at.elapsed();
        metric::count_request(ended, took);
        if self.passed_on_at.is_some() {
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

/// Shows the endpoints of a path with their layers.
fn stages(path: &Path) -> String {
    let stages = path.stages.iter();
    let shown: Vec<String> = stages
        .map(|stage| format!("{}={}", stage.endpoint, stage.layers))
        .collect();
    shown.join(",")
}

impl Drop for Record {
    fn drop(&mut self) {
        self.end("caller_gone", 0, "");
    }
}
