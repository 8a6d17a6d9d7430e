//! A hash table of fixed size, so that its memory does not grow with the number of clients.
//!
//! A signed token that the client returns would need no table, but the platform's clients
//! send back nothing but their request. Two identities that share a slot displace each other:
//! the displaced identity is then treated as unknown, which gives no client an advantage.

use std::time::Duration;

/// A slot of the table; an empty slot has identity 0 and time 0.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Slot {
    /// Hash that identifies a request.
    pub(super) identity: u64,
    /// Time stored with the identity of the request.
    pub(super) time: Duration,
}

/// A table that maps the identities of requests to times.
#[derive(Clone, Debug)]
pub(super) struct SlotTable(Vec<Slot>);

impl SlotTable {
    /// Creates a table of `slots` slots, at least one.
    pub(super) fn new(slots: usize) -> SlotTable {
        SlotTable(vec![Slot::default(); slots.max(1)])
    }

    /// The only slot that may store the identity.
    pub(super) fn slot_mut(&mut self, identity: u64) -> &mut Slot {
        let index = (weldworks_balancer::mix(identity) % self.0.len() as u64) as usize;
        &mut self.0[index]
    }
}
