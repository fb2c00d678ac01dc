//! Validation of the settings file.
//!
//! Values are taken from the parsed table one by one, so that a value of the wrong type or an
//! unknown key does not hide other errors.

use std::net::SocketAddr;

use pistachioyard_policy::ChoicePolicy;
use toml::{Table, Value};

use super::{EntrySettings, SettingsError};
use crate::prelude::*;

/// The allowed range of `entries_valid_ms`.
const ENTRIES_VALID_MS: (u64, u64) = (100, 600_000);
/// The allowed range of `drain_limit_ms`.
const DRAIN_LIMIT_MS: (u64, u64) = (1_000, 86_400_000);
/// The allowed range of `in_force_ms`.
const IN_FORCE_MS: (u64, u64) = (500, 60_000);
const DEFAULT_ENTRIES_VALID_MS: u64 = 5_000;
const DEFAULT_DRAIN_LIMIT_MS: u64 = 600_000;
const DEFAULT_IN_FORCE_MS: u64 = 3_000;
const ADDRESS: &str = "an IP address and port such as 10.0.0.1:8080";
const ADDRESSES: &str = "a list of IP addresses and ports such as [\"10.0.0.1:8080\"]";
const NAME: &str = "a name of 1 to 64 letters, digits, '-', '_' and '.'";
const CHOICES: &str = "cost, least_reported, random or round_robin";
const LEVELS: &str = "error, warn, info, debug or trace";

/// Holds the settings file as parsed TOML, before validation.
#[derive(Debug)]
pub(crate) struct RawSettings(pub(crate) Table);

impl TryFrom<RawSettings> for EntrySettings {
    type Error = Vec<SettingsError>;

    fn try_from(raw: RawSettings) -> Result<Self, Vec<SettingsError>> {
        let mut reader = SettingsReader::new(raw.0);
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
        let choice = reader.one_of("choice", ChoicePolicy::default(), CHOICES, parse_choice);
        let log_level = reader.one_of("log_level", spdlog::Level::Info, LEVELS, parse_log_level);
        let errors = reader.finish();
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
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => Err(errors),
        }
    }
}

fn parse_choice(value: &str) -> Option<ChoicePolicy> {
    match value {
        "cost" => Some(ChoicePolicy::Cost),
        "least_reported" => Some(ChoicePolicy::LeastReported),
        "random" => Some(ChoicePolicy::Random),
        "round_robin" => Some(ChoicePolicy::RoundRobin),
        _ => None,
    }
}

fn parse_log_level(value: &str) -> Option<spdlog::Level> {
    match value {
        "error" => Some(spdlog::Level::Error),
        "warn" => Some(spdlog::Level::Warn),
        "info" => Some(spdlog::Level::Info),
        "debug" => Some(spdlog::Level::Debug),
        "trace" => Some(spdlog::Level::Trace),
        _ => None,
    }
}

/// Takes values out of the settings table and collects the errors.
struct SettingsReader {
    table: Table,
    known: Vec<&'static str>,
    errors: Vec<SettingsError>,
}

impl SettingsReader {
    fn new(table: Table) -> Self {
        Self {
            table,
            known: Vec::new(),
            errors: Vec::new(),
        }
    }

    /// Takes the value of an optional key.
    fn take(&mut self, key: &'static str) -> Option<Value> {
        self.known.push(key);
        self.table.remove(key)
    }

    /// Takes the value of a required key; records an error if it is missing.
    fn take_required(&mut self, key: &'static str, allowed: &'static str) -> Option<Value> {
        let value = self.take(key);
        if value.is_none() {
            self.errors.push(SettingsError::Missing { key, allowed });
        }
        value
    }

    fn name<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: TryFrom<String, Error = pistachioyard_wire::NameError>,
    {
        let value = self.take_required(key, NAME)?;
        self.check(key, &value, NAME, |text| T::try_from(text.to_owned()).ok())
    }

    fn address(&mut self, key: &'static str) -> Option<SocketAddr> {
        let value = self.take_required(key, ADDRESS)?;
        self.check(key, &value, ADDRESS, |text| text.parse().ok())
    }

    fn optional_address(
        &mut self,
        key: &'static str,
        default: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        match self.take(key) {
            Some(value) => self.check(key, &value, ADDRESS, |text| text.parse().ok()),
            None => default,
        }
    }

    fn addresses(&mut self, key: &'static str) -> Vec<SocketAddr> {
        match self.take(key) {
            None => Vec::new(),
            Some(Value::Array(values)) => values
                .iter()
                .enumerate()
                .filter_map(|(index, value)| {
                    let key = format!("{key}[{index}]");
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
        parse: impl Fn(&str) -> Option<T>,
    ) -> T {
        match self.take(key) {
            Some(value) => self.check(key, &value, allowed, parse).unwrap_or(default),
            None => default,
        }
    }

    /// Parses a string value; records an error if it is not allowed.
    fn check<T>(
        &mut self,
        key: impl Into<String>,
        value: &Value,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let checked = value.as_str().and_then(parse);
        if checked.is_none() {
            self.not_allowed(key, value, allowed);
        }
        checked
    }

    /// Records that a value is not allowed.
    fn not_allowed(&mut self, key: impl Into<String>, value: &Value, allowed: impl Into<String>) {
        let value = match value {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        self.errors.push(SettingsError::NotAllowed {
            key: key.into(),
            value,
            allowed: allowed.into(),
        });
    }

    /// Returns all errors. Keys that were not taken are unknown.
    fn finish(mut self) -> Vec<SettingsError> {
        let known = self.known.join(", ");
        for key in self.table.keys() {
            self.errors.push(SettingsError::Unknown {
                key: key.clone(),
                known: known.clone(),
            });
        }
        self.errors
    }
}
