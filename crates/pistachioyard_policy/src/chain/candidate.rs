//! The endpoints that may be stages of a chain.

use std::time::{Duration, Instant};

use pistachioyard_wire::{EndpointReport, LayerRange, StageRef};

use super::ChainQuery;
use crate::{EndpointView, FleetView};

/// An endpoint that may run layers from `first` up to, not including, `end`.
#[derive(Clone, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) view: &'a EndpointView,
    pub(super) first: u32,
    pub(super) end: u32,
    pub(super) work: u32,
    pub(super) slots: u32,
    /// Work as reported, without what was begun since.
    pub(super) reported_work: u32,
    /// The time of one batch step over all layers that it holds.
    pub(super) step_ms: f64,
    /// The layers that it holds, which `step_ms` is for.
    pub(super) held_layers: u32,
    pub(super) free_kv_tokens: u64,
}

impl Candidate<'_> {
    /// Tells whether a slot is estimated to be free.
    pub(super) fn is_free(&self) -> bool {
        self.work < self.slots
    }

    /// Makes the stage that runs from `first` to the candidate's end.
    pub(super) fn stage(&self, first: u32) -> Option<StageRef> {
        Some(StageRef {
            endpoint: self.view.id().clone(),
            address: self.view.address(),
            layers: LayerRange::new(first, self.end).ok()?,
        })
    }
}

/// Returns the usable endpoints that hold layers of the queried version, sorted
/// by the end of what they hold; exclusions are not applied.
pub(super) fn holders<'a>(
    view: &'a FleetView,
    query: &ChainQuery<'_>,
    now: Instant,
) -> Vec<Candidate<'a>> {
    let mut holders: Vec<Candidate<'a>> = view
        .endpoints()
        .filter_map(|endpoint| candidate(endpoint, query, view.peers(), now))
        .filter(|candidate| candidate.view.is_usable(now))
        .collect();
    holders.sort_by_key(|holder| (holder.end, holder.first));
    holders
}

fn candidate<'a>(
    view: &'a EndpointView,
    query: &ChainQuery<'_>,
    peers: u32,
    now: Instant,
) -> Option<Candidate<'a>> {
    let report = view.report()?;
    if report.model.as_ref() != Some(query.model) || report.version.as_ref() != Some(query.version)
    {
        return None;
    }
    if query
        .adapter
        .is_some_and(|adapter| !report.adapters.contains(adapter))
    {
        return None;
    }
    let layers = report.layers?;
    let end = layers.end().min(query.layers);
    (layers.first() < end).then(|| Candidate {
        view,
        first: layers.first(),
        end,
        work: view.contended_work(peers, now),
        slots: places(report, query.token_gap),
        reported_work: report.running.saturating_add(report.waiting),
        step_ms: positive(report.step_ms),
        held_layers: layers.len(),
        free_kv_tokens: report.free_kv_tokens,
    })
}

/// Returns the streams that an endpoint takes: its slots, or fewer where it could
/// not step that many streams within the time between tokens.
fn places(report: &EndpointReport, token_gap: Option<Duration>) -> u32 {
    let Some(token_gap) = token_gap else {
        return report.slots;
    };
    let steps = report.tokens_per_second * token_gap.as_secs_f64();
    if steps.is_finite() {
        report.slots.min((steps.round() as u32).max(1))
    } else {
        report.slots
    }
}

/// Returns a time that can be computed with in place of a nonsensical one.
fn positive(ms: f64) -> f64 {
    if ms.is_finite() && ms > 0.0 { ms } else { 1.0 }
}

/// Tells whether the holders, sorted by their ends, cover every layer.
pub(super) fn covers_all(holders: &[Candidate<'_>], layers: u32) -> bool {
    let mut by_first: Vec<(u32, u32)> = holders.iter().map(|h| (h.first, h.end)).collect();
    by_first.sort_unstable();
    let covered = by_first.into_iter().fold(0, |covered, (first, end)| {
        if first <= covered {
            covered.max(end)
        } else {
            covered
        }
    });
    covered >= layers
}

/// Returns one layer of each stretch between two borders of held ranges.
pub(super) fn cuts(holders: &[Candidate<'_>], layers: u32) -> Vec<u32> {
    let mut cuts: Vec<u32> = holders
        .iter()
        .flat_map(|holder| [holder.first, holder.end])
        .chain([0])
        .filter(|layer| *layer < layers)
        .collect();
    cuts.sort_unstable();
    cuts.dedup();
    cuts
}
