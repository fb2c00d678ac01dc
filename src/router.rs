//! The router daemon that runs on the operators' platform.
//!
//! [`Router`] holds the state that the filters and the controllers share. Each part has
//! its own lock, which is held for one decision and never across an await point. Nested
//! locks are taken in the order members, config, endpoints, plain latency, load, others.
//! `docs/design/operators-platform.md` describes the architecture.

mod admission;
mod answer;
mod controller;
mod departures;
mod endpoint_answer;
mod endpoint_client;
mod endpoint_order;
mod filter;
mod http_server;
mod line_limit;
mod load_control;
mod log;
mod losses;
mod memory_shares;
mod metric;
mod parts;
mod peer_probe;
mod permits;
mod quarantine;
mod reach;
mod relay_hop;
mod retries;
mod returns;
mod run;
mod short_reads;
mod store_client;
mod store_pace;
mod told_age;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};

pub(crate) use load_control::LoadControl;
pub(crate) use log::Log;
use parking_lot::{Mutex, RwLock};
use pistachioyard_platform::NodeSettings;
use pistachioyard_policy::{
    ActivityTracker, CrossingLimiter, EndpointRegistry, Freshness, GOSSIP_FANOUT, LatencyEstimates,
    LoadTracker, Membership, PartQuarantine, Presence, Quarantine, RetryBudgets, RouteTable,
    SuspectReason, WatchLag,
};
use pistachioyard_wire::{DataCentre, EntryState, Fence, MemberRecord, ServiceName};
pub(crate) use run::run_router;
use tokio::sync::{Notify, watch};

use crate::client::{HttpClient, Reuse};
use crate::lifecycle::Lifecycle;
use crate::prelude::*;
use crate::router::departures::DepartureStates;
pub(crate) use crate::router::departures::ToldDeparture;
use crate::router::endpoint_client::EndpointClient;
use crate::router::losses::Losses;
use crate::router::memory_shares::MemoryShares;
use crate::router::permits::Permits;
use crate::router::reach::{OwnReach, ToldReach};
use crate::router::returns::Returns;
use crate::router::store_client::StoreClient;
use crate::supervisor::Supervisor;

/// How long a peer may be silent before it counts as lost; covers several gossip periods.
const PEER_TIMEOUT: Duration = Duration::from_millis(900);
/// The same where heartbeats arrive through other peers, which takes several periods.
const RELAYED_PEER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long after its start an entry waits for what its peers know. They are found through the
/// store, which may be away.
const FIRST_NEWS_LIMIT: Duration = Duration::from_millis(300);
/// How long a request that crashes endpoints is refused. Crashed endpoints restart within
/// seconds, and a request that was blamed by mistake is not blocked for long.
const QUARANTINE_HOLD: Duration = Duration::from_secs(15);

/// Holds the active configuration and the time of its adoption.
#[derive(Clone)]
pub(crate) struct ActiveConfig {
    pub(crate) table: Arc<RouteTable>,
    /// The content that the table was built from, for peers that cannot reach the store.
    pub(crate) source: Arc<str>,
    pub(crate) adopted_at: Instant,
}

/// Holds the state that the parts of the daemon share.
pub(crate) struct Router {
    pub(crate) settings: NodeSettings,
    load_controls: Vec<LoadControl>,
    pub(crate) boot: BootId,
    pub(crate) started_at: Instant,
    pub(crate) lifecycle: Arc<Lifecycle>,
    pub(crate) tasks: Arc<Supervisor>,
    /// The peers that have told that a task of theirs keeps ending.
    pub(crate) failing_peers: Mutex<BTreeSet<EntryId>>,
    pub(crate) config: RwLock<Option<ActiveConfig>>,
    /// The limit for heads in the active configuration, in bytes; 0 before the first one.
    max_head_bytes: watch::Sender<usize>,
    pub(crate) endpoints: Mutex<EndpointRegistry>,
    pub(crate) load: Mutex<LoadTracker>,
    pub(crate) activity: Mutex<ActivityTracker>,
    pub(crate) members: Mutex<Membership>,
    /// The peers that report that they cannot reach the store.
    pub(crate) peers_without_store: Mutex<BTreeSet<EntryId>>,
    pub(crate) reach: OwnReach,
    pub(crate) losses: Losses,
    /// What each peer has told of its reach, by the keys of the services.
    pub(crate) peer_reach: Mutex<BTreeMap<EntryId, BTreeMap<u32, ToldReach>>>,
    /// The highest version of the configuration by which a peer has served a request for this
    /// entry.
    newest_peer_version: AtomicU64,
    pub(crate) retries: Mutex<RetryBudgets>,
    /// The entries that share the retry budget.
    pub(crate) presence: Mutex<Presence>,
    pub(crate) quarantine: Mutex<Quarantine>,
    pub(crate) parts: Mutex<PartQuarantine>,
    pub(crate) plain_latency: Mutex<LatencyEstimates>,
    /// This entry's share of the links between data centres, for each service.
    pub(crate) cross_centre_budget: Mutex<BTreeMap<ServiceName, CrossingLimiter>>,
    /// How requests leave this data centre, for each service.
    pub(crate) departures: DepartureStates,
    /// Whether a peer has told what it knows, or there is none.
    pub(crate) first_news: watch::Sender<bool>,
    /// Wakes requests that wait for free memory on endpoints.
    pub(crate) capacity_changed: Notify,
    /// Wakes the placement controller when the endpoints or the configuration have changed.
    pub(crate) endpoints_changed: Notify,
    /// Wakes the controller that probes ejected endpoints when another one is ejected.
    pub(crate) suspects_due: Notify,
    /// Wakes the gossip, so that peers hear of something at once.
    pub(crate) urgent_news: Notify,
    /// Wakes the configuration controller when a peer has a newer version.
    pub(crate) config_outdated: Notify,
    /// Wakes the endpoint controller when this entry has missed a change that a peer has seen.
    pub(crate) endpoints_outdated: Notify,
    /// Wakes the controller that stores the convictions of requests and prompt parts.
    pub(crate) convictions_changed: Notify,
    /// How far this entry has seen the changes of the endpoints.
    pub(crate) endpoints_lag: Mutex<WatchLag>,
    /// Up to when the list of endpoints is known to be complete.
    pub(crate) endpoints_freshness: Mutex<Freshness>,
    /// Up to when the active configuration is known to be the newest one.
    pub(crate) config_freshness: Mutex<Freshness>,
    /// The endpoints by the keys that stand for them in datagrams.
    pub(crate) short_keys: Mutex<controller::ShortKeys>,
    /// The highest fencing token of the placement lease that this entry knows of.
    newest_fence: AtomicU64,
    pub(crate) permits: Permits,
    /// The requests that wait for room, and who asks for it at all entries.
    pub(crate) admission: Arc<admission::Admission>,
    pub(crate) returns: Returns,
    pub(crate) client: EndpointClient,
    pub(crate) peer_client: HttpClient,
    pub(crate) store: StoreClient,
    /// The lines whose number others decide.
    other_lines: line_limit::LineLimit,
    pub(crate) reports: filter::ReportCache,
    /// The memory that what others send takes together.
    pub(crate) memory: MemoryShares,
}

impl Router {
    /// Creates the state of a new process.
    pub(crate) fn new(
        settings: NodeSettings,
        load_controls: Vec<LoadControl>,
        now: Instant,
    ) -> Arc<Self> {
        let boot = BootId::generate();
        let own = MemberRecord {
            entry: settings.entry.clone(),
            boot,
            heartbeat: 0,
            state: EntryState::Live,
            address: settings.caller_address,
            peer_address: settings.peer_address,
            data_centre: settings.data_centre.clone(),
            revision: Revision(0),
        };
        let retries = RetryBudgets::new(
            settings.retry_share,
            settings.retry_slack,
            settings.retry_window,
            settings.is_first_start,
            now,
        );
        let memory = MemoryShares::new(settings.memory_bytes, settings.max_descriptors);
        let lifecycle = Arc::<Lifecycle>::default();
        let stopping = lifecycle.clone();
        Arc::new(Self {
            load_controls,
            boot,
            started_at: now,
            lifecycle,
            tasks: Supervisor::new(metric::TASK_RESTARTS, move || stopping.is_stopping()),
            failing_peers: Mutex::default(),
            config: RwLock::new(None),
            max_head_bytes: watch::Sender::new(0),
            endpoints: Mutex::new(EndpointRegistry::without_services()),
            load: Mutex::default(),
            activity: Mutex::default(),
            members: Mutex::new(
                Membership::new(own, PEER_TIMEOUT, now).with_relay_timeout(RELAYED_PEER_TIMEOUT),
            ),
            peers_without_store: Mutex::default(),
            reach: OwnReach::default(),
            losses: Losses::default(),
            peer_reach: Mutex::default(),
            newest_peer_version: AtomicU64::new(0),
            retries: Mutex::new(retries),
            presence: Mutex::new(Presence::new(settings.entry.clone(), settings.retry_window)),
            quarantine: Mutex::new(Quarantine::without_isolation(QUARANTINE_HOLD)),
            parts: Mutex::default(),
            plain_latency: Mutex::default(),
            cross_centre_budget: Mutex::default(),
            departures: Mutex::default(),
            first_news: watch::Sender::new(false),
            capacity_changed: Notify::new(),
            endpoints_changed: Notify::new(),
            suspects_due: Notify::new(),
            urgent_news: Notify::new(),
            config_outdated: Notify::new(),
            endpoints_outdated: Notify::new(),
            convictions_changed: Notify::new(),
            endpoints_lag: Mutex::default(),
            endpoints_freshness: Mutex::new(Freshness::new(now)),
            config_freshness: Mutex::new(Freshness::new(now)),
            short_keys: Mutex::default(),
            newest_fence: AtomicU64::new(0),
            permits: Permits::default(),
            admission: Arc::default(),
            returns: Returns::default(),
            client: EndpointClient::new(settings.caller_address.ip(), memory.answers.clone()),
            peer_client: HttpClient::new(Some(settings.caller_address.ip()), Reuse::Pooled)
                .with_memory(&memory.own_calls),
            store: StoreClient::new(
                settings.caller_address.ip(),
                settings.store.address,
                &memory.own_calls,
            ),
            other_lines: line_limit::LineLimit::default(),
            reports: filter::ReportCache::default(),
            memory,
            settings,
        })
    }

    /// Returns whether the operator has switched a decision on.
    pub(crate) fn uses(&self, control: LoadControl) -> bool {
        self.load_controls.contains(&control)
    }

    /// Returns the active configuration, if there is one yet.
    pub(crate) fn active_config(&self) -> Option<ActiveConfig> {
        self.config.read().clone()
    }

    /// Returns the limit for heads in the active configuration, in bytes; 0 if there is none yet.
    pub(crate) fn max_head_bytes(&self) -> usize {
        *self.max_head_bytes.borrow()
    }

    /// Sets the limit for heads, once the configuration that it is from is active.
    pub(crate) fn set_max_head_bytes(&self, max_bytes: usize) {
        self.max_head_bytes.send_replace(max_bytes);
    }

    /// Waits until the limit for heads is above `bytes`.
    pub(crate) async fn wait_for_longer_heads(&self, bytes: usize) {
        let mut limit = self.max_head_bytes.subscribe();
        // The sender is part of this router, so the wait ends with a higher limit only.
        let _ = limit.wait_for(|limit| *limit > bytes).await;
    }

    /// Returns the version of the active configuration, or 0 if there is none.
    pub(crate) fn version(&self) -> u64 {
        let config = self.config.read();
        config.as_ref().map_or(0, |active| active.table.version)
    }

    /// Returns the highest fencing token of the placement lease that this entry knows of.
    pub(crate) fn newest_fence(&self) -> Fence {
        Fence(self.newest_fence.load(Ordering::Relaxed))
    }

    /// Records a fencing token that was read, written or named by a peer.
    pub(crate) fn note_fence(&self, fence: Fence) {
        self.newest_fence.fetch_max(fence.0, Ordering::Relaxed);
    }

    /// Returns whether this entry is ready to serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.lifecycle.is_draining()
            && self.config.read().is_some()
            && self.endpoints.lock().ids().next().is_some()
            && !self.yields_to_peers(Instant::now())
    }

    /// Returns whether a task of this entry keeps ending, so that its state may be stale, while a
    /// live peer has no such fault.
    fn yields_to_peers(&self, now: Instant) -> bool {
        if !self.tasks.has_failing_task() {
            return false;
        }
        let members = self.members.lock();
        let failing = self.failing_peers.lock();
        let own = &self.settings.entry;
        let live = members.live(now);
        live.iter()
            .any(|record| record.entry != *own && !failing.contains(&record.entry))
    }

    /// Waits until a restarted entry knows what its peers know, for a short time after its start.
    ///
    /// It would send requests beyond the limits of endpoints, to leaving ones, and ones that are
    /// quarantined.
    pub(crate) async fn wait_for_first_news(&self) {
        let left = FIRST_NEWS_LIMIT.saturating_sub(self.started_at.elapsed());
        if left.is_zero() || *self.first_news.borrow() {
            return;
        }
        let mut news = self.first_news.subscribe();
        // A peer that tells nothing in time is not waited for.
        let _ = tokio::time::timeout(left, news.wait_for(|is_known| *is_known)).await;
    }

    /// Returns whether callers may have sent requests already. A restarted entry cannot
    /// know, so it assumes that they have.
    pub(crate) fn has_traffic(&self) -> bool {
        !self.settings.is_first_start || self.lifecycle.has_received_requests()
    }

    /// Returns the number of live entries, including this one.
    pub(crate) fn live_entries(&self, now: Instant) -> usize {
        self.members.lock().live(now).len().max(1)
    }

    /// Returns whether not every peer is told in each gossip round.
    pub(crate) fn is_large_fleet(&self) -> bool {
        self.members.lock().count() > GOSSIP_FANOUT + 1
    }

    /// Returns whether a live peer has a newer configuration.
    pub(crate) fn is_behind_peers(&self) -> bool {
        let version = Revision(self.version());
        let members = self.members.lock();
        let live = members.live(Instant::now());
        live.iter().any(|record| record.revision > version)
    }

    /// Ejects a failed endpoint from routing until it recovers, and logs it.
    pub(crate) fn suspect(&self, endpoint: &EndpointId, why: SuspectReason) {
        let now = Instant::now();
        let (is_new, age) = {
            let mut endpoints = self.endpoints.lock();
            let age = endpoints.age(endpoint, now).unwrap_or_default();
            (endpoints.mark_suspect(endpoint, why, now), age)
        };
        if is_new {
            metric::count_suspect();
            spdlog::warn!("endpoints: ejected after a failure", kv: {
                endpoint = endpoint.as_str(), why = why.as_str(),
                entry_age_ms = age.as_millis() as u64
            });
            self.suspects_due.notify_one();
            self.endpoints_changed.notify_one();
            self.client.reach_doubtful.notify_one();
        }
    }

    /// Returns the addresses of up to `max` entries for callers in a data centre; in this entry's
    /// if it is not known.
    ///
    /// Entries that are cut off from endpoints, or have a task that keeps ending, are left out while
    /// most others are not.
    pub(crate) fn caller_addresses(
        &self,
        asked_from: Option<&DataCentre>,
        max: usize,
        now: Instant,
    ) -> Vec<std::net::SocketAddr> {
        let mut unfit = self.peers_out_of_reach();
        unfit.extend(self.failing_peers.lock().iter().cloned());
        if self.count_out_of_reach() > 0 || self.tasks.has_failing_task() {
            unfit.insert(self.settings.entry.clone());
        }
        let members = self.members.lock();
        let centre = asked_from.unwrap_or(&self.settings.data_centre);
        let entries = members.entries_near(centre, &unfit, max, now, &mut rand::rng());
        entries.into_iter().map(|record| record.address).collect()
    }
}
