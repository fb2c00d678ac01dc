//! The shared state of an engine, behind a single lock.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::{Mutex, MutexGuard};
use pistachioyard_wire::{
    AdapterName, Attempt, BootId, Fence, LayerRange, ModelName, Order, Priority, StreamId,
    VersionName,
};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::cache::PrefixCache;
use super::control::{EngineFaults, RunRecord};
use super::link::LinkHandle;
use super::settings::EngineSettings;
use super::stream::StageStream;

/// The maximum number of run records kept; the oldest are dropped first.
const MAX_RUN_RECORDS: usize = 200_000;

/// Identifies the weights that an engine holds or is loading.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct HeldModel {
    pub(crate) model: ModelName,
    pub(crate) version: VersionName,
    pub(crate) layers: LayerRange,
    pub(crate) adapters: Vec<AdapterName>,
}

/// Identifies a step that waits for a batch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadyStep {
    pub(crate) stream: StreamId,
    pub(crate) attempt: Attempt,
    pub(crate) arrived: Instant,
}

/// Holds the load at one moment, kept so that a report can lag behind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadSample {
    pub(crate) taken: Instant,
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) free_kv_tokens: u64,
}

/// Holds the mutable state of an engine.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) held: Option<HeldModel>,
    /// When the loading of weights ends; `None` until an order starts one.
    pub(crate) loading_until: Option<Instant>,
    /// Whether an order to drain is in force.
    pub(crate) draining: bool,
    /// The highest fencing token seen in an order.
    pub(crate) fence: Fence,
    /// The accepted orders, oldest first.
    pub(crate) orders: Vec<Order>,
    pub(crate) faults: EngineFaults,
    pub(crate) streams: HashMap<StreamId, StageStream>,
    /// Steps of admitted jobs, one queue for each priority.
    pub(crate) ready: [VecDeque<ReadyStep>; 3],
    /// Jobs that wait for a slot, one queue for each priority.
    pub(crate) waiting: [VecDeque<(StreamId, Attempt)>; 3],
    /// The number of current jobs.
    pub(crate) jobs: u32,
    /// The number of jobs that hold a slot.
    pub(crate) admitted: u32,
    /// Outgoing links by the address of the receiver.
    pub(crate) links: HashMap<SocketAddr, LinkHandle>,
    pub(crate) cache: PrefixCache,
    /// The steps that ran, oldest first.
    pub(crate) runs: VecDeque<RunRecord>,
    /// Load samples, oldest first; the front one is reported.
    pub(crate) samples: VecDeque<LoadSample>,
}

/// An engine, shared by its handlers and background tasks.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) settings: EngineSettings,
    pub(crate) boot: BootId,
    /// Wakes the batch loop.
    pub(crate) work: Notify,
    /// Whether outgoing links are stalled by a fault.
    pub(crate) stall_links: watch::Sender<bool>,
    core: Mutex<Core>,
}

impl Engine {
    /// Creates an engine that holds the weights named in its settings.
    pub(crate) fn new(settings: EngineSettings) -> Arc<Self> {
        let held = match (&settings.model, &settings.version, settings.layers) {
            (Some(model), Some(version), Some(layers)) => Some(HeldModel {
                model: model.clone(),
                version: version.clone(),
                layers,
                adapters: settings.adapters.clone(),
            }),
            _ => None,
        };
        let cache = PrefixCache::new(
            settings.kv_tokens,
            Duration::from_millis(settings.cache_lag_ms),
        );
        let core = Core {
            held,
            loading_until: None,
            draining: false,
            fence: Fence::default(),
            orders: Vec::new(),
            faults: EngineFaults::default(),
            streams: HashMap::new(),
            ready: Default::default(),
            waiting: Default::default(),
            jobs: 0,
            admitted: 0,
            links: HashMap::new(),
            cache,
            runs: VecDeque::new(),
            samples: VecDeque::new(),
        };
        Arc::new(Self {
            settings,
            boot: BootId::generate(),
            work: Notify::new(),
            stall_links: watch::Sender::new(false),
            core: Mutex::new(core),
        })
    }

    /// Locks the state; the guard must not be held across an await.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock()
    }
}

impl Core {
    /// Returns whether weights are being loaded.
    pub(crate) fn is_loading(&self) -> bool {
        self.loading_until
            .is_some_and(|until| Instant::now() < until)
    }

    /// Returns whether new streams are refused, by an order or by a fault.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining || self.faults.draining
    }

    /// Records that a step has run.
    pub(crate) fn record_run(&mut self, record: RunRecord) {
        if self.runs.len() == MAX_RUN_RECORDS {
            self.runs.pop_front();
        }
        self.runs.push_back(record);
    }
}

/// Returns the index of the queue for a priority.
pub(crate) fn queue_index(priority: Priority) -> usize {
    match priority {
        Priority::High => 0,
        Priority::Normal => 1,
        Priority::Low => 2,
    }
}
