//! Cluster membership: the entries that are known through gossip.
//!
//! Each entry increments its own heartbeat counter, and a record counts as heard when
//! its heartbeat has grown. Correctness does not depend on membership, and every
//! record expires. See `docs/design/membership.md`.

mod choose;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub use choose::responsible_entry;
use pistachioyard_wire::{BootId, EntryId, EntryState, MemberRecord, Revision};
use rand::Rng;
use rand::seq::IteratorRandom;

/// The number of heartbeat timeouts after which a lost entry is forgotten.
const FORGET_AFTER_TIMEOUTS: u32 = 10;

/// The maximum number of other entries that are tracked at the same time.
const MAX_MEMBERS: usize = 256;

/// Holds the newest record of an entry and when its heartbeat last grew.
#[derive(Clone, Debug)]
struct Member {
    record: MemberRecord,
    heard_at: Instant,
}

/// Holds the last run and heartbeat of an entry that was forgotten.
///
/// Tombstones are kept for a while, so that stale gossip from a slower peer does not
/// bring the entry back.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    boot: BootId,
    heartbeat: u64,
    at: Instant,
}

/// Holds the entries that one entry knows, itself included.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Member,
    others: BTreeMap<EntryId, Member>,
    tombstones: BTreeMap<EntryId, Tombstone>,
    heartbeat_timeout: Duration,
}

impl Membership {
    /// Creates a membership that contains only this entry's own record.
    pub fn new(own: MemberRecord, heartbeat_timeout: Duration, now: Instant) -> Self {
        Self {
            own: Member {
                record: own,
                heard_at: now,
            },
            others: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            heartbeat_timeout,
        }
    }

    /// Advances this entry's own heartbeat.
    pub fn advance_heartbeat(&mut self, now: Instant) {
        self.own.record.heartbeat = self.own.record.heartbeat.saturating_add(1);
        self.own.heard_at = now;
    }

    /// Sets the state and the revision in this entry's own record, sent from the next gossip on.
    pub fn set_own_state(&mut self, state: EntryState, revision: Revision) {
        self.own.record.state = state;
        self.own.record.revision = revision;
    }

    /// Returns this entry's own record.
    pub fn own_record(&self) -> &MemberRecord {
        &self.own.record
    }

    /// Returns the newest record of another entry, if it is known.
    pub fn record_of(&self, entry: &EntryId) -> Option<&MemberRecord> {
        self.others.get(entry).map(|member| &member.record)
    }

    /// Merges the records received from a peer.
    ///
    /// Returns the entries that are new or were restarted. A later run replaces an
    /// earlier one, since boot ids grow with time. No received record replaces this
    /// entry's own one.
    pub fn merge(&mut self, records: &[MemberRecord], now: Instant) -> Vec<EntryId> {
        let mut fresh = Vec::new();
        for record in records {
            if record.entry == self.own.record.entry || self.is_tombstoned(record) {
                continue;
            }
            let known = self.others.get(&record.entry).map(|m| &m.record);
            if known.is_none() && self.others.len() >= MAX_MEMBERS {
                continue;
            }
            let is_new_run = known.is_none_or(|k| record.boot > k.boot);
            let newer =
                known.is_some_and(|k| record.boot == k.boot && record.heartbeat > k.heartbeat);
            if !is_new_run && !newer {
                continue;
            }
            self.tombstones.remove(&record.entry);
            let member = Member {
                record: record.clone(),
                heard_at: now,
            };
            self.others.insert(record.entry.clone(), member);
            if is_new_run {
                fresh.push(record.entry.clone());
            }
        }
        fresh
    }

    /// Merges heartbeats of members whose records are known.
    pub fn merge_heartbeats(&mut self, heartbeats: &[(EntryId, BootId, u64)], now: Instant) {
        for (entry, boot, heartbeat) in heartbeats {
            let Some(member) = self.others.get_mut(entry) else {
                continue;
            };
            if member.record.boot == *boot && member.record.heartbeat < *heartbeat {
                member.record.heartbeat = *heartbeat;
                member.heard_at = now;
            }
        }
    }

    /// Returns the state of an entry; an unknown entry counts as lost.
    pub fn state_of(&self, entry: &EntryId, now: Instant) -> EntryState {
        if *entry == self.own.record.entry {
            return self.own.record.state;
        }
        let member = self.others.get(entry);
        member.map_or(EntryState::Lost, |m| self.member_state(m, now))
    }

    /// Returns the entries that accept new work, this one included if it does.
    pub fn live(&self, now: Instant) -> Vec<&MemberRecord> {
        self.members()
            .filter(|m| self.member_state(m, now) == EntryState::Live)
            .map(|m| &m.record)
            .collect()
    }

    /// Returns all known entries with their states, this one included.
    pub fn all(&self, now: Instant) -> Vec<(MemberRecord, EntryState)> {
        self.members()
            .map(|m| (m.record.clone(), self.member_state(m, now)))
            .collect()
    }

    /// Returns the records of the entries that were heard within a time, this one included.
    pub fn heard_within(
        &self,
        time: Duration,
        now: Instant,
    ) -> impl Iterator<Item = &MemberRecord> {
        let heard = self.members().filter(move |member| {
            let is_own = member.record.entry == self.own.record.entry;
            is_own || now.saturating_duration_since(member.heard_at) <= time
        });
        heard.map(|member| &member.record)
    }

    /// Returns the number of known entries, this one and the lost ones included.
    pub fn count(&self) -> usize {
        1 + self.others.len()
    }

    /// Returns the records to pass on to peers: those of all entries that are not lost.
    pub fn gossip_records(&self, now: Instant) -> Vec<MemberRecord> {
        self.members()
            .filter(|m| self.member_state(m, now) != EntryState::Lost)
            .map(|m| m.record.clone())
            .collect()
    }

    /// Selects the addresses to send this entry's state to.
    ///
    /// These are up to `max_heard` random peers that are not lost, and one random lost
    /// peer. After a network partition, both sides count each other as lost: unless one of
    /// them keeps sending, neither would ever hear the other again.
    pub fn gossip_addresses(
        &self,
        max_heard: usize,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let others = self.others.values();
        let (lost, heard): (Vec<&Member>, Vec<&Member>) =
            others.partition(|m| self.member_state(m, now) == EntryState::Lost);
        let mut targets = heard.into_iter().choose_multiple(rng, max_heard);
        targets.extend(lost.into_iter().choose(rng));
        targets.iter().map(|m| m.record.peer_address).collect()
    }

    /// Forgets entries that have been lost for a long time, and removes old tombstones.
    pub fn expire(&mut self, now: Instant) {
        let keep = self.heartbeat_timeout * FORGET_AFTER_TIMEOUTS;
        self.tombstones
            .retain(|_, t| now.saturating_duration_since(t.at) <= keep);
        let tombstones = &mut self.tombstones;
        self.others.retain(|entry, member| {
            let kept = now.saturating_duration_since(member.heard_at) <= keep;
            if !kept {
                let last = Tombstone {
                    boot: member.record.boot,
                    heartbeat: member.record.heartbeat,
                    at: now,
                };
                tombstones.insert(entry.clone(), last);
            }
            kept
        });
    }

    fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(self.others.values())
    }

    fn member_state(&self, member: &Member, now: Instant) -> EntryState {
        let is_own = member.record.entry == self.own.record.entry;
        let silence = now.saturating_duration_since(member.heard_at);
        if !is_own && silence > self.heartbeat_timeout {
            EntryState::Lost
        } else {
            member.record.state
        }
    }

    /// Returns whether a record is no newer than the tombstone of its entry.
    fn is_tombstoned(&self, record: &MemberRecord) -> bool {
        self.tombstones.get(&record.entry).is_some_and(|last| {
            record.boot < last.boot
                || record.boot == last.boot && record.heartbeat <= last.heartbeat
        })
    }
}
