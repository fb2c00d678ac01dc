//! Selects the entries to gossip with and the ones to offer to callers.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

use pistachioyard_wire::{DataCentre, EntryId, EntryState, MemberRecord, Revision, WorkspaceName};
use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Member, Membership};

/// The number of entries up to which callers are offered all of them.
const SMALL_FLEET: usize = 16;
/// The fewest entries that callers in a data centre are offered; where it has fewer, others are
/// added.
const MIN_OFFERED: usize = 8;

impl Membership {
    /// Returns up to `max` entries to offer to callers in a data centre, out of those that accept
    /// new work and have a configuration.
    ///
    /// Those of `avoided` are left out unless they are most of them: the others could not bear
    /// the callers of all.
    ///
    /// In large fleets these are the entries of that data centre. Their requests then run at
    /// endpoints whose load they know, and callers everywhere spread over all entries.
    pub fn entries_near(
        &self,
        centre: &DataCentre,
        avoided: &BTreeSet<EntryId>,
        max: usize,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<&MemberRecord> {
        let ready = self.live(now).into_iter();
        let mut ready: Vec<&MemberRecord> = ready.filter(|r| r.revision > Revision(0)).collect();
        let is_avoided = |record: &&MemberRecord| avoided.contains(&record.entry);
        if ready.iter().filter(|record| is_avoided(record)).count() * 2 <= ready.len() {
            ready.retain(|record| !is_avoided(record));
        }
        if ready.len() <= SMALL_FLEET {
            return ready;
        }
        let (near, far): (Vec<&MemberRecord>, Vec<&MemberRecord>) =
            ready.into_iter().partition(|r| r.data_centre == *centre);
        let mut offered = near.into_iter().choose_multiple(rng, max);
        let missing = MIN_OFFERED.min(max).saturating_sub(offered.len());
        offered.extend(far.into_iter().choose_multiple(rng, missing));
        offered
    }

    /// Selects the peers of one gossip round: at most `fanout`, and one lost entry.
    ///
    /// Peers in this entry's data centre come first, but one peer of another data centre
    /// is included if there is any. A lost entry is tried in addition, so that the
    /// two sides of a network partition find each other again. If there are no more
    /// than `fanout` peers, all of them are selected.
    pub fn gossip_targets(
        &self,
        fanout: usize,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<(EntryId, SocketAddr)> {
        let mut local = Vec::new();
        let mut remote = Vec::new();
        let mut lost = Vec::new();
        for member in self.others.values() {
            if self.member_state(member, now) == EntryState::Lost {
                lost.push(member);
            } else if member.record.data_centre == self.own.record.data_centre {
                local.push(member);
            } else {
                remote.push(member);
            }
        }
        local.shuffle(rng);
        remote.shuffle(rng);
        lost.shuffle(rng);
        if self.others.len() > fanout {
            lost.truncate(1);
        }
        let mut chosen = local_with_one_remote(local, remote, fanout, rng);
        chosen.extend(lost);
        chosen.into_iter().map(peer_address).collect()
    }

    /// Returns up to `count` live entries for a workspace, best first.
    ///
    /// Rendezvous hashing makes all entries return nearly the same list for a
    /// workspace, which keeps its prefix caches and usage on few entries. Entries in the
    /// preferred data centre come first; the last one is in another data centre,
    /// so that one working address remains if a data centre is lost.
    pub fn entries_for(
        &self,
        workspace: &WorkspaceName,
        prefer: Option<&DataCentre>,
        count: usize,
        now: Instant,
    ) -> Vec<&MemberRecord> {
        let mut ranked = self.live(now);
        ranked.sort_by_key(|record| {
            let is_remote = prefer.is_some_and(|p| record.data_centre != *p);
            let weight = rendezvous_weight(workspace, &record.entry);
            (is_remote, Reverse(weight), &record.entry)
        });
        let fallback = ranked
            .iter()
            .position(|r| prefer.is_some_and(|p| r.data_centre != *p));
        if let Some(fallback) = fallback
            && count >= 2
            && fallback >= count
        {
            ranked.swap(count - 1, fallback);
        }
        ranked.truncate(count);
        ranked
    }
}

/// Returns the entry that is responsible for a key: nearly the same one on all entries, and
/// another one only if entries join or leave.
pub fn responsible_entry<'a>(
    key: u64,
    entries: impl IntoIterator<Item = &'a EntryId>,
) -> Option<&'a EntryId> {
    entries
        .into_iter()
        .max_by_key(|entry| (xxh3_64_with_seed(entry.as_str().as_bytes(), key), *entry))
}

/// Selects `fanout` members, mostly local ones, with one from another data centre.
fn local_with_one_remote<'a>(
    local: Vec<&'a Member>,
    remote: Vec<&'a Member>,
    fanout: usize,
    rng: &mut impl Rng,
) -> Vec<&'a Member> {
    let mut ordered = local;
    let mut remote = remote.into_iter();
    // A single target is local or remote at random, so that neither group is left out.
    let local_before = match fanout {
        0 | 1 => usize::from(rng.random_bool(0.5)),
        _ => fanout - 1,
    };
    if let Some(first) = remote.next() {
        ordered.insert(local_before.min(ordered.len()), first);
    }
    ordered.extend(remote);
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
