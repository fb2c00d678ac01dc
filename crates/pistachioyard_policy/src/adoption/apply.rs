//! What to write to the head object for an apply.

use std::sync::Arc;

use pistachioyard_wire::{AcceptedConfig, ApplyId, ApplyRequest, Revision};

use super::text_digest;

/// The number of applies that the head object remembers.
const MAX_APPLIES: usize = 16;

/// What to do with an apply, given the head object as read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyDecision {
    /// This apply was accepted before, at this revision.
    AlreadyAccepted(Revision),
    /// The file at this revision was accepted since the operator looked.
    Conflict(Revision),
    /// Write this, on the condition that the head object is as it was read.
    Write(AcceptedConfig),
}

/// Returns the configuration that follows `current` when an apply is accepted.
pub fn next_accepted(
    current: Option<&AcceptedConfig>,
    apply: ApplyId,
    text: Arc<str>,
) -> AcceptedConfig {
    let earlier = current.map_or(&[][..], |c| &c.applies);
    let dropped = (earlier.len() + 1).saturating_sub(MAX_APPLIES);
    let mut applies = earlier[dropped..].to_vec();
    applies.push(apply);
    AcceptedConfig {
        revision: revision_of(current).next(),
        digest: text_digest(&text),
        text,
        applies,
    }
}

/// Decides an apply against the head object.
///
/// After a write whose answer was lost or that met a conflict, read the head
/// object again and decide again.
pub fn decide_apply(current: Option<&AcceptedConfig>, request: &ApplyRequest) -> ApplyDecision {
    if let Some(current) = current
        && let Some(age) = age_of(current, request.apply)
    {
        // The newest text is known, so an apply id given to another text is seen.
        return if age == 0 && *current.text != *request.text {
            ApplyDecision::Conflict(current.revision)
        } else {
            ApplyDecision::AlreadyAccepted(Revision(current.revision.0.saturating_sub(age)))
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

/// Returns how many files were accepted after an apply; each adds one id.
fn age_of(current: &AcceptedConfig, apply: ApplyId) -> Option<u64> {
    let age = current.applies.iter().rev().position(|a| *a == apply)?;
    Some(age as u64)
}

fn revision_of(current: Option<&AcceptedConfig>) -> Revision {
    current.map_or_else(Revision::default, |c| c.revision)
}
