//! Records how well the service levels are met, for the burn report.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use pistachioyard_policy::{BurnCounter, Measure};
use pistachioyard_wire::{EntryBurn, LevelCounts, Objective, ServiceLevel};

use crate::filter::GenerateContext;
use crate::prelude::*;

/// Counts measurements against the service levels of the configuration in force.
pub(crate) struct BurnRecorder {
    state: Mutex<State>,
}

struct State {
    revision: Revision,
    counters: Vec<BurnCounter>,
    /// Ended requests for answers by label, such as `done` or a problem's kind.
    ended: BTreeMap<&'static str, u64>,
    /// Ended operations by label.
    operations: BTreeMap<&'static str, u64>,
}

/// The workspace and priority of a request.
pub(crate) type Who<'a> = (&'a WorkspaceName, Priority);

/// What the outcome of a request says about the router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Blame {
    /// It counts as good.
    Good,
    /// It counts against the service level.
    Bad,
    /// The caller's own doing; it does not count.
    None,
}

impl BurnRecorder {
    /// Makes a recorder without measurements.
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

    /// Counts against the service levels of a new configuration; levels that stay
    /// keep their counts.
    pub(crate) fn set_levels(&self, revision: Revision, levels: &[ServiceLevel], now: Instant) {
        let mut state = self.state.lock();
        if revision <= state.revision {
            return;
        }
        state.revision = revision;
        let mut known = std::mem::take(&mut state.counters);
        state.counters = levels
            .iter()
            .map(|level| {
                known
                    .iter()
                    .position(|counter| counter.level() == level)
                    .map_or_else(
                        || BurnCounter::new(level.clone(), now),
                        |place| known.swap_remove(place),
                    )
            })
            .collect();
    }

    /// Records how a request for a generated answer ended.
    pub(crate) fn generate_ended(
        &self,
        who: Option<Who<'_>>,
        label: &'static str,
        problem: Option<&Problem>,
    ) {
        *self.state.lock().ended.entry(label).or_default() += 1;
        self.observe_success(who, label, problem);
    }

    /// Records how an operation ended.
    pub(crate) fn operation_ended(
        &self,
        who: Option<Who<'_>>,
        label: &'static str,
        problem: Option<&Problem>,
    ) {
        *self.state.lock().operations.entry(label).or_default() += 1;
        self.observe_success(who, label, problem);
    }

    /// Counts against the success levels of the workspace; a request that names
    /// no workspace counts against none.
    fn observe_success(
        &self,
        who: Option<Who<'_>>,
        label: &'static str,
        problem: Option<&Problem>,
    ) {
        let blame = match problem {
            None if label == "done" => Blame::Good,
            None => Blame::None,
            Some(problem) => blame(problem.kind),
        };
        if let Some((workspace, priority)) = who
            && blame != Blame::None
        {
            let measure = Measure::Success(blame == Blame::Good);
            self.observe(Objective::Success, workspace, priority, measure);
        }
    }

    /// Records the time to a first token.
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

    /// Returns the counts for the report.
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

/// Decides whether a problem counts against the success service level.
fn blame(kind: ProblemKind) -> Blame {
    match kind {
        ProblemKind::BadRequest
        | ProblemKind::BodyTooLarge
        | ProblemKind::NotConfigured
        | ProblemKind::NotAllowed
        | ProblemKind::UnknownCaller
        | ProblemKind::BadKey
        | ProblemKind::KeyTooOld
        | ProblemKind::KeyReused
        | ProblemKind::WorkspaceLimit
        | ProblemKind::Quarantined
        | ProblemKind::NoSuchOperation => Blame::None,
        ProblemKind::NoConfig
        | ProblemKind::Stopping
        | ProblemKind::Overloaded
        | ProblemKind::NoCapacity
        | ProblemKind::LedgerUnavailable
        | ProblemKind::LedgerFull
        | ProblemKind::RefusedByEndpoints
        | ProblemKind::DeadlinePassed
        | ProblemKind::ChainLost
        | ProblemKind::ResultLost => Blame::Bad,
    }
}
