//! Stores the times at which rejected clients were asked to retry.

use super::slot_table::{Slot, SlotTable};
use std::time::Duration;

/// Time by which a client may be early for its reservation.
const EARLY_ARRIVAL_TOLERANCE: Duration = Duration::from_millis(20);
/// Time for which a reservation stays valid after it.
const RESERVATION_VALIDITY: Duration = Duration::from_secs(2);

/// The reserved times of rejected requests.
#[derive(Clone, Debug)]
pub struct ReservationCache(SlotTable);

impl ReservationCache {
    /// Creates a cache of at most `slots` reservations.
    pub fn new(slots: usize) -> ReservationCache {
        ReservationCache(SlotTable::new(slots))
    }

    /// Stores the time at which a request is to be repeated.
    pub fn insert(&mut self, identity: u64, time: Duration) {
        *self.0.slot_mut(identity) = Slot { identity, time };
    }

    /// Returns whether a request arrives at its reserved time. A reservation can be redeemed once.
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
