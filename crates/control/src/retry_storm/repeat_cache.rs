//! Recognizes repeats of recent requests.

use super::slot_table::{Slot, SlotTable};
use std::time::Duration;

/// Identities of recent requests.
#[derive(Clone, Debug)]
pub struct RepeatCache {
    table: SlotTable,
    retention: Duration,
}

impl RepeatCache {
    /// Creates a cache that retains each identity for the time `retention`, in a table of `slots` slots.
    pub fn new(retention: Duration, slots: usize) -> RepeatCache {
        RepeatCache { table: SlotTable::new(slots), retention }
    }

    /// Records the identity of a request and returns whether it was already recorded within the retention time.
    pub fn insert(&mut self, now: Duration, identity: u64) -> bool {
        let slot = self.table.slot_mut(identity);
        let is_recorded = slot.identity == identity && !slot.time.is_zero();
        let is_repeated = is_recorded && slot.time + self.retention >= now;
        *slot = Slot { identity, time: now };
        is_repeated
    }
}
