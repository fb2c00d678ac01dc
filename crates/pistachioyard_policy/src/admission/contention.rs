//! Tracks who asks for the room of each service, over all entries.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use pistachioyard_wire::{DataCentre, EntryId};

use super::contention_report::{ContentionReport, WorkspaceLoad};
use super::demand::{Demand, MeasuredDemand};
use super::fleet_sum::FleetSum;
use super::news_time::NewsTime;
use super::standings::Standings;

/// The maximum number of demands by urgency in a report.
const MAX_TOLD_DEMANDS: usize = 16;
/// The maximum number of workspaces in a report. Only the largest may have to leave room.
const MAX_TOLD_WORKSPACES: usize = 8;
/// The multiple of its usage by which a workspace must be larger to leave room for another one.
const MUCH_LARGER: f64 = 2.0;
/// The largest part of the memory that is left free for others, for each gossip round that news
/// takes: a tenth of what may be given out. Entries that hear later overfill what they see by more.
const MAX_RESERVE_PER_ROUND: f64 = 0.08;
/// The same for any number of rounds.
const MAX_RESERVE: f64 = 0.25;

#[derive(Clone, Copy, Debug)]
struct OwnWorkspace {
    in_progress: f64,
    demand: MeasuredDemand,
}

/// Tracks the demand of each urgency and workspace, as this entry and the others see it.
///
/// What others told ages out, so an entry that hears nobody goes by its own measure alone.
#[derive(Clone, Debug, Default)]
pub struct Contention {
    own_urgencies: BTreeMap<(u32, u8), MeasuredDemand>,
    own_workspaces: BTreeMap<(u32, u32), OwnWorkspace>,
    told_urgencies: FleetSum<(u32, u8), Demand>,
    told_workspaces: FleetSum<(u32, u32), WorkspaceLoad>,
}

impl Contention {
    /// Records a request that asks for room, whether it is admitted or not.
    pub fn on_arrival(
        &mut self,
        service: u32,
        urgency: u8,
        workspace: Option<u32>,
        tokens: f64,
        now: Instant,
    ) {
        let demand = self.own_urgencies.entry((service, urgency));
        let demand = demand.or_insert_with(|| MeasuredDemand::new(now));
        demand.on_arrival(tokens, now);
        if let Some(workspace) = workspace {
            let own = self.own_workspace(service, workspace, now);
            own.demand.on_arrival(tokens, now);
        }
    }

    /// Records that a request of a workspace was admitted.
    pub fn begin(&mut self, service: u32, workspace: u32, tokens: f64, now: Instant) {
        self.own_workspace(service, workspace, now).in_progress += tokens;
    }

    /// Records the end of a request that [`Self::begin`] recorded.
    pub fn end(&mut self, service: u32, workspace: u32, tokens: f64) {
        if let Some(own) = self.own_workspaces.get_mut(&(service, workspace)) {
            own.in_progress = (own.in_progress - tokens).max(0.0);
        }
    }

    /// Returns the part of a service's memory that a request leaves free: what more urgent requests,
    /// and workspaces with much less in progress, may ask for until the next news of the load.
    pub fn reserve(
        &self,
        service: u32,
        urgency: u8,
        workspace: Option<u32>,
        capacity_tokens: f64,
        news: NewsTime,
        now: Instant,
    ) -> f64 {
        let max_tokens =
            capacity_tokens * (MAX_RESERVE_PER_ROUND * f64::from(news.rounds)).min(MAX_RESERVE);
        let more_urgent = |urgency| {
            let demand = self.demand_of(service, |other| other < urgency, now);
            demand.within(news.mean())
        };
        // Each urgency leaves less than the next one, also where the least urgent reach the limit.
        let most = more_urgent(self.least_urgent(service)).max(max_tokens);
        let mut tokens = more_urgent(urgency) * max_tokens / most.max(1.0);
        if let Some(workspace) = workspace {
            let smaller = self.demand_of_smaller(service, urgency, workspace, now);
            tokens += smaller.within(news.mean());
        }
        tokens.min(max_tokens) / capacity_tokens.max(1.0)
    }

    /// Returns how the workspaces of a service stand.
    pub fn standings(&self, service: u32, now: Instant) -> Standings {
        let all = self.workspaces(service).into_iter();
        let usages = all.map(|w| (w, self.workspace_load(service, w, now).in_progress));
        Standings::new(usages.collect())
    }

    /// Returns this entry's own demand, to send to the peers of its data centre.
    pub fn own_report(&self, now: Instant) -> ContentionReport {
        let by_urgency = self.own_urgencies.iter();
        let by_workspace = self.own_workspaces.iter();
        report(
            by_urgency.map(|(key, demand)| (*key, demand.at(now))),
            by_workspace.map(|(key, own)| (*key, own.load(now))),
        )
    }

    /// Returns the demand of this entry's data centre, to send to peers elsewhere.
    pub fn centre_report(&self, now: Instant) -> ContentionReport {
        let urgencies = self.own_urgencies.keys();
        let urgencies = urgencies.chain(self.told_urgencies.near_keys());
        let urgencies: BTreeSet<(u32, u8)> = urgencies.copied().collect();
        let workspaces = self.own_workspaces.keys();
        let workspaces = workspaces.chain(self.told_workspaces.near_keys());
        let workspaces: BTreeSet<(u32, u32)> = workspaces.copied().collect();
        report(
            urgencies.into_iter().map(|key| {
                let mut demand = self.told_urgencies.near_total(&key);
                demand += self.own_demand(&key, now);
                (key, demand)
            }),
            workspaces.into_iter().map(|key| {
                let mut load = self.told_workspaces.near_total(&key);
                load += self.own_load(&key, now);
                (key, load)
            }),
        )
    }

    /// Replaces what a peer in this entry's data centre told.
    pub fn set_peer(&mut self, peer: EntryId, report: ContentionReport, now: Instant) {
        let (urgencies, workspaces) = bounded(report);
        self.told_urgencies.set_peer(peer.clone(), urgencies, now);
        self.told_workspaces.set_peer(peer, workspaces, now);
    }

    /// Replaces what was told of another data centre.
    pub fn set_centre(&mut self, centre: DataCentre, report: ContentionReport, now: Instant) {
        let (urgencies, workspaces) = bounded(report);
        self.told_urgencies
            .set_centre(centre.clone(), urgencies, now);
        self.told_workspaces.set_centre(centre, workspaces, now);
    }

    /// Removes what a peer told that is gone.
    pub fn forget_peer(&mut self, peer: &EntryId) {
        self.told_urgencies.forget_peer(peer);
        self.told_workspaces.forget_peer(peer);
    }

    /// Removes what was told too long ago, and own measures that have faded.
    pub fn expire(&mut self, now: Instant) {
        self.told_urgencies.expire(now);
        self.told_workspaces.expire(now);
        self.own_urgencies
            .retain(|_, demand| !demand.at(now).is_idle());
        self.own_workspaces
            .retain(|_, own| own.in_progress > 0.0 || !own.demand.at(now).is_idle());
    }

    fn own_workspace(&mut self, service: u32, workspace: u32, now: Instant) -> &mut OwnWorkspace {
        let own = self.own_workspaces.entry((service, workspace));
        own.or_insert_with(|| OwnWorkspace {
            in_progress: 0.0,
            demand: MeasuredDemand::new(now),
        })
    }

    fn own_demand(&self, key: &(u32, u8), now: Instant) -> Demand {
        let own = self.own_urgencies.get(key);
        own.map(|demand| demand.at(now)).unwrap_or_default()
    }

    fn own_load(&self, key: &(u32, u32), now: Instant) -> WorkspaceLoad {
        let own = self.own_workspaces.get(key);
        own.map(|own| own.load(now)).unwrap_or_default()
    }

    /// Returns the least urgent of the urgencies that ask for a service.
    fn least_urgent(&self, service: u32) -> u8 {
        let keys = self.own_urgencies.keys().chain(self.told_urgencies.keys());
        let urgencies = keys.filter(|key| key.0 == service).map(|key| key.1);
        urgencies.max().unwrap_or_default()
    }

    /// Returns the demand of the urgencies that meet a condition, over all entries.
    fn demand_of(&self, service: u32, condition: impl Fn(u8) -> bool, now: Instant) -> Demand {
        let told = self.told_urgencies.keys();
        let keys: BTreeSet<(u32, u8)> = self.own_urgencies.keys().chain(told).copied().collect();
        let mut demand = Demand::default();
        for key in keys {
            if key.0 == service && condition(key.1) {
                demand += self.told_urgencies.total(&key);
                demand += self.own_demand(&key, now);
            }
        }
        demand
    }

    /// Returns the demand, at the same urgency, of the workspaces that have much less in progress
    /// than this one. Those that are not named are smaller than those that are.
    fn demand_of_smaller(&self, service: u32, urgency: u8, workspace: u32, now: Instant) -> Demand {
        let own = self.workspace_load(service, workspace, now);
        let mut demand = self.demand_of(service, |other| other == urgency, now);
        for other in self.workspaces(service) {
            let load = self.workspace_load(service, other, now);
            if load.in_progress * MUCH_LARGER >= own.in_progress {
                demand = demand.without(load.demand);
            }
        }
        demand
    }

    fn workspaces(&self, service: u32) -> BTreeSet<u32> {
        let keys = self.own_workspaces.keys();
        let keys = keys.chain(self.told_workspaces.keys());
        keys.filter(|key| key.0 == service)
            .map(|key| key.1)
            .collect()
    }

    fn workspace_load(&self, service: u32, workspace: u32, now: Instant) -> WorkspaceLoad {
        let key = (service, workspace);
        let mut load = self.told_workspaces.total(&key);
        load += self.own_load(&key, now);
        load
    }
}

impl OwnWorkspace {
    fn load(&self, now: Instant) -> WorkspaceLoad {
        WorkspaceLoad {
            in_progress: self.in_progress,
            demand: self.demand.at(now),
        }
    }
}

/// Builds a report of the demands, the most urgent first, and of the largest workspaces.
fn report(
    by_urgency: impl Iterator<Item = ((u32, u8), Demand)>,
    by_workspace: impl Iterator<Item = ((u32, u32), WorkspaceLoad)>,
) -> ContentionReport {
    let mut by_urgency: Vec<_> = by_urgency.filter(|(_, d)| !d.is_idle()).collect();
    by_urgency.sort_by_key(|((_, urgency), _)| *urgency);
    by_urgency.truncate(MAX_TOLD_DEMANDS);
    let mut by_workspace: Vec<_> = by_workspace
        .filter(|(_, load)| load.in_progress > 0.0 || !load.demand.is_idle())
        .collect();
    by_workspace.sort_by(|(_, a), (_, b)| b.in_progress.total_cmp(&a.in_progress));
    by_workspace.truncate(MAX_TOLD_WORKSPACES);
    ContentionReport {
        by_urgency,
        by_workspace,
    }
}

type ToldDemands = Vec<((u32, u8), Demand)>;
type ToldWorkspaces = Vec<((u32, u32), WorkspaceLoad)>;

/// Leaves out what a peer should not have told: more than the limits, or numbers that are none.
fn bounded(report: ContentionReport) -> (ToldDemands, ToldWorkspaces) {
    let is_sound = |value: f64| value.is_finite() && value >= 0.0;
    let is_demand = |d: &Demand| is_sound(d.per_second) && is_sound(d.squares_per_second);
    let mut by_urgency = report.by_urgency;
    by_urgency.retain(|(_, demand)| is_demand(demand));
    by_urgency.truncate(MAX_TOLD_DEMANDS);
    let mut by_workspace = report.by_workspace;
    by_workspace.retain(|(_, load)| is_sound(load.in_progress) && is_demand(&load.demand));
    by_workspace.truncate(MAX_TOLD_WORKSPACES);
    (by_urgency, by_workspace)
}
