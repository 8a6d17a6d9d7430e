//! Connections to hosts: one attempt at a time on each, every attempt counted, every end told apart.

mod attempt;
mod connect;

pub use attempt::{Attempt, AttemptProgress, AttemptResult, Deadline};

use crate::body::RequestBody;
use crate::limits::MAX_BUFFER;
use crate::metrics::Metrics;
use crate::transport::descriptor_budget::{DescriptorPermit, DescriptorQuota};
use crate::transport::instrumented_stream::{InstrumentedStream, IoTimestamps};
use crate::transport::message_framing::MessageFraming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};
use weldworks_balancer::load_report::LoadReportFields;
use weldworks_balancer::EndpointId;
use weldworks_control::execution::AttemptEnd;

/// A connection rests for so long between two requests: what a host sends beyond an answer comes right behind it or some milliseconds
/// later (3.7 at the most of those measured, `docs/measurements/brink.md`), and must not be read as the answer to the next.
const REST: Duration = Duration::from_millis(6);

/// Idle connections are looked at this often. One that has come back meanwhile is not watched until then.
const LOOK: Duration = Duration::from_millis(50);

/// A host, as far as sending to it goes.
#[derive(Debug)]
pub struct UpstreamEndpoint {
    /// Its number.
    pub id: EndpointId,
    /// Where it listens.
    pub address: Cell<Option<SocketAddr>>,
    /// Whether anything new may be sent to it.
    pub is_active: Cell<bool>,
}

/// A connection to a host. It is driven by whoever holds it and by no task of its own, so that dropping it
/// closes the socket there and then: a later attempt must not find an earlier one still out.
struct Connection {
    host: EndpointId,
    address: SocketAddr,
    sender: SendRequest<RequestBody>,
    driver: Pin<Box<http1::Connection<TokioIo<InstrumentedStream>, RequestBody>>>,
    marks: Rc<IoTimestamps>,
    idle_since: Instant,
    _slot: DescriptorPermit,
}

impl Connection {
    /// Whether the host has left it open and sent nothing beyond its answers, as far as the kernel knows now.
    async fn is_open(&mut self) -> bool {
        self.marks.idle.set(true);
        let over = poll_fn(|cx| Poll::Ready(self.driver.as_mut().poll(cx).is_ready())).await;
        self.marks.idle.set(false);
        !over && self.sender.is_ready()
    }

    /// Whether nothing has come since it was put back: what ended it then is its end and no noise behind an answer.
    fn was_silent(&self) -> bool {
        self.marks.last_read.get().is_none_or(|at| at <= self.idle_since)
    }
}

/// A host has ended a connection that had been idle for less than the pool keeps any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClosedIdleConnection {
    /// Which host.
    pub endpoint: EndpointId,
    /// Where it stood then.
    pub address: SocketAddr,
    /// How long it had been idle.
    pub idle_for: Duration,
    /// How many idle connections to it are left.
    pub remaining: usize,
}

/// What the settings say of connections to hosts.
#[derive(Clone, Debug)]
pub struct ConnectionSettings {
    /// One that is not up by then will not come up.
    pub dial_timeout: Duration,
    /// Hosts close what has been idle for so long.
    pub keep_alive: Duration,
    /// How hosts word their load reports.
    pub load_report_fields: LoadReportFields,
}

impl ConnectionSettings {
    /// What is kept for so long is let go: a request that crosses the host's close is lost to a reset, so this never comes near that
    /// moment.
    fn idle_most(&self) -> Duration {
        self.keep_alive / 2
    }
}

/// All connections to hosts that are idle, the one used last at the end.
pub struct ConnectionPool {
    idle: RefCell<VecDeque<Connection>>,
    /// Connections that their hosts ended and that were found so on reuse: told with the others.
    found: RefCell<Vec<(EndpointId, SocketAddr, Duration)>>,
    terms: RefCell<ConnectionSettings>,
    slots: DescriptorQuota,
    figures: Rc<Metrics>,
}

impl ConnectionPool {
    /// An empty pool that opens at most `slots`.
    pub fn new(slots: DescriptorQuota, terms: ConnectionSettings, figures: Rc<Metrics>) -> ConnectionPool {
        let (idle, found) = Default::default();
        ConnectionPool { idle, found, terms: RefCell::new(terms), slots, figures }
    }

    /// Goes on under other terms; what is idle is held to them as well.
    pub fn reconfigure(&self, terms: ConnectionSettings) {
        self.terms.replace(terms);
    }

    /// Closes the idle connections to a host.
    pub fn close_idle(&self, host: EndpointId) {
        self.retain(|other| other != host);
    }

    /// Keeps the idle connections to these hosts and closes all others.
    pub fn retain(&self, these: impl Fn(EndpointId) -> bool) {
        self.idle.borrow_mut().retain(|c| these(c.host));
    }

    /// Closes, for as long as it runs, what has been idle for long or was closed by its host: either only takes up a
    /// descriptor and a place at the host. What a host closed early is told: at once where the connection has been idle
    /// for 50 ms, else within that.
    ///
    /// Cancel safe: what is dropped with it is only the wish to be woken.
    pub async fn close_expired(&self, tell: impl Fn(ClosedIdleConnection)) {
        loop {
            let mut looked = false;
            // The look leaves this task's waker with every idle connection; the wake by any of them ends the wait.
            let woken = poll_fn(|cx| {
                if std::mem::replace(&mut looked, true) {
                    return Poll::Ready(());
                }
                self.let_go(cx, &tell);
                Poll::Pending
            });
            // No matter which: either way all are looked at again.
            let _ = timeout(LOOK, woken).await;
        }
    }

    /// Lets go what is no longer of use, and tells of what its host ended.
    fn let_go(&self, cx: &mut Context<'_>, tell: impl Fn(ClosedIdleConnection)) {
        let (mut ended, idle_most) = (self.found.take(), self.terms.borrow().idle_most());
        let mut idle = self.idle.borrow_mut();
        idle.retain_mut(|connection| {
            let age = connection.idle_since.elapsed();
            let open = connection.driver.as_mut().poll(cx).is_pending();
            if !open && age < idle_most && connection.was_silent() {
                ended.push((connection.host, connection.address, age));
            }
            open && age < idle_most
        });
        for (host, address, age) in ended {
            let left = idle.iter().filter(|c| c.host == host && c.address == address).count();
            tell(ClosedIdleConnection { endpoint: host, address, idle_for: age, remaining: left });
        }
    }

    /// The idle connection to the host that was used last and is still open.
    async fn reuse(&self, host: &UpstreamEndpoint) -> Option<Connection> {
        loop {
            let mut connection = {
                let mut idle = self.idle.borrow_mut();
                let rested = |c: &Connection| c.idle_since.elapsed() >= REST;
                let at = idle.iter().rposition(|c| c.host == host.id && rested(c))?;
                idle.remove(at)?
            };
            let age = connection.idle_since.elapsed();
            if age >= self.terms.borrow().idle_most() || Some(connection.address) != host.address.get() {
                continue;
            }
            if connection.is_open().await {
                return Some(connection);
            }
            if connection.was_silent() {
                self.found.borrow_mut().push((host.id, connection.address, age));
            }
        }
    }

    /// Opens a connection, closing one that has been idle for long where there is no room.
    async fn dial(&self, host: &UpstreamEndpoint, until: Instant) -> Result<Connection, AttemptEnd> {
        let address = host.address.get().ok_or(AttemptEnd::Withheld)?;
        let slot = self.slots.acquire().or_else(|| {
            self.idle.borrow_mut().pop_front();
            self.slots.acquire()
        });
        // No room here says nothing of the host.
        let slot = slot.ok_or(AttemptEnd::Withheld)?;
        tracing::debug!(endpoint = %address, "connecting to endpoint");
        let until = until.min(Instant::now() + self.terms.borrow().dial_timeout);
        let stream = connect::open(|| TcpStream::connect(address), until).await?;
        let _ = stream.set_nodelay(true);
        let (wire, marks) = InstrumentedStream::new(stream);
        let (wire, _) = wire.tracking_requests().with_framing(MessageFraming::for_responses());
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER);
        let (sender, driver) =
            builder.handshake(TokioIo::new(wire)).await.map_err(|_| AttemptEnd::ConnectionFailed)?;
        let (driver, idle_since) = (Box::pin(driver), Instant::now());
        Ok(Connection { host: host.id, address, sender, driver, marks, idle_since, _slot: slot })
    }

    async fn put_back(&self, mut connection: Connection, host: &UpstreamEndpoint) {
        if host.is_active.get() && connection.is_open().await {
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().push_back(connection);
        }
    }
}

#[cfg(test)]
mod tests;
