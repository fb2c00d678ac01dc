//! Which entries to gossip with and to lead callers to.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Instant;

use pistachioyard_wire::{DataCentre, EntryId, EntryState, MemberRecord, WorkspaceName};
use rand::Rng;
use rand::seq::SliceRandom;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Member, Membership};

impl Membership {
    /// Chooses the peers of one gossip round, at most `fanout` and one lost one.
    ///
    /// Peers in the own data centre come first, but one from another is among
    /// them when there is one. A lost entry is tried in addition, so that two
    /// sides of a network partition find each other again. Where the peers are
    /// few, all of them are chosen.
    pub fn gossip_targets(
        &self,
        fanout: usize,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<(EntryId, SocketAddr)> {
        let mut near = Vec::new();
        let mut far = Vec::new();
        let mut lost = Vec::new();
        for member in self.others.values() {
            if self.member_state(member, now) == EntryState::Lost {
                lost.push(member);
            } else if member.record.data_centre == self.own.record.data_centre {
                near.push(member);
            } else {
                far.push(member);
            }
        }
        near.shuffle(rng);
        far.shuffle(rng);
        lost.shuffle(rng);
        if self.others.len() > fanout {
            lost.truncate(1);
        }
        let mut chosen = near_with_one_far(near, far, fanout, rng);
        chosen.extend(lost);
        chosen.into_iter().map(peer_address).collect()
    }

    /// Returns up to `count` live entries for a workspace, best first.
    ///
    /// All entries give a workspace nearly the same list (rendezvous hashing),
    /// which keeps its prefix caches and usage on few entries. Those in the
    /// preferred data centre come first; the last one is from another, so that
    /// the loss of a data centre leaves an address that works.
    pub fn entries_for(
        &self,
        workspace: &WorkspaceName,
        prefer: Option<&DataCentre>,
        count: usize,
        now: Instant,
    ) -> Vec<&MemberRecord> {
        let mut ranked = self.live(now);
        ranked.sort_by_key(|record| {
            let elsewhere = prefer.is_some_and(|p| record.data_centre != *p);
            let weight = rendezvous_weight(workspace, &record.entry);
            (elsewhere, Reverse(weight), &record.entry)
        });
        let reserve = ranked
            .iter()
            .position(|r| prefer.is_some_and(|p| r.data_centre != *p));
        if let Some(reserve) = reserve
            && count >= 2
            && reserve >= count
        {
            ranked.swap(count - 1, reserve);
        }
        ranked.truncate(count);
        ranked
    }
}

/// Puts one member from another data centre among `fanout` near ones.
fn near_with_one_far<'a>(
    near: Vec<&'a Member>,
    far: Vec<&'a Member>,
    fanout: usize,
    rng: &mut impl Rng,
) -> Vec<&'a Member> {
    let mut ordered = near;
    let mut far = far.into_iter();
    // A single target is near or far at random, so that neither side is left out.
    let keep_near = match fanout {
        0 | 1 => usize::from(rng.random_bool(0.5)),
        _ => fanout - 1,
    };
    if let Some(first) = far.next() {
        ordered.insert(keep_near.min(ordered.len()), first);
    }
    ordered.extend(far);
    ordered.truncate(fanout);
    ordered
}

fn peer_address(member: &Member) -> (EntryId, SocketAddr) {
    (member.record.entry.clone(), member.record.peer_address)
}

fn rendezvous_weight(workspace: &WorkspaceName, entry: &EntryId) -> u64 {
    let seed = xxh3_64_with_seed(workspace.as_str().as_bytes(), 0);
    xxh3_64_with_seed(entry.as_str().as_bytes(), seed)
}
