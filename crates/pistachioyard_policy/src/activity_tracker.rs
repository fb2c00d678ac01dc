//! Tracks when events last arrived through each endpoint, to find silent ones.
//!
//! When an endpoint fails while many paths use it, the reports of other endpoints name it too
//! late: some hundred milliseconds after the longest pause that callers accept. The events of
//! other streams show at once which endpoints still work, so only the few endpoints without
//! recent events need to be probed.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use pistachioyard_wire::EndpointId;

use crate::pipeline::PathStage;

/// The silence that makes an endpoint suspicious, as a multiple of the mean gap between the
/// events of all streams through it. Shorter silences occur by chance.
const SILENCE_GAP_FACTOR: f64 = 4.0;
/// The shortest silence that makes an endpoint suspicious; a decode step of a busy endpoint
/// can take that long.
const MIN_SILENCE: Duration = Duration::from_millis(40);
/// The mean gap assumed for an endpoint before gaps between its events were measured.
const DEFAULT_GAP: Duration = Duration::from_millis(40);
/// The weight of a new gap in the exponential moving average.
const NEW_GAP_WEIGHT: f64 = 0.05;
/// The cap on a gap that enters the average; longer gaps mean that no stream was running.
const MAX_GAP: Duration = Duration::from_millis(100);
/// The maximum number of endpoints of a path that are probed at once, since probes have a cost.
const MAX_PROBED: usize = 4;

/// Tracks when events last arrived through each endpoint, over all streams of this entry.
#[derive(Clone, Debug, Default)]
pub struct ActivityTracker {
    endpoints: HashMap<EndpointId, Activity>,
}

/// Holds the event timing of one endpoint.
#[derive(Clone, Copy, Debug)]
struct Activity {
    last_at: Instant,
    mean_gap: Duration,
}

impl Activity {
    fn record(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_at).min(MAX_GAP);
        self.mean_gap = self.mean_gap.mul_f64(1.0 - NEW_GAP_WEIGHT) + gap.mul_f64(NEW_GAP_WEIGHT);
        self.last_at = now;
    }
}

impl ActivityTracker {
    /// Records an event that passed through all stages of a path.
    pub fn record(&mut self, stages: &[PathStage], now: Instant) {
        for stage in stages {
            match self.endpoints.get_mut(&stage.endpoint) {
                Some(activity) => activity.record(now),
                None => {
                    let activity = Activity {
                        last_at: now,
                        mean_gap: DEFAULT_GAP,
                    };
                    self.endpoints.insert(stage.endpoint.clone(), activity);
                }
            }
        }
    }

    /// Returns the suspicious stages of a path that has been silent since `since`.
    ///
    /// These are the stages through which no stream has delivered events for unusually long,
    /// the longest silence first.
    pub fn silent_stages(
        &self,
        stages: &[PathStage],
        since: Instant,
        now: Instant,
    ) -> Vec<PathStage> {
        let silent = stages.iter().filter_map(|stage| {
            let activity = self.endpoints.get(&stage.endpoint);
            let last_at = activity.map_or(since, |activity| activity.last_at.max(since));
            let silence = now.saturating_duration_since(last_at);
            let mean_gap = activity.map_or(DEFAULT_GAP, |activity| activity.mean_gap);
            let threshold = mean_gap.mul_f64(SILENCE_GAP_FACTOR).max(MIN_SILENCE);
            (silence >= threshold).then_some((silence, stage))
        });
        let mut silent: Vec<(Duration, &PathStage)> = silent.collect();
        silent.sort_by_key(|(silence, _)| std::cmp::Reverse(*silence));
        silent.truncate(MAX_PROBED);
        silent.into_iter().map(|(_, stage)| stage.clone()).collect()
    }

    /// Removes the endpoints for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&EndpointId) -> bool) {
        self.endpoints.retain(|endpoint, _| is_known(endpoint));
    }
}
