//! All connections from clients: how many there may be, and which are closed to make room or because their time is over.

use super::client_connection::ClientConnection;
use crate::lifecycle::service_state::ServiceState;
use crate::transport::descriptor_budget::{DescriptorBudget, DescriptorPermit, DescriptorQuota};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// The same while few slots are left.
const IDLE_TIMEOUT_UNDER_PRESSURE: Duration = Duration::from_secs(2);
/// Time for a complete request head, from its first byte; for the first head, from the accept. Clients must have a verdict on a
/// broken request within 3 s, and slow ones may take 2 s. Without the limit a few silent clients would occupy all slots.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// Interval at which expired connections are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// The same while the gateway drains.
const SWEEP_INTERVAL_WHILE_DRAINING: Duration = Duration::from_millis(25);
/// Time that a new connection has for its first request before it may be closed to make room.
const MIN_IDLE_BEFORE_FIRST_REQUEST: Duration = Duration::from_millis(500);
/// Idle time after a request from which a connection may be closed to make room.
const MIN_IDLE_AFTER_REQUEST: Duration = Duration::from_millis(100);
/// Interval at which a connection to close is looked for while every descriptor is in use.
const SLOT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Which quota a connection's descriptor belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionSlot {
    /// That of clients whose requests are served.
    Client,
    /// That of connections accepted only to have their requests rejected.
    Overflow,
}

/// Whether a connection is kept alive without a request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KeepAlive {
    Idle,
    NotIdle,
}

/// The open connections from clients.
pub(super) struct ClientTable {
    pub(super) connections: RefCell<Vec<Rc<ClientConnection>>>,
    client_quota: DescriptorQuota,
    overflow_quota: DescriptorQuota,
    idle_keep_alive_count: Cell<usize>,
    max_idle_keep_alive: usize,
    /// Notified when a connection has ended or an overflow slot is free.
    pub(super) slot_released: Notify,
}

impl ClientTable {
    pub(super) fn new(budget: &DescriptorBudget) -> ClientTable {
        ClientTable {
            connections: RefCell::default(),
            client_quota: budget.clients.clone(),
            overflow_quota: budget.overflow.clone(),
            idle_keep_alive_count: Cell::new(0),
            max_idle_keep_alive: budget.idle_clients,
            slot_released: Notify::new(),
        }
    }

    /// Acquires a descriptor for a new connection, from the overflow quota if the clients' is used up.
    pub(super) fn acquire_permit(&self) -> Option<DescriptorPermit> {
        self.client_quota.acquire().or_else(|| self.overflow_quota.acquire())
    }

    /// Which quota the permit belongs to.
    pub(super) fn slot_of(&self, permit: &DescriptorPermit) -> ConnectionSlot {
        if self.overflow_quota.contains(permit) {
            ConnectionSlot::Overflow
        } else {
            ConnectionSlot::Client
        }
    }

    /// The connection's slot, after an attempt to move it from the overflow quota to the clients'.
    pub(super) fn claim_client_slot(&self, connection: &ClientConnection) -> ConnectionSlot {
        if self.slot_of(&connection.permit.borrow()) == ConnectionSlot::Client {
            return ConnectionSlot::Client;
        }
        let Some(permit) = self.client_quota.acquire() else { return ConnectionSlot::Overflow };
        connection.permit.replace(permit);
        self.slot_released.notify_one();
        ConnectionSlot::Client
    }

    pub(super) fn insert(&self, connection: Rc<ClientConnection>) {
        self.connections.borrow_mut().push(connection);
    }

    pub(super) fn remove(&self, connection: &Rc<ClientConnection>) {
        self.set_keep_alive(connection, KeepAlive::NotIdle);
        self.connections.borrow_mut().retain(|other| !Rc::ptr_eq(other, connection));
        self.slot_released.notify_one();
    }

    /// Whether there are more connections than the clients' quota has slots.
    pub(super) fn is_over_capacity(&self) -> bool {
        self.connections.borrow().len() > self.client_quota.capacity()
    }

    /// Whether a connection that has just been answered should be closed because too many are idle. One that has brought a second
    /// request is kept. Otherwise clients that open a connection for each request and keep it would reach their own limit of
    /// connections, and stall, long before the slots here are used up.
    pub(super) fn exceeds_idle_limit(&self, connection: &ClientConnection) -> bool {
        connection.request_count.get() <= 1 && self.idle_keep_alive_count.get() >= self.max_idle_keep_alive
    }

    /// Records whether the connection is idle but kept alive.
    pub(super) fn set_keep_alive(&self, connection: &ClientConnection, state: KeepAlive) {
        let was_idle = connection.is_keep_alive_idle.replace(state == KeepAlive::Idle);
        match state {
            KeepAlive::Idle if !was_idle => {
                self.idle_keep_alive_count.set(self.idle_keep_alive_count.get() + 1);
            }
            KeepAlive::NotIdle if was_idle => {
                self.idle_keep_alive_count.set(self.idle_keep_alive_count.get() - 1);
            }
            _ => {}
        }
    }

    /// Closes the connection that has been idle for longest. A close may cross a request on its way, so connections in steady use are
    /// spared, and a new one has time for its first request: a client knows that it may have to resend a later one, but not the first.
    pub(super) fn close_longest_idle(&self) {
        let connections = self.connections.borrow();
        let is_closable = |connection: &&Rc<ClientConnection>| {
            let min_idle = if connection.request_count.get() == 0 {
                MIN_IDLE_BEFORE_FIRST_REQUEST
            } else {
                MIN_IDLE_AFTER_REQUEST
            };
            !connection.is_closing.get() && connection.is_idle_for(min_idle)
        };
        let longest_idle =
            connections.iter().filter(is_closable).min_by_key(|connection| connection.idle_since.get());
        if let Some(connection) = longest_idle {
            connection.request_close();
        }
    }

    /// Waits until a slot may be free, but not for longer than [`SLOT_RETRY_INTERVAL`]: nothing signals that a new connection has
    /// become old enough to be closed.
    pub(super) async fn wait_for_released_slot(&self) {
        let _ = timeout(SLOT_RETRY_INTERVAL, self.slot_released.notified()).await;
    }

    /// Waits until there are no connections.
    pub(super) async fn wait_until_empty(&self) {
        while !self.connections.borrow().is_empty() {
            self.slot_released.notified().await;
        }
    }

    /// Closes connections whose time is over, until it is dropped.
    pub(super) async fn run_expiry_loop(&self, service: &ServiceState) {
        loop {
            let is_draining = service.idle_limit().is_some();
            let interval = if is_draining { SWEEP_INTERVAL_WHILE_DRAINING } else { SWEEP_INTERVAL };
            tokio::time::sleep(interval).await;
            self.close_idle_for_drain(service);
            self.close_timed_out();
        }
    }

    /// Closes connections that are idle for longer than a draining gateway allows.
    fn close_idle_for_drain(&self, service: &ServiceState) {
        let Some(idle_limit) = service.idle_limit() else { return };
        let awaits_first_request = service.awaits_first_request();
        let connections = self.connections.borrow();
        for connection in connections.iter().filter(|connection| !connection.is_closing.get()) {
            // Its first request may be on its way, and its client does not expect to have to resend that.
            if awaits_first_request && connection.is_unused() {
                continue;
            }
            let is_between_requests = !connection.awaits_head() || connection.is_unused();
            if is_between_requests && connection.is_idle_for(idle_limit) {
                connection.request_close();
            }
        }
    }

    /// Aborts connections whose head is overdue and closes those that are idle for too long.
    fn close_timed_out(&self) {
        let connections = self.connections.borrow();
        let idle = connections.iter().filter(|connection| connection.is_open_and_idle());
        let (awaiting_head, mut between_requests): (Vec<_>, Vec<_>) =
            idle.partition(|connection| connection.awaits_head());
        for connection in awaiting_head {
            let head_since = connection.io_state.first_read_at.get();
            if head_since.is_some_and(|since| since.elapsed() >= HEAD_TIMEOUT) {
                connection.request_abort();
            }
        }
        between_requests.sort_by_key(|connection| connection.idle_since.get());
        let comfortable_count = self.client_quota.capacity() / 4 * 3;
        let excess = connections.len().saturating_sub(comfortable_count);
        for (rank, connection) in between_requests.iter().enumerate() {
            let timeout = if rank < excess { IDLE_TIMEOUT_UNDER_PRESSURE } else { IDLE_TIMEOUT };
            if connection.is_idle_for(timeout) {
                connection.request_close();
            }
        }
    }
}
