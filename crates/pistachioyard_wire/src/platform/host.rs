//! The platform's list of hosts, which lags behind their actual state.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::{DataCentre, EndpointId, HostName, Region, ServiceName};

/// The kind of endpoint that runs on a host.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostKind {
    /// A model engine on an accelerator of this kind.
    Engine {
        /// The accelerator kind, such as `a`, `b` or `c`.
        accelerator: String,
    },
    /// A plain service.
    Service {
        /// The service that it runs.
        service: ServiceName,
    },
}

/// The state of a host, which decides whether it gets new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host may get new work.
    Live,
    /// The host is leaving and gets no new work.
    Leaving,
}

/// A record of the host list: a host and the endpoint that runs on it.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct HostRecord {
    /// The name of the host.
    pub host: HostName,
    /// The endpoint that runs on it.
    pub endpoint: EndpointId,
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    /// The region of the data centre.
    pub region: Region,
    /// The data centre of the host.
    pub data_centre: DataCentre,
    /// The kind of the endpoint.
    pub kind: HostKind,
    /// Whether the endpoint refuses orders with an outdated fencing token.
    pub checks_fence: bool,
    /// The state of the host.
    pub state: HostState,
}

/// Decodes a host list, whose records may come from several writers; one that cannot be decoded
/// hides no other.
///
/// Returns the records, and why each of the others cannot be decoded.
///
/// # Errors
///
/// Fails when the body is no list.
pub fn decode_host_list(
    body: &[u8],
) -> Result<(Vec<HostRecord>, Vec<serde_json::Error>), serde_json::Error> {
    let raw: Vec<Box<RawValue>> = serde_json::from_slice(body)?;
    let (mut records, mut undecoded) = (Vec::new(), Vec::new());
    for record in raw {
        match serde_json::from_str(record.get()) {
            Ok(record) => records.push(record),
            Err(e) => undecoded.push(e),
        }
    }
    Ok((records, undecoded))
}
