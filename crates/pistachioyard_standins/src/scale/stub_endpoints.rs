//! Stub endpoints, served by this process, that only answer reports.

use std::net::SocketAddr;
use std::sync::Arc;

use dropshot::{ApiDescription, HttpError, HttpResponseOk, HttpServer, RequestContext, endpoint};
use pistachioyard_wire::{
    BootId, DataCentre, EndpointId, EndpointReport, Fence, HostKind, HostName, HostRecord,
    HostState, LayerRange, ModelName, NameError, Region, VersionName,
};

use super::ScaleError;
use crate::AddressPool;
use crate::server::{ServeError, serve};

/// The model that the endpoints report.
pub(super) const MODEL: &str = "scale-model";
/// The version of [`MODEL`].
pub(super) const VERSION: &str = "1";
/// The number of addresses taken from one address pool.
const ENDPOINTS_PER_POOL: usize = 240;
/// The maximum size of a request body, in bytes; report requests have none.
const MAX_BODY_BYTES: usize = 1_000;
/// The data centres that the endpoints are assigned to, round-robin.
const DATA_CENTRES: [&str; 3] = ["split-a", "split-b", "split-c"];
/// The layer ranges that are assigned to the endpoints, round-robin.
const RANGES: [(u32, u32); 3] = [(0, 16), (16, 32), (32, 48)];

/// Runs HTTP servers that answer report requests and nothing else.
pub(super) struct StubEndpoints {
    hosts: Vec<HostRecord>,
    _servers: Vec<HttpServer<Arc<EndpointReport>>>,
    _pools: Vec<AddressPool>,
}

impl StubEndpoints {
    /// Starts a number of endpoints, each at its own address.
    pub(super) async fn start(count: usize) -> Result<Self, ScaleError> {
        let mut stubs = Self {
            hosts: Vec::new(),
            _servers: Vec::new(),
            _pools: Vec::new(),
        };
        for place in 0..count {
            if place % ENDPOINTS_PER_POOL == 0 {
                stubs._pools.push(AddressPool::new()?);
            }
            let pool = &stubs._pools[place / ENDPOINTS_PER_POOL];
            let address = pool.next_address()?;
            let report = Arc::new(build_report(place)?);
            let server = serve(describe_api()?, report, address, MAX_BODY_BYTES).await?;
            stubs._servers.push(server);
            stubs.hosts.push(host_record(place, address)?);
        }
        Ok(stubs)
    }

    /// Returns the host records of the first `count` endpoints.
    pub(super) fn hosts(&self, count: usize) -> Vec<HostRecord> {
        self.hosts.iter().take(count).cloned().collect()
    }
}

fn describe_api() -> Result<ApiDescription<Arc<EndpointReport>>, ServeError> {
    let mut api = ApiDescription::new();
    api.register(get_report)?;
    Ok(api)
}

/// Returns the report, which never changes.
#[endpoint { method = GET, path = "/v1/report" }]
async fn get_report(
    cx: RequestContext<Arc<EndpointReport>>,
) -> Result<HttpResponseOk<EndpointReport>, HttpError> {
    Ok(HttpResponseOk(EndpointReport::clone(cx.context())))
}

fn build_report(place: usize) -> Result<EndpointReport, NameError> {
    let (first, end) = RANGES[place % RANGES.len()];
    Ok(EndpointReport {
        endpoint: EndpointId::try_from(format!("endpoint-{place}"))?,
        boot: BootId::generate(),
        data_centre: data_centre(place)?,
        service: None,
        model: Some(ModelName::try_from(MODEL)?),
        version: Some(VersionName::try_from(VERSION)?),
        layers: LayerRange::new(first, end).ok(),
        adapters: Vec::new(),
        loading: false,
        draining: false,
        slots: 8,
        running: 0,
        waiting: 0,
        tokens_per_second: 400.0,
        step_ms: 2.0,
        free_kv_tokens: 100_000,
        layer_capacity: end - first,
        fence: Fence::default(),
        links_ms: DATA_CENTRES
            .into_iter()
            .map(|name| Ok((DataCentre::try_from(name)?, 0.5)))
            .collect::<Result<_, NameError>>()?,
        cache_seq: 0,
    })
}

fn host_record(place: usize, address: SocketAddr) -> Result<HostRecord, NameError> {
    Ok(HostRecord {
        host: HostName::try_from(format!("host-{place}"))?,
        endpoint: EndpointId::try_from(format!("endpoint-{place}"))?,
        address,
        region: Region::try_from("hr-jadran")?,
        data_centre: data_centre(place)?,
        kind: HostKind::Engine {
            accelerator: "a".to_owned(),
        },
        checks_fence: true,
        state: HostState::Live,
    })
}

fn data_centre(place: usize) -> Result<DataCentre, NameError> {
    DataCentre::try_from(DATA_CENTRES[place % DATA_CENTRES.len()])
}
