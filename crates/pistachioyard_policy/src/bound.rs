//! The bound on throughput: the maximum flow through the layered graph.
//!
//! Each endpoint is an edge with its token rate as capacity, from the layer
//! borders at which it can start to the border at which it ends. That an
//! endpoint is faster when it runs fewer of its layers is not modelled. An
//! endpoint runs up to the end of what it holds; stopping earlier cannot raise
//! the flow, since whoever goes on from an earlier border also goes on from the
//! end, or ends there itself (`docs/design/throughput-bound.md`).

use std::collections::BTreeMap;
use std::time::Instant;

use petgraph::algo::ford_fulkerson;
use petgraph::graph::{DiGraph, NodeIndex};
use pistachioyard_wire::{EndpointId, LayerRange, ModelName, VersionName};

use crate::{EndpointView, FleetView};

/// The units of flow in one token per second; whole numbers make the flow exact.
const UNITS_PER_TOKEN: f64 = 1_000.0;
/// The capacity of an edge that limits nothing, in units of flow.
const UNLIMITED: u64 = 1 << 50;

/// Returns the most tokens per second that the usable endpoints can produce.
pub fn throughput_bound(
    view: &FleetView,
    model: &ModelName,
    version: &VersionName,
    layers: u32,
    now: Instant,
) -> f64 {
    throughput_bound_with_links(view, model, version, layers, now, |_, _| None)
}

/// Returns the same with links that carry a limited number of tokens per second.
///
/// `link_capacity` gives the capacity of the link from one endpoint to another,
/// none where it does not limit.
pub fn throughput_bound_with_links(
    view: &FleetView,
    model: &ModelName,
    version: &VersionName,
    layers: u32,
    now: Instant,
    link_capacity: impl Fn(&EndpointId, &EndpointId) -> Option<f64>,
) -> f64 {
    let holders: Vec<Holder<'_>> = view
        .endpoints()
        .filter(|endpoint| endpoint.is_usable(now))
        .filter_map(|endpoint| holder(endpoint, model, version, layers))
        .collect();
    let mut graph = FlowGraph::new(&holders, layers);
    graph.join_holders(&holders, link_capacity);
    graph.maximum_flow()
}

/// An endpoint that holds layers of the model.
struct Holder<'a> {
    id: &'a EndpointId,
    layers: LayerRange,
    capacity: u64,
}

fn holder<'a>(
    view: &'a EndpointView,
    model: &ModelName,
    version: &VersionName,
    layers: u32,
) -> Option<Holder<'a>> {
    let report = view.report()?;
    if report.model.as_ref() != Some(model) || report.version.as_ref() != Some(version) {
        return None;
    }
    let held = report.layers?;
    Some(Holder {
        id: view.id(),
        layers: LayerRange::new(held.first(), held.end().min(layers)).ok()?,
        capacity: units(report.tokens_per_second),
    })
}

/// Returns a token rate in units of flow.
fn units(tokens_per_second: f64) -> u64 {
    let units = (tokens_per_second * UNITS_PER_TOKEN).round();
    if units.is_finite() && units > 0.0 {
        (units as u64).min(UNLIMITED)
    } else {
        0
    }
}

/// The layered graph; each holder is an edge between two nodes of its own.
struct FlowGraph {
    graph: DiGraph<(), u64>,
    source: NodeIndex,
    sink: NodeIndex,
    ways: Vec<(NodeIndex, NodeIndex)>,
    borders: BTreeMap<u32, NodeIndex>,
}

impl FlowGraph {
    fn new(holders: &[Holder<'_>], layers: u32) -> Self {
        let mut graph = DiGraph::new();
        let source = graph.add_node(());
        let sink = graph.add_node(());
        let mut borders = BTreeMap::from([(0, source), (layers, sink)]);
        let mut ways = Vec::new();
        for holder in holders {
            let enter = graph.add_node(());
            let leave = graph.add_node(());
            graph.add_edge(enter, leave, holder.capacity);
            let border = *borders
                .entry(holder.layers.end())
                .or_insert_with(|| graph.add_node(()));
            graph.add_edge(leave, border, UNLIMITED);
            ways.push((enter, leave));
        }
        Self {
            graph,
            source,
            sink,
            ways,
            borders,
        }
    }

    /// Joins the holders: through the layer borders where links do not limit, so
    /// that the graph stays small, and directly where they do.
    fn join_holders(
        &mut self,
        holders: &[Holder<'_>],
        link_capacity: impl Fn(&EndpointId, &EndpointId) -> Option<f64>,
    ) {
        for (to, holder) in holders.iter().enumerate() {
            let enter = self.ways[to].0;
            let limited: Vec<Option<u64>> = holders
                .iter()
                .map(|from| link_capacity(from.id, holder.id).map(units))
                .collect();
            let starts = self
                .borders
                .range(holder.layers.first()..holder.layers.end())
                .map(|(border, node)| (*border, *node))
                .collect::<Vec<_>>();
            for (border, node) in starts {
                let before = |(i, from): &(usize, &Holder<'_>)| {
                    *i != to && from.layers.end() == border && border > 0
                };
                let ends_here: Vec<usize> = holders
                    .iter()
                    .enumerate()
                    .filter(before)
                    .map(|(i, _)| i)
                    .collect();
                if ends_here.iter().all(|from| limited[*from].is_none()) {
                    self.graph.add_edge(node, enter, UNLIMITED);
                    continue;
                }
                for from in ends_here {
                    let capacity = limited[from].unwrap_or(UNLIMITED);
                    self.graph.add_edge(self.ways[from].1, enter, capacity);
                }
            }
        }
    }

    /// Returns the maximum flow in tokens per second.
    fn maximum_flow(&self) -> f64 {
        let (flow, _) = ford_fulkerson(&self.graph, self.source, self.sink);
        flow as f64 / UNITS_PER_TOKEN
    }
}
