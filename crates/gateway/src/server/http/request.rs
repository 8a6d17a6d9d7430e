//! A request: read off its head, checked, taken with its body, decided by the gateway, and answered.

use super::{Peer, Server, ROOM_AGAIN};
use crate::body::{
    buffer_body, ForwardedRequest, RequestPayload, ResponseBody, StreamingUpload, UpstreamResponse,
};
use crate::engine::message::{Arrival, EngineHandle, FinalAnswer, Message};
use crate::limits::{MAX_BODY, MAX_LARGE};
use crate::metrics::{CountedRequest, RequestEnding};
use crate::transport::client_liveness::ClientLiveness;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::Instant;
use weldworks_balancer::{stable_hash, RequestId, Settings};
use weldworks_control::body_streaming::{BodyError, TransferState};
use weldworks_control::class_registry::{ClassError, ClassRegistry, ClassTable, RequestForm};

/// A body that is not held may come for so long: the longest one at the slowest rate.
const UPLOAD: Duration = Duration::from_secs(1100);
/// What a client still writes of a request that is over is read for so long, so that it comes to read the answer.
const DISCARD: Duration = Duration::from_secs(2);
/// The answer leaves so long before the client gives up: the way here and back, and a busy machine.
const AHEAD: Duration = Duration::from_millis(15);

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

impl From<BodyError> for Malformed {
    fn from(fault: BodyError) -> Malformed {
        match fault {
            BodyError::Incomplete => Malformed::NoBody,
            BodyError::TooLong => Malformed::TooLong,
        }
    }
}

impl From<ClassError> for Malformed {
    fn from(why: ClassError) -> Malformed {
        match why {
            ClassError::Unknown => Malformed::UnknownClass,
            ClassError::MethodMismatch => Malformed::WrongMethod,
            ClassError::KeyMismatch => Malformed::WrongKey,
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

/// What requests may name, and what they are told, by the settings in force.
pub struct RequestSettings {
    classes: ClassTable,
    tenants: Vec<String>,
    keep_away: Duration,
}

impl RequestSettings {
    /// The terms of these settings.
    pub fn new(classes: &ClassRegistry, tenants: Vec<String>, settings: &Settings) -> RequestSettings {
        RequestSettings {
            classes: classes.table(),
            tenants,
            keep_away: ROOM_AGAIN.min(settings.max_retry_after),
        }
    }

    /// The tenant's place in the settings; beyond the last one where it has none there.
    fn tenant(&self, name: Option<&str>) -> usize {
        self.tenants.iter().position(|t| Some(t.as_str()) == name).unwrap_or(self.tenants.len())
    }
}

/// A request that has been told to the gateway: if the client goes, so does this, and the gateway hears of it.
struct Owed {
    gateway: EngineHandle,
    id: RequestId,
    client: Rc<ClientLiveness>,
}

impl Drop for Owed {
    fn drop(&mut self) {
        // An answered request is over already. The client is noted first: an attempt about to be written sees it.
        if self.client.end() {
            self.gateway.send(Message::ClientDisconnected(self.id));
        }
    }
}

impl Server {
    pub(super) async fn answer(
        &self,
        request: Request<Incoming>,
        room: bool,
        peer: &Peer,
    ) -> Response<ResponseBody> {
        if request.uri().path() == "/health/ready" {
            return plain(
                if self.service.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE },
                "",
            );
        }
        if !room {
            // Held requests have all other places. This one has gone nowhere, and waiting here would keep those
            // out that come after it and are taken already, so it is refused before its body is read.
            if let Some(class) = text(request.headers(), "x-priority-class") {
                self.service.figures.record_ending(class, RequestEnding::Deferred);
            }
            return self.respond(FinalAnswer::Rejected { retry_after: self.terms.borrow().keep_away });
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

    fn respond(&self, answer: FinalAnswer) -> Response<ResponseBody> {
        match answer {
            FinalAnswer::Served(answer) => {
                let mut response = Response::new(answer.body);
                *response.headers_mut() = answer.headers;
                response
            }
            FinalAnswer::Rejected { retry_after: keep_away } => {
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "try again later\n");
                // Where the settings let clients be given no advice the module's is zero: they may come at once.
                if let Ok(after) = HeaderValue::from_str(&keep_away.as_secs_f64().to_string()) {
                    response.headers_mut().insert(header::RETRY_AFTER, after);
                }
                response
            }
            FinalAnswer::Failed(status) => plain(status, "failed\n"),
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
        let form = RequestForm { is_write: *method == Method::POST, has_idempotency_key: keyed };
        let kept = terms.classes.resolve(self.gateway.balancer_time(Instant::now()), name, form)?.clone();
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
        let (held, rest) = buffer_body(body, MAX_BODY).await?;
        if *method == Method::GET && !held.is_empty() {
            return Err(Malformed::NeedlessBody);
        }
        let mut taken = CountedRequest::new(self.service.figures.clone(), kept.clone());
        let client = Rc::new(ClientLiveness::new(peer.line.clone()));
        let (give_up, body, upload) = match rest {
            None => {
                // What came behind another request has waited here for that to be answered, and its client with it.
                let read = peer.marks.last_read.get().unwrap_or_else(Instant::now) - self.waited();
                let came = peer.waited_since().map_or(read, |since| read.min(since));
                peer.await_next_head();
                taken.mark_open();
                let give_up = came + patience;
                if Instant::now() >= give_up {
                    return Ok(Answered::new(FinalAnswer::Failed(StatusCode::GATEWAY_TIMEOUT), taken));
                    // too late to begin
                }
                (give_up, RequestPayload::Buffered(held), Err(taken))
            }
            Some(rest) => {
                let upload = Rc::new(StreamingUpload::new(
                    held,
                    rest,
                    length,
                    patience,
                    taken,
                    client.clone(),
                    peer.marks.clone(),
                ));
                (Instant::now() + UPLOAD, RequestPayload::Streaming(upload.clone()), Ok(upload))
            }
        };
        let give_up = self.gateway.shutdown_deadline().map_or(give_up, |by| give_up.min(by));
        let id = self.gateway.next_request();
        // By the numbers in force now, which the gateway goes by: those of before may be another customer's. One that is not in the
        // settings has none, and nobody else's.
        let tenant = text(headers, "x-tenant-id");
        let tenant = self.terms.borrow().tenant(tenant);
        let request = weldworks_balancer::Request {
            id,
            class: kept.number,
            tenant,
            key: subject(headers).map(stable_hash),
            cost_hint: cost,
            is_client_retry: text(headers, "x-retried") == Some("1"),
            admission_share: 1.0,
            client_deadline: self.gateway.balancer_time(give_up),
            body_streaming: upload.is_ok(),
        };
        let passed_on = |(name, value): (&HeaderName, &HeaderValue)| {
            PASSED_ON.contains(name).then(|| (name.clone(), value.clone()))
        };
        let headers = headers.iter().filter_map(passed_on).collect();
        let forward = ForwardedRequest { method: head.method, uri: origin_form(&head.uri), headers, body };
        let (answer, decided) = oneshot::channel();
        let owed = Owed { gateway: self.gateway.clone(), id, client: client.clone() };
        let class = kept.clone();
        self.gateway.send(Message::RequestArrived(Box::new(Arrival {
            request,
            request_id: number,
            forward,
            class,
            answer,
            client,
        })));
        let decided = decided.await;
        owed.client.end();
        let decided = decided.unwrap_or(FinalAnswer::Failed(StatusCode::BAD_GATEWAY));
        let upload = match upload {
            Err(taken) => return Ok(Answered::new(decided, taken)),
            Ok(upload) => upload,
        };
        let passage = upload.state();
        let taken = upload
            .take_counted_request()
            .unwrap_or_else(|| CountedRequest::new(self.service.figures.clone(), kept));
        if passage == TransferState::Complete {
            peer.await_next_head();
            return Ok(Answered::new(decided, taken));
        }
        // The client writes on, and reads that it is over once it has ended, or has no more to say.
        spawn_local(async move { upload.discard(DISCARD).await });
        if let TransferState::Failed(fault) = passage {
            return Err(fault.into());
        }
        Ok(Answered { close: true, ..Answered::new(decided, taken) })
    }
}

/// How a request was decided.
struct Answered {
    answer: FinalAnswer,
    /// Its body has not been read to the end.
    close: bool,
}

impl Answered {
    /// Counts it, or has its body do so once that has passed.
    fn new(mut answer: FinalAnswer, counted: CountedRequest) -> Answered {
        match &mut answer {
            FinalAnswer::Served(UpstreamResponse { body: ResponseBody::Streaming { taken, .. }, .. }) => {
                *taken = Some(counted)
            }
            FinalAnswer::Served(_) => counted.finish(RequestEnding::Answered),
            FinalAnswer::Rejected { .. } => counted.finish(RequestEnding::Deferred),
            FinalAnswer::Failed(_) => counted.finish(RequestEnding::Errored),
        }
        Answered { answer, close: false }
    }
}

/// What a host is asked for: a target that names a host as well goes on without it.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), Uri::from)
}

pub(super) fn plain(status: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Buffered(Bytes::copy_from_slice(text.as_bytes())));
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
