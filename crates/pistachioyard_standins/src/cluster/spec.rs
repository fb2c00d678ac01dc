//! The description of a cluster to start.

use crate::deployment::{ClusterSize, Deployment};

/// Describes one engine of a cluster.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// The endpoint id.
    pub name: String,
    /// The index of its data centre in the deployment's list.
    pub data_centre: usize,
    /// The name of its accelerator type.
    pub accelerator: &'static str,
    /// The first layer that it holds.
    pub first_layer: u32,
    /// The end of its layer range, exclusive.
    pub end_layer: u32,
    /// Its throughput without the fixed step time, in tokens per second.
    pub tokens_per_second: f64,
    /// The fixed time of a batch step, in milliseconds.
    pub step_ms: f64,
    /// The maximum number of streams in one batch.
    pub batch: u32,
    /// The maximum number of streams that it holds at the same time.
    pub slots: u32,
    /// Whether it checks fencing tokens.
    pub checks_fence: bool,
}

/// Describes a cluster to start.
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
    /// Whether all connections between processes go through the fault proxy.
    pub is_proxied: bool,
    /// Extra lines for the settings file of every entry.
    pub entry_settings: String,
}

impl ClusterPlan {
    /// Creates a plan with four entries and three plain services.
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

    /// Sends all connections between processes through the fault proxy.
    #[must_use]
    pub fn proxied(mut self) -> Self {
        self.is_proxied = true;
        self
    }
}
