//! Holds the terms on which a request may start in other data centres.

use std::collections::BTreeMap;

use pistachioyard_wire::DataCentre;

use crate::pipeline::{PipelineSpec, RequestSize};

/// The bytes of a token of a prompt, as text.
const PROMPT_TOKEN_BYTES: f64 = 5.0;
/// The bytes of a token of an answer, as an event of a stream.
const ANSWER_TOKEN_BYTES: f64 = 200.0;
/// The ms of delay that a request meets twice: its prompt goes, and its answer returns.
const WAYS: f64 = 2.0;

/// Holds the terms for each data centre that has told of its room.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DepartureTerms {
    pub(super) centres: BTreeMap<DataCentre, CentreTerms>,
    /// The part of a request that must fit into a grant.
    pub(super) rounding: f64,
}

impl DepartureTerms {
    /// Returns the terms of a data centre if its offer has room for a request.
    pub fn granted(&self, centre: &DataCentre, size: RequestSize) -> Option<&CentreTerms> {
        let terms = self.centres.get(centre)?;
        (size.resident_tokens() * self.rounding <= terms.room_tokens).then_some(terms)
    }
}

/// Holds the terms of one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CentreTerms {
    /// The tokens that this entry may still use of the offer.
    pub room_tokens: f64,
    /// How strongly requests want to leave, from 0 to 1.
    pub want: f64,
    /// The delay of the request and its answer on the way, in ms.
    pub delay_ms: f64,
    /// The time of one byte on the link, in ms.
    pub ms_per_byte: f64,
}

impl CentreTerms {
    pub(super) fn new(spec: &PipelineSpec, want: f64, room_tokens: f64) -> Self {
        Self {
            room_tokens,
            want,
            delay_ms: WAYS * spec.crossing_delay_ms,
            ms_per_byte: spec.pipe_mbps.map_or(0.0, |mbps| 8.0 / (mbps * 1e3)),
        }
    }

    /// Returns the cost of a start, in ms, if a start in calm costs `calm_ms`: it falls to the
    /// time on the links as home gets short.
    pub fn start_ms(&self, size: RequestSize, calm_ms: f64) -> f64 {
        let bytes = size.prompt * PROMPT_TOKEN_BYTES + size.answer * ANSWER_TOKEN_BYTES;
        let on_links_ms = self.delay_ms + bytes * self.ms_per_byte;
        on_links_ms + (calm_ms - on_links_ms).max(0.0) * (1.0 - self.want)
    }
}
