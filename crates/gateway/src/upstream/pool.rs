//! The pool of idle connections to endpoints.

use super::connection::Connection;
use super::UpstreamEndpoint;
use crate::log_rate_limit::LogRateLimit;
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

/// Least time for which a connection is idle between two requests, 6 ms.
/// Stray bytes that an endpoint sends behind a response arrive within milliseconds, and must not be read as the next response.
const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(6);

/// Longest interval between two checks of the idle connections.
/// A connection that is put back is watched for a close from the next check on.
pub(super) const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// An idle connection that its endpoint has closed before the pool would have closed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClosedIdleConnection {
    /// The endpoint's id.
    pub endpoint: EndpointId,
    /// The endpoint's address on the closed connection.
    pub address: SocketAddr,
    /// How long the closed connection had been idle.
    pub idle_for: Duration,
    /// How many idle connections to the endpoint's address are left.
    pub remaining: usize,
}

/// An idle connection that its endpoint has closed, where the close has not been reported yet.
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
    /// How long the pool keeps an idle connection, which is far shorter than the endpoint keeps the connection open:
    /// a request that is sent while the endpoint closes the connection is lost to a reset.
    fn max_idle(&self) -> Duration {
        self.keep_alive / 2
    }
}

/// The idle connections to all endpoints.
///
/// A connection that has carried a request is put back only if the request was written completely, the response was read completely,
/// the endpoint still accepts requests, and the socket is open with nothing to read.
///
/// An idle connection is reused only after `MIN_IDLE_BEFORE_REUSE`, before half of `keep_alive`, to the endpoint's current address, and
/// if the socket is still open with nothing to read. Of several such connections, the most recently used is reused first.
pub struct ConnectionPool {
    /// The idle connections, with the most recently used at the end.
    pub(super) idle: RefCell<VecDeque<Connection>>,
    /// Closes by endpoints that were found on reuse; [`ConnectionPool::run_expiry_loop`] reports them with those that it finds.
    unreported_closes: RefCell<Vec<UnreportedClose>>,
    pub(super) settings: RefCell<ConnectionSettings>,
    descriptors: DescriptorQuota,
    pub(super) metrics: Rc<Metrics>,
    /// Limits the log lines about endpoints that stall.
    pub(super) stall_log: LogRateLimit,
    /// Limits the log lines about streamed responses that end early.
    pub(super) early_end_log: LogRateLimit,
}

impl ConnectionPool {
    /// Creates an empty pool, whose connections together take at most the descriptors of this quota.
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
            stall_log: LogRateLimit::default(),
            early_end_log: LogRateLimit::default(),
        }
    }

    /// Applies new settings, also to the connections that are idle now.
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

    /// Closes idle connections that have expired or were closed by their endpoint, for as long as this future is polled.
    /// Unless closed, an expired connection takes up a descriptor here and a connection at the endpoint.
    ///
    /// Reports the connections that their endpoint closed before they expired.
    /// The close of a connection that was idle for `IDLE_CHECK_INTERVAL` is reported at once, any other close within that interval.
    ///
    /// # Cancellation safety
    /// Cancel safe: a cancelled loop only loses its wake-ups by idle connections.
    pub async fn run_expiry_loop(&self, report: impl Fn(ClosedIdleConnection)) {
        loop {
            let mut checked = false;
            // The check registers this task's waker with every idle connection; a wake-up by any connection ends the wait.
            let woken = poll_fn(|cx| {
                if std::mem::replace(&mut checked, true) {
                    return Poll::Ready(());
                }
                self.check_idle(cx, &report);
                Poll::Pending
            });
            // After a wake-up as after the timeout, all idle connections are checked again.
            let _ = timeout(IDLE_CHECK_INTERVAL, woken).await;
        }
    }

    /// Closes idle connections that have expired or were closed by their endpoint, and reports the closes by endpoints before that.
    fn check_idle(&self, cx: &mut Context<'_>, report: impl Fn(ClosedIdleConnection)) {
        let mut closes = self.unreported_closes.take();
        let max_idle = self.settings.borrow().max_idle();
        let mut idle = self.idle.borrow_mut();
        idle.retain_mut(|connection| {
            let idle_for = connection.idle_since.elapsed();
            let is_open = connection.driver.as_mut().poll(cx).is_pending();
            if !is_open && idle_for < max_idle && connection.read_nothing_while_idle() {
                closes.push(UnreportedClose::new(connection, idle_for));
            }
            is_open && idle_for < max_idle
        });
        for UnreportedClose { endpoint, address, idle_for } in closes {
            let has_same_address =
                |other: &&Connection| other.endpoint == endpoint && other.address == address;
            let remaining = idle.iter().filter(has_same_address).count();
            report(ClosedIdleConnection { endpoint, address, idle_for, remaining });
        }
    }

    /// Takes the most recently used idle connection to the endpoint that is reusable and still open.
    pub(super) async fn reuse(&self, endpoint: &UpstreamEndpoint) -> Option<Connection> {
        loop {
            let mut connection = self.take_reusable(endpoint.id)?;
            let idle_for = connection.idle_since.elapsed();
            if idle_for >= self.settings.borrow().max_idle() || !connection.matches_address(endpoint) {
                continue;
            }
            if connection.is_open().await {
                return Some(connection);
            }
            if connection.read_nothing_while_idle() {
                let close = UnreportedClose::new(&connection, idle_for);
                self.unreported_closes.borrow_mut().push(close);
            }
        }
    }

    /// Takes the most recently used connection to the endpoint, of those idle for at least [`MIN_IDLE_BEFORE_REUSE`].
    fn take_reusable(&self, endpoint: EndpointId) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let position = idle.iter().rposition(|connection| {
            connection.endpoint == endpoint && connection.idle_since.elapsed() >= MIN_IDLE_BEFORE_REUSE
        })?;
        idle.remove(position)
    }

    /// Takes a descriptor for a new connection; where no descriptor is left, closes the connection that was idle for longest.
    pub(super) fn acquire_descriptor(&self) -> Option<DescriptorPermit> {
        self.descriptors.acquire().or_else(|| {
            self.idle.borrow_mut().pop_front();
            self.descriptors.acquire()
        })
    }

    /// Puts a connection back into the pool, unless its endpoint accepts no requests or the connection is no longer open.
    pub(super) async fn put_back(&self, mut connection: Connection, endpoint: &UpstreamEndpoint) {
        if endpoint.accepts_requests.get() && connection.is_open().await {
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().push_back(connection);
        }
    }
}
