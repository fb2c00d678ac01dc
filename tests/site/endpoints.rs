//! What the endpoints of a site report and run.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use http::Method;
use serde_json::Value;

use super::support::{Endpoint, Site};

impl Site {
    /// Returns the indices of the endpoints that are never the first of a path and whose layers
    /// another endpoint in the same data centre holds too.
    pub(crate) async fn redundant_endpoints(&self) -> Vec<usize> {
        let mut held = Vec::new();
        let endpoints = self.endpoints.iter().enumerate();
        for (index, endpoint) in endpoints.filter(|(_, endpoint)| !endpoint.is_plain) {
            let result = self
                .client
                .get_json::<Value>(endpoint.address, "/report")
                .await;
            let report = result.expect("the endpoint answers");
            if report["layers"]["from"].as_u64() > Some(0) {
                held.push((index, [report["zone"].clone(), report["layers"].clone()]));
            }
        }
        let mut redundant = Vec::new();
        for (index, place) in &held {
            if held.iter().filter(|(_, other)| other == place).count() > 1 {
                redundant.push(*index);
            }
        }
        assert!(!redundant.is_empty(), "two endpoints hold the same layers");
        redundant
    }

    /// Returns those of `among` that are stages of the running streams `ids`.
    pub(crate) async fn endpoints_in_use(&self, ids: &[String], among: &[usize]) -> Vec<usize> {
        let mut in_use: Vec<SocketAddr> = Vec::new();
        for endpoint in &self.endpoints {
            let result = self
                .client
                .get_json::<BTreeMap<String, Vec<SocketAddr>>>(endpoint.address, "/control/paths")
                .await;
            let running = result.expect("the endpoint answers");
            in_use.extend(ids.iter().filter_map(|id| running.get(id)).flatten());
        }
        let is_in_use = |index: &usize| in_use.contains(&self.endpoints[*index].advertised);
        among.iter().copied().filter(is_in_use).collect()
    }

    /// Makes an endpoint crash when the next running stream passes through it.
    pub(crate) async fn crash_in_stream(&self, index: usize) {
        let to = self.endpoints[index].address;
        let set = self
            .call(to, Method::PUT, "/control/crash", Value::Null)
            .await;
        assert_eq!(set, Some(200));
    }

    /// Records the runs of an endpoint that is about to be killed.
    pub(crate) async fn record_runs(&mut self, index: usize) {
        let runs = self.fetch_runs(&self.endpoints[index]).await;
        self.endpoints[index].earlier_runs.extend(runs);
    }

    /// Returns the request ids that an endpoint began to run; none if it does not answer.
    pub(crate) async fn fetch_runs(&self, endpoint: &Endpoint) -> Vec<String> {
        let request = self.client.send(
            Method::GET,
            endpoint.address,
            "/control/runs",
            &[],
            bytes::Bytes::new(),
        );
        request
            .await
            .ok()
            .and_then(|answer| answer.json().ok())
            .unwrap_or_default()
    }

    /// Counts the runs of each request on all endpoints.
    pub(crate) async fn count_runs(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for endpoint in &self.endpoints {
            let current_runs = self.fetch_runs(endpoint).await;
            for id in endpoint.earlier_runs.iter().cloned().chain(current_runs) {
                *counts.entry(id).or_default() += 1;
            }
        }
        counts
    }
}
