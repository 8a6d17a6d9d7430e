//! Connections to hosts: one attempt at a time on each, every attempt counted, every end told apart.

use crate::exchange::{Answer, Forward, Payload, Piece, Reply, Sending};
use crate::figures::Figures;
use crate::framing::Framing;
use crate::limits::{MAX_BODY, MAX_BUFFER, MAX_LARGE};
use crate::sockets::{Slot, Slots};
use crate::wire::{Marks, Wire};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::ext::on_informational;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use ottervane::report::ReportFields;
use ottervane::{HostId, LoadReport, Outcome};
use ottervane_control::bodies::{Intake, Passage, Verdict, STALL};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

/// A connection rests for so long between two requests: what a host sends beyond an answer comes right behind it, and
/// must not be read as the answer to the next.
const REST: Duration = Duration::from_millis(2);

/// Idle connections are looked at this often. One that has come back meanwhile is not watched until then.
const LOOK: Duration = Duration::from_millis(50);

/// The header of an answer that carries the host's load report.
const LOAD: &str = "x-server-load";

/// Headers that belong to one connection, or that each side words anew.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::EXPECT,
    header::PROXY_AUTHORIZATION,
];

/// Removes what is meant for one connection only, the headers that `Connection` names included.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

/// How an attempt ended.
pub struct End {
    /// The outcome.
    pub outcome: Outcome,
    /// The answer, where it was served.
    pub answer: Option<Answer>,
    /// The load report that came with an answer of any kind.
    pub load: Option<LoadReport>,
}

/// A host, as far as sending to it goes.
#[derive(Debug)]
pub struct Host {
    /// Its number.
    pub id: HostId,
    /// Where it listens.
    pub address: Cell<Option<SocketAddr>>,
    /// Whether anything new may be sent to it.
    pub takes_work: Cell<bool>,
}

/// When an attempt is given up; a body that is still coming moves it.
#[derive(Debug)]
pub struct Until {
    at: Cell<Instant>,
    moved: Notify,
}

impl Until {
    /// At this moment.
    pub fn new(at: Instant) -> Rc<Until> {
        Rc::new(Until { at: Cell::new(at), moved: Notify::new() })
    }

    /// Moves it.
    pub fn set(&self, at: Instant) {
        self.at.set(at);
        self.moved.notify_one();
    }

    fn get(&self) -> Instant {
        self.at.get()
    }

    /// Waits for it. Cancel safe; for one waiter.
    async fn passed(&self) {
        while Instant::now() < self.get() {
            tokio::select! {
                () = sleep_until(self.get()) => {}
                () = self.moved.notified() => {}
            }
        }
    }
}

/// What becomes of an attempt on its way.
pub enum Stage {
    /// Some of a body that is not held has left.
    Spent,
    /// All of it has.
    Complete,
    /// The answer is passed on while it comes.
    Started {
        /// The answer.
        answer: Box<Answer>,
        /// When its first byte came.
        first: Instant,
        /// The load report that came with it.
        load: Option<LoadReport>,
    },
}

/// One attempt to have a request served.
pub struct Attempt {
    /// By whom.
    pub host: Rc<Host>,
    /// What is sent.
    pub forward: Rc<Forward>,
    /// When it is given up.
    pub until: Rc<Until>,
    /// Whether the request still wants an answer.
    pub open: Rc<Cell<bool>>,
    /// Calls the attempt off.
    pub cancel: Rc<Notify>,
}

/// A connection to a host. It is driven by whoever holds it and by no task of its own, so that dropping it
/// closes the socket there and then: a later attempt must not find an earlier one still out.
struct Connection {
    host: HostId,
    address: SocketAddr,
    sender: SendRequest<Sending>,
    driver: Pin<Box<http1::Connection<TokioIo<Wire>, Sending>>>,
    marks: Rc<Marks>,
    idle_since: Instant,
    _slot: Slot,
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
pub struct Closed {
    /// Which host.
    pub host: HostId,
    /// Where it stood then.
    pub address: SocketAddr,
    /// How long it had been idle.
    pub idle: Duration,
    /// How many idle connections to it are left.
    pub left: usize,
}

/// All connections to hosts that are idle, the one used last at the end.
pub struct Pool {
    idle: RefCell<VecDeque<Connection>>,
    /// Connections that their hosts ended and that were found so on reuse: told with the others.
    found: RefCell<Vec<(HostId, SocketAddr, Duration)>>,
    reports: ReportFields,
    slots: Slots,
    dial_timeout: Duration,
    idle_most: Duration,
    figures: Rc<Figures>,
}

impl Pool {
    /// An empty pool that opens at most `slots`. The hosts close what has been idle for `keepalive`.
    pub fn new(
        slots: Slots,
        dial_timeout: Duration,
        keepalive: Duration,
        reports: ReportFields,
        figures: Rc<Figures>,
    ) -> Pool {
        // A request that crosses the host's close is lost to a reset: never come near that moment.
        let (idle, found) = Default::default();
        Pool { idle, found, reports, slots, dial_timeout, idle_most: keepalive / 2, figures }
    }

    /// Closes the idle connections to a host.
    pub fn close(&self, host: HostId) {
        self.keep(|other| other != host);
    }

    /// Keeps the idle connections to these hosts and closes all others.
    pub fn keep(&self, these: impl Fn(HostId) -> bool) {
        self.idle.borrow_mut().retain(|c| these(c.host));
    }

    /// Closes, for as long as it runs, what has been idle for long or was closed by its host: either only takes up a
    /// descriptor and a place at the host. What a host closed early is told: at once where the connection has been idle
    /// for 50 ms, else within that.
    ///
    /// Cancel safe: what is dropped with it is only the wish to be woken.
    pub async fn sweep(&self, tell: impl Fn(Closed)) {
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
    fn let_go(&self, cx: &mut Context<'_>, tell: impl Fn(Closed)) {
        let mut ended = self.found.take();
        let mut idle = self.idle.borrow_mut();
        idle.retain_mut(|connection| {
            let age = connection.idle_since.elapsed();
            let open = connection.driver.as_mut().poll(cx).is_pending();
            if !open && age < self.idle_most && connection.was_silent() {
                ended.push((connection.host, connection.address, age));
            }
            open && age < self.idle_most
        });
        for (host, address, age) in ended {
            let left = idle.iter().filter(|c| c.host == host && c.address == address).count();
            tell(Closed { host, address, idle: age, left });
        }
    }

    /// The idle connection to the host that was used last and is still open.
    async fn reuse(&self, host: &Host) -> Option<Connection> {
        loop {
            let mut connection = {
                let mut idle = self.idle.borrow_mut();
                let rested = |c: &Connection| c.idle_since.elapsed() >= REST;
                let at = idle.iter().rposition(|c| c.host == host.id && rested(c))?;
                idle.remove(at)?
            };
            let age = connection.idle_since.elapsed();
            if age >= self.idle_most || Some(connection.address) != host.address.get() {
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
    async fn dial(&self, host: &Host, until: Instant) -> Result<Connection, Outcome> {
        let address = host.address.get().ok_or(Outcome::NotSent)?;
        let slot = self.slots.take().or_else(|| {
            self.idle.borrow_mut().pop_front();
            self.slots.take()
        });
        // No room here says nothing of the host.
        let slot = slot.ok_or(Outcome::NotSent)?;
        tracing::debug!(host = %address, "dial");
        let until = until.min(Instant::now() + self.dial_timeout);
        let stream = match timeout_at(until, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if own_shortage(&error) => return Err(Outcome::NotSent),
            Ok(Err(_)) | Err(_) => return Err(Outcome::NoConnection),
        };
        let _ = stream.set_nodelay(true);
        let (wire, marks) = Wire::new(stream);
        let (wire, _) = wire.followed(Framing::of_answers());
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER);
        let (sender, driver) =
            builder.handshake(TokioIo::new(wire)).await.map_err(|_| Outcome::NoConnection)?;
        let (driver, idle_since) = (Box::pin(driver), Instant::now());
        Ok(Connection { host: host.id, address, sender, driver, marks, idle_since, _slot: slot })
    }

    /// Makes the attempt and tells how it ended. Its connection is closed by then, or idle in the pool.
    pub async fn attempt(&self, attempt: &Attempt, tell: &dyn Fn(Stage)) -> End {
        let (sent, load) = (Cell::new(false), Cell::new(None));
        let (outcome, answer) = tokio::select! {
            biased;
            () = attempt.cancel.notified() => (Outcome::Cancelled, None),
            got = self.exchange(attempt, &sent, &load, tell) => match got {
                Ok(Got::Whole(answer)) => (Outcome::Served, Some(answer)),
                // From here on nothing but the two sides ends it.
                Ok(Got::Large(large)) => (self.pass_on(*large, &attempt.host, load.get(), tell).await, None),
                Err(outcome) => (outcome, None),
            },
            () = attempt.until.passed() =>
                (if sent.get() { Outcome::TimedOut } else { Outcome::NoConnection }, None),
        };
        End { outcome, answer, load: load.get() }
    }

    async fn exchange(
        &self,
        attempt: &Attempt,
        sent: &Cell<bool>,
        load: &Cell<Option<LoadReport>>,
        tell: &dyn Fn(Stage),
    ) -> Result<Got, Outcome> {
        let Attempt { host, forward, until, open, .. } = attempt;
        let mut connection = match self.reuse(host).await {
            Some(connection) => connection,
            None => self.dial(host, until.get()).await?,
        };
        // The request may have been answered, and the host begun to drain, while the connection came up.
        if !open.get() || !host.takes_work.get() || Instant::now() >= until.get() {
            self.put_back(connection, host).await;
            return Err(Outcome::NotSent);
        }
        let mut request = request(forward, until.get());
        let informed = Arc::new(AtomicBool::new(false));
        let inform = informed.clone();
        on_informational(&mut request, move |_| inform.store(true, Ordering::Relaxed));
        connection.marks.written.set(false);
        connection.marks.flushed.set(false);
        connection.marks.read_since.set(None);
        sent.set(true);
        let begun = Instant::now();
        let sending = connection.sender.send_request(request);
        let answering = async {
            let (head, body) = sending.await?.into_parts();
            take_in(head, body).await
        };
        let late = sleep_until(until.get());
        tokio::pin!(answering, late);
        let (mut over, mut counted, mut passage) = (false, false, Passage::Intact);
        let answered = poll_fn(|cx| {
            if let Poll::Ready(answered) = answering.as_mut().poll(cx) {
                return Poll::Ready(Some(answered));
            }
            over = over || connection.driver.as_mut().poll(cx).is_ready();
            if let Payload::Coming(upload) = &forward.body {
                let before = std::mem::replace(&mut passage, upload.passage());
                if before == Passage::Intact && passage != before {
                    tell(Stage::Spent);
                }
                if before != Passage::Complete && passage == Passage::Complete {
                    tell(Stage::Complete);
                }
            } else {
                passage = Passage::Complete;
            }
            if !counted && passage == Passage::Complete && connection.marks.flushed.get() {
                counted = true;
                self.figures.sent();
            }
            if let Poll::Ready(answered) = answering.as_mut().poll(cx) {
                return Poll::Ready(Some(answered));
            }
            // A host that takes no more of a body that is not held has never had it whole.
            if let (Payload::Coming(upload), None) = (&forward.body, connection.marks.read_since.get()) {
                let Some(due) = upload.host_due() else { return Poll::Pending };
                if late.deadline() != due {
                    late.as_mut().reset(due);
                }
                return late.as_mut().poll(cx).map(|()| None);
            }
            if informed.swap(false, Ordering::Relaxed) {
                connection.marks.read_since.set(None); // a 1xx: the answer itself has not begun
            }
            let Some(since) = connection.marks.read_since.get() else { return Poll::Pending };
            let last = connection.marks.last_read.get().unwrap_or(since);
            let silent = begun + Intake::due(since - begun, last.saturating_duration_since(begun));
            if late.deadline() != silent {
                late.as_mut().reset(silent);
            }
            late.as_mut().poll(cx).map(|()| None)
        })
        .await;
        // What has not been written whole has never run: a host begins with the last byte.
        let unwritten = !connection.marks.written.get() || passage != Passage::Complete;
        let broken = if unwritten { Outcome::NoConnection } else { Outcome::Reset };
        let answered = answered.ok_or(broken)?;
        let (head, body) = answered.map_err(|_| broken)?;
        // Said twice it is no report: nothing tells which of the two is the host's.
        let mut reports = head.headers.get_all(LOAD).iter();
        if let (Some(Ok(text)), None) = (reports.next().map(HeaderValue::to_str), reports.next()) {
            load.set(self.reports.in_text(text));
        }
        let body = match body {
            Taken::Whole(body) => body,
            Taken::Large { held, rest, said } if head.status == StatusCode::OK => {
                let first = connection.marks.read_since.get().unwrap_or_else(Instant::now);
                let mut headers = head.headers;
                strip_hop_by_hop(&mut headers);
                return Ok(Got::Large(Box::new(Large {
                    connection,
                    over,
                    headers,
                    first,
                    held,
                    rest,
                    said,
                })));
            }
            Taken::Broken => return Err(Outcome::Reset),
            Taken::Large { .. } | Taken::TooLong => return Err(Outcome::Error),
        };
        if !over && passage == Passage::Complete {
            self.put_back(connection, host).await;
        }
        match head.status {
            StatusCode::OK => {
                let mut headers = head.headers;
                strip_hop_by_hop(&mut headers);
                Ok(Got::Whole(Answer { headers, body: Reply::Whole(body) }))
            }
            // Only where the host says so is it sure that the request has not run.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
                if head.headers.get("x-not-processed").is_some_and(|v| v == "1") =>
            {
                Err(Outcome::Rejected)
            }
            _ => Err(Outcome::Error),
        }
    }

    /// Passes a large answer on as it comes, at the pace of the slower side, until it is whole or either side is gone.
    async fn pass_on(
        &self,
        large: Large,
        host: &Host,
        load: Option<LoadReport>,
        tell: &dyn Fn(Stage),
    ) -> Outcome {
        let Large { mut connection, mut over, headers, first, held, mut rest, said } = large;
        let (pieces, receiver) = mpsc::channel(1);
        let mut brought = held.len() as u64;
        let _ = pieces.try_send(Piece::Data(held)); // there is room for one
        let body = Reply::Coming { left: said, pieces: receiver, over: false, taken: None, guard: None };
        tell(Stage::Started { answer: Box::new(Answer { headers, body }), first, load });
        loop {
            let frame = poll_fn(|cx| {
                if let Poll::Ready(frame) = Pin::new(&mut rest).poll_frame(cx) {
                    return Poll::Ready(frame);
                }
                over = over || connection.driver.as_mut().poll(cx).is_ready();
                Pin::new(&mut rest).poll_frame(cx)
            });
            let frame = tokio::select! {
                biased;
                () = pieces.closed() => return Outcome::Cancelled,
                frame = timeout(STALL, frame) => frame,
            };
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data(),
                Ok(None) => {
                    let _ = timeout(STALL, pieces.send(Piece::End)).await;
                    if !over {
                        self.put_back(connection, host).await;
                    }
                    return Outcome::Served;
                }
                Ok(Some(Err(_))) | Err(_) => return Outcome::Reset,
            };
            let Ok(data) = data else { continue }; // trailers are this connection's own
            brought += data.len() as u64;
            if brought > MAX_LARGE {
                return Outcome::Error;
            }
            if !matches!(timeout(STALL, pieces.send(Piece::Data(data))).await, Ok(Ok(()))) {
                return Outcome::Cancelled;
            }
        }
    }

    async fn put_back(&self, mut connection: Connection, host: &Host) {
        if host.takes_work.get() && connection.is_open().await {
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().push_back(connection);
        }
    }
}

/// What came of a request.
enum Got {
    /// A whole answer.
    Whole(Answer),
    /// One that is passed on while it comes.
    Large(Box<Large>),
}

/// An answer that is too long to be held, and has begun to come.
struct Large {
    connection: Connection,
    over: bool,
    headers: HeaderMap,
    first: Instant,
    held: Bytes,
    rest: Incoming,
    said: Option<u64>,
}

/// What came of an answer's body.
enum Taken {
    Whole(Bytes),
    Large { held: Bytes, rest: Incoming, said: Option<u64> },
    TooLong,
    Broken,
}

/// Takes an answer's body in until it is whole, or known to be longer than what is held.
async fn take_in(head: Parts, mut body: Incoming) -> Result<(Parts, Taken), hyper::Error> {
    let said = body.size_hint().exact();
    let (start, mut intake, mut held) = (Instant::now(), Intake::new(said), BytesMut::new());
    loop {
        match intake.verdict(start.elapsed()) {
            Verdict::Hold => {}
            Verdict::PassOn => return Ok((head, Taken::Large { held: held.freeze(), rest: body, said })),
            Verdict::Spoilt => return Ok((head, Taken::TooLong)),
        }
        match body.frame().await {
            None => return Ok((head, Taken::Whole(held.freeze()))),
            Some(Err(_)) => return Ok((head, Taken::Broken)),
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                intake.came(start.elapsed(), data.len() as u64);
                // The usual answer is one piece, and is not copied.
                if held.is_empty() && said == Some(data.len() as u64) && data.len() <= MAX_BODY {
                    return Ok((head, Taken::Whole(data)));
                }
                held.extend_from_slice(&data);
            }
        }
    }
}

/// The request as it is written to a host that has until `until`.
fn request(forward: &Forward, until: Instant) -> Request<Sending> {
    let mut request = Request::new(Sending::new(&forward.body));
    *request.method_mut() = forward.method.clone();
    *request.uri_mut() = forward.uri.clone();
    *request.headers_mut() = forward.headers.clone();
    let wait = match &forward.body {
        Payload::Whole(_) => until.saturating_duration_since(Instant::now()),
        Payload::Coming(upload) => upload.patience, // from its last byte on
    };
    let wait = wait.as_micros();
    if let Ok(wait) = HeaderValue::from_str(&format!("{wait}u")) {
        request.headers_mut().insert("x-timeout", wait);
    }
    request
}

/// Whether the error tells of this machine, not of the host: no descriptor, port or memory left.
fn own_shortage(error: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    const ENOBUFS: i32 = 105;
    error.kind() == io::ErrorKind::AddrNotAvailable
        || error.kind() == io::ErrorKind::OutOfMemory
        || matches!(error.raw_os_error(), Some(ENFILE | EMFILE | ENOBUFS))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::sockets::Budget;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;

    /// The load report that is read from an answer with this head, and the outcome.
    async fn heard(status: &str, head: &str) -> (Outcome, Option<LoadReport>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let answer = format!("HTTP/1.1 {status}\r\n{head}Content-Length: 2\r\n\r\nok");
        let host = async {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let _ = stream.read(&mut [0; 4096]).await;
            stream.write_all(answer.as_bytes()).await.expect("an answer");
            stream
        };
        let settings = r#"{"stats":{"how":"inline","fields":["throughput","outstanding"]}}"#;
        let fields = ReportFields::parse(settings).expect("settings");
        let (dial, keep) = (Duration::from_secs(5), Duration::from_secs(10));
        let pool =
            Pool::new(Budget::new(&Default::default(), false).hosts, dial, keep, fields, Rc::default());
        let (method, uri) = (hyper::Method::GET, hyper::Uri::from_static("/look"));
        let forward = Forward { method, uri, headers: HeaderMap::new(), body: Default::default() };
        let attempt = Attempt {
            host: Rc::new(Host {
                id: HostId(0),
                address: Cell::new(Some(address)),
                takes_work: Cell::new(true),
            }),
            forward: Rc::new(forward),
            until: Until::new(Instant::now() + Duration::from_secs(10)),
            open: Rc::new(Cell::new(true)),
            cancel: Rc::default(),
        };
        let (end, _host) = tokio::join!(pool.attempt(&attempt, &|_| {}), host);
        (end.outcome, end.load)
    }

    #[tokio::test]
    async fn a_load_report_is_read_from_any_answer_and_a_bad_one_costs_nothing_else() {
        let good = "X-Server-Load: TEXT throughput=27.5, outstanding=7\r\n";
        let report = Some(LoadReport { qps: 27.5, inflight: 7.0 });
        assert_eq!(heard("200 OK", good).await, (Outcome::Served, report));
        assert_eq!(heard("500 Oops", good).await, (Outcome::Error, report));
        let twice = good.repeat(2);
        let bad = [
            "",
            "X-Server-Load: TEXT throughput=-1, outstanding=NaN\r\n",
            "X-Server-Load: \u{e9}\r\n",
            &twice,
        ];
        for head in bad {
            assert_eq!(heard("200 OK", head).await, (Outcome::Served, None), "{head:?}");
        }
    }

    /// Has a request served, does `then` with the host's end of the connection, and gives what the pool tells of it.
    async fn told_after(then: impl AsyncFnOnce(&mut tokio::net::TcpStream)) -> Option<Closed> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = Cell::new(Some(listener.local_addr().expect("an address")));
        let (dial, keep) = (Duration::from_secs(5), Duration::from_secs(60));
        let pool = Pool::new(
            Budget::new(&Default::default(), false).hosts,
            dial,
            keep,
            ReportFields::default(),
            Rc::default(),
        );
        let (method, uri) = (hyper::Method::GET, hyper::Uri::from_static("/look"));
        let forward = Forward { method, uri, headers: HeaderMap::new(), body: Default::default() };
        let attempt = Attempt {
            host: Rc::new(Host { id: HostId(3), address, takes_work: Cell::new(true) }),
            forward: Rc::new(forward),
            until: Until::new(Instant::now() + Duration::from_secs(10)),
            open: Rc::new(Cell::new(true)),
            cancel: Rc::default(),
        };
        let host = async {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let _ = stream.read(&mut [0; 4096]).await;
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await.expect("an answer");
            stream
        };
        let (end, mut stream) = tokio::join!(pool.attempt(&attempt, &|_| {}), host);
        assert_eq!(end.outcome, Outcome::Served);
        let told = Cell::new(None);
        tokio::select! {
            () = pool.sweep(|closed| told.set(Some(closed))) => {}
            () = async {
                tokio::time::sleep(4 * LOOK).await; // it is being watched by now
                then(&mut stream).await;
                let begun = Instant::now();
                while told.get().is_none() && begun.elapsed() < Duration::from_secs(2) {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            } => {}
        }
        told.get()
    }

    #[tokio::test]
    async fn an_end_by_the_host_is_told_and_noise_is_not() {
        let ended = told_after(async |stream| stream.shutdown().await.expect("an end")).await;
        let Closed { host, idle, left, .. } = ended.expect("told");
        assert_eq!((host, left), (HostId(3), 0));
        assert!(idle >= 4 * LOOK, "{idle:?}");
        assert_eq!(told_after(async |stream| stream.write_all(b"noise").await.expect("written")).await, None);
        assert_eq!(told_after(async |_| {}).await, None);
    }
}
