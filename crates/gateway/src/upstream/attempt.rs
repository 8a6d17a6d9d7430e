//! One attempt: a request written to a host, and what comes back, told apart by what it proves.

use super::{Connection, ConnectionPool, UpstreamEndpoint};
use crate::body::{
    ForwardedRequest, RequestBody, RequestPayload, ResponseBody, ResponseChunk, UpstreamResponse,
};
use crate::limits::{MAX_BODY, MAX_LARGE};
use crate::transport::client_liveness::ClientLiveness;
use crate::transport::instrumented_stream::IoTimestamps;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::ext::on_informational;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::Poll;
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep_until, timeout, Instant};
use weldworks_balancer::{LoadReport, Outcome};
use weldworks_control::body_streaming::{
    BufferingDecision, ResponseBuffering, TransferState, PEER_STALL_TIMEOUT,
};
use weldworks_control::execution::{
    classify_attempt, classify_response, AttemptEnd, ResponseVerdict, WriteProgress,
};

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
fn strip_hop_by_hop(headers: &mut HeaderMap) {
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
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The answer, where it was served.
    pub response: Option<UpstreamResponse>,
    /// The load report that came with an answer of any kind.
    pub load_report: Option<LoadReport>,
    /// When the request's last byte had gone to the kernel, where it had.
    pub written_at: Option<Instant>,
}

/// When an attempt is given up; a body that is still coming moves it.
#[derive(Debug)]
pub struct Deadline {
    at: Cell<Instant>,
    moved: Notify,
}

impl Deadline {
    /// At this moment.
    pub fn new(at: Instant) -> Rc<Deadline> {
        Rc::new(Deadline { at: Cell::new(at), moved: Notify::new() })
    }

    /// Moves it.
    pub fn set(&self, at: Instant) {
        self.at.set(at);
        self.moved.notify_one();
    }

    /// Moves it to this moment, where that comes first.
    pub fn bring_forward(&self, at: Instant) {
        self.set(self.get().min(at));
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
pub enum AttemptProgress {
    /// Some of a body that is not held has left.
    BodyForwardingStarted,
    /// All of it has gone to its host.
    BodyForwarded {
        /// Its last byte came here after this moment.
        received_after: Instant,
    },
    /// The answer is passed on while it comes.
    ResponseStarted {
        /// The answer.
        response: Box<UpstreamResponse>,
        /// When its first byte came.
        first_byte_at: Instant,
        /// The load report that came with it.
        load_report: Option<LoadReport>,
    },
}

/// One attempt to have a request served.
pub struct Attempt {
    /// By whom.
    pub endpoint: Rc<UpstreamEndpoint>,
    /// What is sent.
    pub request: Rc<ForwardedRequest>,
    /// When it is given up.
    pub deadline: Rc<Deadline>,
    /// The latest moment for its last byte, where it has one: an attempt before it may have run, and only up to then do hosts know that.
    pub write_by: Option<Instant>,
    /// Who wants the answer.
    pub liveness: Rc<ClientLiveness>,
    /// Calls the attempt off.
    pub cancel: Rc<Notify>,
}

impl ConnectionPool {
    /// Makes the attempt and tells how it ended. Its connection is closed by then, or idle in the pool.
    pub async fn attempt(&self, attempt: &Attempt, tell: &dyn Fn(AttemptProgress)) -> AttemptResult {
        let progress = Progress::default();
        let (ended, answer) = tokio::select! {
            biased;
            () = attempt.cancel.notified() => (AttemptEnd::Cancelled, None),
            got = self.exchange(attempt, &progress, tell) => match got {
                Ok(Got::Whole(answer)) => (AttemptEnd::Answered(ResponseVerdict::Served), Some(answer)),
                // From here on nothing but the two sides ends it.
                Ok(Got::Large(large)) => {
                    let outcome = self.pass_on(*large, &attempt.endpoint, progress.load.get(), tell).await;
                    return progress.end(outcome, None);
                }
                Err(ended) => (ended, None),
            },
            () = attempt.deadline.passed() => (AttemptEnd::TimedOut, None),
        };
        let outcome = classify_attempt(progress.written(), ended);
        progress.end(outcome, answer.filter(|_| outcome == Outcome::Served))
    }

    async fn exchange(
        &self,
        attempt: &Attempt,
        progress: &Progress,
        tell: &dyn Fn(AttemptProgress),
    ) -> Result<Got, AttemptEnd> {
        let Attempt { endpoint: host, request: forward, deadline: until, write_by, liveness: client, .. } =
            attempt;
        let is_late = || write_by.is_some_and(|by| Instant::now() >= by);
        let mut connection = match self.reuse(host).await {
            Some(connection) => connection,
            // A dial that ends with the time for writing says nothing of the host.
            None => self
                .dial(host, write_by.map_or(until.get(), |by| by.min(until.get())))
                .await
                .map_err(|ended| if is_late() { AttemptEnd::Withheld } else { ended })?,
        };
        // The request may have been answered, the host begun to drain, and the time for writing passed, while the connection came up.
        // What is unread behind a body that comes is its own.
        let has_client = match &forward.body {
            RequestPayload::Buffered(_) => client.may_begin(),
            RequestPayload::Streaming(upload) => client.is_wanted() && !upload.time_left().is_zero(),
        };
        if !has_client || !host.is_active.get() || is_late() || Instant::now() >= until.get() {
            self.put_back(connection, host).await;
            return Err(AttemptEnd::Withheld);
        }
        let mut request = request(forward, until.get());
        let informed = Arc::new(AtomicBool::new(false));
        let inform = informed.clone();
        on_informational(&mut request, move |_| inform.store(true, Ordering::Relaxed));
        let marks = connection.marks.clone();
        marks.begin(*write_by);
        progress.marks.replace(Some(marks.clone()));
        let begun = Instant::now();
        let sending = connection.sender.send_request(request);
        let answering = async {
            let (head, body) = sending.await?.into_parts();
            take_in(head, body).await
        };
        let late = sleep_until(until.get());
        tokio::pin!(answering, late);
        let (mut over, mut whole, mut passage) = (false, false, TransferState::Intact);
        let answered = poll_fn(|cx| {
            if let Poll::Ready(answered) = answering.as_mut().poll(cx) {
                return Poll::Ready(Some(answered));
            }
            over = over || connection.driver.as_mut().poll(cx).is_ready();
            if let RequestPayload::Streaming(upload) = &forward.body {
                let before = std::mem::replace(&mut passage, upload.state());
                if before == TransferState::Intact && passage != before {
                    tell(AttemptProgress::BodyForwardingStarted);
                }
            }
            if !whole && marks.written.get() == WriteProgress::Complete {
                whole = true;
                self.figures.record_send();
                if let RequestPayload::Streaming(upload) = &forward.body {
                    tell(AttemptProgress::BodyForwarded { received_after: upload.last_byte_not_before() });
                }
            }
            if let Poll::Ready(answered) = answering.as_mut().poll(cx) {
                return Poll::Ready(Some(answered));
            }
            // A host that takes no more of a body that is not held has never had it whole.
            if let (RequestPayload::Streaming(upload), false, None) =
                (&forward.body, whole, marks.read_since.get())
            {
                let Some(due) = upload.endpoint_deadline() else { return Poll::Pending };
                // Its client may have written the last byte long ago: it is owed its answer by then.
                let due = due.min(upload.last_byte_not_before() + upload.client_timeout);
                if late.deadline() != due {
                    late.as_mut().reset(due);
                }
                return late.as_mut().poll(cx).map(|()| None);
            }
            if informed.swap(false, Ordering::Relaxed) {
                marks.read_since.set(None); // a 1xx: the answer itself has not begun
            }
            let Some(since) = marks.read_since.get() else { return Poll::Pending };
            let last = marks.last_read.get().unwrap_or(since);
            let silent = begun
                + ResponseBuffering::next_byte_deadline(since - begun, last.saturating_duration_since(begun));
            if late.deadline() != silent {
                late.as_mut().reset(silent);
            }
            late.as_mut().poll(cx).map(|()| None)
        })
        .await;
        let late = || if marks.is_late() { AttemptEnd::Withheld } else { AttemptEnd::ConnectionFailed };
        let (head, body) = answered.ok_or(AttemptEnd::ConnectionFailed)?.map_err(|_| late())?;
        // Said twice it is no report: nothing tells which of the two is the host's.
        let mut reports = head.headers.get_all(LOAD).iter();
        if let (Some(Ok(text)), None) = (reports.next().map(HeaderValue::to_str), reports.next()) {
            progress.load.set(self.terms.borrow().load_report_fields.parse_header(text));
        }
        let body = match body {
            Taken::Whole(body) => body,
            // Of what it has not had whole this answers nothing.
            Taken::Large { .. } if !whole && head.status == StatusCode::OK => {
                return Err(AttemptEnd::ConnectionFailed)
            }
            Taken::Large { held, rest, said } if head.status == StatusCode::OK => {
                let first = marks.read_since.get().unwrap_or_else(Instant::now);
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
            Taken::Broken => return Err(AttemptEnd::ConnectionFailed),
            Taken::Large { .. } | Taken::TooLong => return Err(AttemptEnd::Answered(ResponseVerdict::Error)),
        };
        // One that was answered before it had the whole must never get the rest.
        if !over && whole {
            self.put_back(connection, host).await;
        }
        let marks = head.headers.get_all("x-not-processed").iter().map(HeaderValue::as_bytes);
        match classify_response(head.status.as_u16(), marks) {
            ResponseVerdict::Served => {
                let mut headers = head.headers;
                strip_hop_by_hop(&mut headers);
                Ok(Got::Whole(UpstreamResponse { headers, body: ResponseBody::Buffered(body) }))
            }
            said => Err(AttemptEnd::Answered(said)),
        }
    }

    /// Passes a large answer on as it comes, at the pace of the slower side, until it is whole or either side is gone.
    async fn pass_on(
        &self,
        large: Large,
        host: &UpstreamEndpoint,
        load: Option<LoadReport>,
        tell: &dyn Fn(AttemptProgress),
    ) -> Outcome {
        let Large { mut connection, mut over, headers, first, held, mut rest, said } = large;
        let (pieces, receiver) = mpsc::channel(1);
        let mut brought = held.len() as u64;
        let _ = pieces.try_send(ResponseChunk::Data(held)); // there is room for one
        let body =
            ResponseBody::Streaming { left: said, pieces: receiver, over: false, taken: None, guard: None };
        tell(AttemptProgress::ResponseStarted {
            response: Box::new(UpstreamResponse { headers, body }),
            first_byte_at: first,
            load_report: load,
        });
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
                frame = timeout(PEER_STALL_TIMEOUT, frame) => frame,
            };
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data(),
                Ok(None) => {
                    let _ = timeout(PEER_STALL_TIMEOUT, pieces.send(ResponseChunk::End)).await;
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
            if !matches!(
                timeout(PEER_STALL_TIMEOUT, pieces.send(ResponseChunk::Data(data))).await,
                Ok(Ok(()))
            ) {
                return Outcome::Cancelled;
            }
        }
    }
}

/// How far an attempt has come.
#[derive(Default)]
struct Progress {
    /// The marks of the connection that it is written to.
    marks: RefCell<Option<Rc<IoTimestamps>>>,
    load: Cell<Option<LoadReport>>,
}

impl Progress {
    fn written(&self) -> WriteProgress {
        self.marks.borrow().as_ref().map_or(WriteProgress::Nothing, |marks| marks.written.get())
    }

    fn end(&self, outcome: Outcome, answer: Option<UpstreamResponse>) -> AttemptResult {
        let written = self.marks.borrow().as_ref().and_then(|marks| marks.written_at.get());
        AttemptResult { outcome, response: answer, load_report: self.load.get(), written_at: written }
    }
}

/// What came of a request.
enum Got {
    /// A whole answer.
    Whole(UpstreamResponse),
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
    let (start, mut intake, mut held) = (Instant::now(), ResponseBuffering::new(said), BytesMut::new());
    loop {
        match intake.decide(start.elapsed()) {
            BufferingDecision::KeepBuffering => {}
            BufferingDecision::Stream => {
                return Ok((head, Taken::Large { held: held.freeze(), rest: body, said }))
            }
            BufferingDecision::TooLong => return Ok((head, Taken::TooLong)),
        }
        match body.frame().await {
            None => return Ok((head, Taken::Whole(held.freeze()))),
            Some(Err(_)) => return Ok((head, Taken::Broken)),
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                intake.record_received(start.elapsed(), data.len() as u64);
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
fn request(forward: &ForwardedRequest, until: Instant) -> Request<RequestBody> {
    let mut request = Request::new(RequestBody::new(&forward.body));
    *request.method_mut() = forward.method.clone();
    *request.uri_mut() = forward.uri.clone();
    *request.headers_mut() = forward.headers.clone();
    let wait = match &forward.body {
        RequestPayload::Buffered(_) => until.saturating_duration_since(Instant::now()),
        // From its last byte on, which may have come already and be unread.
        RequestPayload::Streaming(upload) => upload.time_left(),
    };
    let wait = wait.as_micros();
    if let Ok(wait) = HeaderValue::from_str(&format!("{wait}u")) {
        request.headers_mut().insert("x-timeout", wait);
    }
    request
}
