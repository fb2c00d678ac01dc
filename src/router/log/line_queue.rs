//! The lines that wait to be written.

use std::collections::VecDeque;

use parking_lot::{Condvar, Mutex};
use spdlog::sink::{GetSinkProp, Sink, SinkProp};
use spdlog::{Record, RecordOwned};

use super::output::Output;
use crate::prelude::*;

/// The maximum number of lines waiting to be written; about one second's worth under load.
const MAX_QUEUED_LINES: usize = 4_096;

/// Holds lines until they are written. A line that finds it full is dropped and counted.
#[derive(Default)]
pub(super) struct LineQueue {
    prop: SinkProp,
    waiting: Mutex<Waiting>,
    arrived: Condvar,
    emptied: Condvar,
    output: Mutex<Output>,
}

#[derive(Default)]
struct Waiting {
    lines: VecDeque<RecordOwned>,
    /// Whether a line that has left the queue is not written yet.
    is_writing: bool,
}

impl LineQueue {
    /// Writes each line as it arrives, and waits for the reader of standard output.
    pub(super) fn write_forever(&self) -> ! {
        let mut output = self.output.lock();
        loop {
            if output.write(None) {
                output.begin(&self.wait_for_line());
            }
        }
    }

    /// Writes the lines that are there, as far as standard output takes them until then.
    pub(super) fn write_until(&self, until: Instant) {
        let mut output = self.output.lock();
        while output.write(Some(until)) {
            match self.take(&mut self.waiting.lock()) {
                Some(line) => output.begin(&line),
                None => return,
            }
        }
    }

    /// Waits until another thread has written all lines, or until then.
    pub(super) fn wait_until_empty(&self, until: Instant) {
        let mut waiting = self.waiting.lock();
        while waiting.is_writing || !waiting.lines.is_empty() {
            if self.emptied.wait_until(&mut waiting, until).timed_out() {
                return;
            }
        }
    }

    fn wait_for_line(&self) -> RecordOwned {
        let mut waiting = self.waiting.lock();
        loop {
            match self.take(&mut waiting) {
                Some(line) => return line,
                None => self.arrived.wait(&mut waiting),
            }
        }
    }

    /// Takes the next line once the one before it is written.
    fn take(&self, waiting: &mut Waiting) -> Option<RecordOwned> {
        let line = waiting.lines.pop_front();
        waiting.is_writing = line.is_some();
        if line.is_none() {
            self.emptied.notify_all();
        }
        line
    }
}

impl GetSinkProp for LineQueue {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for LineQueue {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        let mut waiting = self.waiting.lock();
        if waiting.lines.len() < MAX_QUEUED_LINES {
            waiting.lines.push_back(record.to_owned());
            self.arrived.notify_one();
        } else {
            super::count_dropped();
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}
