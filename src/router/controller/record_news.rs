//! What a record of an endpoint has changed.

use pistachioyard_policy::EndpointChange;
use pistachioyard_wire::LayerRange;

use crate::prelude::*;

/// Says what a record has changed, for the log.
pub(super) struct RecordNews {
    pub(super) endpoint: EndpointId,
    pub(super) layers: Option<LayerRange>,
    pub(super) change: EndpointChange,
}

impl RecordNews {
    /// Logs the change and where the record came from.
    pub(super) fn log(&self, from: &'static str) {
        let endpoint = self.endpoint.as_str();
        match self.change {
            EndpointChange::Outdated => {
                spdlog::info!("endpoints: ignoring an older record", kv: { endpoint, from });
            }
            EndpointChange::SetAside => {
                spdlog::info!("endpoints: no service of the configuration", kv: {
                    endpoint, from
                });
            }
            news => {
                let layers = self.layers.map(|l| l.to_string()).unwrap_or_default();
                spdlog::info!("endpoints: changed", kv: {
                    endpoint, news:?, layers = layers.as_str(), from
                });
            }
        }
    }
}
