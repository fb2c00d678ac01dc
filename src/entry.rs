//! The daemon, which runs as one process on each entry host.
//!
//! [`Node`] holds the state that the filters and controllers share. Each part of the state has
//! its own lock, which is held for one decision and never across an await point. Nested locks are
//! taken in this order: admission queue, fleet, unsent reports, prefixes, random numbers,
//! membership. The remaining locks are leaf locks: no other lock is taken while one is held.

mod run;
mod streams;
mod suspects;

use std::collections::BTreeMap;

use parking_lot::Mutex;
use pistachioyard_policy::{
    ActiveConfig, ConfigAdoption, ConfigStatus, FleetView, Heartbeat, KeyedRetryBudgets,
    Membership, PrefixIndex, Quarantine, SuspectReservations, run_key,
};
use pistachioyard_wire::{EntryState, GossipState, MemberRecord, ServiceName, WorkspaceUsage};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
pub(crate) use run::run_entry;
pub(crate) use streams::StreamTable;
pub(crate) use suspects::SuspectTable;

use crate::burn::BurnRecorder;
use crate::client::{HttpClient, Reuse};
use crate::controller::PendingReports;
use crate::engine::EngineClient;
use crate::filter::Admission;
use crate::ledger::Ledger;
use crate::lifecycle::Lifecycle;
use crate::peer_link::PeerLinks;
use crate::platform::Platform;
use crate::prelude::*;
use crate::service::ServiceClient;
use crate::settings::EntrySettings;
use crate::supervisor::Supervisor;

/// The time without heartbeats after which a peer counts as lost, in milliseconds.
const HEARTBEAT_TIMEOUT_MS: u64 = 1_000;
/// The number of gossip rounds after which the records of all members are sent. The other rounds
/// carry this entry's own record and the heartbeats of the rest.
const FULL_GOSSIP_ROUNDS: u64 = 10;
/// How long a quarantined request is refused, in milliseconds.
const QUARANTINE_HOLD_MS: u64 = 600_000;
/// The time after the start of a process within which gossip reaches it from every live peer, in
/// milliseconds.
const PEER_DISCOVERY_MS: u64 = 1_000;
/// The maximum number of marks of each kind, and of suspects, that are accepted from one gossip
/// message.
const MAX_MARKS: usize = 1_024;
/// The maximum number of workspaces whose usage is accepted from one gossip message.
const MAX_USAGE_WORKSPACES: usize = 4_096;
/// The retries that each first attempt adds to the retry budget of its model or service.
const RETRY_RATIO: f64 = 0.2;
/// The maximum number of retries in each retry budget, which starts full.
const RETRY_BURST: f64 = 200.0;
/// The fraction of the in-force time after which an unconfirmed configuration is stale. The rest
/// of the time is left for requests that are being admitted.
const STALE_FRACTION: f64 = 0.8;

/// Holds the state that the parts of one entry process share.
pub(crate) struct Node {
    pub(crate) settings: EntrySettings,
    pub(crate) origin: Instant,
    pub(crate) platform: Arc<Platform>,
    pub(crate) engines: EngineClient,
    pub(crate) services: ServiceClient,
    pub(crate) adoption: Mutex<ConfigAdoption>,
    pub(crate) membership: Mutex<Membership>,
    pub(crate) fleet: Mutex<FleetView>,
    pub(crate) unsent_reports: Mutex<PendingReports>,
    pub(crate) prefixes: Mutex<PrefixIndex>,
    pub(crate) quarantine: Mutex<Quarantine>,
    pub(crate) suspect_reservations: Mutex<SuspectReservations>,
    pub(crate) suspects: SuspectTable,
    pub(crate) model_retries: Mutex<KeyedRetryBudgets<ModelName>>,
    pub(crate) service_retries: Mutex<KeyedRetryBudgets<ServiceName>>,
    pub(crate) peer_usage: Mutex<BTreeMap<EntryId, BTreeMap<WorkspaceName, WorkspaceUsage>>>,
    pub(crate) rng: Mutex<ChaCha8Rng>,
    pub(crate) admission: Admission,
    pub(crate) streams: StreamTable,
    pub(crate) ledger: Arc<Ledger>,
    pub(crate) peers: PeerLinks,
    pub(crate) lifecycle: Arc<Lifecycle>,
    pub(crate) tasks: Arc<Supervisor>,
    pub(crate) burn: BurnRecorder,
}

impl Node {
    /// Creates the state of a new entry process.
    pub(crate) fn new(settings: EntrySettings, now: Instant) -> Arc<Self> {
        let local = Some(settings.caller_address.ip());
        let pooled = HttpClient::new(local, Reuse::Pooled);
        let fresh = HttpClient::new(local, Reuse::Fresh);
        let platform = Arc::new(Platform::new(pooled.clone(), settings.platform));
        let boot = BootId::generate();
        let own = own_record(&settings, boot);
        let stale_after = settings.in_force.mul_f64(STALE_FRACTION);
        let lifecycle = Arc::<Lifecycle>::default();
        let stopping = lifecycle.clone();
        let restarts = crate::metric::TASK_RESTARTS;
        Arc::new(Self {
            origin: now,
            engines: EngineClient::new(pooled),
            services: ServiceClient::new(fresh),
            adoption: Mutex::new(ConfigAdoption::new(stale_after)),
            membership: Mutex::new(Membership::new(own, millis(HEARTBEAT_TIMEOUT_MS), now)),
            fleet: Mutex::new(FleetView::new()),
            unsent_reports: Mutex::new(PendingReports::default()),
            prefixes: Mutex::new(PrefixIndex::new()),
            quarantine: Mutex::new(Quarantine::new(millis(QUARANTINE_HOLD_MS))),
            suspect_reservations: Mutex::new(SuspectReservations::default()),
            suspects: SuspectTable::default(),
            model_retries: Mutex::new(KeyedRetryBudgets::new(RETRY_RATIO, RETRY_BURST)),
            service_retries: Mutex::new(KeyedRetryBudgets::new(RETRY_RATIO, RETRY_BURST)),
            peer_usage: Mutex::new(BTreeMap::new()),
            rng: Mutex::new(ChaCha8Rng::from_os_rng()),
            admission: Admission::new(),
            streams: StreamTable::default(),
            ledger: Arc::new(Ledger::new(platform.clone())),
            platform,
            peers: PeerLinks::default(),
            lifecycle,
            tasks: Supervisor::new(restarts, move || stopping.is_stopping()),
            burn: BurnRecorder::new(),
            settings,
        })
    }

    /// Returns the configuration that applies to new work.
    ///
    /// # Errors
    ///
    /// Fails when there is none, or when neither the platform nor a peer has confirmed it
    /// recently enough, as after a pause of this process.
    pub(crate) fn config_for_new_work(&self) -> Result<Arc<ActiveConfig>, Problem> {
        let adoption = self.adoption.lock();
        let problem = |detail: &str| {
            Problem::new(ProblemKind::NoConfig, Outcome::NotRun, detail).with_retry_after_ms(1_000)
        };
        match adoption.status(Instant::now()) {
            ConfigStatus::NoConfig => Err(problem(
                "this entry has no configuration yet; use another entry or retry later",
            )),
            ConfigStatus::Stale { .. } => Err(problem(
                "neither the platform nor a peer has confirmed this entry's configuration \
                 recently; use another entry",
            )),
            ConfigStatus::InForce => adoption
                .current()
                .cloned()
                .ok_or_else(|| problem("this entry has no configuration yet; retry later")),
        }
    }

    /// Returns the revision in force at this entry; 0 if there is none.
    pub(crate) fn revision(&self) -> Revision {
        let adoption = self.adoption.lock();
        adoption
            .current()
            .map_or(Revision(0), |active| active.accepted.revision)
    }

    /// Records that a peer had a revision in force after `sent_ms` on this entry's own clock.
    ///
    /// The peer echoes a time that this entry sent. A time in the future cannot be such an echo,
    /// so it confirms nothing. Shortly after the start a peer confirms nothing either, unless the
    /// platform has answered, because another peer may have a higher revision.
    pub(crate) fn confirm_config(&self, sent_ms: u64, revision: Revision) {
        let now = Instant::now();
        let sent_at = self.origin.checked_add(millis(sent_ms));
        let Some(sent_at) = sent_at.filter(|sent_at| *sent_at <= now) else {
            return;
        };
        let has_discovered_peers = now - self.origin >= millis(PEER_DISCOVERY_MS);
        if has_discovered_peers || self.platform.has_answered() {
            self.adoption.lock().confirm(revision, sent_at);
        }
    }

    /// Returns whether the entry accepts new work.
    pub(crate) fn is_ready(&self) -> bool {
        !self.lifecycle.is_stopping() && self.config_for_new_work().is_ok()
    }

    /// Returns the number of endpoints that may get new work from this entry.
    pub(crate) fn usable_endpoints(&self, now: Instant) -> usize {
        let fleet = self.fleet.lock();
        fleet
            .endpoints()
            .filter(|view| view.report().is_some() && view.is_usable(now))
            .count()
    }

    /// Builds the gossip for all dialed peers, with the reports that were not sent to them yet.
    pub(crate) fn gossip_with_reports(&self, now: Instant) -> GossipState {
        let mut gossip = self.gossip(now);
        let fleet = self.fleet.lock();
        let mut unsent = self.unsent_reports.lock();
        (gossip.reports, gossip.loads) = unsent.take(&fleet, now);
        if !unsent.begin_round().is_multiple_of(FULL_GOSSIP_ROUNDS) {
            let own = &self.settings.entry;
            let others = gossip.members.extract_if(.., |record| record.entry != *own);
            gossip.beats = others
                .map(|record| (record.entry, record.boot, record.heartbeat))
                .collect();
        }
        gossip
    }

    /// Builds the gossip for one peer, without reports.
    pub(crate) fn gossip(&self, now: Instant) -> GossipState {
        let revision = self.revision();
        let state = if self.lifecycle.is_draining() {
            EntryState::Draining
        } else {
            EntryState::Live
        };
        let members = {
            let mut membership = self.membership.lock();
            membership.set_own_state(state, revision);
            membership.advance_heartbeat(now);
            membership.gossip_records(now)
        };
        let usage = self.admission.usage();
        let quarantine = self.quarantine.lock().marks(now);
        let fleet = self.fleet.lock();
        GossipState {
            from: self.settings.entry.clone(),
            sent_ms: now.duration_since(self.origin).as_millis() as u64,
            members,
            beats: Vec::new(),
            revision,
            in_flight: fleet.own_in_flight(),
            endpoint_marks: fleet.marks(now),
            quarantine,
            suspects: self.suspects.own(),
            usage,
            reports: Vec::new(),
            loads: Vec::new(),
        }
    }

    /// Merges the gossip of a peer into this entry's state.
    pub(crate) fn merge_gossip(&self, gossip: GossipState, now: Instant) {
        let newcomers = {
            let mut membership = self.membership.lock();
            let beats = gossip.beats.iter();
            let beats: Vec<Heartbeat> = beats
                .map(|(_, boot, beat)| (run_key(*boot), *beat))
                .collect();
            membership.merge_heartbeats(&beats, now);
            membership.merge(&gossip.members, now)
        };
        for entry in &newcomers {
            spdlog::info!("peers: entry {entry} has joined or was restarted");
        }
        if !self.is_peer(&gossip.from, now) {
            return;
        }
        let quarantine = first_n(&gossip.quarantine, MAX_MARKS);
        self.quarantine.lock().merge(quarantine, now);
        let suspects = gossip.suspects.into_iter().take(MAX_MARKS).collect();
        self.suspects.set_for_peer(&gossip.from, suspects);
        {
            let mut fleet = self.fleet.lock();
            fleet.set_peer_in_flight(&gossip.from, &gossip.in_flight, now);
            for mark in first_n(&gossip.endpoint_marks, MAX_MARKS) {
                fleet.apply_mark(mark, now);
            }
            for (report, age_ms) in gossip.reports {
                if let Some(measured_at) = now.checked_sub(millis(age_ms)) {
                    fleet.apply_report(report, measured_at);
                }
            }
            for load in &gossip.loads {
                if let Some(measured_at) = now.checked_sub(millis(load.age_ms)) {
                    fleet.apply_load(load, measured_at);
                }
            }
        }
        let usage = gossip
            .usage
            .into_iter()
            .take(MAX_USAGE_WORKSPACES)
            .collect();
        self.peer_usage.lock().insert(gossip.from, usage);
    }

    /// Returns whether an entry is a known peer that is not lost. The number of peers is bounded.
    fn is_peer(&self, entry: &EntryId, now: Instant) -> bool {
        let membership = self.membership.lock();
        *entry != self.settings.entry && membership.state_of(entry, now) != EntryState::Lost
    }

    /// Discards the state of lost peers and other expired state.
    pub(crate) fn expire(&self, now: Instant) {
        let lost: Vec<EntryId> = {
            let mut membership = self.membership.lock();
            membership.expire(now);
            let known = membership.all(now);
            let mut usage = self.peer_usage.lock();
            let lost = usage
                .keys()
                .filter(|entry| {
                    !known.iter().any(|(record, state)| {
                        record.entry == **entry && *state != EntryState::Lost
                    })
                })
                .cloned()
                .collect::<Vec<_>>();
            usage.retain(|entry, _| !lost.contains(entry));
            lost
        };
        let mut fleet = self.fleet.lock();
        for entry in &lost {
            spdlog::warn!("peers: entry {entry} is lost");
            fleet.forget_peer(entry);
            self.suspects.set_for_peer(entry, BTreeMap::new());
        }
        drop(fleet);
        self.quarantine.lock().expire(now);
    }
}

fn own_record(settings: &EntrySettings, boot: BootId) -> MemberRecord {
    MemberRecord {
        entry: settings.entry.clone(),
        boot,
        heartbeat: 0,
        state: EntryState::Live,
        address: settings.advertised_caller_address,
        peer_address: settings.advertised_peer_address,
        data_centre: settings.data_centre.clone(),
        revision: Revision(0),
    }
}

fn first_n<T>(items: &[T], n: usize) -> &[T] {
    &items[..items.len().min(n)]
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
