//! Counts measurements against the service levels, for the burn-rate report.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use pistachioyard_policy::{BurnCounter, Measure};
use pistachioyard_wire::{EntryBurn, LevelCounts, Objective, ServiceLevel};

use crate::filter::GenerateContext;
use crate::prelude::*;

/// Counts measurements against the service levels of the active configuration.
pub(crate) struct BurnRecorder {
    state: Mutex<State>,
}

struct State {
    revision: Revision,
    counters: Vec<BurnCounter>,
    /// The number of ended generation requests by label, such as `done` or a problem kind.
    ended: BTreeMap<&'static str, u64>,
    /// The number of ended operations by label.
    operations: BTreeMap<&'static str, u64>,
}

/// The workspace and priority of a request, by which service levels select requests.
pub(crate) type RequestClass<'a> = (&'a WorkspaceName, Priority);

/// Says how the outcome of a request counts towards the success service levels.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SuccessEffect {
    /// Counts as a success.
    Good,
    /// Counts as a failure of the router.
    Bad,
    /// Is caused by the caller and does not count.
    Excluded,
}

impl BurnRecorder {
    /// Creates a recorder without measurements.
    pub(crate) fn new() -> Self {
        Self {
            state: Mutex::new(State {
                revision: Revision(0),
                counters: Vec::new(),
                ended: BTreeMap::new(),
                operations: BTreeMap::new(),
            }),
        }
    }

    /// Switches to the service levels of a newer configuration. Levels that are unchanged keep
    /// their counts.
    pub(crate) fn set_levels(&self, revision: Revision, levels: &[ServiceLevel], now: Instant) {
        let mut state = self.state.lock();
        if revision <= state.revision {
            return;
        }
        state.revision = revision;
        let mut previous = std::mem::take(&mut state.counters);
        state.counters = levels
            .iter()
            .map(|level| {
                previous
                    .iter()
                    .position(|counter| counter.level() == level)
                    .map_or_else(
                        || BurnCounter::new(level.clone(), now),
                        |index| previous.swap_remove(index),
                    )
            })
            .collect();
    }

    /// Records how a generation request ended.
    pub(crate) fn generate_ended(
        &self,
        class: Option<RequestClass<'_>>,
        label: &'static str,
        problem: Option<&Problem>,
    ) {
        *self.state.lock().ended.entry(label).or_default() += 1;
        self.observe_success(class, label, problem);
    }

    /// Records how an operation ended.
    pub(crate) fn operation_ended(
        &self,
        class: Option<RequestClass<'_>>,
        label: &'static str,
        problem: Option<&Problem>,
    ) {
        *self.state.lock().operations.entry(label).or_default() += 1;
        self.observe_success(class, label, problem);
    }

    /// Counts a request against the matching success levels. A request that names no workspace
    /// counts against none.
    fn observe_success(
        &self,
        class: Option<RequestClass<'_>>,
        label: &'static str,
        problem: Option<&Problem>,
    ) {
        let effect = match problem {
            None if label == "done" => SuccessEffect::Good,
            None => SuccessEffect::Excluded,
            Some(problem) => success_effect(problem.kind),
        };
        if let Some((workspace, priority)) = class
            && effect != SuccessEffect::Excluded
        {
            let measure = Measure::Success(effect == SuccessEffect::Good);
            self.observe(Objective::Success, workspace, priority, measure);
        }
    }

    /// Records the time from arrival to the first token.
    pub(crate) fn first_token(&self, cx: &GenerateContext, elapsed: Duration) {
        self.observe_time(Objective::FirstToken, cx, elapsed);
    }

    /// Records the time between two tokens.
    pub(crate) fn between_tokens(&self, cx: &GenerateContext, elapsed: Duration) {
        self.observe_time(Objective::BetweenTokens, cx, elapsed);
    }

    /// Records the time from the loss of a stage to the next token.
    pub(crate) fn recovery(&self, cx: &GenerateContext, elapsed: Duration) {
        self.observe_time(Objective::Recovery, cx, elapsed);
    }

    /// Returns this entry's counts for the burn-rate report.
    pub(crate) fn report(&self, entry: &EntryId, now: Instant) -> EntryBurn {
        let state = self.state.lock();
        EntryBurn {
            entry: entry.clone(),
            levels: state
                .counters
                .iter()
                .map(|counter| LevelCounts {
                    level: counter.level().clone(),
                    windows: counter.windows(now),
                })
                .collect(),
            ended: to_owned_labels(&state.ended),
            operations: to_owned_labels(&state.operations),
        }
    }

    fn observe_time(&self, objective: Objective, cx: &GenerateContext, elapsed: Duration) {
        let measure = Measure::Millis(elapsed.as_secs_f64() * 1_000.0);
        self.observe(objective, &cx.call.workspace, cx.priority, measure);
    }

    fn observe(
        &self,
        objective: Objective,
        workspace: &WorkspaceName,
        priority: Priority,
        measure: Measure,
    ) {
        let now = Instant::now();
        for counter in &mut self.state.lock().counters {
            counter.observe(objective, workspace, priority, measure, now);
        }
    }
}

fn to_owned_labels(counts: &BTreeMap<&'static str, u64>) -> BTreeMap<String, u64> {
    counts
        .iter()
        .map(|(label, count)| ((*label).to_owned(), *count))
        .collect()
}

/// Returns how a problem counts towards the success service levels.
fn success_effect(kind: ProblemKind) -> SuccessEffect {
    match kind {
        ProblemKind::BadRequest
        | ProblemKind::BodyTooLarge
        | ProblemKind::HeadTooLarge
        | ProblemKind::NotConfigured
        | ProblemKind::NotAllowed
        | ProblemKind::UnknownCaller
        | ProblemKind::BadKey
        | ProblemKind::KeyTooOld
        | ProblemKind::KeyReused
        | ProblemKind::WorkspaceLimit
        | ProblemKind::Quarantined
        | ProblemKind::NoSuchOperation => SuccessEffect::Excluded,
        ProblemKind::NoConfig
        | ProblemKind::Stopping
        | ProblemKind::Overloaded
        | ProblemKind::NoCapacity
        | ProblemKind::NoMemory
        | ProblemKind::LedgerUnavailable
        | ProblemKind::LedgerFull
        | ProblemKind::RefusedByEndpoints
        | ProblemKind::DeadlinePassed
        | ProblemKind::ChainLost
        | ProblemKind::ResultLost => SuccessEffect::Bad,
    }
}
