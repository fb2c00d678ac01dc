//! Decides what an apply request writes to the head object.

use std::sync::Arc;

use pistachioyard_wire::{AcceptedConfig, ApplyId, ApplyRequest, Revision};

use super::text_digest;

/// The number of recent apply ids that the head object keeps.
const MAX_APPLY_IDS: usize = 16;

/// Tells what to do with an apply request, given the head object as read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyDecision {
    /// The same apply was already accepted, at this revision.
    AlreadyAccepted(Revision),
    /// Another file was accepted since the operator's base revision, or the apply id was used
    /// for another text; holds the current revision.
    Conflict(Revision),
    /// Write this, provided that the head object has not changed since it was read.
    Write(AcceptedConfig),
}

/// Returns the configuration that follows `current` when an apply is accepted.
pub fn next_accepted(
    current: Option<&AcceptedConfig>,
    apply: ApplyId,
    text: Arc<str>,
) -> AcceptedConfig {
    let earlier = current.map_or(&[][..], |c| &c.applies);
    let dropped = (earlier.len() + 1).saturating_sub(MAX_APPLY_IDS);
    let mut applies = earlier[dropped..].to_vec();
    applies.push(apply);
    AcceptedConfig {
        revision: revision_of(current).next(),
        digest: text_digest(&text),
        text,
        applies,
    }
}

/// Decides what to do with an apply request, given the head object.
///
/// If a write conflicts or its response is lost, read the head object again and
/// call this again.
pub fn decide_apply(current: Option<&AcceptedConfig>, request: &ApplyRequest) -> ApplyDecision {
    if let Some(current) = current
        && let Some(newer) = accepted_since(current, request.apply)
    {
        // An id that was reused for another text is detected only for the newest apply, because
        // the head object keeps only the newest text.
        return if newer == 0 && *current.text != *request.text {
            ApplyDecision::Conflict(current.revision)
        } else {
            ApplyDecision::AlreadyAccepted(Revision(current.revision.0.saturating_sub(newer)))
        };
    }
    let revision = revision_of(current);
    if request.base == revision {
        let text = request.text.as_str().into();
        ApplyDecision::Write(next_accepted(current, request.apply, text))
    } else {
        ApplyDecision::Conflict(revision)
    }
}

/// Returns how many files were accepted after an apply, or none if its id is not kept.
fn accepted_since(current: &AcceptedConfig, apply: ApplyId) -> Option<u64> {
    let newer = current.applies.iter().rev().position(|a| *a == apply)?;
    Some(newer as u64)
}

fn revision_of(current: Option<&AcceptedConfig>) -> Revision {
    current.map_or_else(Revision::default, |c| c.revision)
}
