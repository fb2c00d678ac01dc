//! The HTTP API of an entry, built with dropshot.

mod body;
mod caller;
mod health;
mod operator;
mod respond;

use dropshot::ApiDescription;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::sync::Semaphore;

use crate::memory::{MemoryKind, SharedMemory};
use crate::prelude::*;

/// Holds the state that the handlers share.
pub(crate) struct ApiContext {
    /// The entry.
    pub(crate) node: Arc<Node>,
    /// The handle that renders the metrics.
    pub(crate) metrics: PrometheusHandle,
    /// The memory of the bodies of all requests.
    bodies: Arc<SharedMemory>,
    /// The permits to read the rest of refused bodies.
    discards: Arc<Semaphore>,
}

impl ApiContext {
    /// Creates the state of a server that has no requests yet.
    pub(crate) fn new(node: Arc<Node>, metrics: PrometheusHandle) -> Self {
        Self {
            node,
            metrics,
            bodies: SharedMemory::new(MemoryKind::Bodies, body::BODY_MEMORY_BYTES),
            discards: Arc::new(Semaphore::new(body::MAX_DISCARDS)),
        }
    }
}

/// Registers all handlers.
pub(crate) fn describe() -> ApiDescription<ApiContext> {
    let mut api = ApiDescription::new();
    caller::register(&mut api);
    health::register(&mut api);
    operator::register(&mut api);
    api
}

/// Returns the OpenAPI document of an entry, as JSON.
///
/// The document is committed as `docs/openapi.json`, and a test compares the two.
pub fn openapi_document() -> String {
    let version = dropshot::semver::Version::new(1, 0, 0);
    let document = describe()
        .openapi("pistachioyard entry", version)
        .json()
        .expect("the handlers have valid schemas");
    let mut text = serde_json::to_string_pretty(&document).expect("a JSON value can be serialized");
    text.push('\n');
    text
}
