//! Cluster membership: the entries that are known through gossip.
//!
//! Each entry increments its own heartbeat counter, and a record counts as heard when
//! its heartbeat has grown. Correctness does not depend on membership, and every
//! record expires. See `docs/design/membership.md`.

mod choose;
mod gossip;

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

pub use choose::responsible_entry;
use gossip::Turns;
pub use gossip::{
    GOSSIP_FANOUT, GossipScope, GossipTarget, Heartbeat, LOAD_FANOUT, MAX_HEARTBEATS, run_key,
};
use pistachioyard_wire::{BootId, EntryId, EntryState, MemberRecord, Revision};

/// The number of heartbeat timeouts after which a lost entry is forgotten.
const FORGET_AFTER_TIMEOUTS: u32 = 10;

/// The maximum number of other entries that are tracked at the same time.
const MAX_MEMBERS: usize = 256;

/// The same where heartbeats arrive through peers.
const MAX_RELAYED_MEMBERS: usize = 512;

/// Holds the newest record of an entry and when its heartbeat last grew.
#[derive(Clone, Debug)]
struct Member {
    record: MemberRecord,
    /// The newest heartbeat; it may be ahead of the record's, since heartbeats travel alone.
    heartbeat: u64,
    heard_at: Instant,
    /// When the entry joined, restarted or changed its state.
    changed_at: Instant,
}

impl Member {
    fn new(record: MemberRecord, now: Instant) -> Self {
        Self {
            heartbeat: record.heartbeat,
            record,
            heard_at: now,
            changed_at: now,
        }
    }

    fn note_heartbeat(&mut self, heartbeat: u64, now: Instant) {
        if heartbeat > self.heartbeat {
            self.heartbeat = heartbeat;
            self.heard_at = now;
        }
    }

    /// Takes over a newer record of the same run.
    fn update(&mut self, record: &MemberRecord, now: Instant) {
        let is_ready = |record: &MemberRecord| record.revision > Revision(0);
        if record.state != self.record.state || is_ready(record) != is_ready(&self.record) {
            self.changed_at = now;
        }
        self.record = record.clone();
        self.note_heartbeat(record.heartbeat, now);
    }
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
    /// The timeout in fleets in which most heartbeats arrive through peers.
    relay_timeout: Duration,
    max_members: usize,
    /// The entry of each known run, by its short key.
    by_run: HashMap<u32, EntryId>,
    near_turns: Turns,
    load_turns: Turns,
    far_turns: Turns,
}

impl Membership {
    /// Creates a membership that contains only this entry's own record.
    pub fn new(own: MemberRecord, heartbeat_timeout: Duration, now: Instant) -> Self {
        Self {
            own: Member::new(own, now),
            others: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            heartbeat_timeout,
            relay_timeout: heartbeat_timeout,
            max_members: MAX_MEMBERS,
            by_run: HashMap::new(),
            near_turns: Turns::default(),
            load_turns: Turns::default(),
            far_turns: Turns::default(),
        }
    }

    /// Sets the heartbeat timeout for fleets of more than [`GOSSIP_FANOUT`] peers, in which not
    /// every peer is told in each round, and allows for twice as many members.
    #[must_use]
    pub fn with_relay_timeout(mut self, timeout: Duration) -> Self {
        self.relay_timeout = timeout;
        self.max_members = MAX_RELAYED_MEMBERS;
        self
    }

    /// Advances this entry's own heartbeat.
    pub fn advance_heartbeat(&mut self, now: Instant) {
        self.own.record.heartbeat = self.own.record.heartbeat.saturating_add(1);
        self.own.heartbeat = self.own.record.heartbeat;
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
            if known.is_none() && self.others.len() >= self.max_members {
                continue;
            }
            let is_new_run = known.is_none_or(|k| record.boot > k.boot);
            let newer =
                known.is_some_and(|k| record.boot == k.boot && record.heartbeat > k.heartbeat);
            if is_new_run {
                self.tombstones.remove(&record.entry);
                self.add(record, now);
                fresh.push(record.entry.clone());
            } else if newer && let Some(member) = self.others.get_mut(&record.entry) {
                member.update(record, now);
            }
        }
        fresh
    }

    /// Merges the record that a peer sent of itself; returns whether it is new or was restarted.
    ///
    /// Boot ids follow the time of day, which may have jumped back before a restart. Unlike a
    /// relayed record, one from the entry itself replaces that of a later boot id that has been
    /// lost.
    pub fn merge_sender(&mut self, record: &MemberRecord, now: Instant) -> bool {
        let is_earlier = self.others.get(&record.entry).is_some_and(|known| {
            record.boot < known.record.boot && self.member_state(known, now) == EntryState::Lost
        });
        if is_earlier {
            self.add(record, now);
            return true;
        }
        !self.merge(std::slice::from_ref(record), now).is_empty()
    }

    /// Adds an entry, or replaces its earlier run.
    fn add(&mut self, record: &MemberRecord, now: Instant) {
        let member = Member::new(record.clone(), now);
        let old = self.others.insert(record.entry.clone(), member);
        if let Some(old) = old {
            self.by_run.remove(&run_key(old.record.boot));
        }
        self.by_run
            .insert(run_key(record.boot), record.entry.clone());
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

    /// Returns the number of live peers in this entry's data centre.
    pub fn count_near(&self, now: Instant) -> usize {
        let near = self.others.values().filter(|member| {
            member.record.data_centre == self.own.record.data_centre
                && self.member_state(member, now) == EntryState::Live
        });
        near.count()
    }

    /// Returns the number of known entries, this one and the lost ones included.
    pub fn count(&self) -> usize {
        1 + self.others.len()
    }

    /// Returns the records to pass on to peers, with the newest heartbeats: those of all entries
    /// that are not lost.
    pub fn gossip_records(&self, now: Instant) -> Vec<MemberRecord> {
        self.members()
            .filter(|m| self.member_state(m, now) != EntryState::Lost)
            .map(|m| MemberRecord {
                heartbeat: m.heartbeat,
                ..m.record.clone()
            })
            .collect()
    }

    /// Forgets entries that have been lost for a long time, and removes old tombstones.
    pub fn expire(&mut self, now: Instant) {
        let keep = self.heartbeat_timeout * FORGET_AFTER_TIMEOUTS;
        self.tombstones
            .retain(|_, t| now.saturating_duration_since(t.at) <= keep);
        let (tombstones, by_run) = (&mut self.tombstones, &mut self.by_run);
        self.others.retain(|entry, member| {
            let kept = now.saturating_duration_since(member.heard_at) <= keep;
            if !kept {
                let last = Tombstone {
                    boot: member.record.boot,
                    heartbeat: member.heartbeat,
                    at: now,
                };
                tombstones.insert(entry.clone(), last);
                by_run.remove(&run_key(member.record.boot));
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
        if !is_own && silence > self.timeout() {
            EntryState::Lost
        } else {
            member.record.state
        }
    }

    /// Returns how long a member may be silent before it counts as lost.
    fn timeout(&self) -> Duration {
        match self.others.len() > GOSSIP_FANOUT {
            true => self.relay_timeout,
            false => self.heartbeat_timeout,
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
