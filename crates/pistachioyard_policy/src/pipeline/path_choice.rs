//! Chooses the path of a request: the endpoints that run its layers, in order.
//!
//! When memory for requests is scarce, or prompts queue, a path with room is preferred to a fast
//! one.
//! When a data centre has lost some layers, requests run in another one, or cross between data
//! centres as far as the links allow.

mod search;

use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use pistachioyard_wire::{DataCentre, EndpointId, LayerRange};
use rand::Rng;

use crate::departure::{CentreTerms, DepartureTerms, StartAt};
use crate::membership::LOAD_FANOUT;

use super::load::RequestSize;
use super::saturation::{is_saturated, saturation, step_ms};
use super::spec::{Card, PipelineSpec};
use search::{holds, search};

/// The time to pass a token to the next endpoint in the same data centre, in ms: twice the
/// one-way delay that the platform states.
const HOP_MS: f64 = 0.2;
/// The cost of a first endpoint outside the entry's data centre, in ms of a request's time.
/// It stands for sending the bytes of a typical answer between data centres.
const REMOTE_START_MS: f64 = 40.0;
/// The same in a large fleet, where the loads of other data centres are only known as sums that
/// are some rounds old: the time that a request in a busy data centre takes.
const REMOTE_START_MS_IN_LARGE_FLEET: f64 = 2_000.0;
/// By how much less of an endpoint's memory is given out from there, beyond what is offered.
const REMOTE_FILL_MARGIN: f64 = 0.25;
/// The same within an offer: those who share it choose at one moment among the same endpoints.
const GRANTED_FILL_MARGIN: f64 = 0.1;
/// The maximum share by which costs are raised at random, so that entries that see the same
/// load do not all choose the same path.
const JITTER: f64 = 0.15;
/// The same share for path repairs. It is larger because all entries lose the same endpoint
/// at one moment, before any of them can tell the others which replacement it has chosen.
const REPAIR_JITTER: f64 = 1.0;
/// The share of an endpoint's memory that is given out by estimate. The rest covers answers
/// that grow longer than estimated and requests that peers have sent in the meantime.
const MAX_FILL_SHARE: f64 = 0.85;
/// By how much less is given out for each gossip round that the loads of peers are older.
const FILL_SHARE_PER_ROUND: f64 = 0.08;
/// The smallest share that is given out.
const MIN_FILL_SHARE: f64 = 0.6;
/// The weight with which the cost of a stage rises as its memory fills, or its time to read.
const PRESSURE: f64 = 3.0;
/// The maximum number of endpoints on a path; the endpoints enforce this limit.
const MAX_STAGES: usize = 32;
/// The maximum number of searches; each one after the first leaves out the endpoint from which
/// the previous path returned to an earlier one.
const MAX_SEARCHES: usize = 4;

/// Describes what an endpoint can contribute to a path at this moment.
#[derive(Clone, Debug)]
pub struct StageOffer {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The layers that it holds.
    pub layers: LayerRange,
    /// Its card.
    pub card: Card,
    /// The factor by which it runs slower than its card should; 1 if it is healthy.
    pub slowdown: f64,
    /// Whether its limit leaves room for a request that starts there; later stages are not
    /// limited.
    pub may_start: bool,
    /// The number of requests in flight through it, from all entries.
    pub requests: u32,
    /// The number of token-layers in use, from all entries.
    pub token_layers: f64,
    /// The prompt tokens times layers that are still being read, from all entries.
    pub reading: f64,
    /// What of it this entry has begun in the current gossip round.
    pub reading_untold: f64,
}

/// Describes the request that needs a path.
#[derive(Clone, Debug)]
pub struct PathQuery<'a> {
    /// The request's size.
    pub size: RequestSize,
    /// The entry's data centre.
    pub home: &'a DataCentre,
    /// The time that a crossing between data centres adds to each token, in ms; `None` if
    /// the links have no capacity left.
    pub crossing_ms: Option<f64>,
    /// The endpoint that must run the first layer, if any.
    pub first: Option<&'a EndpointId>,
    /// The number of peers in the entry's data centre, which give out the same memory.
    pub near_peers: usize,
    /// Whether the entry hears from every other one in each gossip round, so that it knows the
    /// loads of other data centres as well as those of its own.
    pub hears_all: bool,
    /// The terms on which it may start in other data centres; `None` if there are none.
    pub departures: Option<&'a DepartureTerms>,
    /// How long the request may wait for its first event; `None` if it waits as long as it takes.
    pub max_reading: Option<Duration>,
    /// The share of the endpoints' memory that the request leaves free for more urgent ones.
    pub reserve: f64,
}

impl PathQuery<'_> {
    /// Returns the share of an endpoint's memory that may be given out. It is smaller where many
    /// peers share the memory, since each hears of the load of the others only in its turn, and
    /// where only the sum of another data centre's load is known.
    fn max_fill(&self, offer: &StageOffer) -> f64 {
        let rounds = self.near_peers.div_ceil(LOAD_FANOUT).max(1) - 1;
        let share = (MAX_FILL_SHARE - FILL_SHARE_PER_ROUND * rounds as f64).max(MIN_FILL_SHARE);
        let margin = match self.hears_all || offer.data_centre == *self.home {
            true => 0.0,
            false if self.granted(&offer.data_centre).is_some() => GRANTED_FILL_MARGIN,
            false => REMOTE_FILL_MARGIN,
        };
        share - margin - self.reserve
    }

    /// Returns the cost of a first endpoint in another data centre.
    fn remote_start_ms(&self, centre: &DataCentre) -> f64 {
        let calm_ms = match self.hears_all {
            true => REMOTE_START_MS,
            false => REMOTE_START_MS_IN_LARGE_FLEET,
        };
        let terms = self.granted(centre);
        terms.map_or(calm_ms, |terms| terms.start_ms(self.size, calm_ms))
    }

    /// Returns what allows a path to start in a data centre.
    pub fn start_at(&self, centre: &DataCentre) -> StartAt {
        match (centre == self.home, self.granted(centre)) {
            (true, _) => StartAt::Home,
            (false, Some(_)) => StartAt::Granted,
            (false, None) => StartAt::Beyond,
        }
    }

    fn granted(&self, centre: &DataCentre) -> Option<&CentreTerms> {
        self.departures?.granted(centre, self.size)
    }
}

/// Holds one endpoint of a path and the layers that it runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PathStage {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// The layers that it runs.
    pub layers: LayerRange,
}

/// Holds the endpoints that run every layer once and in order.
#[derive(Clone, Debug, PartialEq)]
pub struct Path {
    /// The endpoints in order; never empty.
    pub stages: Vec<PathStage>,
    /// The number of crossings between data centres.
    pub crossings: u32,
    /// The expected time of the request, in ms, raised where memory is scarce and by a random
    /// share.
    pub cost_ms: f64,
}

/// Reports why there is no path.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NoPath {
    /// No usable endpoint holds this layer.
    #[error("no usable endpoint holds layer {layer}")]
    Gap {
        /// The first layer that is missing.
        layer: u32,
    },
    /// Some endpoints hold this layer, but none of them has memory left for the request, or time
    /// to read its prompt.
    #[error("the endpoints that hold layer {layer} have no memory or time left for the request")]
    NoRoom {
        /// The first layer without room.
        layer: u32,
    },
    /// Some endpoints with memory left hold the first layer, but the limits that they have named
    /// leave no room for a request.
    #[error("the limits of the endpoints that hold layer {layer} leave no room for the request")]
    NoStart {
        /// The first layer.
        layer: u32,
    },
    /// A path would have to cross between data centres, and the links have no capacity left.
    #[error("no data centre can run all layers and the links between them have no capacity left")]
    NoCrossing,
    /// This entry reaches no endpoint of the service, and no peer does for it.
    #[error("no endpoint of the service is within reach")]
    OutOfReach,
    /// The lost endpoint is the first of its path, or not on it.
    #[error("the lost endpoint is the first of its path or not on it, so it cannot be replaced")]
    NotReplaceable,
    /// Every path found uses an endpoint twice or has too many endpoints.
    #[error("every path found uses an endpoint twice or has too many endpoints")]
    TooComplex,
}

/// Chooses the path of least cost, with some randomness among paths of similar cost.
///
/// # Errors
///
/// Fails when no endpoint holds a layer, when no holder of it has memory left, when the
/// path would need crossings that are not allowed, and when every path found uses an endpoint
/// twice or has too many endpoints.
pub fn choose_path(
    spec: &PipelineSpec,
    offers: &[StageOffer],
    query: &PathQuery<'_>,
    rng: &mut impl Rng,
) -> Result<Path, NoPath> {
    let span = Span {
        layers: 0..spec.layers,
        is_start: true,
        from: None,
        to: None,
        jitter: JITTER,
    };
    choose_stages(spec, offers, query, &span, rng)
}

/// Describes the layers that a path or a part of one runs, and the stages next to it.
pub(super) struct Span<'a> {
    pub(super) layers: Range<u32>,
    /// Whether the span begins a path, and is not a part of a path in use.
    pub(super) is_start: bool,
    /// The data centre of the previous stage; `None` at the beginning of a path.
    pub(super) from: Option<&'a DataCentre>,
    /// The data centre of the next stage; `None` at the end of a path.
    pub(super) to: Option<&'a DataCentre>,
    /// The maximum share by which costs are raised at random.
    pub(super) jitter: f64,
}

impl<'a> Span<'a> {
    /// Creates a span for the layers of a lost stage.
    pub(super) fn for_lost_stage(
        layers: LayerRange,
        from: Option<&'a DataCentre>,
        to: Option<&'a DataCentre>,
    ) -> Self {
        Self {
            layers: layers.first()..layers.end(),
            is_start: false,
            from,
            to,
            jitter: REPAIR_JITTER,
        }
    }
}

/// Chooses the stages of least cost over a span of layers.
pub(super) fn choose_stages(
    spec: &PipelineSpec,
    offers: &[StageOffer],
    query: &PathQuery<'_>,
    span: &Span<'_>,
    rng: &mut impl Rng,
) -> Result<Path, NoPath> {
    check_coverage(spec, offers, query, span)?;
    let mut candidates: Vec<Candidate<'_>> = offers
        .iter()
        .filter(|offer| has_room(spec, offer, query))
        .map(|offer| Candidate {
            offer,
            layer_ms: layer_ms(spec, offer, query) * rng.random_range(1.0..1.0 + span.jitter),
        })
        .collect();
    for _ in 0..MAX_SEARCHES {
        let path = search(&candidates, query, span)?;
        match detour_endpoint(&path) {
            None if is_short_enough(&path) => return Ok(path),
            None => return Err(NoPath::TooComplex),
            Some(detour) => candidates.retain(|candidate| candidate.offer.endpoint != detour),
        }
    }
    Err(NoPath::TooComplex)
}

/// Returns whether the endpoints accept a path of this length.
pub(super) fn is_short_enough(path: &Path) -> bool {
    path.stages.len() <= MAX_STAGES
}

/// Holds an offer with enough room and its cost per layer.
struct Candidate<'a> {
    offer: &'a StageOffer,
    layer_ms: f64,
}

fn has_room(spec: &PipelineSpec, offer: &StageOffer, query: &PathQuery<'_>) -> bool {
    let held = offer.layers.len();
    let capacity = spec.token_layer_capacity(&offer.card, held);
    let added = query.size.resident_tokens() * f64::from(held);
    let fits = offer.token_layers + added <= capacity * query.max_fill(offer);
    fits && !is_saturated(spec, offer, query)
}

/// Estimates the time that the request spends in one layer of an endpoint, in ms.
fn layer_ms(spec: &PipelineSpec, offer: &StageOffer, query: &PathQuery<'_>) -> f64 {
    let size = query.size;
    let step = step_ms(spec, offer);
    let prefill = size.prompt / spec.prefill_tokens_per_ms;
    let time_ms = size.answer * step * offer.card.step_factor + prefill * offer.card.prefill_factor;
    let capacity = spec.token_layer_capacity(&offer.card, offer.layers.len());
    let fill = offer.token_layers / capacity.max(1.0);
    let used = fill.max(saturation(spec, offer, query)).clamp(0.0, 1.0);
    let pressure = 1.0 + PRESSURE * used * used;
    time_ms * offer.slowdown * pressure / f64::from(spec.layers)
}

fn check_coverage(
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
        let mut with_room = holders
            .filter(|offer| has_room(spec, offer, query))
            .peekable();
        if with_room.peek().is_none() {
            return Err(NoPath::NoRoom { layer });
        }
        let is_first = span.is_start && layer == span.layers.start;
        if is_first && !with_room.any(|offer| offer.may_start) {
            return Err(NoPath::NoStart { layer });
        }
    }
    Ok(())
}

/// Returns the endpoint after which a path returns to an earlier one, if it does.
fn detour_endpoint(path: &Path) -> Option<EndpointId> {
    let stages = &path.stages;
    (1..stages.len()).find_map(|at| {
        let is_repeated = stages[..at]
            .iter()
            .any(|s| s.endpoint == stages[at].endpoint);
        is_repeated.then(|| stages[at - 1].endpoint.clone())
    })
}
