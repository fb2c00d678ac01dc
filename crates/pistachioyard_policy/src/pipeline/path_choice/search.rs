//! Finds the cheapest sequence of endpoints over a span of layers by dynamic programming.

use std::collections::BTreeMap;

use pistachioyard_wire::{DataCentre, LayerRange};

use super::{Candidate, HOP_MS, NoPath, Path, PathQuery, PathStage, Span};

/// Returns whether a range contains a layer.
pub(super) fn holds(layers: LayerRange, layer: u32) -> bool {
    layers.first() <= layer && layer < layers.end()
}

/// Holds the cheapest partial path up to one layer that ends at one candidate.
#[derive(Clone, Copy)]
struct PartialPath {
    cost_ms: f64,
    /// The index of the candidate that runs the previous layer; the same one if it runs both.
    from: usize,
}

/// Finds the cheapest sequence of candidates over the span, layer by layer.
///
/// What a step from another endpoint costs depends on the two data centres alone, so for each
/// layer only the cheapest partial path in each data centre is looked at. The time grows with
/// the holders of a layer and the data centres, not with the square of the endpoints.
pub(super) fn search(
    candidates: &[Candidate<'_>],
    query: &PathQuery<'_>,
    span: &Span<'_>,
) -> Result<Path, NoPath> {
    let mut rows: Vec<Vec<Option<PartialPath>>> = Vec::with_capacity(span.layers.len());
    for layer in span.layers.clone() {
        let previous = rows.last().map(|row| PreviousLayer::new(row, candidates));
        let row: Vec<Option<PartialPath>> = (0..candidates.len())
            .map(|at| cheapest_partial(candidates, query, span, previous.as_ref(), layer, at))
            .collect();
        if row.iter().all(Option::is_none) {
            return Err(NoPath::NoCrossing);
        }
        rows.push(row);
    }
    trace_back(candidates, query, span, &rows).ok_or(NoPath::NoCrossing)
}

/// Holds the partial paths up to the previous layer.
struct PreviousLayer<'a> {
    row: &'a [Option<PartialPath>],
    /// The cheapest one that ends in each data centre: its cost and its last candidate.
    by_centre: BTreeMap<&'a DataCentre, (f64, usize)>,
}

impl<'a> PreviousLayer<'a> {
    fn new(row: &'a [Option<PartialPath>], candidates: &'a [Candidate<'_>]) -> Self {
        let mut by_centre = BTreeMap::<&DataCentre, (f64, usize)>::new();
        for (at, partial) in row.iter().enumerate() {
            let Some(partial) = partial else {
                continue;
            };
            let ending = (partial.cost_ms, at);
            by_centre
                .entry(&candidates[at].offer.data_centre)
                .and_modify(|cheapest| {
                    if ending.0 < cheapest.0 {
                        *cheapest = ending;
                    }
                })
                .or_insert(ending);
        }
        Self { row, by_centre }
    }
}

fn cheapest_partial(
    candidates: &[Candidate<'_>],
    query: &PathQuery<'_>,
    span: &Span<'_>,
    previous: Option<&PreviousLayer<'_>>,
    layer: u32,
    at: usize,
) -> Option<PartialPath> {
    let candidate = &candidates[at];
    if !holds(candidate.offer.layers, layer) {
        return None;
    }
    let Some(previous) = previous else {
        return initial_partial(candidate, query, span, at);
    };
    let stays = previous.row[at].map(|partial| PartialPath {
        cost_ms: partial.cost_ms + candidate.layer_ms,
        from: at,
    });
    let moves = previous
        .by_centre
        .iter()
        .filter_map(|(centre, (cost, from))| {
            let hop_ms = hop_ms(centre, &candidate.offer.data_centre, query)?;
            let cost_ms = cost + hop_ms + candidate.layer_ms;
            Some(PartialPath {
                cost_ms,
                from: *from,
            })
        });
    stays
        .into_iter()
        .chain(moves)
        .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
}

fn initial_partial(
    candidate: &Candidate<'_>,
    query: &PathQuery<'_>,
    span: &Span<'_>,
    at: usize,
) -> Option<PartialPath> {
    if span.is_start && !candidate.offer.may_start {
        return None;
    }
    if query
        .first
        .is_some_and(|first| *first != candidate.offer.endpoint)
    {
        return None;
    }
    let start_ms = match span.from {
        Some(from) => hop_ms(from, &candidate.offer.data_centre, query)?,
        None if candidate.offer.data_centre == *query.home => 0.0,
        None => query.remote_start_ms(&candidate.offer.data_centre),
    };
    Some(PartialPath {
        cost_ms: start_ms + candidate.layer_ms,
        from: at,
    })
}

/// Returns the time to pass the request's tokens on, in ms; `None` if that is not allowed.
fn hop_ms(from: &DataCentre, to: &DataCentre, query: &PathQuery<'_>) -> Option<f64> {
    if from == to {
        return Some(HOP_MS * query.size.answer);
    }
    let tokens = query.size.prompt + query.size.answer;
    Some(query.crossing_ms? * tokens)
}

/// Rebuilds the cheapest path from its end; `None` if no end can reach the next stage.
fn trace_back(
    candidates: &[Candidate<'_>],
    query: &PathQuery<'_>,
    span: &Span<'_>,
    rows: &[Vec<Option<PartialPath>>],
) -> Option<Path> {
    let ends = rows.last()?.iter().enumerate().filter_map(|(at, partial)| {
        let exit_ms = match span.to {
            Some(to) => hop_ms(&candidates[at].offer.data_centre, to, query)?,
            None => 0.0,
        };
        Some((at, (*partial)?.cost_ms + exit_ms))
    });
    let (mut at, cost_ms) = ends.min_by(|a, b| a.1.total_cmp(&b.1))?;
    let mut crossings = crossings_between(span.to, &candidates[at].offer.data_centre);
    let mut stages: Vec<PathStage> = Vec::new();
    let mut end = span.layers.end;
    for (layer, row) in span.layers.clone().zip(rows).rev() {
        let from = row[at].map_or(at, |partial| partial.from);
        let is_first = layer == span.layers.start;
        if !is_first && from == at {
            continue;
        }
        let offer = candidates[at].offer;
        if let Ok(layers) = LayerRange::new(layer, end) {
            stages.push(PathStage {
                endpoint: offer.endpoint.clone(),
                address: offer.address,
                layers,
            });
        }
        let before = if is_first {
            span.from
        } else {
            Some(&candidates[from].offer.data_centre)
        };
        crossings += crossings_between(before, &offer.data_centre);
        end = layer;
        at = from;
    }
    stages.reverse();
    Some(Path {
        stages,
        crossings,
        cost_ms,
    })
}

fn crossings_between(a: Option<&DataCentre>, b: &DataCentre) -> u32 {
    u32::from(a.is_some_and(|a| a != b))
}
