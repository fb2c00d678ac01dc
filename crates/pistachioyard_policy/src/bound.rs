//! Upper bound on throughput: the maximum flow through the layered graph.
//!
//! Each endpoint is an edge with its token rate as capacity, from the layer
//! boundaries at which it can start to the boundary at which its range ends. The
//! graph ignores that an endpoint is faster when it runs fewer of its layers. An
//! endpoint always runs to the end of its range. Stopping earlier cannot raise the
//! flow: any endpoint that continues from an earlier boundary can also continue from
//! the end, unless its own range ends by then (`docs/design/throughput-bound.md`).

use std::collections::BTreeMap;
use std::time::Instant;

use petgraph::algo::ford_fulkerson;
use petgraph::graph::{DiGraph, NodeIndex};
use pistachioyard_wire::{EndpointId, LayerRange, ModelName, VersionName};

use crate::{EndpointView, FleetView};

/// The units of flow per token per second; integer flow is exact.
const UNITS_PER_TOKEN: f64 = 1_000.0;
/// The capacity of an unlimited edge, in units of flow.
const UNLIMITED: u64 = 1 << 50;

/// Returns the maximum tokens per second that the usable endpoints can produce.
pub fn throughput_bound(
    view: &FleetView,
    model: &ModelName,
    version: &VersionName,
    layers: u32,
    now: Instant,
) -> f64 {
    throughput_bound_with_links(view, model, version, layers, now, |_, _| None)
}

/// Returns the maximum tokens per second that the usable endpoints can produce over
/// links of limited capacity.
///
/// `link_capacity` returns the capacity of the link from one endpoint to another in
/// tokens per second, or `None` if the link does not limit the flow.
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
    graph.connect_holders(&holders, link_capacity);
    graph.maximum_flow()
}

/// An endpoint that holds layers of the model version.
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
        capacity: flow_units(report.tokens_per_second),
    })
}

/// Converts a token rate to units of flow.
fn flow_units(tokens_per_second: f64) -> u64 {
    let units = (tokens_per_second * UNITS_PER_TOKEN).round();
    if units.is_finite() && units > 0.0 {
        (units as u64).min(UNLIMITED)
    } else {
        0
    }
}

/// The layered graph, in which each holder is an edge between its own two nodes.
struct FlowGraph {
    graph: DiGraph<(), u64>,
    source: NodeIndex,
    sink: NodeIndex,
    holder_nodes: Vec<(NodeIndex, NodeIndex)>,
    boundaries: BTreeMap<u32, NodeIndex>,
}

impl FlowGraph {
    fn new(holders: &[Holder<'_>], layers: u32) -> Self {
        let mut graph = DiGraph::new();
        let source = graph.add_node(());
        let sink = graph.add_node(());
        let mut boundaries = BTreeMap::from([(0, source), (layers, sink)]);
        let mut holder_nodes = Vec::new();
        for holder in holders {
            let enter = graph.add_node(());
            let leave = graph.add_node(());
            graph.add_edge(enter, leave, holder.capacity);
            let boundary = *boundaries
                .entry(holder.layers.end())
                .or_insert_with(|| graph.add_node(()));
            graph.add_edge(leave, boundary, UNLIMITED);
            holder_nodes.push((enter, leave));
        }
        Self {
            graph,
            source,
            sink,
            holder_nodes,
            boundaries,
        }
    }

    /// Connects the holders.
    ///
    /// Unlimited links go through the nodes of the layer boundaries, which keeps the
    /// graph small. Where a link is limited, holders are connected directly.
    fn connect_holders(
        &mut self,
        holders: &[Holder<'_>],
        link_capacity: impl Fn(&EndpointId, &EndpointId) -> Option<f64>,
    ) {
        for (to, holder) in holders.iter().enumerate() {
            let enter = self.holder_nodes[to].0;
            let link_limits: Vec<Option<u64>> = holders
                .iter()
                .map(|from| link_capacity(from.id, holder.id).map(flow_units))
                .collect();
            let starts = self
                .boundaries
                .range(holder.layers.first()..holder.layers.end())
                .map(|(boundary, node)| (*boundary, *node))
                .collect::<Vec<_>>();
            for (boundary, node) in starts {
                let ends_at_boundary = |(i, from): &(usize, &Holder<'_>)| {
                    *i != to && from.layers.end() == boundary && boundary > 0
                };
                let predecessors: Vec<usize> = holders
                    .iter()
                    .enumerate()
                    .filter(ends_at_boundary)
                    .map(|(i, _)| i)
                    .collect();
                if predecessors.iter().all(|from| link_limits[*from].is_none()) {
                    self.graph.add_edge(node, enter, UNLIMITED);
                    continue;
                }
                for from in predecessors {
                    let capacity = link_limits[from].unwrap_or(UNLIMITED);
                    self.graph
                        .add_edge(self.holder_nodes[from].1, enter, capacity);
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
