//! Finds the cheapest sequence of endpoints over a span of layers.

use pistachioyard_wire::{DataCentre, LayerRange};

use super::{AWAY_MS, Candidate, HOP_MS, NoPath, Path, PathQuery, PathStage, Span};

/// Tells whether a range holds a layer.
pub(super) fn holds(layers: LayerRange, layer: u32) -> bool {
    layers.first() <= layer && layer < layers.end()
}

/// The cheapest way to one layer that ends at one candidate.
#[derive(Clone, Copy)]
struct Way {
    cost_ms: f64,
    /// The candidate that runs the layer before; itself if it runs both.
    from: usize,
}

/// Finds the cheapest sequence of candidates over the span, layer by layer.
pub(super) fn search(
    open: &[Candidate<'_>],
    query: &PathQuery<'_>,
    span: &Span<'_>,
) -> Result<Path, NoPath> {
    let mut ways: Vec<Vec<Option<Way>>> = Vec::with_capacity(span.layers.len());
    for layer in span.layers.clone() {
        let before = ways.last();
        let row: Vec<Option<Way>> = (0..open.len())
            .map(|at| best_way(open, query, span, before, layer, at))
            .collect();
        if row.iter().all(Option::is_none) {
            return Err(NoPath::NoCrossing);
        }
        ways.push(row);
    }
    trace(open, query, span, &ways).ok_or(NoPath::NoCrossing)
}

fn best_way(
    open: &[Candidate<'_>],
    query: &PathQuery<'_>,
    span: &Span<'_>,
    before: Option<&Vec<Option<Way>>>,
    layer: u32,
    at: usize,
) -> Option<Way> {
    let candidate = &open[at];
    if !holds(candidate.offer.layers, layer) {
        return None;
    }
    let Some(before) = before else {
        return first_way(candidate, query, span, at);
    };
    let ways = before.iter().enumerate().filter_map(|(from, way)| {
        let stays = from == at;
        let hop_ms = if stays {
            0.0
        } else {
            hop_ms(
                &open[from].offer.data_centre,
                &candidate.offer.data_centre,
                query,
            )?
        };
        let cost_ms = (*way)?.cost_ms + hop_ms + candidate.layer_ms;
        Some(Way { cost_ms, from })
    });
    ways.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
}

fn first_way(
    candidate: &Candidate<'_>,
    query: &PathQuery<'_>,
    span: &Span<'_>,
    at: usize,
) -> Option<Way> {
    if query
        .first
        .is_some_and(|first| *first != candidate.offer.endpoint)
    {
        return None;
    }
    let reach_ms = match span.from {
        Some(from) => hop_ms(from, &candidate.offer.data_centre, query)?,
        None if candidate.offer.data_centre == *query.home => 0.0,
        None => AWAY_MS,
    };
    Some(Way {
        cost_ms: reach_ms + candidate.layer_ms,
        from: at,
    })
}

/// Returns what passing the request's tokens on costs; none if it is not allowed.
fn hop_ms(from: &DataCentre, to: &DataCentre, query: &PathQuery<'_>) -> Option<f64> {
    if from == to {
        return Some(HOP_MS * query.size.answer);
    }
    let tokens = query.size.prompt + query.size.answer;
    Some(query.crossing_ms? * tokens)
}

/// Follows the cheapest way back from its end; none if no end reaches what comes after.
fn trace(
    open: &[Candidate<'_>],
    query: &PathQuery<'_>,
    span: &Span<'_>,
    ways: &[Vec<Option<Way>>],
) -> Option<Path> {
    let ends = ways.last()?.iter().enumerate().filter_map(|(at, way)| {
        let leave_ms = match span.to {
            Some(to) => hop_ms(&open[at].offer.data_centre, to, query)?,
            None => 0.0,
        };
        Some((at, (*way)?.cost_ms + leave_ms))
    });
    let (mut at, cost_ms) = ends.min_by(|a, b| a.1.total_cmp(&b.1))?;
    let mut crossings = crossings_between(span.to, &open[at].offer.data_centre);
    let mut stages: Vec<PathStage> = Vec::new();
    let mut end = span.layers.end;
    for (layer, row) in span.layers.clone().zip(ways).rev() {
        let from = row[at].map_or(at, |way| way.from);
        let is_first = layer == span.layers.start;
        if !is_first && from == at {
            continue;
        }
        let offer = open[at].offer;
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
            Some(&open[from].offer.data_centre)
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
