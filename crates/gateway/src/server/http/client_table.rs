//! The table of client connections: limits their number, closes idle ones when slots run short, and enforces timeouts.

use super::client_connection::ClientConnection;
use crate::lifecycle::service_state::ServiceState;
use crate::transport::descriptor_budget::{DescriptorBudget, DescriptorPermit, DescriptorQuota};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Idle time after which a client connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Idle time after which a client connection is closed while few connection slots are left.
const IDLE_TIMEOUT_UNDER_PRESSURE: Duration = Duration::from_secs(2);
/// Timeout for a complete request head, from the head's first byte; for the first head, from the accept of its connection. Clients must
/// get a response to a malformed request within 3 s, and slow clients may take 2 s to send a head.
/// Without this timeout a few silent clients would occupy all connection slots.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// Interval between searches for expired client connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between searches for expired client connections while the gateway drains.
const SWEEP_INTERVAL_WHILE_DRAINING: Duration = Duration::from_millis(25);
/// Minimum idle time of a new connection without any request before it may be closed to free its slot.
const MIN_IDLE_BEFORE_FIRST_REQUEST: Duration = Duration::from_millis(500);
/// Minimum idle time after a request before a connection may be closed to free its slot.
const MIN_IDLE_AFTER_REQUEST: Duration = Duration::from_millis(100);
/// Interval between searches for a connection that may be closed, while every descriptor for clients is in use.
const SLOT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The quota that a client connection's descriptor belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionSlot {
    /// The quota of clients whose requests are served.
    Client,
    /// The quota of connections that are accepted only to reject their requests.
    Overflow,
}

/// Whether a client connection is kept alive without a request in flight.
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
    /// Notified when a connection has ended or an overflow slot has become free.
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

    /// Acquires a descriptor for a new client connection, from the overflow quota if the client quota is used up.
    pub(super) fn acquire_permit(&self) -> Option<DescriptorPermit> {
        self.client_quota.acquire().or_else(|| self.overflow_quota.acquire())
    }

    /// The quota that the permit was acquired from.
    pub(super) fn slot_of(&self, permit: &DescriptorPermit) -> ConnectionSlot {
        if self.overflow_quota.contains(permit) {
            ConnectionSlot::Overflow
        } else {
            ConnectionSlot::Client
        }
    }

    /// Moves the connection from the overflow quota to the client quota if that has a free slot; returns the connection's slot.
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

    /// Whether there are more connections than the client quota has slots.
    pub(super) fn is_over_capacity(&self) -> bool {
        self.connections.borrow().len() > self.client_quota.capacity()
    }

    /// Whether a connection should be closed with the response to its first request because too many connections are idle. Without this
    /// limit, clients that open a connection for each request and keep it open would reach their own limit of connections, and stall,
    /// long before the slots of this gateway are used up. A connection that has carried a second request is kept open.
    pub(super) fn exceeds_idle_limit(&self, connection: &ClientConnection) -> bool {
        connection.request_count.get() <= 1 && self.idle_keep_alive_count.get() >= self.max_idle_keep_alive
    }

    /// Records whether the connection is kept alive without a request in flight.
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

    /// Closes the client connection that has been idle for longest. Its client may just be sending a request, so connections in steady
    /// use are exempt. A new connection is exempt for longer, since its client does not expect to have to resend the first request, while
    /// clients know that they may have to resend a later request on a kept-alive connection.
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

    /// Waits until a connection slot may be free, for at most [`SLOT_RETRY_INTERVAL`].
    /// The wait is limited because nothing signals when a new connection has been idle for long enough to be closed.
    pub(super) async fn wait_for_released_slot(&self) {
        let _ = timeout(SLOT_RETRY_INTERVAL, self.slot_released.notified()).await;
    }

    /// Waits until there are no client connections.
    pub(super) async fn wait_until_empty(&self) {
        while !self.connections.borrow().is_empty() {
            self.slot_released.notified().await;
        }
    }

    /// Closes client connections whose timeout has expired, until this future is dropped.
    pub(super) async fn run_expiry_loop(&self, service: &ServiceState) {
        loop {
            let is_draining = service.idle_limit().is_some();
            let interval = if is_draining { SWEEP_INTERVAL_WHILE_DRAINING } else { SWEEP_INTERVAL };
            tokio::time::sleep(interval).await;
            self.close_idle_for_drain(service);
            self.close_timed_out();
        }
    }

    /// During a drain, closes client connections that are idle for longer than a draining gateway allows.
    fn close_idle_for_drain(&self, service: &ServiceState) {
        let Some(idle_limit) = service.idle_limit() else { return };
        let awaits_first_request = service.awaits_first_request();
        let connections = self.connections.borrow();
        for connection in connections.iter().filter(|connection| !connection.is_closing.get()) {
            // The first request may be on its way on an unused connection, and clients don't expect to have to resend that request.
            if awaits_first_request && connection.is_unused() {
                continue;
            }
            let is_between_requests = !connection.awaits_head() || connection.is_unused();
            if is_between_requests && connection.is_idle_for(idle_limit) {
                connection.request_close();
            }
        }
    }

    /// Aborts connections whose request head is overdue, and closes connections that have been idle for too long.
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
        let max_without_pressure = self.client_quota.capacity() / 4 * 3;
        let excess = connections.len().saturating_sub(max_without_pressure);
        for (rank, connection) in between_requests.iter().enumerate() {
            let timeout = if rank < excess { IDLE_TIMEOUT_UNDER_PRESSURE } else { IDLE_TIMEOUT };
            if connection.is_idle_for(timeout) {
                connection.request_close();
            }
        }
    }
}
