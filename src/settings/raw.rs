//! Settings as they are written.
//!
//! Values are taken from the file one by one, so that a value of the wrong type
//! or an unknown key does not hide the other faults.

use std::net::SocketAddr;

use pistachioyard_policy::ChoicePolicy;
use toml::{Table, Value};

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
const ADDRESSES: &str = "a list of IP addresses and ports such as [\"10.0.0.1:8080\"]";
const NAME: &str = "a name of 1 to 64 letters, digits, '-', '_' and '.'";
const CHOICES: &str = "cost, least_reported, random or round_robin";
const LEVELS: &str = "error, warn, info, debug or trace";

/// The file as it is written.
#[derive(Debug)]
pub(crate) struct RawSettings(pub(crate) Table);

impl TryFrom<RawSettings> for EntrySettings {
    type Error = Vec<SettingsFault>;

    fn try_from(raw: RawSettings) -> Result<Self, Vec<SettingsFault>> {
        let mut reader = Reader::new(raw.0);
        let entry = reader.name("entry");
        let data_centre = reader.name("data_centre");
        let caller_address = reader.address("caller_address");
        let peer_address = reader.address("peer_address");
        let advertised_caller_address =
            reader.optional_address("advertised_caller_address", caller_address);
        let advertised_peer_address =
            reader.optional_address("advertised_peer_address", peer_address);
        let platform = reader.address("platform");
        let peers = reader.addresses("peers");
        let entries_valid = reader.millis(
            "entries_valid_ms",
            DEFAULT_ENTRIES_VALID_MS,
            ENTRIES_VALID_MS,
        );
        let drain_limit = reader.millis("drain_limit_ms", DEFAULT_DRAIN_LIMIT_MS, DRAIN_LIMIT_MS);
        let in_force = reader.millis("in_force_ms", DEFAULT_IN_FORCE_MS, IN_FORCE_MS);
        let choice = reader.one_of("choice", ChoicePolicy::default(), CHOICES, choice_of);
        let log_level = reader.one_of("log_level", spdlog::Level::Info, LEVELS, level_of);
        let faults = reader.finish();
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
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(faults),
        }
    }
}

fn choice_of(value: &str) -> Option<ChoicePolicy> {
    match value {
        "cost" => Some(ChoicePolicy::Cost),
        "least_reported" => Some(ChoicePolicy::LeastReported),
        "random" => Some(ChoicePolicy::Random),
        "round_robin" => Some(ChoicePolicy::RoundRobin),
        _ => None,
    }
}

fn level_of(value: &str) -> Option<spdlog::Level> {
    match value {
        "error" => Some(spdlog::Level::Error),
        "warn" => Some(spdlog::Level::Warn),
        "info" => Some(spdlog::Level::Info),
        "debug" => Some(spdlog::Level::Debug),
        "trace" => Some(spdlog::Level::Trace),
        _ => None,
    }
}

/// Takes values out of the file and collects faults meanwhile.
struct Reader {
    table: Table,
    known: Vec<&'static str>,
    faults: Vec<SettingsFault>,
}

impl Reader {
    fn new(table: Table) -> Self {
        Self {
            table,
            known: Vec::new(),
            faults: Vec::new(),
        }
    }

    /// Takes a value; none if it is not given.
    fn take(&mut self, key: &'static str) -> Option<Value> {
        self.known.push(key);
        self.table.remove(key)
    }

    /// Takes a value that must be given.
    fn take_needed(&mut self, key: &'static str, allowed: &'static str) -> Option<Value> {
        let value = self.take(key);
        if value.is_none() {
            self.faults.push(SettingsFault::Missing { key, allowed });
        }
        value
    }

    fn name<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: TryFrom<String, Error = pistachioyard_wire::NameError>,
    {
        let value = self.take_needed(key, NAME)?;
        self.check(key, &value, NAME, |text| T::try_from(text.to_owned()).ok())
    }

    fn address(&mut self, key: &'static str) -> Option<SocketAddr> {
        let value = self.take_needed(key, ADDRESS)?;
        self.check(key, &value, ADDRESS, |text| text.parse().ok())
    }

    fn optional_address(
        &mut self,
        key: &'static str,
        otherwise: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        match self.take(key) {
            Some(value) => self.check(key, &value, ADDRESS, |text| text.parse().ok()),
            None => otherwise,
        }
    }

    fn addresses(&mut self, key: &'static str) -> Vec<SocketAddr> {
        match self.take(key) {
            None => Vec::new(),
            Some(Value::Array(values)) => values
                .iter()
                .enumerate()
                .filter_map(|(place, value)| {
                    let key = format!("{key}[{place}]");
                    self.check(key, value, ADDRESS, |text| text.parse().ok())
                })
                .collect(),
            Some(value) => {
                self.not_allowed(key, &value, ADDRESSES);
                Vec::new()
            }
        }
    }

    fn millis(&mut self, key: &'static str, default: u64, (low, high): (u64, u64)) -> Duration {
        let Some(value) = self.take(key) else {
            return Duration::from_millis(default);
        };
        let ms = value.as_integer().and_then(|ms| u64::try_from(ms).ok());
        match ms.filter(|ms| (low..=high).contains(ms)) {
            Some(ms) => Duration::from_millis(ms),
            None => {
                self.not_allowed(key, &value, format!("{low} to {high}"));
                Duration::from_millis(default)
            }
        }
    }

    fn one_of<T>(
        &mut self,
        key: &'static str,
        default: T,
        allowed: &str,
        find: impl Fn(&str) -> Option<T>,
    ) -> T {
        match self.take(key) {
            Some(value) => self.check(key, &value, allowed, find).unwrap_or(default),
            None => default,
        }
    }

    /// Reads a value that must be text of a certain form.
    fn check<T>(
        &mut self,
        key: impl Into<String>,
        value: &Value,
        allowed: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let checked = value.as_str().and_then(read);
        if checked.is_none() {
            self.not_allowed(key, value, allowed);
        }
        checked
    }

    fn not_allowed(&mut self, key: impl Into<String>, value: &Value, allowed: impl Into<String>) {
        let value = match value {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        self.faults.push(SettingsFault::NotAllowed {
            key: key.into(),
            value,
            allowed: allowed.into(),
        });
    }

    /// Returns all faults; whatever was not taken is an unknown key.
    fn finish(mut self) -> Vec<SettingsFault> {
        let known = self.known.join(", ");
        for key in self.table.keys() {
            self.faults.push(SettingsFault::Unknown {
                key: key.clone(),
                known: known.clone(),
            });
        }
        self.faults
    }
}
