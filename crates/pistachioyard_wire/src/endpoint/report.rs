//! What an endpoint says of itself.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    AdapterName, BootId, DataCentre, EndpointId, Fence, LayerRange, ModelName, ServiceName,
    VersionName,
};

/// An endpoint's report; its load lags behind the truth.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct EndpointReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The run of the endpoint's process.
    pub boot: BootId,
    /// The data centre it stands in.
    pub data_centre: DataCentre,
    /// The service it answers for, if it is a plain service.
    pub service: Option<ServiceName>,
    /// The model it holds layers of, if any.
    pub model: Option<ModelName>,
    /// The version it holds.
    pub version: Option<VersionName>,
    /// The layers it holds.
    pub layers: Option<LayerRange>,
    /// The adapters it has loaded.
    pub adapters: Vec<AdapterName>,
    /// Whether it is loading weights and cannot run yet.
    pub loading: bool,
    /// Whether it takes no new streams.
    pub draining: bool,
    /// The streams that it can run at the same time.
    pub slots: u32,
    /// The streams that it runs now.
    pub running: u32,
    /// The streams that wait in it.
    pub waiting: u32,
    /// The tokens a second that it can run through its layers in full batches.
    pub tokens_per_second: f64,
    /// The time of one batch step, in milliseconds.
    pub step_ms: f64,
    /// The tokens that it can hold KV cache for and that are still free.
    pub free_kv_tokens: u64,
    /// The layers that its accelerator can hold.
    pub layer_capacity: u32,
    /// The highest fencing number it has seen in an order.
    pub fence: Fence,
    /// The link time to other data centres as measured by the engine, in
    /// milliseconds for one activation.
    pub links_ms: Vec<(DataCentre, f64)>,
    /// The number of the newest cache event.
    pub cache_seq: u64,
}

impl EndpointReport {
    /// Returns a digest of everything but the load, the run included.
    ///
    /// Entries tell each other only the load while this stays the same.
    pub fn shape(&self) -> u64 {
        let shape = Self {
            running: 0,
            waiting: 0,
            free_kv_tokens: 0,
            cache_seq: 0,
            ..self.clone()
        };
        let mut buf = Vec::new();
        ciborium::into_writer(&shape, &mut buf).expect("writing to memory does not fail");
        xxh3_64(&buf)
    }

    /// Returns the load, for peers that know the rest.
    pub fn load(&self, age_ms: u64) -> LoadRecord {
        LoadRecord {
            endpoint: self.endpoint.clone(),
            shape: self.shape(),
            age_ms,
            running: self.running,
            waiting: self.waiting,
            free_kv_tokens: self.free_kv_tokens,
            cache_seq: self.cache_seq,
        }
    }

    /// Returns this report with the load of a newer one; none if the newer one
    /// differs in more than its load.
    pub fn with_load(&self, load: &LoadRecord) -> Option<Self> {
        (self.shape() == load.shape).then(|| Self {
            running: load.running,
            waiting: load.waiting,
            free_kv_tokens: load.free_kv_tokens,
            cache_seq: load.cache_seq,
            ..self.clone()
        })
    }
}

/// The load of a report whose other parts the receiver knows.
///
/// It is written as an array, because entries exchange many of them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "LoadTuple", into = "LoadTuple")]
pub struct LoadRecord {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The digest of the parts that are left out.
    pub shape: u64,
    /// The age of the report, in milliseconds, when this message was sent.
    pub age_ms: u64,
    /// The streams that it runs.
    pub running: u32,
    /// The streams that wait in it.
    pub waiting: u32,
    /// The tokens that it can hold KV cache for and that are still free.
    pub free_kv_tokens: u64,
    /// The number of the newest cache event.
    pub cache_seq: u64,
}

type LoadTuple = (EndpointId, u64, u64, u32, u32, u64, u64);

impl From<LoadTuple> for LoadRecord {
    fn from(raw: LoadTuple) -> Self {
        let (endpoint, shape, age_ms, running, waiting, free_kv_tokens, cache_seq) = raw;
        Self {
            endpoint,
            shape,
            age_ms,
            running,
            waiting,
            free_kv_tokens,
            cache_seq,
        }
    }
}

impl From<LoadRecord> for LoadTuple {
    fn from(load: LoadRecord) -> Self {
        (
            load.endpoint,
            load.shape,
            load.age_ms,
            load.running,
            load.waiting,
            load.free_kv_tokens,
            load.cache_seq,
        )
    }
}
