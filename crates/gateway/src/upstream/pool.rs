//! The pool of idle connections to endpoints.

use super::connection::Connection;
use super::UpstreamEndpoint;
use crate::metrics::Metrics;
use crate::transport::descriptor_budget::{DescriptorPermit, DescriptorQuota};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{timeout, Instant};
use weldworks_balancer::load_report::LoadReportFields;
use weldworks_balancer::EndpointId;

/// Time that a connection is idle between two requests, 6 ms: stray bytes that an endpoint sends behind a response arrive within
/// milliseconds, and must not be read as the response to the next request.
const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(6);

/// Longest interval between two checks of the idle connections. A connection that is put back is not watched before the next check.
pub(super) const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// An idle connection that its endpoint has closed before the pool would have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClosedIdleConnection {
    /// The endpoint's id.
    pub endpoint: EndpointId,
    /// The address that the connection went to.
    pub address: SocketAddr,
    /// How long it had been idle.
    pub idle_for: Duration,
    /// How many idle connections to that address are left.
    pub remaining: usize,
}

/// A connection of which the close by its endpoint is still to be reported.
struct UnreportedClose {
    endpoint: EndpointId,
    address: SocketAddr,
    idle_for: Duration,
}

impl UnreportedClose {
    fn new(connection: &Connection, idle_for: Duration) -> UnreportedClose {
        UnreportedClose { endpoint: connection.endpoint, address: connection.address, idle_for }
    }
}

/// Settings of connections to endpoints.
#[derive(Clone, Debug)]
pub struct ConnectionSettings {
    /// How long a connection may take to open.
    pub dial_timeout: Duration,
    /// How long endpoints keep an idle connection open.
    pub keep_alive: Duration,
    /// The names of the fields in endpoints' load reports.
    pub load_report_fields: LoadReportFields,
}

impl ConnectionSettings {
    /// How long the pool keeps an idle connection. A request that crosses the endpoint's close is lost to a reset, so this stays far
    /// below the endpoint's own limit.
    fn max_idle(&self) -> Duration {
        self.keep_alive / 2
    }
}

/// All idle connections to endpoints.
///
/// A connection that has carried a request is put back only if the request was written completely, the response was read completely,
/// the endpoint still accepts requests, and the socket is open with nothing to read. It is reused only after
/// `MIN_IDLE_BEFORE_REUSE`, before half of `keep_alive`, to the endpoint's current address, and if the socket is still
/// open with nothing to read; the one used last comes first.
pub struct ConnectionPool {
    /// The connection used last is at the end.
    pub(super) idle: RefCell<VecDeque<Connection>>,
    /// Closes that were found on reuse, reported with the others by [`ConnectionPool::run_expiry_loop`].
    unreported_closes: RefCell<Vec<UnreportedClose>>,
    pub(super) settings: RefCell<ConnectionSettings>,
    descriptors: DescriptorQuota,
    pub(super) metrics: Rc<Metrics>,
}

impl ConnectionPool {
    /// Creates an empty pool, whose connections together take at most these descriptors.
    pub fn new(
        descriptors: DescriptorQuota,
        settings: ConnectionSettings,
        metrics: Rc<Metrics>,
    ) -> ConnectionPool {
        ConnectionPool {
            idle: RefCell::default(),
            unreported_closes: RefCell::default(),
            settings: RefCell::new(settings),
            descriptors,
            metrics,
        }
    }

    /// Applies new settings, to idle connections too.
    pub fn reconfigure(&self, settings: ConnectionSettings) {
        self.settings.replace(settings);
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        self.retain(|other| other != endpoint);
    }

    /// Keeps the idle connections to endpoints for which `keep` is true, and closes all others.
    pub fn retain(&self, keep: impl Fn(EndpointId) -> bool) {
        self.idle.borrow_mut().retain(|connection| keep(connection.endpoint));
    }

    /// Runs for as long as it is polled and closes idle connections that are expired or were closed by their endpoint: either takes up a
    /// descriptor here and a place at the endpoint. Reports those that their endpoint closed early, at once where the connection has
    /// been idle for `IDLE_CHECK_INTERVAL`, else within that.
    ///
    /// # Cancellation safety
    /// Cancel safe: only the wish to be woken is lost.
    pub async fn run_expiry_loop(&self, report: impl Fn(ClosedIdleConnection)) {
        loop {
            let mut checked = false;
            // The check leaves this task's waker with every idle connection; the wake by any of them ends the wait.
            let woken = poll_fn(|cx| {
                if std::mem::replace(&mut checked, true) {
                    return Poll::Ready(());
                }
                self.check_idle(cx, &report);
                Poll::Pending
            });
            // Woken or not, all connections are checked again.
            let _ = timeout(IDLE_CHECK_INTERVAL, woken).await;
        }
    }

    /// Closes what is expired or closed by its endpoint, and reports the latter.
    fn check_idle(&self, cx: &mut Context<'_>, report: impl Fn(ClosedIdleConnection)) {
        let mut closes = self.unreported_closes.take();
        let max_idle = self.settings.borrow().max_idle();
        let mut idle = self.idle.borrow_mut();
        idle.retain_mut(|connection| {
            let idle_for = connection.idle_since.elapsed();
            let is_open = connection.driver.as_mut().poll(cx).is_pending();
            if !is_open && idle_for < max_idle && connection.was_silent() {
                closes.push(UnreportedClose::new(connection, idle_for));
            }
            is_open && idle_for < max_idle
        });
        for UnreportedClose { endpoint, address, idle_for } in closes {
            let same = |other: &&Connection| other.endpoint == endpoint && other.address == address;
            let remaining = idle.iter().filter(same).count();
            report(ClosedIdleConnection { endpoint, address, idle_for, remaining });
        }
    }

    /// Takes the idle connection to the endpoint that was used last and is still open.
    pub(super) async fn reuse(&self, endpoint: &UpstreamEndpoint) -> Option<Connection> {
        loop {
            let mut connection = self.take_reusable(endpoint.id)?;
            let idle_for = connection.idle_since.elapsed();
            if idle_for >= self.settings.borrow().max_idle() || !connection.leads_to(endpoint) {
                continue;
            }
            if connection.is_open().await {
                return Some(connection);
            }
            if connection.was_silent() {
                let close = UnreportedClose::new(&connection, idle_for);
                self.unreported_closes.borrow_mut().push(close);
            }
        }
    }

    /// Takes the connection to the endpoint that was used last, of those idle for at least [`MIN_IDLE_BEFORE_REUSE`].
    fn take_reusable(&self, endpoint: EndpointId) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let position = idle.iter().rposition(|connection| {
            connection.endpoint == endpoint && connection.idle_since.elapsed() >= MIN_IDLE_BEFORE_REUSE
        })?;
        idle.remove(position)
    }

    /// Takes a descriptor for a new connection, closing the connection that has been idle for longest where none is left.
    pub(super) fn acquire_descriptor(&self) -> Option<DescriptorPermit> {
        self.descriptors.acquire().or_else(|| {
            self.idle.borrow_mut().pop_front();
            self.descriptors.acquire()
        })
    }

    /// Puts a connection back, unless its endpoint takes nothing new or has closed it.
    pub(super) async fn put_back(&self, mut connection: Connection, endpoint: &UpstreamEndpoint) {
        if endpoint.accepts_requests.get() && connection.is_open().await {
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().push_back(connection);
        }
    }
}
