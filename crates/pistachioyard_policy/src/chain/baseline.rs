//! Simple ways to choose a chain, to compare the cost policy with.

use pistachioyard_wire::StageRef;
use rand::Rng;

use super::candidate::Candidate;
use super::{Chain, ChoicePolicy};
use crate::FleetView;

/// Chooses stage by stage, looking only at endpoints from which the last layer
/// can be reached.
pub(super) fn choose(
    policy: ChoicePolicy,
    view: &FleetView,
    candidates: &[Candidate<'_>],
    layers: u32,
    rng: &mut impl Rng,
) -> Option<Chain> {
    let completing = completing(candidates, layers);
    let mut stages: Vec<StageRef> = Vec::new();
    let mut cost_ms = 0.0;
    let mut free = true;
    let mut last: Option<&Candidate<'_>> = None;
    let mut border = 0;
    while border < layers {
        let next = pick(policy, &completing, border, rng)?;
        stages.push(next.stage(border)?);
        cost_ms += next.step_ms * f64::from(next.end - border) / f64::from(next.held_layers);
        if let Some(last) = last {
            cost_ms += view.link_ms(last.view.data_centre(), next.view.data_centre());
        }
        free &= next.is_free();
        border = next.end;
        last = Some(next);
    }
    Some(Chain {
        stages: stages.into(),
        cost_ms,
        free,
    })
}

/// Returns the candidates, sorted by their ends, from which the last layer can
/// be reached.
fn completing<'a, 'b>(candidates: &'b [Candidate<'a>], layers: u32) -> Vec<&'b Candidate<'a>> {
    let mut completing: Vec<&Candidate<'a>> = Vec::new();
    for candidate in candidates.iter().rev() {
        let goes_on = completing
            .iter()
            .any(|next| next.first <= candidate.end && candidate.end < next.end);
        if candidate.end == layers || goes_on {
            completing.push(candidate);
        }
    }
    completing
}

fn pick<'a, 'b>(
    policy: ChoicePolicy,
    candidates: &[&'b Candidate<'a>],
    border: u32,
    rng: &mut impl Rng,
) -> Option<&'b Candidate<'a>> {
    let next: Vec<&'b Candidate<'a>> = candidates
        .iter()
        .filter(|candidate| candidate.first <= border && border < candidate.end)
        .copied()
        .collect();
    match policy {
        ChoicePolicy::Random | ChoicePolicy::Cost => {
            (!next.is_empty()).then(|| next[rng.random_range(0..next.len())])
        }
        ChoicePolicy::LeastReported => next.into_iter().min_by_key(|c| c.reported_work),
        ChoicePolicy::RoundRobin => next.into_iter().min_by_key(|c| c.view.own_begun()),
    }
}
