//! A ring of time slots that count events.

use std::time::{Duration, Instant};

use super::WindowCount;

/// The counts of one slot, and which slot since the start it is.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    number: u64,
    good: u64,
    total: u64,
}

/// Counts in slots of equal length, the oldest overwritten by the newest.
#[derive(Clone, Debug)]
pub(super) struct SlotRing {
    start: Instant,
    slot: Duration,
    slots: Vec<Slot>,
}

impl SlotRing {
    pub(super) fn new(slot: Duration, len: usize, start: Instant) -> Self {
        Self {
            start,
            slot,
            slots: vec![Slot::default(); len],
        }
    }

    fn number(&self, at: Instant) -> u64 {
        let passed = at.saturating_duration_since(self.start).as_millis();
        u64::try_from(passed / self.slot.as_millis()).unwrap_or(u64::MAX)
    }

    /// Counts one event; one older than the ring reaches back is dropped.
    pub(super) fn record(&mut self, good: bool, at: Instant) {
        let number = self.number(at);
        let place = (number % self.slots.len() as u64) as usize;
        let slot = &mut self.slots[place];
        if slot.number > number {
            return;
        }
        if slot.number < number {
            *slot = Slot {
                number,
                ..Slot::default()
            };
        }
        slot.good += u64::from(good);
        slot.total += 1;
    }

    /// Sums the slots of a window that ends with the present slot.
    pub(super) fn sum(&self, window: Duration, now: Instant) -> WindowCount {
        let newest = self.number(now);
        let len = (window.as_millis() / self.slot.as_millis()) as u64;
        let in_window =
            |slot: &&Slot| slot.number <= newest && slot.number.saturating_add(len) > newest;
        let mut count = super::report::empty_count(window);
        for slot in self.slots.iter().filter(in_window) {
            count.good += slot.good;
            count.total += slot.total;
        }
        count
    }
}
