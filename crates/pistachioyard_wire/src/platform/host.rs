//! The platform's lagging list of hosts.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{DataCentre, EndpointId, HostName, Region, ServiceName};

/// What runs on a host.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostKind {
    /// A model engine on an accelerator of this kind.
    Engine {
        /// The kind of accelerator, such as `a`, `b` or `c`.
        accelerator: String,
    },
    /// A plain service.
    Service {
        /// The service that it answers for.
        service: ServiceName,
    },
}

/// Whether a host may get new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is to be used.
    Live,
    /// The host is leaving and gets no new work.
    Leaving,
}

/// One endpoint of the host list.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct HostRecord {
    /// The host's name.
    pub host: HostName,
    /// The endpoint that runs on it.
    pub endpoint: EndpointId,
    /// Where the endpoint listens.
    pub address: SocketAddr,
    /// The region that the data centre is part of.
    pub region: Region,
    /// The data centre that the host stands in.
    pub data_centre: DataCentre,
    /// What runs there.
    pub kind: HostKind,
    /// Whether the endpoint refuses orders that carry an old fencing number.
    pub checks_fence: bool,
    /// Whether the host may get new work.
    pub state: HostState,
}
