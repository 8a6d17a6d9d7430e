//! Stores the times that are reserved for the retries of rejected clients.

use super::slot_table::{Slot, SlotTable};
use std::time::Duration;

/// Time by which a retry may arrive before its reserved time.
const EARLY_ARRIVAL_TOLERANCE: Duration = Duration::from_millis(20);
/// Time after the reserved time for which a reservation stays valid.
const RESERVATION_VALIDITY: Duration = Duration::from_secs(2);

/// The times reserved for retries of rejected requests, by the identity of the request.
#[derive(Clone, Debug)]
pub struct ReservationCache(SlotTable);

impl ReservationCache {
    /// Creates a cache of at most `slots` reservations.
    pub fn new(slots: usize) -> ReservationCache {
        ReservationCache(SlotTable::new(slots))
    }

    /// Stores the time that is reserved for the retry of a request.
    pub fn insert(&mut self, identity: u64, time: Duration) {
        *self.0.slot_mut(identity) = Slot { identity, time };
    }

    /// Returns whether the retry of a request arrives at its reserved time. A reservation can be redeemed once.
    pub fn redeem(&mut self, now: Duration, identity: u64) -> bool {
        let slot = self.0.slot_mut(identity);
        let is_early = now + EARLY_ARRIVAL_TOLERANCE < slot.time;
        let is_late = now > slot.time + RESERVATION_VALIDITY;
        let is_on_time = slot.identity == identity && !is_early && !is_late;
        if is_on_time {
            *slot = Slot::default();
        }
        is_on_time
    }
}
