//! One promised return.

use std::time::{Duration, Instant};

use super::promise_row::SPAN;

/// How much earlier than told a caller may return at most: two of the spans over which returns are
/// promised together. What peers tell of its time is late by its time on the way.
const LEEWAY: Duration = SPAN.saturating_mul(2);

/// Says how a caller stands with a service that has refused requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// It has no return booked.
    Fresh,
    /// It was told to return and has waited.
    Expected,
    /// It was told to return later than now.
    Early {
        /// The time until the return that it was told.
        left: Duration,
    },
}

/// Holds one promised return.
#[derive(Clone, Copy, Debug)]
pub(super) struct Booking {
    /// When room is expected.
    pub(super) due: Instant,
    /// When the caller returns; before `due` if it does not wait for so long.
    pub(super) back_at: Instant,
    /// From when on the caller is expected.
    expected_from: Instant,
    /// How often it was booked anew, since the caller was refused again.
    pub(super) turn: u8,
    /// Whether the caller has come before its time, so that it is not expected before it.
    pub(super) is_repeated: bool,
}

impl Booking {
    /// Creates a booking.
    pub(super) fn new(due: Instant, back_at: Instant, turn: u8, now: Instant) -> Self {
        let until_return = back_at.saturating_duration_since(now);
        Self {
            due,
            back_at,
            expected_from: back_at - LEEWAY.min(until_return / 2),
            turn,
            is_repeated: false,
        }
    }

    /// Applies what a peer tells of the same request.
    ///
    /// Of two that tell the same, the one that took less time on its way is nearer to the truth. A
    /// much later one was made by an entry that did not know of the other.
    pub(super) fn merge(&mut self, told: &Self) {
        let is_other = told.due > self.due + LEEWAY;
        if told.turn > self.turn || told.turn == self.turn && is_other {
            *self = *told;
        } else if told.turn == self.turn {
            self.due = self.due.min(told.due);
            self.back_at = self.back_at.min(told.back_at);
            self.expected_from = self.expected_from.min(told.expected_from);
            self.is_repeated |= told.is_repeated;
        }
    }

    /// Returns how its caller stands.
    pub(super) fn standing(&self, now: Instant) -> Standing {
        let from = match self.is_repeated {
            true => self.back_at,
            false => self.expected_from,
        };
        if from <= now {
            return Standing::Expected;
        }
        Standing::Early {
            left: self.due.saturating_duration_since(now),
        }
    }
}
