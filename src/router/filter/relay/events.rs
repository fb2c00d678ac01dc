//! Takes events from the path to the caller, as fast as the caller reads and the memory allows.

use bytes::Bytes;

use super::Relay;
use crate::prelude::*;
use crate::router::answer::StreamAborted;

impl Relay {
    /// Takes the complete events that the caller does not have yet out of the splitter.
    pub(super) fn take_complete_events(&mut self) -> Option<Bytes> {
        if !self.splitter.has_event() {
            return None;
        }
        let mut events = Vec::with_capacity(self.splitter.buffered_bytes());
        while let Some(event) = self.splitter.next_event() {
            if let (Some(id), Some(last)) = (event.id, self.last_id)
                && id <= last
            {
                continue;
            }
            self.last_id = event.id.or(self.last_id);
            events.extend_from_slice(&event.bytes);
        }
        self.splitter.release_taken();
        if events.is_empty() {
            return None;
        }
        let now = Instant::now();
        self.stall_detector.record_event(now);
        self.record.note_events(now);
        let path_run = self.path_run.as_mut()?;
        path_run.end_reading();
        path_run.record_activity(now);
        let held = path_run.take_held();
        Some(self.unread.hand_over(events, held))
    }

    /// Waits until the caller has read most of its events, so that the endpoint is read no faster.
    pub(super) async fn wait_for_reader(&mut self) -> Result<(), StreamAborted> {
        let left = self.call.time_left().unwrap_or_default();
        match tokio::time::timeout(left, self.unread.wait_for_reader()).await {
            Ok(()) => Ok(()),
            Err(_) => self.give_up("the caller did not read its events before the deadline"),
        }
    }

    /// Waits until there is memory for the rest of the next event. The endpoint is not read
    /// meanwhile.
    pub(super) async fn wait_for_memory(&mut self) -> Result<(), StreamAborted> {
        let Some(path_run) = &mut self.path_run else {
            return Ok(());
        };
        let left = self.call.time_left().unwrap_or_default();
        let waiting = path_run.wait_for_memory(&self.splitter);
        match tokio::time::timeout(left, waiting).await {
            Ok(()) => Ok(()),
            Err(_) => self.give_up("the events of all streams left no memory before the deadline"),
        }
    }
}
