//! Applies what the heads of endpoints' answers say of the endpoints themselves.

use pistachioyard_platform::AnswerHead;
use pistachioyard_policy::{EndpointRun, SuspectReason, ToldProbe};
use pistachioyard_wire::ServiceName;

use crate::prelude::*;
use crate::router::log::ms;
use crate::router::{Router, controller, metric};

/// Says what was answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AnswerTo {
    /// A request of a caller.
    Request,
    /// An order or a call for the report.
    Control,
}

impl Router {
    /// Applies the head of an answer.
    ///
    /// `run` is the run to which the call was sent.
    pub(crate) fn note_answer(&self, run: &EndpointRun, head: &AnswerHead, to: AnswerTo) {
        if !head.is_other_endpoint {
            self.note_limit_of_answer(run, head, to);
        }
        if head.is_leaving && !head.is_other_endpoint {
            self.note_leaving(run, "answer");
        }
        if let Some(pause) = head.pause {
            self.note_pause(run, pause);
        }
    }

    fn note_pause(&self, run: &EndpointRun, pause: Duration) {
        let now = Instant::now();
        let is_new = self.endpoints.lock().note_pause(run, pause, now);
        if is_new {
            spdlog::info!("endpoints: asked for a pause", kv: {
                endpoint = run.endpoint.as_str(), pause_ms = ms(pause)
            });
        }
    }

    /// Returns the time until an endpoint of a service ends its pause or has room within its limit,
    /// in ms, if all have a pause or no room.
    pub(crate) fn pause_left_ms(&self, service: &ServiceName) -> Option<u64> {
        let left = {
            let endpoints = self.endpoints.lock();
            endpoints.all_paused_for(service, &[], Instant::now())?
        };
        // Rounded up, since a caller must not return before the end.
        Some(self.book_return_ms(service).unwrap_or(ms(left) + 1))
    }

    /// Gives no new requests to a run of an endpoint that is leaving; `from` says who told.
    pub(crate) fn note_leaving(&self, run: &EndpointRun, from: &str) {
        let is_new = self.endpoints.lock().note_leaving(run, Instant::now());
        if is_new {
            spdlog::info!("endpoints: announced that it is leaving", kv: {
                endpoint = run.endpoint.as_str(),
                started_unix_ms = run.started_unix_ms.unwrap_or_default(), from
            });
            self.endpoints_changed.notify_one();
        }
    }

    /// Records that a run of an endpoint refused a connection of a peer some time ago, and logs it.
    pub(crate) fn note_dead(&self, run: &EndpointRun, age: Duration, from: &str) {
        let now = Instant::now();
        let probe = match controller::is_placement_candidate(self, now) {
            true => ToldProbe::AtOnce,
            false => ToldProbe::Later,
        };
        let is_new = self.endpoints.lock().note_dead(run, age, probe, now);
        if is_new {
            metric::count_suspect();
            let why = SuspectReason::ToldDead.as_str();
            spdlog::warn!("endpoints: ejected after a failure", kv: {
                endpoint = run.endpoint.as_str(), why, from
            });
            self.endpoints_changed.notify_one();
            self.capacity_changed.notify_waiters();
            if probe == ToldProbe::AtOnce {
                self.suspects_due.notify_one();
            }
        }
    }
}
