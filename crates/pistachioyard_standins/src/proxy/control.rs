//! The routes and fault rules that tests set on the proxy.

use std::net::{AddrParseError, IpAddr, SocketAddr};
use std::str::FromStr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Maps an address that the proxy listens on to the target that it forwards to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The address that the proxy listens on.
    pub listen: SocketAddr,
    /// The target address; adding a route again changes the target for new connections.
    pub target: SocketAddr,
}

/// Reports why a text cannot be parsed as a [`Route`].
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ParseRouteError {
    /// There is no `=` between the two addresses.
    #[error("the route '{raw}' has no '='; expected LISTEN=TARGET")]
    NoTarget {
        /// The text to parse.
        raw: String,
    },
    /// One of the two parts is not an address.
    #[error("'{raw}' is not a valid address: {source}; expected IP:PORT")]
    BadAddress {
        /// The part to parse.
        raw: String,
        /// The error of the parser.
        source: AddrParseError,
    },
}

impl FromStr for Route {
    type Err = ParseRouteError;

    fn from_str(raw: &str) -> Result<Self, ParseRouteError> {
        let (listen, target) = raw
            .split_once('=')
            .ok_or_else(|| ParseRouteError::NoTarget {
                raw: raw.to_owned(),
            })?;
        Ok(Self {
            listen: parse_address(listen)?,
            target: parse_address(target)?,
        })
    }
}

fn parse_address(raw: &str) -> Result<SocketAddr, ParseRouteError> {
    raw.parse().map_err(|source| ParseRouteError::BadAddress {
        raw: raw.to_owned(),
        source,
    })
}

/// Selects what happens to a connection.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Resets open connections, and new ones once they are accepted.
    Cut,
    /// Accepts connections, and resets each one when bytes come on it.
    CutOnUse,
    /// Leaves attempts to open a connection unanswered, as a partition does; open connections
    /// are not affected.
    CutNew,
    /// Reads and discards the bytes sent to the target.
    CutToTarget,
    /// Reads and discards the bytes sent by the target.
    CutFromTarget,
    /// Delays the bytes in both directions.
    Delay {
        /// The delay, in milliseconds.
        ms: u64,
    },
    /// Closes the connection after a number of further bytes, which are counted per
    /// connection, for both directions together, from the time the rule is set.
    DropAfter {
        /// The number of bytes that are still forwarded.
        bytes: u64,
    },
    /// Replaces the target's next bytes with an answer whose head does not end.
    EndlessHead,
    /// Replaces the target's next bytes with a success whose body does not end.
    EndlessBody,
    /// Replaces the target's next bytes with a failure whose body does not end.
    EndlessFailure,
    /// Replaces the target's next bytes with interim answers (1xx) that do not end.
    EndlessInterim,
    /// Replaces the target's next bytes with the head of a failure whose body does not come.
    SilentFailure,
    /// Keeps connections open but forwards no bytes until the rule is removed.
    Stall,
}

/// Applies a fault to matching connections; several rules may match one connection.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRule {
    /// The source IP or its first octets, such as `127.3.4`; `None` matches any source.
    #[serde(default)]
    pub from: Option<String>,
    /// The address that the route listens on; `None` matches any route.
    #[serde(default)]
    pub to: Option<SocketAddr>,
    /// The fault to apply.
    pub kind: FaultKind,
}

impl FaultRule {
    /// Returns the leading octets of the sources that the rule matches.
    pub(crate) fn source_octets(&self) -> Vec<u8> {
        let prefix = self.from.as_deref().unwrap_or_default();
        let octets = prefix.split('.').take(4);
        octets.filter_map(|octet| octet.parse().ok()).collect()
    }

    /// Returns whether the rule matches connections from this source on this route.
    pub(crate) fn matches(&self, source: IpAddr, listen: SocketAddr) -> bool {
        let from = self.from.as_deref();
        from.is_none_or(|prefix| has_prefix(source, prefix))
            && self.to.is_none_or(|to| to == listen)
    }
}

/// Compares complete octets, so that `127.3.4.5` is not a prefix of `127.3.4.50`.
fn has_prefix(source: IpAddr, prefix: &str) -> bool {
    let source = source.to_string();
    let rest = source.strip_prefix(prefix.trim_end_matches('.'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}
