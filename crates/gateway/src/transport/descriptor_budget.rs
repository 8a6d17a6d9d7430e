//! The budget of file descriptors: fixed quotas for clients and for endpoints, so that neither starves the other.

use crate::limits::{Limits, MAX_BUFFERED_BODY_BYTES, MAX_READ_AHEAD_BYTES};
use std::cell::Cell;
use std::rc::Rc;
use weldworks_control::hot_restart::{remaining_descriptors, DescriptorUsage};

/// Most memory that a client's connection and its request can take, in bytes: a body each way, what is read ahead of a head, and the
/// tasks.
const MAX_CLIENT_MEMORY_BYTES: usize = 2 * MAX_BUFFERED_BODY_BYTES + MAX_READ_AHEAD_BYTES + (32 << 10);

/// Descriptors of the program itself: standard streams, poller, wakers, signals, listener, discovery.
const PROCESS_DESCRIPTORS: usize = 20;

/// The admin API gets one in this many of all descriptors.
const ADMIN_DIVISOR: usize = 24;

/// Fewest descriptors for calls of the admin API, where there is one.
const MIN_ADMIN_DESCRIPTORS: usize = 4;

/// Most descriptors for calls of the admin API.
const MAX_ADMIN_DESCRIPTORS: usize = 20;

/// Further descriptors that the admin API takes: its listener, and for a moment the newest caller beyond the quota.
const ADMIN_OVERHEAD_DESCRIPTORS: usize = 2;

/// Clients that are only rejected get one in this many of the descriptors for connections.
const OVERFLOW_DIVISOR: usize = 16;

/// Fewest descriptors for clients that are only rejected, as long as memory allows.
const MIN_OVERFLOW_DESCRIPTORS: usize = 4;

/// Clients that are only rejected get at most one in this many of the connections that fit into the memory.
const OVERFLOW_MEMORY_DIVISOR: usize = 5;

/// Idle connections of clients may take one in this many of all descriptors. Clients have at most half of the descriptors for
/// connections; if idle connections took all of those, too little would be left for active ones.
const IDLE_CLIENT_DIVISOR: usize = 5;

/// Whether the process serves the admin API, which takes descriptors of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminApi {
    /// The admin API is served.
    Enabled,
    /// The admin API is not served.
    Disabled,
}

/// A number of descriptors that may be open at once.
#[derive(Clone, Debug)]
pub struct DescriptorQuota {
    open: Rc<Cell<usize>>,
    limit: usize,
    /// How many of them another process of this gateway has open, during a hot restart.
    open_in_peer: Rc<Cell<usize>>,
}

impl DescriptorQuota {
    fn new(limit: usize) -> DescriptorQuota {
        DescriptorQuota { open: Rc::default(), limit, open_in_peer: Rc::default() }
    }

    /// Takes a descriptor, if one is left.
    pub fn acquire(&self) -> Option<DescriptorPermit> {
        if self.open.get() >= self.capacity() {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(DescriptorPermit(self.open.clone()))
    }

    /// How many descriptors this process may have open.
    pub fn capacity(&self) -> usize {
        remaining_descriptors(self.limit, self.open_in_peer.get())
    }

    /// Whether the permit is one of this quota.
    pub fn contains(&self, permit: &DescriptorPermit) -> bool {
        Rc::ptr_eq(&self.open, &permit.0)
    }
}

/// A descriptor that is taken from its quota until this is dropped.
#[derive(Debug)]
pub struct DescriptorPermit(Rc<Cell<usize>>);

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The quotas into which the process's descriptors are divided.
pub struct DescriptorBudget {
    /// Connections of clients.
    pub clients: DescriptorQuota,
    /// Connections of clients beyond those, which are only rejected. Accepting never stops, so that clients get an answer instead of
    /// waiting in the kernel's queue.
    pub overflow: DescriptorQuota,
    /// How many connections of clients may be idle before further ones are closed behind their response.
    pub idle_clients: usize,
    /// Connections to endpoints.
    pub upstream: DescriptorQuota,
    /// Calls of the admin API.
    pub admin: DescriptorQuota,
}

impl DescriptorBudget {
    /// Divides what the limits allow: first the process's own descriptors and those of the admin API are taken off, then clients get
    /// half of the rest, and endpoints the other half less the overflow. Clients together may fill three quarters of the memory,
    /// which may leave them fewer.
    pub fn new(limits: &Limits, admin_api: AdminApi) -> DescriptorBudget {
        let admin = match admin_api {
            AdminApi::Enabled => {
                (limits.sockets / ADMIN_DIVISOR).clamp(MIN_ADMIN_DESCRIPTORS, MAX_ADMIN_DESCRIPTORS)
            }
            AdminApi::Disabled => 0,
        };
        let admin_overhead = match admin_api {
            AdminApi::Enabled => ADMIN_OVERHEAD_DESCRIPTORS,
            AdminApi::Disabled => 0,
        };
        let for_connections = limits.sockets.saturating_sub(PROCESS_DESCRIPTORS + admin + admin_overhead);
        let fit_in_memory = (limits.memory_mb << 20) / 4 * 3 / MAX_CLIENT_MEMORY_BYTES;
        let overflow = (for_connections / OVERFLOW_DIVISOR)
            .max(MIN_OVERFLOW_DESCRIPTORS)
            .min(fit_in_memory / OVERFLOW_MEMORY_DIVISOR);
        let clients = (for_connections / 2).min(fit_in_memory.saturating_sub(overflow));
        let upstream = (for_connections - for_connections / 2).saturating_sub(overflow);
        let idle_clients = (limits.sockets / IDLE_CLIENT_DIVISOR).min(clients / 4 * 3);
        DescriptorBudget {
            clients: DescriptorQuota::new(clients),
            overflow: DescriptorQuota::new(overflow),
            idle_clients,
            upstream: DescriptorQuota::new(upstream),
            admin: DescriptorQuota::new(admin),
        }
    }

    /// What this process has open.
    pub fn usage(&self) -> DescriptorUsage {
        DescriptorUsage {
            clients: self.clients.open.get(),
            overflow: self.overflow.open.get(),
            endpoints: self.upstream.open.get(),
        }
    }

    /// Leaves the other process of a hot restart what it has open. What is open here stays open.
    pub fn reserve_for_peer(&self, peer: DescriptorUsage) {
        self.clients.open_in_peer.set(peer.clients);
        self.overflow.open_in_peer.set(peer.overflow);
        self.upstream.open_in_peer.set(peer.endpoints);
    }
}

#[cfg(test)]
mod tests;
