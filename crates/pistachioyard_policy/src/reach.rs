//! Tells an entry that has lost its links to the endpoints from endpoints that are down.
//!
//! Load pattern: an entry is cut off from all endpoints of a service while callers, the store and
//! its peers still reach it. Only attempts to open a connection count. Connections that are open
//! may live on behind a cut, and their silence says little.
//! `docs/design/cut-entries.md` describes what follows from it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Instant;

/// The number of endpoints in a row that do not accept a connection after which the links count as
/// lost; all endpoints of a service that has fewer. Endpoints that share a rack fail together.
const FAILURES_UNTIL_LOST: usize = 5;
/// The number after which further endpoints are tried at once.
const FAILURES_UNTIL_DOUBTFUL: usize = 2;

/// Says whether an entry reaches the endpoints of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Reach {
    /// It does, as far as is known.
    #[default]
    Sound,
    /// Several endpoints in a row have not accepted a connection.
    Doubtful,
    /// None that was tried lately has accepted a connection.
    Lost,
}

/// Holds the outcomes of attempts to connect to one address.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    accepted_at: Option<Instant>,
    /// When the first of the attempts failed that have failed since.
    failing_since: Option<Instant>,
}

/// Tracks which endpoints have accepted a connection of this entry.
#[derive(Clone, Debug, Default)]
pub struct ReachTracker {
    contacts: HashMap<SocketAddr, Contact>,
}

impl ReachTracker {
    /// Records that an endpoint has accepted a connection.
    pub fn record_accepted(&mut self, address: SocketAddr, now: Instant) {
        let contact = self.contacts.entry(address).or_default();
        contact.accepted_at = Some(now);
        contact.failing_since = None;
    }

    /// Records that an endpoint has refused a connection, or has not accepted it in time.
    pub fn record_failed(&mut self, address: SocketAddr, now: Instant) {
        let contact = self.contacts.entry(address).or_default();
        contact.failing_since.get_or_insert(now);
    }

    /// Returns whether the last attempt to connect to an endpoint failed.
    pub fn is_failing(&self, address: SocketAddr) -> bool {
        let contact = self.contacts.get(&address);
        contact.is_some_and(|contact| contact.failing_since.is_some())
    }

    /// Returns when one of the endpoints at these addresses last accepted a connection.
    pub fn last_accepted(&self, addresses: &[SocketAddr]) -> Option<Instant> {
        let contacts = addresses.iter().filter_map(|a| self.contacts.get(a));
        contacts.filter_map(|contact| contact.accepted_at).max()
    }

    /// Assesses whether this entry reaches the endpoints of a service at these addresses.
    ///
    /// Endpoints that began to fail before another one last accepted a connection are down, and
    /// say nothing about the links of this entry.
    pub fn assess(&self, addresses: &[SocketAddr]) -> Reach {
        let contacts = addresses.iter().filter_map(|a| self.contacts.get(a));
        let last_accepted = self.last_accepted(addresses);
        let failing = contacts.filter_map(|contact| contact.failing_since);
        let (failed_after, failed_before): (Vec<Instant>, Vec<Instant>) =
            failing.partition(|since| Some(*since) > last_accepted);
        let candidates = addresses.len().saturating_sub(failed_before.len());
        match failed_after.len() {
            0 => Reach::Sound,
            failed if failed >= FAILURES_UNTIL_LOST.min(candidates) => Reach::Lost,
            failed if failed >= FAILURES_UNTIL_DOUBTFUL.min(candidates) => Reach::Doubtful,
            _ => Reach::Sound,
        }
    }

    /// Discards what is known of addresses for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(SocketAddr) -> bool) {
        self.contacts.retain(|address, _| is_known(*address));
    }
}
