//! Baseline policies that the cost policy is compared with.

use pistachioyard_wire::StageRef;
use rand::Rng;

use super::candidate::Candidate;
use super::{Chain, ChoicePolicy};
use crate::FleetView;

/// Chooses a chain greedily, stage by stage, among the endpoints from which the
/// last layer can be reached.
pub(super) fn choose(
    policy: ChoicePolicy,
    view: &FleetView,
    candidates: &[Candidate<'_>],
    layers: u32,
    rng: &mut impl Rng,
) -> Option<Chain> {
    let reaching_end = reaching_end(candidates, layers);
    let mut stages: Vec<StageRef> = Vec::new();
    let mut cost_ms = 0.0;
    let mut has_free_slots = true;
    let mut previous: Option<&Candidate<'_>> = None;
    let mut next_layer = 0;
    while next_layer < layers {
        let next = pick(policy, &reaching_end, next_layer, rng)?;
        stages.push(next.stage(next_layer)?);
        cost_ms += next.step_ms * f64::from(next.end - next_layer) / f64::from(next.held_layers);
        if let Some(previous) = previous {
            cost_ms += view.link_ms(previous.view.data_centre(), next.view.data_centre());
        }
        has_free_slots &= next.is_free();
        next_layer = next.end;
        previous = Some(next);
    }
    Some(Chain {
        stages: stages.into(),
        cost_ms,
        has_free_slots,
    })
}

/// Returns the candidates from which the last layer can be reached, in descending
/// order of their ends.
fn reaching_end<'a, 'b>(candidates: &'b [Candidate<'a>], layers: u32) -> Vec<&'b Candidate<'a>> {
    let mut reaching_end: Vec<&Candidate<'a>> = Vec::new();
    for candidate in candidates.iter().rev() {
        let has_successor = reaching_end
            .iter()
            .any(|next| next.first <= candidate.end && candidate.end < next.end);
        if candidate.end == layers || has_successor {
            reaching_end.push(candidate);
        }
    }
    reaching_end
}

fn pick<'a, 'b>(
    policy: ChoicePolicy,
    candidates: &[&'b Candidate<'a>],
    next_layer: u32,
    rng: &mut impl Rng,
) -> Option<&'b Candidate<'a>> {
    let next: Vec<&'b Candidate<'a>> = candidates
        .iter()
        .filter(|candidate| candidate.first <= next_layer && next_layer < candidate.end)
        .copied()
        .collect();
    match policy {
        ChoicePolicy::Random | ChoicePolicy::Cost => {
            (!next.is_empty()).then(|| next[rng.random_range(0..next.len())])
        }
        ChoicePolicy::LeastReported => next.into_iter().min_by_key(|c| c.reported_streams),
        ChoicePolicy::RoundRobin => next.into_iter().min_by_key(|c| c.view.own_started()),
    }
}
