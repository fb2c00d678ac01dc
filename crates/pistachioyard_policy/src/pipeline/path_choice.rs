//! Chooses the path of a request: which endpoints run its layers, in order.
//!
//! Answers two load patterns. When memory for requests is what runs short, a path
//! with room is preferred to a fast one. When a loss has opened a gap in the
//! layers of one data centre, requests pass through another, or cross between
//! data centres as far as the pipes allow.

mod search;

use std::net::SocketAddr;
use std::ops::Range;

use pistachioyard_wire::{DataCentre, EndpointId, LayerRange};
use rand::Rng;

use super::load::RequestSize;
use super::spec::{Card, PipelineSpec};
use search::{holds, search};

/// The time that passing a token from one endpoint to the next takes inside a data
/// centre, in ms; twice the one-way delay that the platform states.
const HOP_MS: f64 = 0.2;
/// What it is worth, in ms of a request's time, to have the first endpoint in the
/// entry's own data centre; the price of a typical answer's bytes between data centres.
const AWAY_MS: f64 = 40.0;
/// The share by which costs are varied at random, so that entries that see the same
/// load do not all take the same path.
const JITTER: f64 = 0.15;
/// The same while paths are mended: all entries lose the same endpoint at one moment,
/// before any of them can tell the others whom it has taken instead.
const MEND_JITTER: f64 = 1.0;
/// The part of an endpoint's memory that is given out by estimate; the rest covers
/// answers that grow longer than estimated and what peers have sent meanwhile.
const MAX_FILL: f64 = 0.85;
/// How steeply a stage gets dearer as its memory fills.
const MEMORY_PRESSURE: f64 = 3.0;
/// The most endpoints that a path may have; a limit of the endpoints.
const MAX_STAGES: usize = 32;
/// How often a search is repeated without an endpoint that it passed twice.
const MAX_SEARCHES: usize = 4;

/// What an endpoint offers to a path at this moment.
#[derive(Clone, Debug)]
pub struct StageOffer {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The layers that it holds.
    pub layers: LayerRange,
    /// Its card.
    pub card: Card,
    /// How much slower than its card it runs; 1 if it is sound.
    pub slowdown: f64,
    /// The requests in flight through it, from all entries.
    pub requests: u32,
    /// The token-layers in use, from all entries.
    pub token_layers: f64,
}

/// What a path is wanted for.
#[derive(Clone, Debug)]
pub struct PathQuery<'a> {
    /// The request's size.
    pub size: RequestSize,
    /// The entry's data centre.
    pub home: &'a DataCentre,
    /// The time that crossing between data centres costs a token, in ms; none if
    /// the pipes have no room.
    pub crossing_ms: Option<f64>,
    /// The endpoint that must come first, if any.
    pub first: Option<&'a EndpointId>,
}

/// One endpoint of a path and the layers that it runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PathStage {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The layers that it runs.
    pub layers: LayerRange,
}

/// A path on which every layer runs once and in order.
#[derive(Clone, Debug, PartialEq)]
pub struct Path {
    /// The endpoints in order; never empty.
    pub stages: Vec<PathStage>,
    /// How often it crosses between data centres.
    pub crossings: u32,
    /// The expected time of the request, in ms.
    pub cost_ms: f64,
}

/// Why there is no path.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NoPath {
    /// No usable endpoint holds this layer.
    #[error("no usable endpoint holds layer {layer}")]
    Gap {
        /// The first layer that is missing.
        layer: u32,
    },
    /// The layers are held, but where they are there is no memory left.
    #[error("the endpoints that hold layer {layer} have no memory left for the request")]
    NoRoom {
        /// The first layer without room.
        layer: u32,
    },
    /// Data centres would have to be crossed and the pipes between them are full.
    #[error("no data centre has all layers and the pipes between them have no room")]
    NoCrossing,
    /// The lost endpoint is the first of its path, or not on it.
    #[error("the endpoint cannot be replaced on the path")]
    NotReplaceable,
    /// Every way found passes an endpoint twice or is too long.
    #[error("no path of few enough endpoints was found")]
    Tangled,
}

/// Chooses the path of least cost, with some randomness among near-equals.
///
/// # Errors
///
/// Fails when a layer is not held, has no room, or is only reached by crossings
/// that are not allowed.
pub fn choose_path(
    spec: &PipelineSpec,
    offers: &[StageOffer],
    query: &PathQuery<'_>,
    rng: &mut impl Rng,
) -> Result<Path, NoPath> {
    let span = Span {
        layers: 0..spec.layers,
        from: None,
        to: None,
        jitter: JITTER,
    };
    choose_over(spec, offers, query, &span, rng)
}

/// The layers that a path or a part of one runs, and what it joins on to.
pub(super) struct Span<'a> {
    pub(super) layers: Range<u32>,
    /// The data centre of the stage before; none at the beginning of a path.
    pub(super) from: Option<&'a DataCentre>,
    /// The data centre of the stage after; none at the end of a path.
    pub(super) to: Option<&'a DataCentre>,
    /// The share by which costs are varied at random.
    pub(super) jitter: f64,
}

impl<'a> Span<'a> {
    /// Makes a span for the layers of a stage that was lost.
    pub(super) fn of_lost(
        layers: LayerRange,
        from: Option<&'a DataCentre>,
        to: Option<&'a DataCentre>,
    ) -> Self {
        Self {
            layers: layers.first()..layers.end(),
            from,
            to,
            jitter: MEND_JITTER,
        }
    }
}

/// Chooses the stages of least cost over a span of layers.
pub(super) fn choose_over(
    spec: &PipelineSpec,
    offers: &[StageOffer],
    query: &PathQuery<'_>,
    span: &Span<'_>,
    rng: &mut impl Rng,
) -> Result<Path, NoPath> {
    check_cover(spec, offers, query, span)?;
    let mut open: Vec<Candidate<'_>> = offers
        .iter()
        .filter(|offer| has_room(spec, offer, query.size))
        .map(|offer| Candidate {
            offer,
            layer_ms: layer_ms(spec, offer, query.size) * rng.random_range(1.0..1.0 + span.jitter),
        })
        .collect();
    for _ in 0..MAX_SEARCHES {
        let path = search(&open, query, span)?;
        match twice_passed(&path) {
            None if is_short_enough(&path) => return Ok(path),
            None => return Err(NoPath::Tangled),
            Some(between) => open.retain(|candidate| candidate.offer.endpoint != between),
        }
    }
    Err(NoPath::Tangled)
}

/// Tells whether the endpoints take a path of this length.
pub(super) fn is_short_enough(path: &Path) -> bool {
    path.stages.len() <= MAX_STAGES
}

/// An offer with room, and what a layer costs there.
struct Candidate<'a> {
    offer: &'a StageOffer,
    layer_ms: f64,
}

fn has_room(spec: &PipelineSpec, offer: &StageOffer, size: RequestSize) -> bool {
    let held = offer.layers.len();
    let total = spec.token_layers_beside(&offer.card, held);
    offer.token_layers + size.resident() * f64::from(held) <= total * MAX_FILL
}

/// Estimates the time that the request spends in one layer of an endpoint.
fn layer_ms(spec: &PipelineSpec, offer: &StageOffer, size: RequestSize) -> f64 {
    let requests = f64::from(offer.requests);
    let context_k = requests * (spec.usual_prompt + spec.usual_answer) / 1e3;
    let step = spec.step_ms
        + spec.step_per_request_ms * requests
        + spec.step_per_1k_context_ms * context_k;
    let read = size.prompt / spec.read_tokens_per_ms;
    let total = size.answer * step * offer.card.step_factor + read * offer.card.read_factor;
    let room = spec.token_layers_beside(&offer.card, offer.layers.len());
    let fill = (offer.token_layers / room.max(1.0)).clamp(0.0, 1.0);
    let pressure = 1.0 + MEMORY_PRESSURE * fill * fill;
    total * offer.slowdown * pressure / f64::from(spec.layers)
}

fn check_cover(
    spec: &PipelineSpec,
    offers: &[StageOffer],
    query: &PathQuery<'_>,
    span: &Span<'_>,
) -> Result<(), NoPath> {
    for layer in span.layers.clone() {
        let mut holders = offers.iter().filter(|o| holds(o.layers, layer)).peekable();
        if holders.peek().is_none() {
            return Err(NoPath::Gap { layer });
        }
        if !holders.any(|offer| has_room(spec, offer, query.size)) {
            return Err(NoPath::NoRoom { layer });
        }
    }
    Ok(())
}

/// Returns the endpoint after which a path comes back to an earlier one, if it does.
fn twice_passed(path: &Path) -> Option<EndpointId> {
    let stages = &path.stages;
    (1..stages.len()).find_map(|at| {
        let comes_back = stages[..at]
            .iter()
            .any(|s| s.endpoint == stages[at].endpoint);
        comes_back.then(|| stages[at - 1].endpoint.clone())
    })
}
