//! Shared helpers that build hosts, reports, views and queries.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use pistachioyard_policy::{ChainQuery, FleetView};
use pistachioyard_wire::{
    BootId, DataCentre, EndpointId, EndpointReport, Fence, HostKind, HostRecord, HostState,
    LayerRange, ModelName, StageRef, VersionName,
};
use uuid::Uuid;

pub(crate) fn endpoint(id: &str) -> EndpointId {
    id.parse().unwrap()
}

pub(crate) fn boot(number: u128) -> BootId {
    BootId(Uuid::from_u128(number))
}

pub(crate) fn layers(first: u32, end: u32) -> LayerRange {
    LayerRange::new(first, end).unwrap()
}

pub(crate) fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn host(id: &str, data_centre: &str) -> HostRecord {
    HostRecord {
        host: id.parse().unwrap(),
        endpoint: endpoint(id),
        address: "127.0.0.1:7000".parse().unwrap(),
        region: "hr-jadran".parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
        kind: HostKind::Engine {
            accelerator: "a".to_owned(),
        },
        checks_fence: true,
        state: HostState::Live,
    }
}

pub(crate) fn report(id: &str, held: LayerRange) -> EndpointReport {
    EndpointReport {
        endpoint: endpoint(id),
        boot: boot(1),
        data_centre: "split-a".parse().unwrap(),
        service: None,
        model: Some("m".parse().unwrap()),
        version: Some("v1".parse().unwrap()),
        layers: Some(held),
        adapters: Vec::new(),
        loading: false,
        draining: false,
        slots: 8,
        running: 0,
        waiting: 0,
        tokens_per_second: 100.0,
        step_ms: 10.0,
        free_kv_tokens: 1_000_000,
        layer_capacity: 64,
        fence: Fence(0),
        links_ms: Vec::new(),
        cache_seq: 0,
    }
}

/// Returns a view of endpoints that have just reported.
pub(crate) fn view_of(reports: &[EndpointReport], now: Instant) -> FleetView {
    let hosts: Vec<HostRecord> = reports
        .iter()
        .map(|r| host(r.endpoint.as_str(), r.data_centre.as_str()))
        .collect();
    let mut view = FleetView::new();
    view.apply_hosts(&hosts, now);
    for report in reports {
        view.apply_report(report.clone(), now);
    }
    view
}

/// Owns the values that a [`ChainQuery`] borrows.
pub(crate) struct QueryInput {
    pub(crate) model: ModelName,
    pub(crate) version: VersionName,
    pub(crate) layers: u32,
    pub(crate) exclude: BTreeSet<EndpointId>,
    pub(crate) keep: Vec<(EndpointId, LayerRange)>,
}

impl QueryInput {
    pub(crate) fn new(layers: u32) -> Self {
        Self {
            model: "m".parse().unwrap(),
            version: "v1".parse().unwrap(),
            layers,
            exclude: BTreeSet::new(),
            keep: Vec::new(),
        }
    }

    pub(crate) fn query(&self) -> ChainQuery<'_> {
        ChainQuery {
            model: &self.model,
            version: &self.version,
            adapter: None,
            layers: self.layers,
            prefix_digest: None,
            tokens: 100,
            token_gap: None,
            exclude: &self.exclude,
            keep: &self.keep,
        }
    }
}

pub(crate) fn stage(id: &str, held: LayerRange) -> StageRef {
    StageRef {
        endpoint: endpoint(id),
        address: "127.0.0.1:7000".parse().unwrap(),
        layers: held,
    }
}

pub(crate) fn data_centre(name: &str) -> DataCentre {
    name.parse().unwrap()
}
