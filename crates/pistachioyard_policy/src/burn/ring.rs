//! A ring buffer of time slots that count events.

use std::time::{Duration, Instant};

use super::WindowCount;

/// Holds the counts of one slot and its number since the start.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    number: u64,
    good: u64,
    total: u64,
}

/// Counts events in slots of equal length; the newest slot overwrites the oldest.
#[derive(Clone, Debug)]
pub(super) struct SlotRing {
    start: Instant,
    slot_length: Duration,
    slots: Vec<Slot>,
}

impl SlotRing {
    pub(super) fn new(slot_length: Duration, len: usize, start: Instant) -> Self {
        Self {
            start,
            slot_length,
            slots: vec![Slot::default(); len],
        }
    }

    /// Returns the number of the slot that contains `at`.
    fn slot_number(&self, at: Instant) -> u64 {
        let elapsed = at.saturating_duration_since(self.start).as_millis();
        u64::try_from(elapsed / self.slot_length.as_millis()).unwrap_or(u64::MAX)
    }

    /// Counts one event, unless its slot was already overwritten.
    pub(super) fn record(&mut self, good: bool, at: Instant) {
        let number = self.slot_number(at);
        let index = (number % self.slots.len() as u64) as usize;
        let slot = &mut self.slots[index];
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

    /// Sums the slots of a window that ends with the current slot.
    pub(super) fn sum(&self, window: Duration, now: Instant) -> WindowCount {
        let newest = self.slot_number(now);
        let len = (window.as_millis() / self.slot_length.as_millis()) as u64;
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
