//! Selects what an entry tells which peers, at a cost that is bounded for fleets of any size.
//!
//! Peers in the same data centre are told in turn, so that each hears from each after a known
//! number of rounds, and few peers elsewhere are told as well. Heartbeats of all members travel
//! on from peer to peer; full records only with news. See `docs/design/membership.md`.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pistachioyard_wire::{BootId, EntryId, EntryState, MemberRecord};
use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};

use super::{Member, Membership};

/// The maximum number of peers that are told in one round, a lost one aside.
pub const GOSSIP_FANOUT: usize = 8;
/// How many of them are in other data centres, if there are more peers than that.
const REMOTE_FANOUT: usize = 2;
/// The maximum number of peers in the same data centre that are told the load in one round,
/// those that are told more included. Loads that are older than a round make entries choose the
/// same endpoints.
pub const LOAD_FANOUT: usize = 24;
/// The maximum number of heartbeats in one message.
pub const MAX_HEARTBEATS: usize = 128;
/// How long a change of a record is passed on before records that have not changed.
const NEWS_TIME: Duration = Duration::from_secs(3);

/// Says for whom a gossip message is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GossipScope {
    /// A peer in the same data centre, which hears of all members.
    SameCentre,
    /// A peer in the same data centre that hears only of the sender's load in this round.
    SameCentreLoad,
    /// A peer elsewhere, which hears of the sender's data centre.
    OtherCentre,
}

/// Holds one recipient of a gossip round.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GossipTarget {
    /// The address at which it listens.
    pub address: SocketAddr,
    /// What it is told.
    pub scope: GossipScope,
}

/// Holds a heartbeat: the short key of a run ([`run_key`]) and its counter.
pub type Heartbeat = (u32, u64);

/// Returns the short key of an entry's run. Two runs with the same key would share heartbeats,
/// which can only make a lost one look live.
pub fn run_key(boot: BootId) -> u32 {
    boot.0.as_u128() as u32
}

impl Membership {
    /// Selects the recipients of the next round: up to [`GOSSIP_FANOUT`] peers that are not lost
    /// and one that is, since both sides of a network partition count each other as lost. Up to
    /// [`LOAD_FANOUT`] peers in the same data centre hear at least of the load.
    pub fn next_targets(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<GossipTarget> {
        let (lost, heard): (Vec<&Member>, Vec<&Member>) = self
            .others
            .values()
            .partition(|member| self.member_state(member, now) == EntryState::Lost);
        let lost = lost.into_iter().choose(rng).map(|m| self.target(m));
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            heard.into_iter().partition(|m| self.is_near(&m.record));
        let near: Vec<EntryId> = near.into_iter().map(|m| m.record.entry.clone()).collect();
        let far: Vec<EntryId> = far.into_iter().map(|m| m.record.entry.clone()).collect();
        let far_count = far
            .len()
            .min(REMOTE_FANOUT.max(GOSSIP_FANOUT.saturating_sub(near.len())));
        let mut chosen = self.near_turns.take(&near, GOSSIP_FANOUT - far_count, rng);
        let mut others = near;
        others.retain(|entry| !chosen.contains(entry));
        let load_count = LOAD_FANOUT.saturating_sub(chosen.len());
        let load_only = self.load_turns.take(&others, load_count, rng);
        chosen.extend(self.far_turns.take(&far, far_count, rng));
        let chosen = chosen.iter().filter_map(|entry| self.others.get(entry));
        let load_only = load_only.iter().filter_map(|entry| self.others.get(entry));
        let load_only = load_only.map(|m| GossipTarget {
            address: m.record.peer_address,
            scope: GossipScope::SameCentreLoad,
        });
        let chosen = chosen.map(|m| self.target(m));
        chosen.chain(lost).chain(load_only).collect()
    }

    /// Returns the heartbeats to send in a scope, at most [`MAX_HEARTBEATS`].
    pub fn heartbeats(
        &self,
        scope: GossipScope,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<Heartbeat> {
        let is_told = |member: &Member| match scope {
            GossipScope::SameCentre => true,
            GossipScope::SameCentreLoad => false,
            GossipScope::OtherCentre => self.is_near(&member.record),
        };
        let told = self
            .others
            .values()
            .filter(|member| self.member_state(member, now) != EntryState::Lost && is_told(member));
        told.map(|member| (run_key(member.record.boot), member.heartbeat))
            .choose_multiple(rng, MAX_HEARTBEATS)
    }

    /// Merges heartbeats of members whose records are known.
    pub fn merge_heartbeats(&mut self, heartbeats: &[Heartbeat], now: Instant) {
        for (key, heartbeat) in heartbeats {
            let Some(entry) = self.by_run.get(key) else {
                continue;
            };
            if let Some(member) = self.others.get_mut(entry) {
                member.note_heartbeat(*heartbeat, now);
            }
        }
    }

    /// Selects up to `max` records of other entries to pass on: those that have changed lately
    /// first, then random ones.
    pub fn relayed_records(
        &self,
        max: usize,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<MemberRecord> {
        let told = self.others.values();
        let mut told: Vec<&Member> = told
            .filter(|member| self.member_state(member, now) != EntryState::Lost)
            .collect();
        told.shuffle(rng);
        told.sort_by_key(|m| Reverse(now.saturating_duration_since(m.changed_at) < NEWS_TIME));
        told.truncate(max);
        told.into_iter().map(|m| m.record.clone()).collect()
    }

    fn target(&self, member: &Member) -> GossipTarget {
        let scope = match self.is_near(&member.record) {
            true => GossipScope::SameCentre,
            false => GossipScope::OtherCentre,
        };
        GossipTarget {
            address: member.record.peer_address,
            scope,
        }
    }

    fn is_near(&self, record: &MemberRecord) -> bool {
        record.data_centre == self.own.record.data_centre
    }
}

/// Holds the entries that are still to be told before the next turn begins.
#[derive(Clone, Debug, Default)]
pub(super) struct Turns {
    left: Vec<EntryId>,
}

impl Turns {
    /// Returns the next `count` of these entries; all of them have been returned once before one
    /// is again.
    fn take(&mut self, entries: &[EntryId], count: usize, rng: &mut impl Rng) -> Vec<EntryId> {
        let count = count.min(entries.len());
        let mut taken = Vec::with_capacity(count);
        while taken.len() < count {
            match self.left.pop() {
                Some(entry) if entries.contains(&entry) && !taken.contains(&entry) => {
                    taken.push(entry);
                }
                Some(_) => {}
                None => {
                    self.left = entries.to_vec();
                    self.left.shuffle(rng);
                }
            }
        }
        taken
    }
}
