//! Remembers when events last came through each endpoint.
//!
//! Answers the load pattern of an endpoint that dies in the middle of many paths at
//! once: the endpoints' reports name it some hundred ms later than the pause that
//! callers accept, but other streams show at once which endpoints still work. What is
//! left are the few through which nothing has come, and these can be asked directly.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use pistachioyard_wire::EndpointId;

use crate::pipeline::PathStage;

/// The silence from which an endpoint is in doubt, in mean gaps between the events of all
/// streams through it; shorter ones come about by chance.
const DOUBT_GAPS: f64 = 4.0;
/// The least silence that raises a doubt; a token step of a busy endpoint takes as long.
const MIN_DOUBT: Duration = Duration::from_millis(40);
/// The gap that is assumed of an endpoint through which little has come.
const USUAL_GAP: Duration = Duration::from_millis(40);
/// The weight of a new gap in the running mean.
const NEW_WEIGHT: f64 = 0.05;
/// The longest gap that counts; longer ones are times without streams.
const MAX_GAP: Duration = Duration::from_millis(100);
/// The most endpoints of a path that are asked at once, since a question is priced.
const MAX_DOUBTED: usize = 4;

/// When events last came through each endpoint, over all streams of this entry.
#[derive(Clone, Debug, Default)]
pub struct FlowBook {
    flows: HashMap<EndpointId, Flow>,
}

/// The events that come through one endpoint.
#[derive(Clone, Copy, Debug)]
struct Flow {
    last_at: Instant,
    mean_gap: Duration,
}

impl Flow {
    fn note(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_at).min(MAX_GAP);
        self.mean_gap = self.mean_gap.mul_f64(1.0 - NEW_WEIGHT) + gap.mul_f64(NEW_WEIGHT);
        self.last_at = now;
    }
}

impl FlowBook {
    /// Notes that an event came through all stages of a path.
    pub fn note(&mut self, stages: &[PathStage], now: Instant) {
        for stage in stages {
            match self.flows.get_mut(&stage.endpoint) {
                Some(flow) => flow.note(now),
                None => {
                    let flow = Flow {
                        last_at: now,
                        mean_gap: USUAL_GAP,
                    };
                    self.flows.insert(stage.endpoint.clone(), flow);
                }
            }
        }
    }

    /// Lists the stages of a path that has been silent since `since` through which no
    /// other stream's events have come for unusually long, the longest silence first.
    pub fn doubted(&self, stages: &[PathStage], since: Instant, now: Instant) -> Vec<PathStage> {
        let doubts = stages.iter().filter_map(|stage| {
            let flow = self.flows.get(&stage.endpoint);
            let last_at = flow.map_or(since, |flow| flow.last_at.max(since));
            let silence = now.saturating_duration_since(last_at);
            let mean_gap = flow.map_or(USUAL_GAP, |flow| flow.mean_gap);
            let usual = mean_gap.mul_f64(DOUBT_GAPS).max(MIN_DOUBT);
            (silence >= usual).then_some((silence, stage))
        });
        let mut doubts: Vec<(Duration, &PathStage)> = doubts.collect();
        doubts.sort_by_key(|(silence, _)| std::cmp::Reverse(*silence));
        doubts.truncate(MAX_DOUBTED);
        doubts.into_iter().map(|(_, stage)| stage.clone()).collect()
    }

    /// Forgets endpoints that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&EndpointId) -> bool) {
        self.flows.retain(|endpoint, _| is_known(endpoint));
    }
}
