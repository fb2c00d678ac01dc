//! The state of an engine behind its one lock.

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

/// The newest runs that are kept.
const MAX_RUN_RECORDS: usize = 200_000;

/// The weights that an engine holds or loads.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Held {
    pub(crate) model: ModelName,
    pub(crate) version: VersionName,
    pub(crate) layers: LayerRange,
    pub(crate) adapters: Vec<AdapterName>,
}

/// A step that waits for a batch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadyStep {
    pub(crate) stream: StreamId,
    pub(crate) attempt: Attempt,
    pub(crate) arrived: Instant,
}

/// The load at one moment, kept so that a report can lag.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadSample {
    pub(crate) taken: Instant,
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) free_kv_tokens: u64,
}

/// Everything that changes in an engine.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) held: Option<Held>,
    pub(crate) loading_until: Option<Instant>,
    pub(crate) draining: bool,
    pub(crate) fence: Fence,
    pub(crate) orders: Vec<Order>,
    pub(crate) faults: EngineFaults,
    pub(crate) streams: HashMap<StreamId, StageStream>,
    /// Steps of admitted jobs, by priority.
    pub(crate) ready: [VecDeque<ReadyStep>; 3],
    /// Jobs without a slot, by priority.
    pub(crate) waiting: [VecDeque<(StreamId, Attempt)>; 3],
    pub(crate) jobs: u32,
    pub(crate) admitted: u32,
    pub(crate) links: HashMap<SocketAddr, LinkHandle>,
    pub(crate) cache: PrefixCache,
    pub(crate) runs: VecDeque<RunRecord>,
    pub(crate) samples: VecDeque<LoadSample>,
}

/// One engine, shared by its handlers and loops.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) settings: EngineSettings,
    pub(crate) boot: BootId,
    /// Wakes the batch loop.
    pub(crate) work: Notify,
    /// Whether outgoing links stand still.
    pub(crate) stall_links: watch::Sender<bool>,
    core: Mutex<Core>,
}

impl Engine {
    /// Makes the engine as it is at the start of its process.
    pub(crate) fn new(settings: EngineSettings) -> Arc<Self> {
        let held = match (&settings.model, &settings.version, settings.layers) {
            (Some(model), Some(version), Some(layers)) => Some(Held {
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

    /// Locks the state; never held over an await.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock()
    }
}

impl Core {
    /// Tells whether weights are being loaded at this time.
    pub(crate) fn is_loading(&self) -> bool {
        self.loading_until
            .is_some_and(|until| Instant::now() < until)
    }

    /// Tells whether new streams are turned away.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining || self.faults.draining
    }

    /// Notes that a step has run.
    pub(crate) fn record_run(&mut self, record: RunRecord) {
        if self.runs.len() == MAX_RUN_RECORDS {
            self.runs.pop_front();
        }
        self.runs.push_back(record);
    }
}

/// Returns the queue that a priority uses.
pub(crate) fn queue_of(priority: Priority) -> usize {
    match priority {
        Priority::High => 0,
        Priority::Normal => 1,
        Priority::Low => 2,
    }
}
