//! A request that waits for room.

use std::time::Instant;

use super::standings::Standings;

/// Describes a request that asks for room.
#[derive(Clone, Copy, Debug)]
pub struct Applicant {
    /// Its urgency; 0 is the most urgent.
    pub urgency: u8,
    /// Whether its caller was refused before and returns when it was told to.
    pub is_returning: bool,
    /// The key of its workspace; none if it belongs to none.
    pub workspace: Option<u32>,
    /// The size of its body.
    pub bytes: usize,
    /// Whether it may fail to be placed for a reason of its own, such as its size or the endpoints
    /// that it must not use.
    pub is_particular: bool,
    /// The time after which it cannot be served within its latency target.
    pub give_up_at: Instant,
}

/// Names a waiting request; those that came later have higher ones.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub(super) u64);

/// Holds a waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    pub(super) applicant: Applicant,
}

/// The place of a request in the order; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct Rank {
    urgency: u8,
    is_far_above: bool,
    is_new: bool,
    in_progress: f64,
    ticket: Ticket,
}

impl Waiting {
    pub(super) fn rank(&self, standings: &Standings) -> Rank {
        let workspace = self.applicant.workspace;
        Rank {
            urgency: self.applicant.urgency,
            is_far_above: standings.is_far_above(workspace),
            is_new: !self.applicant.is_returning,
            in_progress: standings.in_progress(workspace),
            ticket: self.ticket,
        }
    }
}

impl Rank {
    /// Compares two places; usages are never NaN.
    pub(super) fn order(&self, other: &Self) -> std::cmp::Ordering {
        self.partial_cmp(other).unwrap_or(std::cmp::Ordering::Equal)
    }
}
