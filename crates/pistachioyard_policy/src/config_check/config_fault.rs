//! What may be wrong with an entry of a configuration.

use std::sync::Arc;

use pistachioyard_wire::{ServiceName, WorkspaceName};

use super::config_place::shown;
use super::setting::Setting;
use super::{ConfigPlace, Severity};

/// Says what is wrong with an entry.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigFault {
    /// A setting is zero or negative and must not be.
    #[error("the {setting} is {value}; expected more than 0")]
    NotPositive {
        /// The setting.
        setting: Setting,
        /// Its value with unit.
        value: String,
    },
    /// A setting is negative and must not be.
    #[error("the {setting} is {value}; expected 0 or more")]
    Negative {
        /// The setting.
        setting: Setting,
        /// Its value with unit.
        value: String,
    },
    /// A limit is above another that ends the same wait earlier.
    #[error("the {setting} of {value} is above the {limit} of {limit_value}, which comes first")]
    Above {
        /// The setting.
        setting: Setting,
        /// Its value with unit.
        value: String,
        /// The other limit.
        limit: Setting,
        /// The other limit's value with unit.
        limit_value: String,
    },
    /// The route's service is not there.
    #[error("leads to the service '{service}', which is not there; add it or name another")]
    NoSuchService {
        /// The service's name.
        service: ServiceName,
    },
    /// No service of the split has a positive weight.
    #[error("none of its services has a weight above 0; give one a weight")]
    NoWeight,
    /// A service of the split has a negative weight.
    #[error("the weight of the service '{service}' is {weight}; expected 0 or more")]
    NegativeWeight {
        /// The service's name.
        service: ServiceName,
        /// Its weight.
        weight: f64,
    },
    /// No request has such a host.
    #[error(
        "matches no request: the host '{}' is empty or has a port or space",
        shown(host)
    )]
    HostNeverMatches {
        /// The host.
        host: Arc<str>,
    },
    /// No path begins with the prefix.
    #[error(
        "matches no request: the path prefix '{}' does not begin with '/', or has '?', '#' or space",
        shown(prefix)
    )]
    PrefixNeverMatches {
        /// The prefix.
        prefix: Arc<str>,
    },
    /// The prefix also matches longer names.
    #[error(
        "the path prefix '{}' does not end with '/', so it matches longer names as well",
        shown(prefix)
    )]
    OpenPrefix {
        /// The prefix.
        prefix: Arc<str>,
    },
    /// Another route has the same host and prefix and comes first.
    #[error(
        "matches no request: route '{}' has the same host and path prefix and comes first",
        shown(by)
    )]
    Shadowed {
        /// The name of the other route.
        by: Arc<str>,
    },
    /// The route needs a key and nobody has one.
    #[error("refuses every request: it needs a key, and no workspace has one")]
    NoKeyOpensIt,
    /// No route leads to the service.
    #[error("no route leads to it")]
    Unused,
    /// An earlier entry has the same name.
    #[error("an earlier entry has the same name")]
    NameTwice,
    /// No card can hold a layer.
    #[error(
        "no kind of card holds a layer of {layer_mb} MB: the largest has {largest_mb} MB of memory"
    )]
    LayerTooLarge {
        /// The size of a layer, in MB.
        layer_mb: f64,
        /// The memory of the largest kind of card, in MB.
        largest_mb: f64,
    },
    /// The model is split by layers and no kind of card is named.
    #[error("its model is split by layers, and no kind of card is named to hold them")]
    NoCards,
    /// The workspace has no key, so no request belongs to it.
    #[error("it has no key, so no request belongs to it")]
    NoKeys,
    /// Another workspace holds the same key.
    #[error("the key {digest} is also that of workspace '{other}'; remove it from one")]
    KeyOfTwo {
        /// The key's digest.
        digest: String,
        /// The other workspace.
        other: WorkspaceName,
    },
    /// The workspace holds a key more than once.
    #[error("the key {digest} is named more than once")]
    KeyTwice {
        /// The key's digest.
        digest: String,
    },
}

impl ConfigFault {
    /// Returns how bad the fault is at a place.
    pub(super) fn severity(&self, place: &ConfigPlace) -> Severity {
        match self {
            // One attempt is made nevertheless, and loads have no limit.
            Self::NotPositive {
                setting: Setting::MaxAttempts | Setting::LoadsAtOnce,
                ..
            }
            | Self::Above { .. }
            | Self::OpenPrefix { .. }
            | Self::Unused
            | Self::NoKeys
            | Self::KeyTwice { .. } => Severity::Warning,
            // Routes and workspaces are told apart by more than their names.
            Self::NameTwice => match place {
                ConfigPlace::Service(_) => Severity::Error,
                _ => Severity::Warning,
            },
            Self::NotPositive { .. }
            | Self::Negative { .. }
            | Self::NoSuchService { .. }
            | Self::NoWeight
            | Self::NegativeWeight { .. }
            | Self::HostNeverMatches { .. }
            | Self::PrefixNeverMatches { .. }
            | Self::Shadowed { .. }
            | Self::NoKeyOpensIt
            | Self::LayerTooLarge { .. }
            | Self::NoCards
            | Self::KeyOfTwo { .. } => Severity::Error,
        }
    }
}
