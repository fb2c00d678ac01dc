//! Measures how long the threads of the runtime go without waiting.

use std::cell::{Cell, OnceCell};
use std::sync::atomic::{AtomicBool, Ordering};

use nix::time::{ClockId, clock_gettime};
use parking_lot::Mutex;
use pistachioyard_policy::{Turn, TurnHistory};
use tokio::runtime::Builder;

use crate::prelude::*;

thread_local! {
    /// When the current turn of this thread began.
    static BEGAN_AT: Cell<Option<Instant>> = const { Cell::new(None) };
    /// The thread's processor time at the end of the last turn.
    static CPU_BEFORE: Cell<Option<Duration>> = const { Cell::new(None) };
    /// The meter of this thread's runtime, once it has waited.
    static METER: OnceCell<Arc<TurnMeter>> = const { OnceCell::new() };
}

/// Measures the turns of a runtime's threads, each from the end of a wait to the next wait.
///
/// A turn also ends where a long step hands over by [`yield_turn`]. Else it consists of many steps if
/// tasks are ready all the time.
#[derive(Debug, Default)]
pub(crate) struct TurnMeter {
    history: Mutex<TurnHistory>,
    has_failed: AtomicBool,
}

/// Lets the other tasks and the input go first, in the middle of a long step.
pub(crate) async fn yield_turn() {
    METER.with(|meter| {
        if let Some(meter) = meter.get() {
            meter.end_turn();
        }
    });
    BEGAN_AT.set(Some(Instant::now()));
    tokio::task::yield_now().await;
}

impl TurnMeter {
    /// Measures the turns of a runtime that is about to be built.
    pub(crate) fn observe(self: &Arc<Self>, builder: &mut Builder) {
        let meter = self.clone();
        builder
            .on_thread_unpark(|| BEGAN_AT.set(Some(Instant::now())))
            .on_thread_park(move || METER.with(|own| own.get_or_init(|| meter.clone()).end_turn()));
    }

    /// Returns what is known of the turns so far.
    pub(crate) fn history(&self) -> TurnHistory {
        self.history.lock().clone()
    }

    fn end_turn(&self) {
        let cpu = match clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID) {
            Ok(cpu) => Duration::from(cpu),
            Err(e) => {
                if !self.has_failed.swap(true, Ordering::Relaxed) {
                    spdlog::error!("runtime: cannot read the processor time", kv: {
                        why = e.desc()
                    });
                }
                return;
            }
        };
        let cpu_before = CPU_BEFORE.replace(Some(cpu));
        let (Some(began_at), Some(cpu_before)) = (BEGAN_AT.take(), cpu_before) else {
            return;
        };
        let now = Instant::now();
        let turn = Turn {
            took: now.saturating_duration_since(began_at),
            cpu: cpu.saturating_sub(cpu_before),
        };
        // The lock is released before the line is written.
        let line = self.history.lock().record(turn, now);
        if let Some(line) = line {
            spdlog::warn!("runtime: long turn", kv: {
                took_ms = line.turn.took.as_millis() as u64,
                cpu_ms = line.turn.cpu.as_millis() as u64, unlogged = line.unlogged
            });
        }
    }
}
