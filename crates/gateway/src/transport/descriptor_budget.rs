//! The budget of descriptors: a fixed share for clients and one for hosts, so that neither starves the other.

use crate::limits::{Limits, MAX_BODY, MAX_BUFFER};
use std::cell::Cell;
use std::rc::Rc;
use weldworks_control::hot_restart::{remaining_descriptors, DescriptorUsage};

/// The most memory that a client's connection and its request can hold: a body each way, what was read ahead of a head,
/// and the tasks.
const CLIENT_MEMORY: usize = 2 * MAX_BODY + MAX_BUFFER + (32 << 10);

/// Descriptors of the program itself: standard streams, poller, wakers, signals, listener, discovery.
const OWN: usize = 20;

/// The descriptors of the second address, where there is one: a part of all, within these bounds.
const MANAGEMENT: (usize, usize, usize) = (24, 4, 20);

/// The fewest descriptors for clients that are only told that there is no room.
const OVERFLOW: usize = 4;

/// Of all descriptors, the part that connections of clients may have while they rest. Clients may hold a third of
/// them: what rests within that third leaves too little for those that ask.
const RESTING: usize = 5;

/// A number of descriptors that may be open at once.
#[derive(Clone, Debug)]
pub struct DescriptorQuota {
    open: Rc<Cell<usize>>,
    most: usize,
    /// How many of them another process of this gateway has open.
    elsewhere: Rc<Cell<usize>>,
}

impl DescriptorQuota {
    fn new(most: usize) -> DescriptorQuota {
        DescriptorQuota { open: Rc::default(), most, elsewhere: Rc::default() }
    }

    /// Takes a descriptor, if one is left.
    pub fn acquire(&self) -> Option<DescriptorPermit> {
        (self.open.get() < self.capacity()).then(|| {
            self.open.set(self.open.get() + 1);
            DescriptorPermit(self.open.clone())
        })
    }

    /// How many there are for this process.
    pub fn capacity(&self) -> usize {
        remaining_descriptors(self.most, self.elsewhere.get())
    }

    /// Whether the descriptor is one of these.
    pub fn include(&self, slot: &DescriptorPermit) -> bool {
        Rc::ptr_eq(&self.open, &slot.0)
    }
}

/// A descriptor taken; given back when it is dropped.
#[derive(Debug)]
pub struct DescriptorPermit(Rc<Cell<usize>>);

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// How the descriptors are shared out.
pub struct DescriptorBudget {
    /// Connections of clients.
    pub clients: DescriptorQuota,
    /// Connections that are taken in beyond those, only to be told that there is no room: what has come
    /// as far as the kernel is taken, so accepting may not stop.
    pub overflow: DescriptorQuota,
    /// How many connections of clients may rest before new ones are no longer kept.
    pub idle_clients: usize,
    /// Connections to hosts.
    pub upstream: DescriptorQuota,
    /// Calls at the second address.
    pub admin: DescriptorQuota,
}

impl DescriptorBudget {
    /// What this process has open.
    pub fn usage(&self) -> DescriptorUsage {
        let [clients, overflow, hosts] =
            [&self.clients, &self.overflow, &self.upstream].map(|slots| slots.open.get());
        DescriptorUsage { clients, overflow, endpoints: hosts }
    }

    /// Leaves another process what it has open. What is open here stays open.
    pub fn reserve_for_peer(&self, other: DescriptorUsage) {
        self.clients.elsewhere.set(other.clients);
        self.overflow.elsewhere.set(other.overflow);
        self.upstream.elsewhere.set(other.endpoints);
    }

    /// Shares out what the limits allow: of the memory, clients together may fill three quarters.
    /// With `managed` a few are kept for the second address.
    pub fn new(limits: &Limits, managed: bool) -> DescriptorBudget {
        let (part, least, most) = MANAGEMENT;
        let management = if managed { (limits.sockets / part).clamp(least, most) } else { 0 };
        // The second address listens, and the newest caller is a descriptor over for a moment.
        let rest = limits.sockets.saturating_sub(OWN + management + 2 * usize::from(managed));
        let fit = (limits.memory_mb << 20) / 4 * 3 / CLIENT_MEMORY;
        let overflow = (rest / 16).max(OVERFLOW).min(fit / 5);
        let clients = (rest / 2).min(fit.saturating_sub(overflow));
        let hosts = (rest - rest / 2).saturating_sub(overflow);
        let resting = (limits.sockets / RESTING).min(clients / 4 * 3);
        DescriptorBudget {
            clients: DescriptorQuota::new(clients),
            overflow: DescriptorQuota::new(overflow),
            idle_clients: resting,
            upstream: DescriptorQuota::new(hosts),
            admin: DescriptorQuota::new(management),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_another_process_has_open_is_left_to_it() {
        let budget = DescriptorBudget::new(&Limits { memory_mb: 192, sockets: 1024 }, true);
        let whole = budget.clients.capacity();
        let mut held: Vec<_> = (0..whole).map(|_| budget.clients.acquire().expect("a place")).collect();
        assert!(budget.clients.acquire().is_none());
        assert_eq!(budget.usage(), DescriptorUsage { clients: whole, overflow: 0, endpoints: 0 });
        budget.reserve_for_peer(DescriptorUsage { clients: 10, overflow: 1, endpoints: 2 });
        assert_eq!(
            (budget.clients.capacity(), budget.usage().clients),
            (whole - 10, whole),
            "nothing is cut off"
        );
        held.truncate(whole - 10);
        assert!(budget.clients.acquire().is_none(), "ten are another's");
        held.truncate(whole - 11);
        assert!(budget.clients.acquire().is_some());
        budget.reserve_for_peer(DescriptorUsage::default());
        assert_eq!(budget.clients.capacity(), whole);
        // The second address is paid for by the others.
        let without = DescriptorBudget::new(&Limits { memory_mb: 192, sockets: 1024 }, false);
        assert!(without.upstream.capacity() > budget.upstream.capacity() && without.admin.capacity() == 0);
    }
}
