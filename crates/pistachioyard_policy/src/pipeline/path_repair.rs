//! Replaces the lost stage of a path while the request runs.
//!
//! Answers the load pattern of an endpoint that dies in the middle of many paths at
//! once: to begin all these requests again, every layer of another path would read all
//! their prompts at the same moment. The stages that live keep what they have read, so
//! only the layers of the lost one are read again, by whoever holds them too.

use pistachioyard_wire::{DataCentre, EndpointId};
use rand::Rng;

use super::path_choice::{
    NoPath, Path, PathQuery, PathStage, Span, StageOffer, choose_over, is_short_enough,
};
use super::spec::PipelineSpec;

/// Chooses other endpoints for the layers of a lost stage; all other stages stay.
///
/// `data_centre_of` tells where the stages that stay are.
///
/// # Errors
///
/// Fails when the lost endpoint is the first one, through which the answer comes, or
/// is not on the path, and when nobody else can run its layers.
pub fn repair_path(
    spec: &PipelineSpec,
    offers: &[StageOffer],
    path: &Path,
    lost: &EndpointId,
    data_centre_of: impl Fn(&EndpointId) -> Option<DataCentre>,
    query: &PathQuery<'_>,
    rng: &mut impl Rng,
) -> Result<Path, NoPath> {
    let stages = &path.stages;
    let at = stages.iter().position(|stage| stage.endpoint == *lost);
    let at = at.filter(|at| *at > 0).ok_or(NoPath::NotReplaceable)?;
    let is_passed = |endpoint: &EndpointId| stages.iter().any(|s| s.endpoint == *endpoint);
    let others: Vec<StageOffer> = offers
        .iter()
        .filter(|offer| !is_passed(&offer.endpoint))
        .cloned()
        .collect();
    let place = |stage: Option<&PathStage>| data_centre_of(&stage?.endpoint);
    let (before, after) = (place(stages.get(at - 1)), place(stages.get(at + 1)));
    let span = Span::of_lost(stages[at].layers, before.as_ref(), after.as_ref());
    let patch = choose_over(spec, &others, query, &span, rng)?;
    let mut repaired = stages[..at].to_vec();
    repaired.extend(patch.stages);
    repaired.extend_from_slice(&stages[at + 1..]);
    let repaired = Path {
        stages: repaired,
        crossings: patch.crossings,
        cost_ms: patch.cost_ms,
    };
    if is_short_enough(&repaired) {
        Ok(repaired)
    } else {
        Err(NoPath::Tangled)
    }
}
