//! Short keys that stand for the ids of endpoints in datagrams.

use std::collections::HashMap;

use pistachioyard_policy::EndpointRegistry;
use xxhash_rust::xxh3::xxh3_64;

use crate::prelude::*;

/// How long the keys are kept before they are computed again, unless endpoints join or leave.
const MAX_AGE: Duration = Duration::from_secs(1);

/// Returns a short hash of an endpoint's id. A collision mixes up the load and the layer
/// reports of the two endpoints.
pub(super) fn short_key(endpoint: &EndpointId) -> u32 {
    xxh3_64(endpoint.as_str().as_bytes()) as u32
}

/// Caches the endpoint of each key, since many datagrams arrive each second.
#[derive(Default)]
pub(crate) struct ShortKeys {
    by_key: Arc<HashMap<u32, EndpointId>>,
    computed_at: Option<Instant>,
}

impl ShortKeys {
    /// Returns the known endpoints by their keys.
    pub(super) fn get(
        &mut self,
        endpoints: &EndpointRegistry,
        now: Instant,
    ) -> Arc<HashMap<u32, EndpointId>> {
        let is_recent = self
            .computed_at
            .is_some_and(|at| now.saturating_duration_since(at) < MAX_AGE);
        if !is_recent || self.by_key.len() != endpoints.count() {
            let keys = endpoints.ids().map(|id| (short_key(id), id.clone()));
            self.by_key = Arc::new(keys.collect());
            self.computed_at = Some(now);
        }
        self.by_key.clone()
    }
}
