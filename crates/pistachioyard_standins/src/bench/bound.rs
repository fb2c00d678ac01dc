//! The upper bound on throughput, computed from the engines' reports.

use std::time::Instant;

use pistachioyard_policy::{FleetView, throughput_bound};
use pistachioyard_wire::{EndpointReport, ModelName, VersionName};

use super::BenchError;
use crate::cluster::Cluster;

/// Reads the reports of all engines; engines that do not answer are skipped.
pub(super) async fn read_reports(cluster: &Cluster) -> Vec<EndpointReport> {
    let mut reports = Vec::new();
    for engine in &cluster.engines {
        let report = cluster.client.get_json(engine.address, "/v1/report").await;
        reports.extend(report.ok());
    }
    reports
}

/// Returns the maximum tokens per second that the reporting engines can produce.
pub(super) fn bound_of(cluster: &Cluster, reports: &[EndpointReport]) -> Result<f64, BenchError> {
    let deployment = cluster.plan.deployment;
    let now = Instant::now();
    let mut fleet = FleetView::new();
    fleet.apply_hosts(&cluster.hosts, now);
    for report in reports {
        fleet.apply_report(report.clone(), now);
    }
    Ok(throughput_bound(
        &fleet,
        &ModelName::try_from(deployment.model())?,
        &VersionName::try_from(deployment.version())?,
        deployment.layers(),
        now,
    ))
}

/// Returns the total number of slots on the engines that run the first layer.
pub(super) fn head_slots(reports: &[EndpointReport]) -> usize {
    let heads = reports
        .iter()
        .filter(|report| report.layers.is_some_and(|layers| layers.first() == 0));
    heads.map(|report| report.slots as usize).sum()
}
