//! Reports of endpoints on their state and load.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    AdapterName, BootId, DataCentre, EndpointId, Fence, LayerRange, ModelName, ServiceName,
    VersionName,
};

/// The report of an endpoint; its load figures may be stale.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct EndpointReport {
    /// The id of the endpoint.
    pub endpoint: EndpointId,
    /// The id of the current run of the endpoint process.
    pub boot: BootId,
    /// The data centre of the endpoint.
    pub data_centre: DataCentre,
    /// The service that it runs, if it is a plain service.
    pub service: Option<ServiceName>,
    /// The model whose layers it holds, if any.
    pub model: Option<ModelName>,
    /// The version of the model that it holds.
    pub version: Option<VersionName>,
    /// The range of layers that it holds.
    pub layers: Option<LayerRange>,
    /// The adapters that it has loaded.
    pub adapters: Vec<AdapterName>,
    /// Whether it is still loading weights and cannot run streams yet.
    pub loading: bool,
    /// Whether it is draining and accepts no new streams.
    pub draining: bool,
    /// The number of streams that it can run concurrently.
    pub slots: u32,
    /// The number of streams that it runs.
    pub running: u32,
    /// The number of streams in its queue.
    pub waiting: u32,
    /// The throughput of its layers with full batches, in tokens per second.
    pub tokens_per_second: f64,
    /// The duration of one batch step, in milliseconds.
    pub step_ms: f64,
    /// The free KV cache, in tokens.
    pub free_kv_tokens: u64,
    /// The maximum number of layers that its accelerator can hold.
    pub layer_capacity: u32,
    /// The highest fencing token that it has seen in an order.
    pub fence: Fence,
    /// The time to send one activation to each other data centre, in milliseconds, as
    /// measured by the engine.
    pub links_ms: Vec<(DataCentre, f64)>,
    /// The sequence number of the newest cache event.
    pub cache_seq: u64,
}

impl EndpointReport {
    /// Returns a digest of all fields except the load; it differs between runs of the
    /// endpoint process, because it includes `boot`.
    ///
    /// Entries send each other only the load of a report while the digest stays the
    /// same.
    pub fn shape_digest(&self) -> u64 {
        let shape = Self {
            running: 0,
            waiting: 0,
            free_kv_tokens: 0,
            cache_seq: 0,
            ..self.clone()
        };
        let mut buf = Vec::new();
        ciborium::into_writer(&shape, &mut buf).expect("writing to a Vec does not fail");
        xxh3_64(&buf)
    }

    /// Returns the load, for peers that already have the other fields.
    pub fn load(&self, age_ms: u64) -> LoadRecord {
        LoadRecord {
            endpoint: self.endpoint.clone(),
            shape: self.shape_digest(),
            age_ms,
            running: self.running,
            waiting: self.waiting,
            free_kv_tokens: self.free_kv_tokens,
            cache_seq: self.cache_seq,
        }
    }

    /// Returns this report with the load of a newer one, or `None` if the newer one
    /// differs in other fields as well.
    pub fn with_load(&self, load: &LoadRecord) -> Option<Self> {
        (self.shape_digest() == load.shape).then(|| Self {
            running: load.running,
            waiting: load.waiting,
            free_kv_tokens: load.free_kv_tokens,
            cache_seq: load.cache_seq,
            ..self.clone()
        })
    }
}

/// The load of a report whose other fields the receiver already has.
///
/// Serialised as an array to save space, because entries exchange many of them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "LoadTuple", into = "LoadTuple")]
pub struct LoadRecord {
    /// The id of the endpoint.
    pub endpoint: EndpointId,
    /// The digest of the omitted fields; see [`EndpointReport::shape_digest`].
    pub shape: u64,
    /// The age of the report when this message was sent, in milliseconds.
    pub age_ms: u64,
    /// The number of streams that it runs.
    pub running: u32,
    /// The number of streams in its queue.
    pub waiting: u32,
    /// The free KV cache, in tokens.
    pub free_kv_tokens: u64,
    /// The sequence number of the newest cache event.
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
