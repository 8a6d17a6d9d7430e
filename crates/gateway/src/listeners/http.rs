//! The HTTP server side: takes requests in, has them decided, writes the answers.

use crate::core::messages::{Arrival, Final, Handle, Message};
use crate::daemon::service::Service;
use crate::exchange::{gather, Answer, Forward, Payload, Reply, Upload};
use crate::figures::{Ending, Taken};
use crate::framing::Framing;
use crate::limits::{MAX_BODY, MAX_BUFFER, MAX_LARGE};
use crate::sockets::{Budget, Slot, Slots};
use crate::wire::{Marks, Wire};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use ottervane::{stable_hash, RequestId, Settings};
use ottervane_control::bodies::{Fault, Passage};
use ottervane_control::classes::{Classes, Form, NoClass, Offer};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::{timeout, Instant};
use tracing::error;

/// A client that keeps a connection idle for so long loses it.
const IDLE: Duration = Duration::from_secs(75);
/// A head is whole so long after its first byte; the first one, so long after the connection was accepted. Else a
/// few clients that say nothing, or never come to an end, would keep all the others out. Slow clients are owed 2 s, and
/// what is wrong with a client is due to it within 3.
const HEAD: Duration = Duration::from_millis(2500);
/// A body that is not held may come for so long: the longest one at the slowest rate.
const UPLOAD: Duration = Duration::from_secs(1100);
/// What a client still writes of a request that is over is read for so long, so that it comes to read the answer.
const DISCARD: Duration = Duration::from_secs(2);
/// This often it is looked for connections whose time is over.
const SWEEP: Duration = Duration::from_millis(200);
/// While few places are left, what has been idle for so long is closed.
const IDLE_IN_A_CROWD: Duration = Duration::from_secs(2);
/// A connection that is to be closed may take so long over a message that is under way.
const LINGER: Duration = Duration::from_secs(1);
/// The answer leaves so long before the client gives up: the way here and back, and a busy machine.
const AHEAD: Duration = Duration::from_millis(15);

/// A new connection may take so long to bring a request before it has to make room.
const NEW: Duration = Duration::from_millis(500);
/// A connection that has been idle for so long may be closed to make room.
const SETTLED: Duration = Duration::from_millis(100);
/// With every descriptor in use it is looked for one to close this often.
const CLOSE_AGAIN: Duration = Duration::from_millis(20);
/// Who found no room is told to come back after so long, where the settings allow it.
const ROOM_AGAIN: Duration = Duration::from_secs(1);
/// The pulse of the event loop: what waits to be read while no pulse comes has waited for as long.
const PULSE: Duration = Duration::from_millis(10);
/// The same while connections are to leave.
const SWEEP_OUT: Duration = Duration::from_millis(25);

/// What goes on to hosts: the headers that the protocol names. Nothing else that a client says is theirs to read.
const PASSED_ON: [HeaderName; 9] = [
    header::HOST,
    header::COOKIE,
    HeaderName::from_static("x-request-id"),
    HeaderName::from_static("x-priority-class"),
    HeaderName::from_static("x-tenant-id"),
    HeaderName::from_static("x-retried"),
    HeaderName::from_static("x-cost"),
    HeaderName::from_static("x-attrs"),
    HeaderName::from_static("idempotency-key"),
];
/// Headers that must not come twice: whoever reads the other one reads another request.
const ONCE: [&str; 6] = [
    "x-request-id",
    "x-priority-class",
    "idempotency-key",
    "x-timeout",
    "content-length",
    "transfer-encoding",
];

/// What is wrong with a request, so that it goes no further.
#[derive(Debug, thiserror::Error)]
enum Malformed {
    #[error("X-Request-ID is missing")]
    NoId,
    #[error("{0} comes more than once")]
    Repeated(&'static str),
    #[error("a body needs a Content-Length, or Transfer-Encoding: chunked")]
    NoLength,
    #[error("Content-Length beside Transfer-Encoding: where the request ends is in doubt")]
    Ambiguous,
    #[error("a request of this class has no body")]
    NeedlessBody,
    #[error("X-Priority-Class names no class")]
    UnknownClass,
    #[error("the path is not that of the class")]
    WrongPath,
    #[error("the method is not that of the class")]
    WrongMethod,
    #[error("Idempotency-Key does not go with the class")]
    WrongKey,
    #[error("X-Timeout is no time to wait")]
    BadTimeout,
    #[error("X-Cost is no amount of work")]
    BadCost,
    #[error("the body is too long")]
    TooLong,
    #[error("the body has not come whole")]
    NoBody,
}

impl From<Fault> for Malformed {
    fn from(fault: Fault) -> Malformed {
        match fault {
            Fault::Off => Malformed::NoBody,
            Fault::Long => Malformed::TooLong,
        }
    }
}

impl From<NoClass> for Malformed {
    fn from(why: NoClass) -> Malformed {
        match why {
            NoClass::Unknown => Malformed::UnknownClass,
            NoClass::Method => Malformed::WrongMethod,
            NoClass::Key => Malformed::WrongKey,
        }
    }
}

impl Malformed {
    fn status(&self) -> StatusCode {
        match self {
            Malformed::WrongMethod => StatusCode::METHOD_NOT_ALLOWED,
            Malformed::NoLength => StatusCode::LENGTH_REQUIRED,
            Malformed::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Malformed::NoBody => StatusCode::REQUEST_TIMEOUT,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// A connection from a client, as far as the others may know.
#[derive(Debug)]
struct Peer {
    slot: RefCell<Slot>,
    idle_since: Cell<Option<Instant>>,
    /// How many requests it has brought.
    asked: Cell<u64>,
    /// It has brought a request, was answered, and has not begun another.
    resting: Cell<bool>,
    closing: Cell<bool>,
    close: Notify,
    cut: Notify,
    marks: Rc<Marks>,
    framing: Rc<RefCell<Framing>>,
}

/// What requests may name, and what they are told, by the settings in force.
pub struct Terms {
    classes: Offer,
    tenants: Vec<String>,
    keep_away: Duration,
}

impl Terms {
    /// The terms of these settings.
    pub fn new(classes: &Classes, tenants: Vec<String>, settings: &Settings) -> Terms {
        Terms { classes: classes.offer(), tenants, keep_away: ROOM_AGAIN.min(settings.max_keep_away) }
    }
}

/// The server.
pub struct Server {
    gateway: Handle,
    terms: RefCell<Rc<Terms>>,
    clients: Slots,
    overflow: Slots,
    peers: RefCell<Vec<Rc<Peer>>>,
    /// How many peers rest, and how many may before new ones are not kept.
    resting: Cell<usize>,
    may_rest: usize,
    left: Notify,
    service: Rc<Service>,
    pulse: Cell<Instant>,
    stalled: Cell<Duration>,
}

/// A request that has been told to the gateway: if the client goes, so does this, and the gateway hears of it.
struct Owed {
    gateway: Handle,
    id: RequestId,
    open: Rc<Cell<bool>>,
}

impl Drop for Owed {
    fn drop(&mut self) {
        // An answered request is closed already. The cell is cleared first: an attempt about to be written sees it.
        if self.open.replace(false) {
            self.gateway.tell(Message::Gone(self.id));
        }
    }
}

impl Server {
    /// A server that takes requests in for the gateway.
    pub fn new(gateway: Handle, terms: Terms, budget: &Budget, service: Rc<Service>) -> Server {
        Server {
            gateway,
            terms: RefCell::new(Rc::new(terms)),
            clients: budget.clients.clone(),
            overflow: budget.overflow.clone(),
            peers: RefCell::default(),
            resting: Cell::new(0),
            may_rest: budget.resting,
            left: Notify::new(),
            service,
            pulse: Cell::new(Instant::now()),
            stalled: Cell::default(),
        }
    }

    /// Turns to other terms; what has been taken in keeps the old ones.
    pub fn turn_to(&self, terms: Terms) {
        self.terms.replace(Rc::new(terms));
    }

    /// Accepts connections for as long as it runs. What waits in the kernel is taken already, so it never waits
    /// for anything but a connection or, with every last descriptor in use, the end of one. Idle connections are
    /// closed once there is somebody who needs their place, and not before: a close may cross a request.
    pub async fn accept(self: Rc<Self>, listener: &TcpListener) {
        let mut failing = false; // said once, until one succeeds
        loop {
            let Some(slot) = self.clients.take().or_else(|| self.overflow.take()) else {
                self.close_idle();
                // Nothing tells when a new connection has had its time.
                let _ = timeout(CLOSE_AGAIN, self.left.notified()).await;
                continue;
            };
            let stream = match listener.accept().await {
                Ok((stream, _)) => {
                    failing = false;
                    stream
                }
                Err(error) => {
                    if !std::mem::replace(&mut failing, true) {
                        error!(%error, "no connection can be accepted; trying again every 5 ms");
                    }
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    continue;
                }
            };
            if self.overflow.include(&slot) {
                self.close_idle();
            }
            self.welcome(stream, slot);
        }
    }

    /// Accepts what still waits in the kernel, and closes the listener: what is left in it then was not taken.
    pub fn accept_rest(self: &Rc<Self>, listener: TcpListener) -> std::io::Result<()> {
        let listener = listener.into_std()?;
        while let Some(slot) = self.clients.take().or_else(|| self.overflow.take()) {
            let Ok((stream, _)) = listener.accept() else { break };
            stream.set_nonblocking(true)?;
            self.welcome(TcpStream::from_std(stream)?, slot);
        }
        Ok(())
    }

    fn welcome(self: &Rc<Self>, stream: TcpStream, slot: Slot) {
        self.service.accepted();
        self.gateway.connected();
        let _ = stream.set_nodelay(true);
        let (wire, marks) = Wire::new(stream);
        let (wire, framing) = wire.followed(Framing::default());
        let now = Some(Instant::now());
        marks.read_since.set(now); // the first head is awaited from now on
        let (slot, idle_since) = (RefCell::new(slot), Cell::new(now));
        let (asked, resting, closing, close, cut) = Default::default();
        let peer = Rc::new(Peer { slot, idle_since, asked, resting, closing, close, cut, marks, framing });
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
        self.peers.borrow().len() > self.clients.most()
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
        let Some(slot) = self.clients.take() else { return false };
        peer.slot.replace(slot);
        self.left.notify_one(); // its old place is free
        true
    }

    async fn serve(self: Rc<Self>, wire: Wire, peer: Rc<Peer>) {
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
                if server.service.says_goodbye() || !room || server.crowded() || server.keeps_too_many(&peer)
                {
                    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                let rests = !response.headers().contains_key(header::CONNECTION);
                // What passes through keeps its connection in use until it is over; anything else is on its way at once.
                let resting = Resting { server: server.clone(), peer: peer.clone(), rests };
                if let Reply::Coming { guard, .. } = response.body_mut() {
                    *guard = Some(Box::new(resting));
                }
                Ok::<_, Infallible>(response)
            }
        });
        let connection =
            http1::Builder::new().max_buf_size(MAX_BUFFER).serve_connection(TokioIo::new(wire), service);
        tokio::pin!(connection);
        tokio::select! {
            biased;
            _ = connection.as_mut() => return,
            () = peer.close.notified() => {}
            () = peer.cut.notified() => if peer.idle_since.get().is_some() {
                return; // nothing is owed, and nothing that makes a request has come
            }
        }
        // What is being answered is still answered; hyper closes after that, or now where nothing is.
        connection.as_mut().graceful_shutdown();
        // A client that neither ends its request nor takes its answer must not keep the connection for ever.
        while timeout(LINGER, connection.as_mut()).await.is_err() && peer.idle_since.get().is_none() {}
    }

    /// Ends, for as long as it runs, the connections that have had their time: heads that do not come, and what is
    /// idle for long, or for a while where few places are left.
    pub async fn sweep(&self) {
        loop {
            let rest = self.service.may_rest();
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
            let crowd = peers.len().saturating_sub(self.clients.most() / 4 * 3);
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
        let Some(rest) = self.service.may_rest() else { return };
        let peers = self.peers.borrow();
        for peer in peers.iter().filter(|p| !p.closing.get()) {
            // A connection that has brought nothing yet awaits its first head from the start.
            let resting = peer.marks.read_since.get().is_none() || peer.marks.last_read.get().is_none();
            if resting && peer.idle_since.get().is_some_and(|since| since.elapsed() >= rest) {
                peer.closing.set(true);
                peer.close.notify_one();
            }
        }
    }

    /// Notes, for as long as it runs, when the event loop last came round and how late it was.
    pub async fn feel_pulse(&self) {
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
    pub async fn finish(&self) {
        while !self.peers.borrow().is_empty() {
            self.left.notified().await;
        }
    }

    async fn answer(&self, request: Request<Incoming>, room: bool, peer: &Peer) -> Response<Reply> {
        if request.uri().path() == "/health/ready" {
            return plain(
                if self.service.ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE },
                "",
            );
        }
        if !room {
            // Held requests have all other places. This one has gone nowhere, and waiting here would keep those
            // out that come after it and are taken already, so it is refused before its body is read.
            if let Some(class) = text(request.headers(), "x-priority-class") {
                self.service.figures.ended(class, Ending::Deferred);
            }
            return self.respond(Final::Refused { keep_away: self.terms.borrow().keep_away });
        }
        match self.take(request, peer).await {
            Ok(Answered { answer, close }) => {
                let mut response = self.respond(answer);
                if close {
                    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                response
            }
            Err(malformed) => {
                let mut response = plain(malformed.status(), &format!("{malformed}\n"));
                // Where its end is in doubt, nothing that follows is read: it may be a request that hides in a body.
                response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                response
            }
        }
    }

    fn respond(&self, answer: Final) -> Response<Reply> {
        match answer {
            Final::Served(answer) => {
                let mut response = Response::new(answer.body);
                *response.headers_mut() = answer.headers;
                response
            }
            Final::Refused { keep_away } => {
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "try again later\n");
                // Where the settings let clients be given no advice the module's is zero: they may come at once.
                if let Ok(after) = HeaderValue::from_str(&keep_away.as_secs_f64().to_string()) {
                    response.headers_mut().insert(header::RETRY_AFTER, after);
                }
                response
            }
            Final::Failed(status) => plain(status, "failed\n"),
        }
    }

    /// Has a request decided. The answer comes from the gateway, whatever becomes of the hosts.
    async fn take(&self, request: Request<Incoming>, peer: &Peer) -> Result<Answered, Malformed> {
        let (head, body) = request.into_parts();
        let headers = &head.headers;
        // The library frames what is chunked, but drops a length that comes behind: what the connection has seen of the head
        // is asked. Any other encoding would have to be understood, and nobody's hosts do.
        if let Some(encoding) = headers.get(header::TRANSFER_ENCODING) {
            if !encoding.as_bytes().eq_ignore_ascii_case(b"chunked") {
                return Err(Malformed::NoLength);
            }
            if headers.contains_key(header::CONTENT_LENGTH)
                || !peer.framing.borrow().is_plain(peer.asked.get())
            {
                return Err(Malformed::Ambiguous);
            }
        }
        if let Some(name) = ONCE.into_iter().find(|&name| headers.get_all(name).iter().nth(1).is_some()) {
            return Err(Malformed::Repeated(name));
        }
        let number = headers.get("x-request-id").filter(|id| !id.is_empty()).ok_or(Malformed::NoId)?.clone();
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > MAX_LARGE) {
            return Err(Malformed::TooLong); // before any of it is read
        }
        let name = text(headers, "x-priority-class").ok_or(Malformed::UnknownClass)?;
        let terms = self.terms.borrow().clone();
        if head.uri.path().split('/').nth(1) != Some(name) {
            return Err(Malformed::WrongPath);
        }
        let keyed = text(headers, "idempotency-key").is_some_and(|k| !k.is_empty());
        let method = &head.method;
        if *method != Method::GET && *method != Method::POST {
            return Err(Malformed::WrongMethod);
        }
        let form = Form { writes: *method == Method::POST, keyed };
        let kept = terms.classes.choose(self.gateway.time(Instant::now()), name, form)?.clone();
        let class = &kept.class;
        let patience = text(headers, "x-timeout").and_then(patience).ok_or(Malformed::BadTimeout)?;
        let patience = patience.min(class.deadline).saturating_sub(AHEAD);
        if *method == Method::GET && length.is_some_and(|length| length > 0) {
            return Err(Malformed::NeedlessBody);
        }
        let cost = match text(headers, "x-cost") {
            Some(cost) => Some(Duration::from_micros(cost.trim().parse().map_err(|_| Malformed::BadCost)?)),
            None => None,
        };
        let tenant = text(headers, "x-tenant-id");
        let tenant = terms.tenants.iter().position(|t| Some(t.as_str()) == tenant).unwrap_or(0);
        let (held, rest) = gather(body, MAX_BODY).await?;
        if *method == Method::GET && !held.is_empty() {
            return Err(Malformed::NeedlessBody);
        }
        let mut taken = Taken::new(self.service.figures.clone(), kept.clone());
        let (give_up, body, upload) = match rest {
            None => {
                // What came behind another request has waited here for that to be answered, and its client with it.
                let came = peer.marks.last_read.get().unwrap_or_else(Instant::now) - self.waited();
                peer.marks.read_since.set(None); // what comes from here on is the next head
                taken.open();
                let give_up = came + patience;
                if Instant::now() >= give_up {
                    return Ok(Answered::new(Final::Failed(StatusCode::GATEWAY_TIMEOUT), taken));
                    // too late to begin
                }
                (give_up, Payload::Whole(held), Err(taken))
            }
            Some(rest) => {
                let upload = Rc::new(Upload::new(held, rest, length, patience, taken));
                (Instant::now() + UPLOAD, Payload::Coming(upload.clone()), Ok(upload))
            }
        };
        let give_up = self.service.answers_by().map_or(give_up, |by| give_up.min(by));
        let (id, open) = (self.gateway.next_request(), Rc::new(Cell::new(true)));
        let request = ottervane::Request {
            id,
            class: kept.number,
            tenant,
            key: subject(headers).map(stable_hash),
            cost_hint: cost,
            repeat: text(headers, "x-retried") == Some("1"),
            allowance: 1.0,
            give_up_at: self.gateway.time(give_up),
            coming: upload.is_ok(),
        };
        let passed_on = |(name, value): (&HeaderName, &HeaderValue)| {
            PASSED_ON.contains(name).then(|| (name.clone(), value.clone()))
        };
        let headers = headers.iter().filter_map(passed_on).collect();
        let forward = Forward { method: head.method, uri: origin_form(&head.uri), headers, body };
        let (answer, decided) = oneshot::channel();
        let owed = Owed { gateway: self.gateway.clone(), id, open: open.clone() };
        let class = kept.clone();
        self.gateway.tell(Message::Arrived(Box::new(Arrival {
            request,
            number,
            forward,
            class,
            answer,
            open,
        })));
        let decided = decided.await;
        owed.open.set(false);
        let decided = decided.unwrap_or(Final::Failed(StatusCode::BAD_GATEWAY));
        let upload = match upload {
            Err(taken) => return Ok(Answered::new(decided, taken)),
            Ok(upload) => upload,
        };
        let passage = upload.passage();
        let taken = upload.taken().unwrap_or_else(|| Taken::new(self.service.figures.clone(), kept));
        if passage == Passage::Complete {
            peer.marks.read_since.set(None);
            return Ok(Answered::new(decided, taken));
        }
        // The client writes on, and reads that it is over once it has ended, or has no more to say.
        spawn_local(async move { upload.discard(DISCARD).await });
        if let Passage::Failed(fault) = passage {
            return Err(fault.into());
        }
        Ok(Answered { close: true, ..Answered::new(decided, taken) })
    }
}

/// How a request was decided.
struct Answered {
    answer: Final,
    /// Its body has not been read to the end.
    close: bool,
}

impl Answered {
    /// Counts it, or has its body do so once that has passed.
    fn new(mut answer: Final, counted: Taken) -> Answered {
        match &mut answer {
            Final::Served(Answer { body: Reply::Coming { taken, .. }, .. }) => *taken = Some(counted),
            Final::Served(_) => counted.ended(Ending::Answered),
            Final::Refused { .. } => counted.ended(Ending::Deferred),
            Final::Failed(_) => counted.ended(Ending::Errored),
        }
        Answered { answer, close: false }
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
        let now = Some(Instant::now());
        self.peer.idle_since.set(now);
        self.server.note_rest(&self.peer, self.rests);
        if self.peer.marks.read_since.get().is_some() {
            self.peer.marks.read_since.set(now); // the next head has begun already
        }
    }
}

/// What a host is asked for: a target that names a host as well goes on without it.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), Uri::from)
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

fn plain(status: StatusCode, text: &str) -> Response<Reply> {
    let mut response = Response::new(Reply::Whole(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// What the request is about: the cookie `k`.
fn subject(headers: &HeaderMap) -> Option<&str> {
    let cookies = headers.get_all(header::COOKIE).iter().filter_map(|v| v.to_str().ok());
    cookies.flat_map(|v| v.split(';')).find_map(|pair| pair.trim().strip_prefix("k="))
}

/// How long a client waits: a number and a unit, `m` for milliseconds or `u` for microseconds.
fn patience(text: &str) -> Option<Duration> {
    let text = text.trim();
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let unit = match unit {
        "m" => 1e-3,
        "u" => 1e-6,
        _ => return None,
    };
    let plain = number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let seconds = number.parse::<f64>().ok().filter(|_| plain)? * unit;
    Duration::try_from_secs_f64(seconds).ok().filter(|t| !t.is_zero())
}
