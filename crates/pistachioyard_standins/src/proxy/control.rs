//! What tests set on the fault proxy.

use std::net::{AddrParseError, IpAddr, SocketAddr};
use std::str::FromStr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Where the proxy listens and where it forwards to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Where the proxy listens.
    pub listen: SocketAddr,
    /// Where it forwards to; a route that is added again gets the new target for
    /// new connections.
    pub target: SocketAddr,
}

/// Why a text is not a [`Route`].
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RouteFault {
    /// There is no `=` between the two addresses.
    #[error("'{raw}' has no '='; give LISTEN=TARGET")]
    NoTarget {
        /// The text as given.
        raw: String,
    },
    /// One of the two is not an address.
    #[error("'{raw}' is not an address: {source}; give IP:PORT")]
    BadAddress {
        /// The part as given.
        raw: String,
        /// The parser's reason.
        source: AddrParseError,
    },
}

impl FromStr for Route {
    type Err = RouteFault;

    fn from_str(raw: &str) -> Result<Self, RouteFault> {
        let (listen, target) = raw.split_once('=').ok_or_else(|| RouteFault::NoTarget {
            raw: raw.to_owned(),
        })?;
        Ok(Self {
            listen: parse_address(listen)?,
            target: parse_address(target)?,
        })
    }
}

fn parse_address(raw: &str) -> Result<SocketAddr, RouteFault> {
    raw.parse().map_err(|source| RouteFault::BadAddress {
        raw: raw.to_owned(),
        source,
    })
}

/// What happens to a connection.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Open connections are reset and new ones are reset once accepted.
    Cut,
    /// Bytes towards the target are taken and vanish.
    CutToTarget,
    /// Bytes from the target are taken and vanish.
    CutFromTarget,
    /// Bytes are held back in both directions for this time.
    Delay {
        /// The time, in milliseconds.
        ms: u64,
    },
    /// The connection is closed after this many further bytes of both directions
    /// together, counted on each connection since the rule was set.
    DropAfter {
        /// The number of bytes that still pass.
        bytes: u64,
    },
    /// Connections stay open, and no byte moves until the rule is lifted.
    Stall,
}

/// A fault and the connections that it is for; several may hold for one connection.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRule {
    /// The source IP or its first octets, such as `127.3.4`, or none for any.
    #[serde(default)]
    pub from: Option<String>,
    /// The address where the route listens, or none for any.
    #[serde(default)]
    pub to: Option<SocketAddr>,
    /// What happens to them.
    pub kind: FaultKind,
}

impl FaultRule {
    /// Returns whether the rule is for connections from this source on this route.
    pub(crate) fn is_for(&self, source: IpAddr, listen: SocketAddr) -> bool {
        let from = self.from.as_deref();
        from.is_none_or(|prefix| has_prefix(source, prefix))
            && self.to.is_none_or(|to| to == listen)
    }
}

/// Compares whole octets, so that `127.3.4.5` is no prefix of `127.3.4.50`.
fn has_prefix(source: IpAddr, prefix: &str) -> bool {
    let source = source.to_string();
    let rest = source.strip_prefix(prefix.trim_end_matches('.'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}
