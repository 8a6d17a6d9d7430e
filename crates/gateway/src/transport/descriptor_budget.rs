//! The budget of file descriptors: fixed quotas for clients and for endpoints, so that neither side can use up the other's.

use crate::limits::{Limits, MAX_BUFFERED_BODY_BYTES, MAX_READ_AHEAD_BYTES};
use std::cell::Cell;
use std::rc::Rc;
use weldworks_control::hot_restart::{remaining_descriptors, DescriptorUsage};

/// Maximum memory of a client's connection and its request, in bytes: a body in each direction, a head's read buffer, and the tasks.
const MAX_CLIENT_MEMORY_BYTES: usize = 2 * MAX_BUFFERED_BODY_BYTES + MAX_READ_AHEAD_BYTES + (32 << 10);

/// Maximum memory of an idle connection to an endpoint, in bytes: its read buffer, its write buffer, and its task.
const MAX_ENDPOINT_CONNECTION_MEMORY_BYTES: usize = 2 * MAX_READ_AHEAD_BYTES;

/// Number of descriptors of the process itself: standard streams, poller, wakers, signals, listener, discovery.
const PROCESS_DESCRIPTORS: usize = 20;

/// The admin API's quota is the number of all descriptors divided by this.
const ADMIN_DIVISOR: usize = 24;

/// Minimum number of descriptors for calls of the admin API, if it is enabled.
const MIN_ADMIN_DESCRIPTORS: usize = 4;

/// Maximum number of descriptors for calls of the admin API.
const MAX_ADMIN_DESCRIPTORS: usize = 20;

/// Descriptors that the admin API uses beyond its quota: its listener, and briefly the newest caller's connection.
const ADMIN_OVERHEAD_DESCRIPTORS: usize = 2;

/// The quota of clients that are only rejected is the number of descriptors for connections divided by this.
const OVERFLOW_DIVISOR: usize = 16;

/// Minimum number of descriptors for clients that are only rejected, as far as memory allows.
const MIN_OVERFLOW_DESCRIPTORS: usize = 4;

/// The quota of clients that are only rejected is at most the number of connections that fit into memory, divided by this.
const OVERFLOW_MEMORY_DIVISOR: usize = 5;

/// The maximum number of idle client connections is the number of all descriptors divided by this. Clients have at most half of the
/// descriptors for connections; if idle connections could take all of that half, too few would be left for active connections.
const IDLE_CLIENT_DIVISOR: usize = 5;

/// Whether the process serves the admin API, which has a descriptor quota of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminApi {
    /// The admin API is served.
    Enabled,
    /// The admin API is not served.
    Disabled,
}

/// A quota of descriptors, which limits how many may be open at once.
#[derive(Clone, Debug)]
pub struct DescriptorQuota {
    open: Rc<Cell<usize>>,
    limit: usize,
    /// During a hot restart, how many descriptors of this quota the gateway's other process has open.
    open_in_peer: Rc<Cell<usize>>,
}

impl DescriptorQuota {
    fn new(limit: usize) -> DescriptorQuota {
        DescriptorQuota { open: Rc::default(), limit, open_in_peer: Rc::default() }
    }

    /// Acquires a permit for one descriptor, if the quota has one left.
    pub fn acquire(&self) -> Option<DescriptorPermit> {
        if self.open.get() >= self.capacity() {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(DescriptorPermit(self.open.clone()))
    }

    /// How many descriptors of this quota this process may have open.
    pub fn capacity(&self) -> usize {
        remaining_descriptors(self.limit, self.open_in_peer.get())
    }

    /// Whether the permit was acquired from this quota.
    pub fn contains(&self, permit: &DescriptorPermit) -> bool {
        Rc::ptr_eq(&self.open, &permit.0)
    }
}

/// A permit for one descriptor, which is returned to its quota when the permit is dropped.
#[derive(Debug)]
pub struct DescriptorPermit(Rc<Cell<usize>>);

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The quotas into which the process's descriptors are divided.
pub struct DescriptorBudget {
    /// The quota of client connections whose requests are served.
    pub clients: DescriptorQuota,
    /// The quota of client connections beyond `clients`, whose requests are only rejected. Connections are still accepted when `clients`
    /// is used up, so that clients get an answer instead of waiting in the kernel's accept queue.
    pub overflow: DescriptorQuota,
    /// How many client connections may be idle before further ones are closed after their response.
    pub idle_clients: usize,
    /// The quota of connections to endpoints.
    pub upstream: DescriptorQuota,
    /// The quota of connections to the admin API.
    pub admin: DescriptorQuota,
}

impl DescriptorBudget {
    /// Divides the descriptors that the limits allow: after the process's own descriptors and those of the admin API, clients get half
    /// of the rest, and endpoints the other half less the overflow quota.
    /// Clients together may use at most three quarters of the memory and connections to endpoints a quarter, which may reduce their
    /// quotas further.
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
        let endpoint_connections_in_memory =
            (limits.memory_mb << 20) / 4 / MAX_ENDPOINT_CONNECTION_MEMORY_BYTES;
        let upstream = (for_connections - for_connections / 2)
            .saturating_sub(overflow)
            .min(endpoint_connections_in_memory);
        let idle_clients = (limits.sockets / IDLE_CLIENT_DIVISOR).min(clients / 4 * 3);
        DescriptorBudget {
            clients: DescriptorQuota::new(clients),
            overflow: DescriptorQuota::new(overflow),
            idle_clients,
            upstream: DescriptorQuota::new(upstream),
            admin: DescriptorQuota::new(admin),
        }
    }

    /// How many descriptors of each quota this process has open.
    pub fn usage(&self) -> DescriptorUsage {
        DescriptorUsage {
            clients: self.clients.open.get(),
            overflow: self.overflow.open.get(),
            endpoints: self.upstream.open.get(),
        }
    }

    /// Reserves the descriptors that the other process of a hot restart has open. Descriptors that this process has open stay open.
    pub fn reserve_for_peer(&self, peer: DescriptorUsage) {
        self.clients.open_in_peer.set(peer.clients);
        self.overflow.open_in_peer.set(peer.overflow);
        self.upstream.open_in_peer.set(peer.endpoints);
    }
}

#[cfg(test)]
mod tests;
