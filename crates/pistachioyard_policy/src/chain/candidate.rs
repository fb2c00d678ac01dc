//! Endpoints that are eligible as stages of a chain.

use std::time::{Duration, Instant};

use pistachioyard_wire::{EndpointReport, LayerRange, StageRef};

use super::ChainQuery;
use crate::{EndpointView, FleetView};

/// An endpoint that can run the layers `first..end`.
#[derive(Clone, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) view: &'a EndpointView,
    pub(super) first: u32,
    pub(super) end: u32,
    /// The estimated streams, running and waiting.
    pub(super) streams: u32,
    pub(super) slots: u32,
    /// The streams as reported, without those started since.
    pub(super) reported_streams: u32,
    /// The time of one batch step over all layers that the endpoint holds.
    pub(super) step_ms: f64,
    /// The number of layers that the endpoint holds, to which `step_ms` applies.
    pub(super) held_layers: u32,
    pub(super) free_kv_tokens: u64,
}

impl Candidate<'_> {
    /// Returns whether a slot is estimated to be free.
    pub(super) fn is_free(&self) -> bool {
        self.streams < self.slots
    }

    /// Returns the stage that runs from `first` to the candidate's end.
    pub(super) fn stage(&self, first: u32) -> Option<StageRef> {
        Some(StageRef {
            endpoint: self.view.id().clone(),
            address: self.view.address(),
            layers: LayerRange::new(first, self.end).ok()?,
        })
    }
}

/// Returns the usable endpoints that hold layers of the queried version, sorted
/// by the end of their range. Exclusions are not applied.
pub(super) fn holders<'a>(
    view: &'a FleetView,
    query: &ChainQuery<'_>,
    now: Instant,
) -> Vec<Candidate<'a>> {
    let mut holders: Vec<Candidate<'a>> = view
        .endpoints()
        .filter_map(|endpoint| candidate(endpoint, query, view.peer_count(), now))
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
        streams: view.contended_streams(peers, now),
        slots: usable_slots(report, query.token_gap),
        reported_streams: report.running.saturating_add(report.waiting),
        step_ms: positive_step_ms(report.step_ms),
        held_layers: layers.len(),
        free_kv_tokens: report.free_kv_tokens,
    })
}

/// Returns the number of streams that an endpoint takes: its slots, or fewer if it
/// cannot step that many streams within the time between tokens.
fn usable_slots(report: &EndpointReport, token_gap: Option<Duration>) -> u32 {
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

/// Returns the step time, or 1 ms if the reported value is not positive and finite.
fn positive_step_ms(ms: f64) -> f64 {
    if ms.is_finite() && ms > 0.0 { ms } else { 1.0 }
}

/// Returns whether the holders together cover every layer.
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

/// Returns the first layer of each section over which the set of holders does not
/// change.
pub(super) fn representative_layers(holders: &[Candidate<'_>], layers: u32) -> Vec<u32> {
    let mut starts: Vec<u32> = holders
        .iter()
        .flat_map(|holder| [holder.first, holder.end])
        .chain([0])
        .filter(|layer| *layer < layers)
        .collect();
    starts.sort_unstable();
    starts.dedup();
    starts
}
