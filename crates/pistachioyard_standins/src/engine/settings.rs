//! Settings of an engine process.

use std::net::SocketAddr;
use std::str::FromStr;

use clap::Args;
use pistachioyard_wire::{
    AdapterName, DataCentre, EndpointId, HostName, LayerRange, LayerRangeError, ModelName,
    NameError, VersionName,
};

/// Reports why a command-line argument of the engine is invalid.
#[derive(Clone, Debug, thiserror::Error)]
pub enum SettingError {
    /// A layer range is not written as two numbers with `..` between them.
    #[error("'{raw}' is not a layer range; expected FIRST..END, such as 0..16")]
    LayerSyntax {
        /// The invalid argument.
        raw: String,
    },
    /// A layer range is empty.
    #[error(transparent)]
    EmptyLayers(#[from] LayerRangeError),
    /// A link time is not written as a data centre and a number with `=` between them.
    #[error("'{raw}' is not a link time; expected DATA_CENTRE=MS, such as split-b=0.4")]
    LinkSyntax {
        /// The invalid argument.
        raw: String,
    },
    /// The data centre of a link time is not a valid name.
    #[error(transparent)]
    Name(#[from] NameError),
}

/// Holds the time that an activation takes to reach an endpoint of a data centre.
#[derive(Clone, Debug)]
pub struct LinkTime {
    /// The data centre of the receiving endpoint.
    pub data_centre: DataCentre,
    /// The link time, in milliseconds.
    pub ms: f64,
}

impl FromStr for LinkTime {
    type Err = SettingError;

    fn from_str(raw: &str) -> Result<Self, SettingError> {
        let syntax = || SettingError::LinkSyntax { raw: raw.into() };
        let (name, ms) = raw.split_once('=').ok_or_else(syntax)?;
        Ok(Self {
            data_centre: DataCentre::try_from(name)?,
            ms: ms.parse().map_err(|_| syntax())?,
        })
    }
}

fn parse_layers(raw: &str) -> Result<LayerRange, SettingError> {
    let syntax = || SettingError::LayerSyntax { raw: raw.into() };
    let (first, end) = raw.split_once("..").ok_or_else(syntax)?;
    let first = first.parse().map_err(|_| syntax())?;
    let end = end.parse().map_err(|_| syntax())?;
    Ok(LayerRange::new(first, end)?)
}

/// Holds the command-line settings of an engine process.
#[derive(Args, Clone, Debug)]
pub struct EngineSettings {
    /// The address to listen on; port 0 selects a free port.
    #[arg(long)]
    pub listen: SocketAddr,
    /// The id of the endpoint.
    #[arg(long)]
    pub endpoint: EndpointId,
    /// The host that the engine runs on.
    #[arg(long)]
    pub host: HostName,
    /// The data centre that the engine runs in.
    #[arg(long)]
    pub data_centre: DataCentre,
    /// The model held at the start.
    #[arg(long, requires_all = ["version", "layers"])]
    pub model: Option<ModelName>,
    /// The model version held at the start.
    #[arg(long)]
    pub version: Option<VersionName>,
    /// The layers held at the start, such as 0..16.
    #[arg(long, value_parser = parse_layers)]
    pub layers: Option<LayerRange>,
    /// The adapters held at the start.
    #[arg(long, value_delimiter = ',')]
    pub adapters: Vec<AdapterName>,
    /// The number of layers that the accelerator can hold.
    #[arg(long, default_value_t = 32)]
    pub layer_capacity: u32,
    /// The number of streams that can run at the same time.
    #[arg(long, default_value_t = 8)]
    pub slots: u32,
    /// The maximum number of steps in a batch; the number of slots by default.
    ///
    /// A stream is at one stage of its chain at a time, so the batches of an engine
    /// in a chain are full only if it has more slots than this.
    #[arg(long)]
    pub batch: Option<u32>,
    /// The throughput through all held layers without the step time, in tokens per second.
    #[arg(long, default_value_t = 2_000.0)]
    pub tokens_per_second: f64,
    /// The fixed time of one batch step, in milliseconds.
    #[arg(long, default_value_t = 1.0)]
    pub step_ms: f64,
    /// The age of the load in reports, in milliseconds.
    #[arg(long, default_value_t = 100)]
    pub load_lag_ms: u64,
    /// The delay before cache events are published, in milliseconds.
    #[arg(long, default_value_t = 200)]
    pub cache_lag_ms: u64,
    /// Refuses orders whose fencing token is older than one already seen.
    #[arg(long)]
    pub checks_fence: bool,
    /// The link time to a data centre, in milliseconds, such as split-b=0.4; repeatable.
    #[arg(long)]
    pub link: Vec<LinkTime>,
    /// The time that loading one layer takes, in milliseconds.
    #[arg(long, default_value_t = 20)]
    pub load_ms_per_layer: u64,
    /// The capacity of the KV cache, in tokens.
    #[arg(long, default_value_t = 200_000)]
    pub kv_tokens: u64,
}

impl EngineSettings {
    /// Returns the maximum number of steps in a batch.
    pub(crate) fn batch_limit(&self) -> u32 {
        self.batch.unwrap_or(self.slots)
    }
}
