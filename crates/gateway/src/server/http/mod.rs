//! The HTTP server side: accepts connections, keeps and ends them, and has their requests answered.

mod request;

pub use request::RequestSettings;

use crate::body::ResponseBody;
use crate::engine::message::EngineHandle;
use crate::lifecycle::service::ServiceState;
use crate::limits::MAX_BUFFER;
use crate::transport::descriptor_budget::{DescriptorBudget, DescriptorPermit, DescriptorQuota};
use crate::transport::instrumented_stream::{InstrumentedStream, IoTimestamps, SocketProbe};
use crate::transport::message_framing::MessageFraming;
use crate::transport::system_errors::{accept_failure, AcceptFailure};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use request::plain;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{timeout, Instant};
use tracing::{error, warn};

/// A client that keeps a connection idle for so long loses it.
const IDLE: Duration = Duration::from_secs(75);
/// A head is whole so long after its first byte; the first one, so long after the connection was accepted. Else a
/// few clients that say nothing, or never come to an end, would keep all the others out. Slow clients are owed 2 s, and
/// what is wrong with a client is due to it within 3.
const HEAD: Duration = Duration::from_millis(2500);
/// This often it is looked for connections whose time is over.
const SWEEP: Duration = Duration::from_millis(200);
/// The same while connections are to leave.
const SWEEP_OUT: Duration = Duration::from_millis(25);
/// While few places are left, what has been idle for so long is closed.
const IDLE_IN_A_CROWD: Duration = Duration::from_secs(2);
/// A connection that is to be closed may take so long over a message that is under way.
const LINGER: Duration = Duration::from_secs(1);

/// A new connection may take so long to bring a request before it has to make room.
const NEW: Duration = Duration::from_millis(500);
/// A connection that has been idle for so long may be closed to make room.
const SETTLED: Duration = Duration::from_millis(100);
/// With every descriptor in use it is looked for one to close this often.
const CLOSE_AGAIN: Duration = Duration::from_millis(20);
/// Who found no room is told to come back after so long, where the settings allow it.
const ROOM_AGAIN: Duration = Duration::from_secs(1);
/// What is read so soon after its connection was accepted may have waited in the kernel with it.
const CAME_WITH_IT: Duration = Duration::from_millis(50);
/// Wait after a failed accept.
const ACCEPT_AGAIN: Duration = Duration::from_millis(5);
/// The pulse of the event loop: what waits to be read while no pulse comes has waited for as long.
const PULSE: Duration = Duration::from_millis(10);

/// A connection from a client, as far as the others may know.
#[derive(Debug)]
struct Peer {
    line: SocketProbe,
    accepted: Instant,
    /// It may have waited to be accepted since then, where it may have waited at all.
    queued_since: Option<Instant>,
    slot: RefCell<DescriptorPermit>,
    idle_since: Cell<Option<Instant>>,
    /// How many requests it has brought.
    asked: Cell<u64>,
    /// It has brought a request, was answered, and has not begun another.
    resting: Cell<bool>,
    closing: Cell<bool>,
    close: Notify,
    cut: Notify,
    marks: Rc<IoTimestamps>,
    framing: Rc<RefCell<MessageFraming>>,
}

impl Peer {
    /// The earliest moment at which what was last read may have come, where it may have waited to be accepted with its connection: it was
    /// there as soon as that was looked at. Whether the first look finds it hangs on the poller, which has yet to tell of a new
    /// connection.
    fn waited_since(&self) -> Option<Instant> {
        let came_with_it = |read: Instant| read <= self.accepted + CAME_WITH_IT;
        self.queued_since.filter(|_| self.marks.last_read.get().is_some_and(came_with_it))
    }

    /// A request has come whole: what has been read beyond it, and comes from here on, is the next head. One that has begun already came
    /// with the last read at the latest.
    fn await_next_head(&self) {
        let begun = self.framing.borrow().is_inside();
        self.marks.read_since.set(self.marks.last_read.get().filter(|_| begun));
    }

    /// Whether a whole request has been read behind the one that is being answered. It is owed an answer too, so the connection
    /// can't end with that one's.
    fn has_read_ahead(&self) -> bool {
        self.framing.borrow().is_ahead_of(self.asked.get())
    }
}

/// The server.
pub struct Server {
    gateway: EngineHandle,
    terms: RefCell<Rc<RequestSettings>>,
    clients: DescriptorQuota,
    overflow: DescriptorQuota,
    peers: RefCell<Vec<Rc<Peer>>>,
    /// How many peers rest, and how many may before new ones are not kept.
    resting: Cell<usize>,
    may_rest: usize,
    left: Notify,
    /// Since when connections may wait to be accepted, where they may.
    queue_since: Cell<Option<Instant>>,
    service: Rc<ServiceState>,
    pulse: Cell<Instant>,
    stalled: Cell<Duration>,
}

impl Server {
    /// A server that takes requests in for the gateway.
    pub fn new(
        gateway: EngineHandle,
        terms: RequestSettings,
        budget: &DescriptorBudget,
        service: Rc<ServiceState>,
    ) -> Server {
        Server {
            gateway,
            terms: RefCell::new(Rc::new(terms)),
            clients: budget.clients.clone(),
            overflow: budget.overflow.clone(),
            peers: RefCell::default(),
            resting: Cell::new(0),
            may_rest: budget.idle_clients,
            left: Notify::new(),
            queue_since: Cell::default(),
            service,
            pulse: Cell::new(Instant::now()),
            stalled: Cell::default(),
        }
    }

    /// Turns to other terms; what has been taken in keeps the old ones.
    pub fn reconfigure(&self, terms: RequestSettings) {
        self.terms.replace(Rc::new(terms));
    }

    /// Accepts connections for as long as it runs. What waits in the kernel is taken already, so it never waits
    /// for anything but a connection or, with every last descriptor in use, the end of one. Idle connections are
    /// closed once there is somebody who needs their place, and not before: a close may cross a request.
    pub async fn accept(self: Rc<Self>, listener: &TcpListener) {
        let mut failing = false; // said once, until one succeeds
        loop {
            let Some(slot) = self.clients.acquire().or_else(|| self.overflow.acquire()) else {
                self.note_queue(true);
                self.close_idle();
                // Nothing tells when a new connection has had its time.
                let _ = timeout(CLOSE_AGAIN, self.left.notified()).await;
                continue;
            };
            let accepted = poll_fn(|cx| {
                let accepted = listener.poll_accept(cx);
                if accepted.is_pending() {
                    self.note_queue(false);
                }
                accepted
            });
            let stream = match accepted.await {
                Ok((stream, _)) => {
                    failing = false;
                    stream
                }
                Err(error) => {
                    self.note_queue(true);
                    let failure = accept_failure(&error);
                    if failure == AcceptFailure::OneConnection {
                        yield_now().await;
                        continue;
                    }
                    if !std::mem::replace(&mut failing, true) {
                        error!(%error, "no connection can be accepted; trying again every {ACCEPT_AGAIN:?}");
                    }
                    if failure == AcceptFailure::NoRoom {
                        self.close_idle(); // also where the system is short of what was promised
                    }
                    tokio::time::sleep(ACCEPT_AGAIN).await;
                    continue;
                }
            };
            if self.overflow.include(&slot) {
                self.close_idle();
            }
            self.welcome(stream, slot);
        }
    }

    /// Accepts what still waits in the kernel until `by`, and closes the listener: what is left in it then was not taken. Where
    /// every place is in use one is waited for, as [`Self::accept`] does, and a connection that ended while it waited costs itself.
    pub async fn drain_backlog(self: &Rc<Self>, listener: TcpListener, by: Instant) {
        while Instant::now() < by {
            let Some(slot) = self.clients.acquire().or_else(|| self.overflow.acquire()) else {
                self.note_queue(true);
                self.close_idle();
                let _ = timeout(CLOSE_AGAIN, self.left.notified()).await;
                continue;
            };
            // The kernel is asked itself: the runtime knows only what was there when it last looked.
            let accepted = SockRef::from(&listener).accept().and_then(|(socket, _)| {
                socket.set_nonblocking(true)?;
                TcpStream::from_std(socket.into())
            });
            match accepted.map_err(|error| (accept_failure(&error), error)) {
                Ok(stream) => self.welcome(stream, slot),
                Err((_, error)) if error.kind() == std::io::ErrorKind::WouldBlock => return,
                Err((AcceptFailure::OneConnection, _)) => yield_now().await,
                Err((failure, error)) => {
                    warn!(%error, "stopping: a connection that waits can't be accepted; trying again every {ACCEPT_AGAIN:?}");
                    if failure == AcceptFailure::NoRoom {
                        self.close_idle();
                    }
                    tokio::time::sleep(ACCEPT_AGAIN).await;
                }
            }
        }
        warn!("stopping: no place became free for the connections that still waited; they are closed");
    }

    /// Notes that connections may wait to be accepted from now on, or that none does.
    fn note_queue(&self, may_wait: bool) {
        let since = self.queue_since.get().or_else(|| Some(Instant::now()));
        self.queue_since.set(since.filter(|_| may_wait));
    }

    fn welcome(self: &Rc<Self>, stream: TcpStream, slot: DescriptorPermit) {
        self.service.record_accept();
        self.gateway.record_connection();
        let _ = stream.set_nodelay(true);
        let (wire, marks) = InstrumentedStream::new(stream);
        let (wire, framing) = wire.with_framing(MessageFraming::default());
        let line = wire.probe();
        let now = Some(Instant::now());
        marks.read_since.set(now); // the first head is awaited from now on
        let (slot, idle_since) = (RefCell::new(slot), Cell::new(now));
        let accepted = Instant::now();
        // What a process finds that was stopped or starved has waited for as long, also where it is read in a later turn.
        let stalled_since =
            Some(self.waited()).filter(|waited| !waited.is_zero()).map(|waited| accepted - waited);
        let queued_since = [self.queue_since.get(), stalled_since].into_iter().flatten().min();
        let (asked, resting, closing, close, cut) = Default::default();
        let peer = Rc::new(Peer {
            queued_since,
            accepted,
            line,
            slot,
            idle_since,
            asked,
            resting,
            closing,
            close,
            cut,
            marks,
            framing,
        });
        self.peers.borrow_mut().push(peer.clone());
        spawn_local(self.clone().serve(wire, peer));
    }

    /// Has the connection closed that has been idle for longest. A close may cross a request that is on its way, so
    /// one that is in use all the time is left alone, and a new one has the time to bring its first request: a
    /// client knows that it may have to send a later one again, but not the first.
    fn close_idle(&self) {
        let peers = self.peers.borrow();
        let settled = |since: Instant, new: bool| since.elapsed() >= if new { NEW } else { SETTLED };
        let idle = peers.iter().filter(|p| !p.closing.get());
        let idle =
            idle.filter(|p| p.idle_since.get().is_some_and(|since| settled(since, p.asked.get() == 0)));
        if let Some(peer) = idle.min_by_key(|p| p.idle_since.get()) {
            peer.closing.set(true);
            peer.close.notify_one();
        }
    }

    /// Whether more clients are here than have a place of their own.
    fn crowded(&self) -> bool {
        self.peers.borrow().len() > self.clients.capacity()
    }

    /// Whether a connection that has just been answered is better not kept. A client that asks once on a new
    /// connection and keeps it uses up what it may hold, and can then open no other: it stands still long before
    /// the places here are all taken. Who asks again on a connection shows that keeping it is of use.
    fn keeps_too_many(&self, peer: &Peer) -> bool {
        peer.asked.get() <= 1 && self.resting.get() >= self.may_rest
    }

    /// Notes that the connection rests, or no longer does.
    fn note_rest(&self, peer: &Peer, rests: bool) {
        match (peer.resting.replace(rests), rests) {
            (false, true) => self.resting.set(self.resting.get() + 1),
            (true, false) => self.resting.set(self.resting.get() - 1),
            _ => {}
        }
    }

    /// Whether the connection has a place of its own; one of the overflow gets one as soon as one is free.
    fn has_room(&self, peer: &Peer) -> bool {
        if !self.overflow.include(&peer.slot.borrow()) {
            return true;
        }
        let Some(slot) = self.clients.acquire() else { return false };
        peer.slot.replace(slot);
        self.left.notify_one(); // its old place is free
        true
    }

    async fn serve(self: Rc<Self>, wire: InstrumentedStream, peer: Rc<Peer>) {
        let _leaving = Leaving { server: self.clone(), peer: peer.clone() };
        let service = service_fn(|request| {
            let (server, peer) = (self.clone(), peer.clone());
            async move {
                peer.idle_since.set(None);
                peer.asked.set(peer.asked.get() + 1);
                server.note_rest(&peer, false);
                let room = server.has_room(&peer);
                let mut answering = pin!(server.answer(request, room, &peer));
                // A panic here fails this request and no other.
                let mut response = poll_fn(|cx| {
                    let polling = AssertUnwindSafe(|| answering.as_mut().poll(cx));
                    catch_unwind(polling)
                        .unwrap_or_else(|_| Poll::Ready(plain(StatusCode::INTERNAL_SERVER_ERROR, "")))
                })
                .await;
                // A client that stays would have to be cut off at the end, or keep the next one out. Where
                // more have come than have places, this frees one without a close that crosses a request.
                let ends = server.service.sends_connection_close()
                    || peer.closing.get()
                    || !room
                    || server.crowded()
                    || server.keeps_too_many(&peer);
                if ends && !peer.has_read_ahead() {
                    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                let rests = !response.headers().contains_key(header::CONNECTION);
                // What passes through keeps its connection in use until it is over; anything else is on its way at once.
                let resting = Resting { server: server.clone(), peer: peer.clone(), rests };
                if let ResponseBody::Streaming { guard, .. } = response.body_mut() {
                    *guard = Some(Box::new(resting));
                }
                Ok::<_, Infallible>(response)
            }
        });
        let connection =
            http1::Builder::new().max_buf_size(MAX_BUFFER).serve_connection(TokioIo::new(wire), service);
        // The library does not look for the end of a connection while it has bytes of a next request, or a body that nobody asks
        // for: a client that has gone would be served all the same, and what it wrote behind begun.
        let left = peer.line.closed();
        let mut spared = None;
        tokio::pin!(connection, left);
        loop {
            tokio::select! {
                biased;
                _ = connection.as_mut() => return,
                () = left.as_mut() => return,
                () = peer.close.notified() => {}
                () = peer.cut.notified() => {
                    if peer.idle_since.get().is_some() {
                        return; // nothing is owed, and nothing that makes a request has come
                    }
                    continue; // it has come whole in the last moment, and its answer ends the connection
                }
            }
            // What is being answered ends the connection with its answer.
            if peer.idle_since.get().is_none() {
                continue;
            }
            // The close was decided from what had been read by then; what has come since is taken still. Not for ever: who takes no
            // answer has nothing read of it either.
            let asked = Some(peer.asked.get());
            if !peer.line.has_unread() || std::mem::replace(&mut spared, asked) == asked {
                break;
            }
            peer.closing.set(false);
        }
        // What is being answered is still answered; hyper closes after that, or now where nothing is.
        connection.as_mut().graceful_shutdown();
        // A client that neither ends its request nor takes its answer must not keep the connection for ever.
        let ending = async {
            while timeout(LINGER, connection.as_mut()).await.is_err() && peer.idle_since.get().is_none() {}
        };
        tokio::select! {
            biased;
            () = ending => {}
            () = left => {}
        }
    }

    /// Ends, for as long as it runs, the connections that have had their time: heads that do not come, and what is
    /// idle for long, or for a while where few places are left.
    pub async fn close_expired(&self) {
        loop {
            let rest = self.service.idle_limit();
            tokio::time::sleep(if rest.is_some() { SWEEP_OUT } else { SWEEP }).await;
            self.send_away();
            let peers = self.peers.borrow();
            let for_long = |since: Option<Instant>, most| since.is_some_and(|since| since.elapsed() >= most);
            let idle = peers.iter().filter(|p| p.idle_since.get().is_some() && !p.closing.get());
            let (begun, mut idle): (Vec<_>, Vec<_>) = idle.partition(|p| p.marks.read_since.get().is_some());
            for peer in begun.iter().filter(|p| for_long(p.marks.read_since.get(), HEAD)) {
                peer.closing.set(true);
                peer.cut.notify_one();
            }
            idle.sort_by_key(|p| p.idle_since.get());
            let crowd = peers.len().saturating_sub(self.clients.capacity() / 4 * 3);
            for (n, peer) in idle.iter().enumerate() {
                if for_long(peer.idle_since.get(), if n < crowd { IDLE_IN_A_CROWD } else { IDLE }) {
                    peer.closing.set(true);
                    peer.close.notify_one();
                }
            }
        }
    }

    /// Closes what rests for longer than a gateway that leaves service lets it.
    fn send_away(&self) {
        let Some(rest) = self.service.idle_limit() else { return };
        let awaits_first = self.service.awaits_first_request();
        let peers = self.peers.borrow();
        for peer in peers.iter().filter(|p| !p.closing.get()) {
            // A connection that has brought nothing yet awaits its first head from the start. Its client does not know that
            // it may have to send that again.
            if awaits_first && peer.marks.last_read.get().is_none() {
                continue;
            }
            let resting = peer.marks.read_since.get().is_none() || peer.marks.last_read.get().is_none();
            if resting && peer.idle_since.get().is_some_and(|since| since.elapsed() >= rest) {
                peer.closing.set(true);
                peer.close.notify_one();
            }
        }
    }

    /// Notes, for as long as it runs, when the event loop last came round and how late it was.
    pub async fn measure_accept_delay(&self) {
        loop {
            tokio::time::sleep(PULSE).await;
            self.stalled.set(self.pulse.get().elapsed().saturating_sub(2 * PULSE));
            self.pulse.set(Instant::now());
        }
    }

    /// How long a request that is read now may have waited in the kernel: nothing tells when it came, but a process
    /// that was stopped or starved for a while reads all that came meanwhile as if it were new.
    fn waited(&self) -> Duration {
        self.pulse.get().elapsed().saturating_sub(2 * PULSE).max(self.stalled.get())
    }

    /// Waits for the end of the last connection. What rests is closed as the drain says.
    pub async fn finish_connections(&self) {
        while !self.peers.borrow().is_empty() {
            self.left.notified().await;
        }
    }
}

/// Notes that a connection rests, once the answer that is being passed on over it is over.
struct Resting {
    server: Rc<Server>,
    peer: Rc<Peer>,
    rests: bool,
}

impl Drop for Resting {
    fn drop(&mut self) {
        self.peer.idle_since.set(Some(Instant::now()));
        self.server.note_rest(&self.peer, self.rests);
        // A close that was decided while it was in use is decided again, should it rest.
        self.peer.closing.set(false);
        // A head that has begun meanwhile keeps its time: its client may take no longer because a host did.
        if !self.peer.framing.borrow().is_inside() {
            self.peer.marks.read_since.set(None);
        }
    }
}

/// Takes a connection off the server's books, however its task ends.
struct Leaving {
    server: Rc<Server>,
    peer: Rc<Peer>,
}

impl Drop for Leaving {
    fn drop(&mut self) {
        self.server.note_rest(&self.peer, false);
        self.server.peers.borrow_mut().retain(|p| !Rc::ptr_eq(p, &self.peer));
        self.server.left.notify_one();
    }
}

#[cfg(test)]
mod tests;
