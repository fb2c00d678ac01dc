//! What a cluster is made of.

use crate::deployment::{ClusterSize, Deployment};

/// One engine of a cluster.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Its endpoint id.
    pub name: String,
    /// The place of its data centre in the deployment's list.
    pub data_centre: usize,
    /// The kind of its accelerator.
    pub accelerator: &'static str,
    /// Its first layer.
    pub first_layer: u32,
    /// The layer after its last one.
    pub end_layer: u32,
    /// Its rate without the step time.
    pub tokens_per_second: f64,
    /// The fixed time of a batch step, in milliseconds.
    pub step_ms: f64,
    /// The streams of one batch.
    pub batch: u32,
    /// The streams that it holds at the same time.
    pub slots: u32,
    /// Whether it checks fencing numbers.
    pub checks_fence: bool,
}

/// How to build a cluster.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// The deployment that it imitates.
    pub deployment: Deployment,
    /// The engines.
    pub engines: Vec<EngineSpec>,
    /// The number of plain-service endpoints.
    pub services: usize,
    /// The number of entries.
    pub entries: usize,
    /// Whether all connections between processes pass the fault proxy.
    pub is_proxied: bool,
    /// Extra lines of every entry's settings.
    pub entry_settings: String,
}

impl ClusterPlan {
    /// Plans a deployment with four entries and three plain services.
    pub fn new(deployment: Deployment, size: ClusterSize) -> Self {
        Self {
            deployment,
            engines: deployment.engines(size),
            services: 3,
            entries: 4,
            is_proxied: false,
            entry_settings: String::new(),
        }
    }

    /// Has all connections between processes pass the fault proxy.
    #[must_use]
    pub fn proxied(mut self) -> Self {
        self.is_proxied = true;
        self
    }
}
