//! The pace of the reads of the store, whatever the store answers.

use parking_lot::Mutex;
use pistachioyard_platform::ObjectKind;
use pistachioyard_policy::CallPacer;

use crate::pace::Pace;
use crate::prelude::*;
use crate::router::log::ms;
use crate::router::metric;

/// The number of watches and lists of a kind that may begin at once.
const READS_AT_ONCE: u32 = 8;
/// The interval between those that follow. The platform's store takes 2,000 reads a second, and
/// the largest deployment has 118 entries that read four kinds (`docs/CAPACITY.md`).
const READ_INTERVAL: Duration = Duration::from_millis(300);
/// The number of further pages that may be read at once; a fleet of 10,000 endpoints has 20.
const PAGES_AT_ONCE: u32 = 64;
/// The interval between those that follow.
const PAGE_INTERVAL: Duration = Duration::from_millis(200);
/// The minimum interval between two log lines about one kind.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The pace of the reads of one kind.
struct KindPace {
    kind: ObjectKind,
    reads: CallPacer,
    lines: CallPacer,
}

impl KindPace {
    fn new(kind: ObjectKind) -> Self {
        Self {
            kind,
            reads: CallPacer::new(READS_AT_ONCE, READ_INTERVAL),
            lines: CallPacer::new(1, LOG_INTERVAL),
        }
    }
}

/// Keeps the reads of the store from being as fast as its answers.
pub(super) struct StorePace {
    kinds: Mutex<Vec<KindPace>>,
    pages: Pace,
}

impl Default for StorePace {
    fn default() -> Self {
        Self {
            kinds: Mutex::default(),
            pages: Pace::new(PAGES_AT_ONCE, PAGE_INTERVAL),
        }
    }
}

impl StorePace {
    /// Waits until a watch or a list of a kind may begin.
    pub(super) async fn wait_for_read(&self, kind: ObjectKind) {
        let mut has_waited = false;
        while let Some(at) = self.take_read(kind, Instant::now(), has_waited) {
            has_waited = true;
            tokio::time::sleep_until(at.into()).await;
        }
    }

    /// Waits until the next page of a list may be read.
    pub(super) async fn wait_for_page(&self) {
        self.pages.wait().await;
    }

    /// Takes a read; if none is left, returns the time at which one is.
    fn take_read(&self, kind: ObjectKind, now: Instant, is_known: bool) -> Option<Instant> {
        let mut kinds = self.kinds.lock();
        let at = match kinds.iter().position(|pace| pace.kind == kind) {
            Some(at) => at,
            None => {
                kinds.push(KindPace::new(kind));
                kinds.len() - 1
            }
        };
        let pace = &mut kinds[at];
        let next = pace.reads.take(now)?;
        if !is_known {
            metric::count_paced_read(kind.0);
            if pace.lines.take(now).is_none() {
                spdlog::warn!("store: its answers leave no pause between the reads", kv: {
                    kind = kind.0, wait_ms = ms(next.saturating_duration_since(now))
                });
            }
        }
        Some(next)
    }
}
