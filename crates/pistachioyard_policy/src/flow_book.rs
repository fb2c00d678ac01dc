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

/// How long nothing must have come through an endpoint until it is in doubt; several
/// times the gap between the events of all streams through a busy one.
const DOUBT_AFTER: Duration = Duration::from_millis(40);
/// The most endpoints of a path that are asked at once, since a question is priced.
const MAX_DOUBTED: usize = 4;

/// When events last came through each endpoint, over all streams of this entry.
#[derive(Clone, Debug, Default)]
pub struct FlowBook {
    flowed_at: HashMap<EndpointId, Instant>,
}

impl FlowBook {
    /// Notes that an event came through all stages of a path.
    pub fn note(&mut self, stages: &[PathStage], now: Instant) {
        for stage in stages {
            match self.flowed_at.get_mut(&stage.endpoint) {
                Some(at) => *at = now,
                None => {
                    self.flowed_at.insert(stage.endpoint.clone(), now);
                }
            }
        }
    }

    /// Lists the stages of a silent path through which no other stream's events have
    /// come lately, the one that has been silent longest first.
    pub fn doubted(&self, stages: &[PathStage], now: Instant) -> Vec<PathStage> {
        let silence = |stage: &PathStage| {
            let at = self.flowed_at.get(&stage.endpoint);
            at.map_or(Duration::MAX, |at| now.saturating_duration_since(*at))
        };
        let mut doubted: Vec<&PathStage> = stages
            .iter()
            .filter(|stage| silence(stage) >= DOUBT_AFTER)
            .collect();
        doubted.sort_by_key(|stage| std::cmp::Reverse(silence(stage)));
        doubted.truncate(MAX_DOUBTED);
        doubted.into_iter().cloned().collect()
    }

    /// Forgets endpoints that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&EndpointId) -> bool) {
        self.flowed_at.retain(|endpoint, _| is_known(endpoint));
    }
}
