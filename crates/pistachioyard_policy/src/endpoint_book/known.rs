//! One endpoint: its entry, and whether it may get new requests.

use std::time::{Duration, Instant};

use pistachioyard_wire::LayerRange;

use super::record::EndpointRecord;

/// How long an endpoint at which requests stall is left out at least, also if it
/// answers: the fault may lie between it and others.
const MIN_HOLD: Duration = Duration::from_millis(800);
/// The pause between two checks of a suspect.
pub(super) const CHECK_PAUSE: Duration = Duration::from_millis(250);
/// The longest time that repeated failures leave an endpoint out.
const MAX_HOLD: Duration = Duration::from_secs(6);
/// Failures further apart than this do not add up.
const STRIKE_MEMORY: Duration = Duration::from_secs(10);
/// How long an endpoint that refused a request is left out at first; doubled with
/// each further refusal.
const REFUSAL_HOLD: Duration = Duration::from_millis(150);
/// The longest time that refusals leave an endpoint out.
const MAX_REFUSAL_HOLD: Duration = Duration::from_secs(4);
/// Refusals further apart than this do not add up.
const REFUSAL_MEMORY: Duration = Duration::from_secs(6);
/// The refusals in a row, each with memory to spare, after which an endpoint counts
/// as leaving: one that drains says so in the store, but the store may be out of reach.
const REFUSALS_UNTIL_LEAVING: u32 = 3;
/// The checks that a suspect fails until its layers count as lost.
const CHECKS_UNTIL_LOST: u32 = 2;

#[derive(Clone, Debug)]
pub(super) struct Known {
    pub(super) record: EndpointRecord,
    pub(super) joined_at: Instant,
    /// When it last said itself how it stands, in a report or in answer to an order.
    pub(super) heard_at: Option<Instant>,
    pub(super) renewed_at: Instant,
    pub(super) suspect: Option<Suspicion>,
    pub(super) refusals: Option<Refusals>,
    /// Whether it said itself that it leaves or is another one.
    pub(super) is_refusing: bool,
    /// Until when it may register again, since its entry was found missing right after an
    /// outage of the store.
    pub(super) lapsed_until: Option<Instant>,
    /// The layers that it was ordered to hold, and until when that is waited for.
    pub(super) ordered: Option<(LayerRange, Instant)>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Suspicion {
    pub(super) since: Instant,
    /// Until when it is left out even if it answers.
    pub(super) hold_until: Instant,
    pub(super) next_check_at: Instant,
    pub(super) strikes: u32,
    pub(super) failed_checks: u32,
    pub(super) has_answered: bool,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Refusals {
    pub(super) last_at: Instant,
    pub(super) until: Instant,
    /// Those in a row that came although there was memory to spare.
    pub(super) unexplained: u32,
    pub(super) count: u32,
}

/// Why an endpoint is left out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspect {
    /// A connection to it broke, which a sound endpoint does too; it is asked at once.
    ConnectionBroke,
    /// It cannot be connected to or does not answer.
    NoAnswer,
    /// Another endpoint says that requests hang at this one.
    RequestsStall,
    /// It does not hold the layers that it was thought to hold; it is asked at once.
    OtherLayers,
}

impl Suspect {
    /// Returns the reason in words, for the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionBroke => "the connection broke",
            Self::NoAnswer => "no answer",
            Self::RequestsStall => "requests stall there",
            Self::OtherLayers => "it holds other layers",
        }
    }
}

impl Known {
    pub(super) fn new(record: EndpointRecord, now: Instant) -> Self {
        Self {
            record,
            joined_at: now,
            heard_at: None,
            renewed_at: now,
            suspect: None,
            refusals: None,
            is_refusing: false,
            lapsed_until: None,
            ordered: None,
        }
    }

    pub(super) fn settle_order(&mut self, now: Instant) {
        let state = &self.record.state;
        let is_settled = |(layers, until): &(LayerRange, Instant)| {
            now >= *until || state.layers == Some(*layers) && !state.is_moving
        };
        if self.ordered.as_ref().is_some_and(is_settled) {
            self.ordered = None;
        }
    }

    pub(super) fn suspect(&mut self, why: Suspect, now: Instant) -> bool {
        let is_news = !self.is_suspect(now);
        let strikes = match self.suspect {
            Some(old) if now.saturating_duration_since(old.since) < STRIKE_MEMORY => {
                old.strikes + u32::from(is_news)
            }
            _ => 1,
        };
        let hold = match why {
            Suspect::ConnectionBroke | Suspect::NoAnswer | Suspect::OtherLayers => Duration::ZERO,
            Suspect::RequestsStall => (MIN_HOLD * 2u32.saturating_pow(strikes - 1)).min(MAX_HOLD),
        };
        if is_news {
            self.suspect = Some(Suspicion {
                since: now,
                hold_until: now + hold,
                next_check_at: now,
                strikes,
                failed_checks: 0,
                has_answered: false,
            });
        }
        is_news
    }

    pub(super) fn note_refusal(&mut self, has_room: bool, now: Instant) {
        let old = self
            .refusals
            .filter(|old| now.saturating_duration_since(old.last_at) < REFUSAL_MEMORY);
        // Several requests that were under way together are refused for one reason.
        if old.is_some_and(|old| now < old.until) {
            return;
        }
        let count = old.map_or(0, |old| old.count) + 1;
        let before = old.map_or(0, |old| old.unexplained);
        let hold = (REFUSAL_HOLD * 2u32.saturating_pow(count - 1)).min(MAX_REFUSAL_HOLD);
        self.refusals = Some(Refusals {
            last_at: now,
            until: now + hold,
            unexplained: if has_room { before + 1 } else { 0 },
            count,
        });
    }

    pub(super) fn seems_leaving(&self, now: Instant) -> bool {
        self.refusals.is_some_and(|refusals| {
            refusals.unexplained >= REFUSALS_UNTIL_LEAVING
                && now.saturating_duration_since(refusals.last_at) < REFUSAL_MEMORY
        })
    }

    pub(super) fn is_suspect(&self, now: Instant) -> bool {
        self.suspect
            .is_some_and(|suspect| now < suspect.hold_until || !suspect.has_answered)
    }

    pub(super) fn is_lost(&self) -> bool {
        self.suspect
            .is_some_and(|s| !s.has_answered && s.failed_checks >= CHECKS_UNTIL_LOST)
    }

    pub(super) fn is_usable(&self, now: Instant) -> bool {
        !self.record.is_leaving
            && !self.is_refusing
            && !self.is_suspect(now)
            && self.refusals.is_none_or(|refusals| now >= refusals.until)
    }
}
