//! Tracks one endpoint: its record, its failures, and whether it may get new requests.

use std::time::{Duration, Instant};

use pistachioyard_wire::LayerRange;

use super::record::EndpointRecord;

/// The first ejection of an endpoint at which requests stall, doubled with each repetition. It
/// applies even if the endpoint answers probes: the fault may lie on its links to others.
const MIN_EJECTION: Duration = Duration::from_millis(800);
/// The time between the first two probes of a suspect endpoint.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// The longest time between two probes of one that refuses connections, reached by doubling. Its
/// next run registers in the store, so that probes are not needed to find it.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The longest ejection after repeated stalls.
const MAX_EJECTION: Duration = Duration::from_secs(6);
/// The time after which a failure no longer counts toward the next ejection.
const FAILURE_WINDOW: Duration = Duration::from_secs(10);
/// The first ejection of an endpoint that refused a request; doubled with each further refusal.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(150);
/// The longest ejection after refusals.
const MAX_REFUSAL_BACKOFF: Duration = Duration::from_secs(4);
/// The time after which a refusal no longer counts toward the next ejection.
const REFUSAL_WINDOW: Duration = Duration::from_secs(6);
/// The consecutive refusals, each with memory to spare, after which an endpoint is treated as
/// leaving. A draining endpoint says so in the store, but the store may be unreachable.
const REFUSALS_UNTIL_LEAVING: u32 = 3;
/// The failed probes after which the layers of a suspect endpoint are treated as lost.
const FAILED_PROBES_UNTIL_LOST: u32 = 2;
/// How long a suspect endpoint that refuses no connections must be silent before its layers are
/// treated as lost; a sound endpoint may be silent for about a second.
const SILENCE_UNTIL_LOST: Duration = Duration::from_millis(1_500);

#[derive(Clone, Debug)]
pub(super) struct TrackedEndpoint {
    pub(super) record: EndpointRecord,
    pub(super) joined_at: Instant,
    /// When it last gave its state itself, in a report or in the answer to an order.
    pub(super) reported_at: Option<Instant>,
    pub(super) renewed_at: Instant,
    pub(super) suspect: Option<Suspicion>,
    pub(super) refusals: Option<Refusals>,
    /// Whether it said that it is leaving or that it is not the endpoint that was addressed.
    pub(super) is_unavailable: bool,
    /// The end of its grace period to register again; set when its record was missing right
    /// after an outage of the store.
    pub(super) grace_until: Option<Instant>,
    /// The layers that it was ordered to hold, and when the wait for them ends.
    pub(super) pending_order: Option<(LayerRange, Instant)>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Suspicion {
    pub(super) since: Instant,
    /// Until when it stays ejected even if it answers probes.
    pub(super) ejected_until: Instant,
    pub(super) next_probe_at: Instant,
    pub(super) failures: u32,
    pub(super) failed_probes: u32,
    /// Whether the last probe was refused, so that no process listens there.
    pub(super) is_refused: bool,
    /// When a connection to it was first refused, here or at a peer.
    pub(super) refused_at: Option<Instant>,
    pub(super) has_answered: bool,
    /// Until when it counts as alive, since it answers a peer.
    pub(super) reached_elsewhere_until: Option<Instant>,
    /// When a peer is asked next whether it answers there.
    pub(super) next_opinion_at: Instant,
    /// Whether it also refused a connection of a peer, or this entry reaches others.
    pub(super) is_confirmed_dead: bool,
}

impl Suspicion {
    /// Returns whether it does not answer this entry and answers a peer.
    pub(super) fn is_reached_elsewhere(&self, now: Instant) -> bool {
        !self.has_answered
            && self
                .reached_elsewhere_until
                .is_some_and(|until| now < until)
    }

    /// Records the result of a probe; returns whether it is the first refused connection that is
    /// known of.
    pub(super) fn note_probe(&mut self, result: ProbeResult, now: Instant) -> bool {
        let answered = result == ProbeResult::Answered;
        self.has_answered = answered;
        self.failed_probes += u32::from(!answered);
        self.is_refused = result == ProbeResult::Refused;
        let is_first_refusal = self.is_refused && self.refused_at.is_none();
        if self.is_refused {
            self.refused_at.get_or_insert(now);
        }
        let doublings = match self.is_refused {
            // The first two probes decide whether its layers are lost.
            true => self.failed_probes.saturating_sub(FAILED_PROBES_UNTIL_LOST),
            false => 0,
        };
        let interval = PROBE_INTERVAL.saturating_mul(2_u32.saturating_pow(doublings));
        self.next_probe_at = now + interval.min(MAX_PROBE_INTERVAL);
        is_first_refusal
    }
}

/// Says how a probe of a suspect endpoint ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeResult {
    /// It answered.
    Answered,
    /// It refused the connection, so no process listens there.
    Refused,
    /// No answer arrived in time.
    Silent,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Refusals {
    pub(super) last_at: Instant,
    pub(super) until: Instant,
    /// The consecutive refusals that came although there was memory to spare.
    pub(super) unexplained: u32,
    pub(super) count: u32,
}

/// Says why an endpoint is suspect and ejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectReason {
    /// A connection to it broke. This happens with healthy endpoints too, so it is probed at
    /// once.
    ConnectionBroke,
    /// It refuses connections or does not answer.
    NoAnswer,
    /// Another endpoint reports that requests are stalled waiting for this one.
    RequestsStall,
    /// It does not hold the layers that it was expected to hold; it is probed at once.
    OtherLayers,
    /// It refused a request though it should have memory to spare; it is probed at once.
    RefusedRequest,
    /// It refused a connection of a peer.
    ToldDead,
}

impl SuspectReason {
    /// Returns the reason as text for the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionBroke => "the connection broke",
            Self::NoAnswer => "no answer",
            Self::RequestsStall => "requests stall there",
            Self::OtherLayers => "it holds other layers",
            Self::RefusedRequest => "it refused a request",
            Self::ToldDead => "a peer found it dead",
        }
    }
}

impl TrackedEndpoint {
    pub(super) fn new(record: EndpointRecord, now: Instant) -> Self {
        Self {
            record,
            joined_at: now,
            reported_at: None,
            renewed_at: now,
            suspect: None,
            refusals: None,
            is_unavailable: false,
            grace_until: None,
            pending_order: None,
        }
    }

    pub(super) fn clear_settled_order(&mut self, now: Instant) {
        let state = &self.record.state;
        let is_settled = |(layers, until): &(LayerRange, Instant)| {
            now >= *until || state.layers == Some(*layers) && !state.is_moving
        };
        if self.pending_order.as_ref().is_some_and(is_settled) {
            self.pending_order = None;
        }
    }

    pub(super) fn mark_suspect(&mut self, why: SuspectReason, now: Instant) -> bool {
        let is_new = !self.is_suspect(now);
        let failures = match self.suspect {
            Some(old) if now.saturating_duration_since(old.since) < FAILURE_WINDOW => {
                old.failures + u32::from(is_new)
            }
            _ => 1,
        };
        let ejection = match why {
            SuspectReason::ConnectionBroke
            | SuspectReason::NoAnswer
            | SuspectReason::OtherLayers
            | SuspectReason::RefusedRequest
            | SuspectReason::ToldDead => Duration::ZERO,
            SuspectReason::RequestsStall => {
                (MIN_EJECTION * 2u32.saturating_pow(failures - 1)).min(MAX_EJECTION)
            }
        };
        if is_new {
            self.suspect = Some(Suspicion {
                since: now,
                ejected_until: now + ejection,
                next_probe_at: now,
                failures,
                failed_probes: 0,
                is_refused: false,
                refused_at: None,
                has_answered: false,
                reached_elsewhere_until: None,
                next_opinion_at: now,
                is_confirmed_dead: false,
            });
        }
        is_new
    }

    pub(super) fn note_refusal(&mut self, has_memory: bool, now: Instant) {
        let old = self
            .refusals
            .filter(|old| now.saturating_duration_since(old.last_at) < REFUSAL_WINDOW);
        // Requests that were in flight together are refused for the same reason and count once.
        if old.is_some_and(|old| now < old.until) {
            return;
        }
        let count = old.map_or(0, |old| old.count) + 1;
        let unexplained = old.map_or(0, |old| old.unexplained);
        let backoff = (REFUSAL_BACKOFF * 2u32.saturating_pow(count - 1)).min(MAX_REFUSAL_BACKOFF);
        self.refusals = Some(Refusals {
            last_at: now,
            until: now + backoff,
            unexplained: if has_memory { unexplained + 1 } else { 0 },
            count,
        });
    }

    pub(super) fn seems_leaving(&self, now: Instant) -> bool {
        self.refusals.is_some_and(|refusals| {
            refusals.unexplained >= REFUSALS_UNTIL_LEAVING
                && now.saturating_duration_since(refusals.last_at) < REFUSAL_WINDOW
        })
    }

    pub(super) fn is_suspect(&self, now: Instant) -> bool {
        self.suspect
            .is_some_and(|suspect| now < suspect.ejected_until || !suspect.has_answered)
    }

    pub(super) fn is_lost(&self, now: Instant) -> bool {
        self.suspect.is_some_and(|suspect| {
            let silence = now.saturating_duration_since(suspect.since);
            !suspect.has_answered
                && !suspect.is_reached_elsewhere(now)
                && suspect.failed_probes >= FAILED_PROBES_UNTIL_LOST
                && (suspect.is_refused || silence >= SILENCE_UNTIL_LOST)
        })
    }

    pub(super) fn is_usable(&self, now: Instant) -> bool {
        self.is_usable_if_reached(now) && !self.is_suspect(now)
    }

    /// Returns whether it is usable for those that reach it.
    pub(super) fn is_usable_if_reached(&self, now: Instant) -> bool {
        !self.record.is_leaving
            && !self.is_unavailable
            && self.refusals.is_none_or(|refusals| now >= refusals.until)
    }
}
