//! Settings as they are written.

use std::net::SocketAddr;

use pistachioyard_policy::ChoicePolicy;
use serde::Deserialize;

use super::{EntrySettings, SettingsFault};
use crate::prelude::*;

/// The bounds of `entries_valid_ms`.
const ENTRIES_VALID_MS: (u64, u64) = (100, 600_000);
/// The bounds of `drain_limit_ms`.
const DRAIN_LIMIT_MS: (u64, u64) = (1_000, 86_400_000);
/// The bounds of `in_force_ms`.
const IN_FORCE_MS: (u64, u64) = (500, 60_000);
const DEFAULT_ENTRIES_VALID_MS: u64 = 5_000;
const DEFAULT_DRAIN_LIMIT_MS: u64 = 600_000;
const DEFAULT_IN_FORCE_MS: u64 = 3_000;
const ADDRESS: &str = "an IP address and port such as 10.0.0.1:8080";

/// The file as it is written; values are checked one by one.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawSettings {
    entry: Option<String>,
    data_centre: Option<String>,
    caller_address: Option<String>,
    peer_address: Option<String>,
    advertised_caller_address: Option<String>,
    advertised_peer_address: Option<String>,
    platform: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    entries_valid_ms: Option<u64>,
    drain_limit_ms: Option<u64>,
    in_force_ms: Option<u64>,
    choice: Option<String>,
    log_level: Option<String>,
}

impl TryFrom<RawSettings> for EntrySettings {
    type Error = Vec<SettingsFault>;

    fn try_from(raw: RawSettings) -> Result<Self, Vec<SettingsFault>> {
        let mut faults = Faults::default();
        let entry = faults.name("entry", raw.entry);
        let data_centre = faults.name("data_centre", raw.data_centre);
        let caller_address = faults.address("caller_address", raw.caller_address);
        let peer_address = faults.address("peer_address", raw.peer_address);
        let advertised_caller_address = faults.optional_address(
            "advertised_caller_address",
            raw.advertised_caller_address,
            caller_address,
        );
        let advertised_peer_address = faults.optional_address(
            "advertised_peer_address",
            raw.advertised_peer_address,
            peer_address,
        );
        let platform = faults.address("platform", raw.platform);
        let peers = raw
            .peers
            .into_iter()
            .enumerate()
            .filter_map(|(place, peer)| faults.address_at(format!("peers[{place}]"), &peer))
            .collect();
        let entries_valid = faults.millis(
            "entries_valid_ms",
            raw.entries_valid_ms.unwrap_or(DEFAULT_ENTRIES_VALID_MS),
            ENTRIES_VALID_MS,
        );
        let drain_limit = faults.millis(
            "drain_limit_ms",
            raw.drain_limit_ms.unwrap_or(DEFAULT_DRAIN_LIMIT_MS),
            DRAIN_LIMIT_MS,
        );
        let in_force = faults.millis(
            "in_force_ms",
            raw.in_force_ms.unwrap_or(DEFAULT_IN_FORCE_MS),
            IN_FORCE_MS,
        );
        let choice = faults.choice(raw.choice);
        let log_level = faults.level(raw.log_level);
        let checked = (|| {
            Some(Self {
                entry: entry?,
                data_centre: data_centre?,
                caller_address: caller_address?,
                peer_address: peer_address?,
                advertised_caller_address: advertised_caller_address?,
                advertised_peer_address: advertised_peer_address?,
                platform: platform?,
                peers,
                entries_valid,
                drain_limit,
                in_force,
                choice,
                log_level,
            })
        })();
        match checked {
            Some(settings) if faults.0.is_empty() => Ok(settings),
            _ => Err(faults.0),
        }
    }
}

/// Collects faults while the values are read.
#[derive(Default)]
struct Faults(Vec<SettingsFault>);

impl Faults {
    fn name<T>(&mut self, key: &'static str, raw: Option<String>) -> Option<T>
    where
        T: TryFrom<String, Error = pistachioyard_wire::NameFault>,
    {
        let allowed = "a name of 1 to 64 letters, digits, '-', '_' and '.'";
        let Some(value) = raw else {
            self.0.push(SettingsFault::Missing { key, allowed });
            return None;
        };
        let name = T::try_from(value.clone()).ok();
        if name.is_none() {
            self.not_allowed(key, &value, allowed);
        }
        name
    }

    fn address(&mut self, key: &'static str, raw: Option<String>) -> Option<SocketAddr> {
        match raw {
            Some(value) => self.address_at(key.to_owned(), &value),
            None => {
                self.0.push(SettingsFault::Missing {
                    key,
                    allowed: ADDRESS,
                });
                None
            }
        }
    }

    fn optional_address(
        &mut self,
        key: &'static str,
        raw: Option<String>,
        otherwise: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        match raw {
            Some(value) => self.address_at(key.to_owned(), &value),
            None => otherwise,
        }
    }

    fn address_at(&mut self, key: String, value: &str) -> Option<SocketAddr> {
        let address = value.parse().ok();
        if address.is_none() {
            self.not_allowed(key, value, ADDRESS);
        }
        address
    }

    fn millis(&mut self, key: &str, value: u64, (low, high): (u64, u64)) -> Duration {
        if !(low..=high).contains(&value) {
            self.not_allowed(key, &value.to_string(), format!("{low} to {high}"));
        }
        Duration::from_millis(value)
    }

    fn choice(&mut self, raw: Option<String>) -> ChoicePolicy {
        let Some(value) = raw else {
            return ChoicePolicy::default();
        };
        match value.as_str() {
            "cost" => ChoicePolicy::Cost,
            "least_reported" => ChoicePolicy::LeastReported,
            "random" => ChoicePolicy::Random,
            "round_robin" => ChoicePolicy::RoundRobin,
            _ => {
                let allowed = "cost, least_reported, random or round_robin";
                self.not_allowed("choice", &value, allowed);
                ChoicePolicy::default()
            }
        }
    }

    fn level(&mut self, raw: Option<String>) -> spdlog::Level {
        let Some(value) = raw else {
            return spdlog::Level::Info;
        };
        match value.as_str() {
            "error" => spdlog::Level::Error,
            "warn" => spdlog::Level::Warn,
            "info" => spdlog::Level::Info,
            "debug" => spdlog::Level::Debug,
            "trace" => spdlog::Level::Trace,
            _ => {
                self.not_allowed("log_level", &value, "error, warn, info, debug or trace");
                spdlog::Level::Info
            }
        }
    }

    fn not_allowed(&mut self, key: impl Into<String>, value: &str, allowed: impl Into<String>) {
        self.0.push(SettingsFault::NotAllowed {
            key: key.into(),
            value: value.to_owned(),
            allowed: allowed.into(),
        });
    }
}
