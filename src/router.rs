//! The daemon on the operators' platform.
//!
//! [`Router`] holds what the filters and the controllers share. Each part has its
//! own lock, held for one decision and never across an await point; where locks
//! nest, the order is: endpoints, load. `docs/design/operators-platform.md` shows
//! how the parts fit together.

mod answer;
mod controller;
mod endpoint_client;
mod endpoint_order;
mod filter;
mod front;
mod log;
mod metric;
mod run;
mod store_client;

use std::collections::BTreeSet;
use std::sync::atomic::AtomicU64;

use parking_lot::{Mutex, RwLock};
use pistachioyard_platform::NodeSettings;
use pistachioyard_policy::{
    ActivityTracker, CrossingLimiter, EndpointBook, LoadTracker, Membership, PlainPace, Quarantine,
    RouteTable, SharedRetryBudget, Suspect,
};
use pistachioyard_wire::{EntryState, MemberRecord, RequestDigest};
pub(crate) use run::run_router;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_128;

use crate::lifecycle::Lifecycle;
use crate::prelude::*;
use crate::router::endpoint_client::EndpointClient;
use crate::router::store_client::StoreClient;

/// How long a peer may be silent before it counts as lost; several gossip periods.
const PEER_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a request that crashes endpoints is refused. Crashed endpoints are back after
/// some seconds; a request that was blamed wrongly is not kept out for long.
const QUARANTINE_HOLD: Duration = Duration::from_secs(15);

/// The configuration in force and when it came.
#[derive(Clone)]
pub(crate) struct InForce {
    pub(crate) table: Arc<RouteTable>,
    /// The content that the table was made of, for peers that cannot read it.
    pub(crate) source: Arc<serde_json::Value>,
    pub(crate) adopted_at: Instant,
}

/// What the parts of the daemon share.
pub(crate) struct Router {
    pub(crate) settings: NodeSettings,
    pub(crate) boot: BootId,
    pub(crate) started_at: Instant,
    pub(crate) lifecycle: Arc<Lifecycle>,
    pub(crate) config: RwLock<Option<InForce>>,
    pub(crate) endpoints: Mutex<EndpointBook>,
    pub(crate) load: Mutex<LoadTracker>,
    pub(crate) flow: Mutex<ActivityTracker>,
    pub(crate) members: Mutex<Membership>,
    /// The peers that say that the store does not answer them.
    pub(crate) cut_off_peers: Mutex<BTreeSet<EntryId>>,
    pub(crate) retries: Mutex<SharedRetryBudget>,
    pub(crate) quarantine: Mutex<Quarantine>,
    pub(crate) plain_pace: Mutex<PlainPace>,
    pub(crate) crossings: Mutex<CrossingLimiter>,
    /// Wakes what waits for memory at endpoints.
    pub(crate) room: Notify,
    /// Wakes the placement controller when an endpoint was lost or joined.
    pub(crate) endpoints_changed: Notify,
    /// Wakes the checks of endpoints that were just left out.
    pub(crate) suspects_due: Notify,
    /// Wakes the configuration controller when a peer has a newer version.
    pub(crate) config_behind: Notify,
    /// Wakes the endpoint controller when a peer has seen a newer change.
    pub(crate) endpoints_behind: Notify,
    /// The store's revision of the newest change of an endpoint that was seen.
    pub(crate) endpoints_revision: AtomicU64,
    /// Since when a peer has known of a change that this entry has not seen.
    pub(crate) behind_since: Mutex<Option<Instant>>,
    pub(crate) client: EndpointClient,
    pub(crate) store: StoreClient,
    pub(crate) reports: filter::ReportCache,
}

impl Router {
    /// Makes the state of a new process.
    pub(crate) fn new(settings: NodeSettings, now: Instant) -> Arc<Self> {
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
        let retries = SharedRetryBudget::new(
            settings.retry_share,
            settings.retry_slack,
            settings.retry_window,
            settings.is_first_start,
            now,
        );
        Arc::new(Self {
            boot,
            started_at: now,
            lifecycle: Arc::default(),
            config: RwLock::new(None),
            endpoints: Mutex::default(),
            load: Mutex::default(),
            flow: Mutex::default(),
            members: Mutex::new(Membership::new(own, PEER_TIMEOUT, now)),
            cut_off_peers: Mutex::default(),
            retries: Mutex::new(retries),
            quarantine: Mutex::new(Quarantine::without_lanes(QUARANTINE_HOLD)),
            plain_pace: Mutex::default(),
            crossings: Mutex::new(CrossingLimiter::new(now)),
            room: Notify::new(),
            endpoints_changed: Notify::new(),
            suspects_due: Notify::new(),
            config_behind: Notify::new(),
            endpoints_behind: Notify::new(),
            endpoints_revision: AtomicU64::new(0),
            behind_since: Mutex::default(),
            client: EndpointClient::default(),
            store: StoreClient::new(settings.store.address),
            reports: filter::ReportCache::default(),
            settings,
        })
    }

    /// Returns the configuration in force, if there is one yet.
    pub(crate) fn in_force(&self) -> Option<InForce> {
        self.config.read().clone()
    }

    /// Returns the version of the configuration in force; 0 for none.
    pub(crate) fn version(&self) -> u64 {
        let config = self.config.read();
        config.as_ref().map_or(0, |in_force| in_force.table.version)
    }

    /// Tells whether callers should come here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.lifecycle.is_draining()
            && self.config.read().is_some()
            && self.endpoints.lock().ids().next().is_some()
    }

    /// Tells whether callers may have sent requests already; an entry that was restarted
    /// does not know, so it assumes so.
    pub(crate) fn has_traffic(&self) -> bool {
        !self.settings.is_first_start || self.lifecycle.has_begun()
    }

    /// Returns the number of live entries, this one included.
    pub(crate) fn live_entries(&self, now: Instant) -> usize {
        self.members.lock().live(now).len().max(1)
    }

    /// Divides the retry budget by the entries that have used it lately.
    ///
    /// Entries that were lost count until they are forgotten, since what they used
    /// still counts.
    pub(crate) fn divide_retries(&self, now: Instant) {
        let entries = self.members.lock().all(now).len().max(1);
        self.retries.lock().divide(entries, now);
    }

    /// Takes a retry out of this entry's share of the budget, if there is one left.
    pub(crate) fn try_retry(&self) -> bool {
        let allowed = self.retries.lock().try_retry();
        metric::count_retry(allowed);
        allowed
    }

    /// Leaves an endpoint out since it failed, and says so.
    pub(crate) fn suspect(&self, endpoint: &EndpointId, why: Suspect) {
        let now = Instant::now();
        let (is_news, age) = {
            let mut endpoints = self.endpoints.lock();
            let age = endpoints.age(endpoint, now).unwrap_or_default();
            (endpoints.suspect(endpoint, why, now), age)
        };
        if is_news {
            metric::count_suspect();
            spdlog::warn!("endpoints: left out", kv: {
                endpoint = endpoint.as_str(), why = why.as_str(), entry_age_ms = age.as_millis() as u64
            });
            self.suspects_due.notify_one();
            self.endpoints_changed.notify_one();
        }
    }

    /// Notes that an endpoint was lost while it ran a request.
    ///
    /// A request that is never answered and loses three endpoints is refused; one that
    /// is answered was a bystander.
    pub(crate) fn note_crash(&self, digest: RequestDigest, endpoint: &EndpointId) {
        let started = {
            let endpoints = self.endpoints.lock();
            let record = endpoints.get(endpoint);
            record
                .and_then(|record| record.state.started_unix_ms)
                .unwrap_or_default()
        };
        let run = xxh3_128(format!("{endpoint}/{started}").as_bytes());
        let run = BootId(uuid::Uuid::from_u128(run));
        self.quarantine
            .lock()
            .crashed(&[digest], run, Instant::now());
    }

    /// Returns the addresses that callers may use, this entry's first.
    pub(crate) fn caller_addresses(&self, now: Instant) -> Vec<std::net::SocketAddr> {
        let members = self.members.lock();
        let live = members.live(now).into_iter();
        let ready = live.filter(|record| record.revision > Revision(0));
        ready.map(|record| record.address).collect()
    }
}
