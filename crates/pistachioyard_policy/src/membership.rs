//! Which entries there are, learnt by gossip.
//!
//! Each entry counts its own heartbeats; a record counts as heard when its
//! heartbeat has grown. Nothing here is needed for correctness, and all of it
//! ages out. See `docs/design/membership.md`.

mod choose;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pistachioyard_wire::{BootId, EntryId, EntryState, MemberRecord, Revision};
use rand::Rng;
use rand::seq::IteratorRandom;

/// After how many heartbeat timeouts a lost entry is forgotten.
const FORGET_AFTER_TIMEOUTS: u32 = 10;

/// The most other entries that are known at the same time.
const MAX_MEMBERS: usize = 256;

/// The newest record of an entry and when its heartbeat last grew.
#[derive(Clone, Debug)]
struct Member {
    record: MemberRecord,
    heard_at: Instant,
}

/// The last run and heartbeat of an entry that was forgotten.
///
/// It is kept for a while, so that a slower peer's gossip does not bring the
/// entry back.
#[derive(Clone, Copy, Debug)]
struct Forgotten {
    boot: BootId,
    heartbeat: u64,
    at: Instant,
}

/// The entries that one entry knows, itself included.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Member,
    others: BTreeMap<EntryId, Member>,
    forgotten: BTreeMap<EntryId, Forgotten>,
    heartbeat_timeout: Duration,
}

impl Membership {
    /// Starts with the own record only.
    pub fn new(own: MemberRecord, heartbeat_timeout: Duration, now: Instant) -> Self {
        Self {
            own: Member {
                record: own,
                heard_at: now,
            },
            others: BTreeMap::new(),
            forgotten: BTreeMap::new(),
            heartbeat_timeout,
        }
    }

    /// Counts an own heartbeat.
    pub fn beat(&mut self, now: Instant) {
        self.own.record.heartbeat = self.own.record.heartbeat.saturating_add(1);
        self.own.heard_at = now;
    }

    /// Sets what the own record says from the next gossip on.
    pub fn set_own(&mut self, state: EntryState, revision: Revision) {
        self.own.record.state = state;
        self.own.record.revision = revision;
    }

    /// Returns the own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own.record
    }

    /// Returns the newest record of another entry.
    pub fn record_of(&self, entry: &EntryId) -> Option<&MemberRecord> {
        self.others.get(entry).map(|member| &member.record)
    }

    /// Takes in the records of a peer.
    ///
    /// Returns the entries that are newly heard of or have been restarted. A
    /// later run replaces an earlier one, since boot ids grow with time. No
    /// record replaces the own one.
    pub fn merge(&mut self, records: &[MemberRecord], now: Instant) -> Vec<EntryId> {
        let mut fresh = Vec::new();
        for record in records {
            if record.entry == self.own.record.entry || self.is_forgotten(record) {
                continue;
            }
            let known = self.others.get(&record.entry).map(|m| &m.record);
            if known.is_none() && self.others.len() >= MAX_MEMBERS {
                continue;
            }
            let restarted = known.is_none_or(|k| record.boot > k.boot);
            let newer =
                known.is_some_and(|k| record.boot == k.boot && record.heartbeat > k.heartbeat);
            if !restarted && !newer {
                continue;
            }
            self.forgotten.remove(&record.entry);
            let member = Member {
                record: record.clone(),
                heard_at: now,
            };
            self.others.insert(record.entry.clone(), member);
            if restarted {
                fresh.push(record.entry.clone());
            }
        }
        fresh
    }

    /// Takes in heartbeats of members whose records are known.
    pub fn merge_beats(&mut self, beats: &[(EntryId, BootId, u64)], now: Instant) {
        for (entry, boot, heartbeat) in beats {
            let Some(member) = self.others.get_mut(entry) else {
                continue;
            };
            if member.record.boot == *boot && member.record.heartbeat < *heartbeat {
                member.record.heartbeat = *heartbeat;
                member.heard_at = now;
            }
        }
    }

    /// Returns the state of an entry; one that is not known is lost.
    pub fn state_of(&self, entry: &EntryId, now: Instant) -> EntryState {
        if *entry == self.own.record.entry {
            return self.own.record.state;
        }
        let member = self.others.get(entry);
        member.map_or(EntryState::Lost, |m| self.member_state(m, now))
    }

    /// Returns the entries that take new work, the own one included if it does.
    pub fn live(&self, now: Instant) -> Vec<&MemberRecord> {
        self.members()
            .filter(|m| self.member_state(m, now) == EntryState::Live)
            .map(|m| &m.record)
            .collect()
    }

    /// Returns all entries that are known, with their states.
    pub fn all(&self, now: Instant) -> Vec<(MemberRecord, EntryState)> {
        self.members()
            .map(|m| (m.record.clone(), self.member_state(m, now)))
            .collect()
    }

    /// Returns the records to pass on: those of entries that are not lost.
    pub fn records(&self, now: Instant) -> Vec<MemberRecord> {
        self.members()
            .filter(|m| self.member_state(m, now) != EntryState::Lost)
            .map(|m| m.record.clone())
            .collect()
    }

    /// Chooses whom to tell this entry's state: some of those that are heard, and one of
    /// those that are lost.
    ///
    /// A peer that is lost may have been cut off, and has lost this entry too: unless one
    /// of them goes on telling the other, neither would ever hear again.
    pub fn to_tell(&self, most: usize, now: Instant, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let others = self.others.values();
        let (lost, heard): (Vec<&Member>, Vec<&Member>) =
            others.partition(|m| self.member_state(m, now) == EntryState::Lost);
        let mut told = heard.into_iter().choose_multiple(rng, most);
        told.extend(lost.into_iter().choose(rng));
        told.iter().map(|m| m.record.peer_address).collect()
    }

    /// Forgets entries that have been lost for long.
    pub fn expire(&mut self, now: Instant) {
        let keep = self.heartbeat_timeout * FORGET_AFTER_TIMEOUTS;
        self.forgotten
            .retain(|_, f| now.saturating_duration_since(f.at) <= keep);
        let forgotten = &mut self.forgotten;
        self.others.retain(|entry, member| {
            let kept = now.saturating_duration_since(member.heard_at) <= keep;
            if !kept {
                let last = Forgotten {
                    boot: member.record.boot,
                    heartbeat: member.record.heartbeat,
                    at: now,
                };
                forgotten.insert(entry.clone(), last);
            }
            kept
        });
    }

    fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(self.others.values())
    }

    fn member_state(&self, member: &Member, now: Instant) -> EntryState {
        let is_own = member.record.entry == self.own.record.entry;
        let silent = now.saturating_duration_since(member.heard_at);
        if !is_own && silent > self.heartbeat_timeout {
            EntryState::Lost
        } else {
            member.record.state
        }
    }

    fn is_forgotten(&self, record: &MemberRecord) -> bool {
        self.forgotten.get(&record.entry).is_some_and(|last| {
            record.boot < last.boot
                || record.boot == last.boot && record.heartbeat <= last.heartbeat
        })
    }
}
