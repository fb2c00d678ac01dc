//! Settings of an engine process.

use std::net::SocketAddr;
use std::str::FromStr;

use clap::Args;
use pistachioyard_wire::{
    AdapterName, DataCentre, EndpointId, HostName, LayerRange, LayerRangeError, ModelName,
    NameError, VersionName,
};

/// Why an argument of the engine cannot be read.
#[derive(Clone, Debug, thiserror::Error)]
pub enum SettingFault {
    /// A layer range is not written as two numbers.
    #[error("'{raw}' is not a layer range; write it as 0..16")]
    LayerSyntax {
        /// The text as given.
        raw: String,
    },
    /// A layer range is empty.
    #[error(transparent)]
    EmptyLayers(#[from] LayerRangeError),
    /// A link is not written as a data centre and a time.
    #[error("'{raw}' is not a link time; write it as split-b=0.4")]
    LinkSyntax {
        /// The text as given.
        raw: String,
    },
    /// A link's data centre is not a name.
    #[error(transparent)]
    Name(#[from] NameError),
}

/// The time that an activation takes to an endpoint of a data centre.
#[derive(Clone, Debug)]
pub struct LinkTime {
    /// The data centre of the receiving endpoint.
    pub data_centre: DataCentre,
    /// The time in milliseconds.
    pub ms: f64,
}

impl FromStr for LinkTime {
    type Err = SettingFault;

    fn from_str(raw: &str) -> Result<Self, SettingFault> {
        let syntax = || SettingFault::LinkSyntax { raw: raw.into() };
        let (name, ms) = raw.split_once('=').ok_or_else(syntax)?;
        Ok(Self {
            data_centre: DataCentre::try_from(name)?,
            ms: ms.parse().map_err(|_| syntax())?,
        })
    }
}

fn parse_layers(raw: &str) -> Result<LayerRange, SettingFault> {
    let syntax = || SettingFault::LayerSyntax { raw: raw.into() };
    let (first, end) = raw.split_once("..").ok_or_else(syntax)?;
    let first = first.parse().map_err(|_| syntax())?;
    let end = end.parse().map_err(|_| syntax())?;
    Ok(LayerRange::new(first, end)?)
}

/// What one engine process is told at its start.
#[derive(Args, Clone, Debug)]
pub struct EngineSettings {
    /// The address to listen on; port 0 takes a free one.
    #[arg(long)]
    pub listen: SocketAddr,
    /// The endpoint's id.
    #[arg(long)]
    pub endpoint: EndpointId,
    /// The host that the engine stands on.
    #[arg(long)]
    pub host: HostName,
    /// The data centre that the engine stands in.
    #[arg(long)]
    pub data_centre: DataCentre,
    /// The model held from the start.
    #[arg(long, requires_all = ["version", "layers"])]
    pub model: Option<ModelName>,
    /// The version held from the start.
    #[arg(long)]
    pub version: Option<VersionName>,
    /// The layers held from the start, as 0..16.
    #[arg(long, value_parser = parse_layers)]
    pub layers: Option<LayerRange>,
    /// The adapters held from the start.
    #[arg(long, value_delimiter = ',')]
    pub adapters: Vec<AdapterName>,
    /// The layers that the accelerator can hold.
    #[arg(long, default_value_t = 32)]
    pub layer_capacity: u32,
    /// The streams that run at the same time.
    #[arg(long, default_value_t = 8)]
    pub slots: u32,
    /// The steps that one batch takes; all slots if not given.
    ///
    /// A stream of a chain is at one stage at a time, so that batches of an engine
    /// in a chain are only full if it has more slots than this.
    #[arg(long)]
    pub batch: Option<u32>,
    /// The tokens a second through all held layers, the step time left aside.
    #[arg(long, default_value_t = 2_000.0)]
    pub tokens_per_second: f64,
    /// The fixed time of one batch step, in milliseconds.
    #[arg(long, default_value_t = 1.0)]
    pub step_ms: f64,
    /// The age of the load in a report, in milliseconds.
    #[arg(long, default_value_t = 100)]
    pub load_lag_ms: u64,
    /// The delay of cache events, in milliseconds.
    #[arg(long, default_value_t = 200)]
    pub cache_lag_ms: u64,
    /// Refuses orders with an old fencing number.
    #[arg(long)]
    pub checks_fence: bool,
    /// A link time, as split-b=0.4; may be given several times.
    #[arg(long)]
    pub link: Vec<LinkTime>,
    /// The time to load one layer, in milliseconds.
    #[arg(long, default_value_t = 20)]
    pub load_ms_per_layer: u64,
    /// The tokens that KV cache can be held for.
    #[arg(long, default_value_t = 200_000)]
    pub kv_tokens: u64,
}

impl EngineSettings {
    /// Returns the steps that one batch takes at most.
    pub(crate) fn batch_limit(&self) -> u32 {
        self.batch.unwrap_or(self.slots)
    }
}
