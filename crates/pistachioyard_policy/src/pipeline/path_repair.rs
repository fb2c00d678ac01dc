//! Replaces the lost stage of a path while the request runs.
//!
//! When an endpoint fails while many paths use it, a restart of all these requests would make
//! every layer of the new paths prefill all their prompts at the same moment.
//! The remaining stages keep their KV cache, so only the layers of the lost stage are
//! prefilled again, on other endpoints that hold them.

use pistachioyard_wire::{DataCentre, EndpointId};
use rand::Rng;

use super::path_choice::{
    NoPath, Path, PathQuery, PathStage, Span, StageOffer, choose_stages, is_short_enough,
};
use super::spec::PipelineSpec;

/// Chooses other endpoints for the layers of a lost stage; all other stages stay.
///
/// `data_centre_of` returns the data centre of a stage that stays. The cost and the crossings
/// of the returned path are those of the replaced part only.
///
/// # Errors
///
/// Fails when the lost endpoint is the first one, through which the answer comes, or
/// is not on the path, and when no other endpoint can run its layers.
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
    let is_on_path = |endpoint: &EndpointId| stages.iter().any(|s| s.endpoint == *endpoint);
    let others: Vec<StageOffer> = offers
        .iter()
        .filter(|offer| !is_on_path(&offer.endpoint))
        .cloned()
        .collect();
    let data_centre = |stage: Option<&PathStage>| data_centre_of(&stage?.endpoint);
    let (before, after) = (
        data_centre(stages.get(at - 1)),
        data_centre(stages.get(at + 1)),
    );
    let span = Span::for_lost_stage(stages[at].layers, before.as_ref(), after.as_ref());
    let replacement = choose_stages(spec, &others, query, &span, rng)?;
    let mut repaired = stages[..at].to_vec();
    repaired.extend(replacement.stages);
    repaired.extend_from_slice(&stages[at + 1..]);
    let repaired = Path {
        stages: repaired,
        crossings: replacement.crossings,
        cost_ms: replacement.cost_ms,
    };
    if is_short_enough(&repaired) {
        Ok(repaired)
    } else {
        Err(NoPath::TooComplex)
    }
}
