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
    /// Several new connections in a row were not accepted, or broke before an answer.
    Doubtful,
    /// No endpoint that was tried lately has accepted a connection and answered on it.
    Lost,
}

/// Holds the outcomes of new connections to one address.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    accepted_at: Option<Instant>,
    answered_at: Option<Instant>,
    /// When the first of the attempts to connect failed that have failed since.
    refusing_since: Option<Instant>,
    /// When the first of the connections broke that have broken before an answer since.
    breaking_since: Option<Instant>,
    /// The number of connections that have broken since then.
    broken: usize,
}

impl Contact {
    fn is_failing(&self) -> bool {
        self.refusing_since.is_some() || self.breaking_since.is_some()
    }
}

/// Tracks which endpoints accept new connections of this entry, and answer on them.
#[derive(Clone, Debug, Default)]
pub struct ReachTracker {
    contacts: HashMap<SocketAddr, Contact>,
}

impl ReachTracker {
    /// Records that an endpoint has accepted a connection.
    pub fn record_accepted(&mut self, address: SocketAddr, now: Instant) {
        let contact = self.contacts.entry(address).or_default();
        contact.accepted_at = Some(now);
        contact.refusing_since = None;
    }

    /// Records that an endpoint has refused a connection, or has not accepted it in time.
    pub fn record_failed(&mut self, address: SocketAddr, now: Instant) {
        let contact = self.contacts.entry(address).or_default();
        contact.refusing_since.get_or_insert(now);
    }

    /// Records that an endpoint has answered the first request on a connection.
    pub fn record_answered(&mut self, address: SocketAddr, now: Instant) {
        let contact = self.contacts.entry(address).or_default();
        contact.answered_at = Some(now);
        contact.breaking_since = None;
        contact.broken = 0;
    }

    /// Records that a connection to an endpoint broke before the first answer on it.
    pub fn record_broken(&mut self, address: SocketAddr, now: Instant) {
        let contact = self.contacts.entry(address).or_default();
        contact.breaking_since.get_or_insert(now);
        contact.broken += 1;
    }

    /// Returns whether the last attempt to connect to an endpoint failed, or the last new
    /// connection to it broke before an answer.
    pub fn is_failing(&self, address: SocketAddr) -> bool {
        self.contacts.get(&address).is_some_and(Contact::is_failing)
    }

    /// Returns when one of the endpoints at these addresses last accepted a connection. One
    /// whose connections break before an answer proves nothing by accepting them.
    pub fn last_accepted(&self, addresses: &[SocketAddr]) -> Option<Instant> {
        let sound = self
            .contacts_of(addresses)
            .filter(|contact| contact.breaking_since.is_none());
        sound.filter_map(|contact| contact.accepted_at).max()
    }

    /// Assesses whether this entry reaches the endpoints of a service at these addresses.
    ///
    /// Endpoints that began to fail before another one last accepted a connection or answered on
    /// a new one are down, and say nothing about the links of this entry.
    pub fn assess(&self, addresses: &[SocketAddr]) -> Reach {
        let last_accepted = self.last_accepted(addresses);
        let answers = self.contacts_of(addresses);
        let last_answered = answers.filter_map(|contact| contact.answered_at).max();
        let fails_later = |contact: &&Contact| {
            contact.refusing_since > last_accepted || contact.breaking_since > last_answered
        };
        let failing = self.contacts_of(addresses).filter(|c| c.is_failing());
        let (failing, down): (Vec<&Contact>, Vec<&Contact>) = failing.partition(fails_later);
        let candidates = addresses.len().saturating_sub(down.len());
        let broken: usize = failing.iter().map(|contact| contact.broken).sum();
        match failing.len() {
            0 => Reach::Sound,
            failed if failed >= FAILURES_UNTIL_LOST.min(candidates) => Reach::Lost,
            failed if failed.max(broken) >= FAILURES_UNTIL_DOUBTFUL.min(candidates) => {
                Reach::Doubtful
            }
            _ => Reach::Sound,
        }
    }

    fn contacts_of(&self, addresses: &[SocketAddr]) -> impl Iterator<Item = &Contact> {
        addresses.iter().filter_map(|a| self.contacts.get(a))
    }

    /// Discards what is known of addresses for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(SocketAddr) -> bool) {
        self.contacts.retain(|address, _| is_known(*address));
    }
}
