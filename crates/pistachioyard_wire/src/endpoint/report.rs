//! What an endpoint says of itself.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

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
