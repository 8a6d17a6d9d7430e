//! Parses and validates the head of a client's request.

use super::client_connection::ClientConnection;
use super::request_settings::RequestSettings;
use crate::limits::MAX_BODY_BYTES;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use weldworks_control::body_streaming::BodyError;
use weldworks_control::class_registry::{ClassError, RegisteredClass, RequestForm};

/// Safety margin between sending a response and the client's timeout, for the network and for a busy machine.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);

/// Headers that must not be repeated: an endpoint that uses the other value would understand a different request.
const SINGLE_VALUED_HEADERS: [&str; 6] = [
    "x-request-id",
    "x-priority-class",
    "idempotency-key",
    "x-timeout",
    "content-length",
    "transfer-encoding",
];

/// Why a request is rejected as malformed. The message is sent to the client as the body of the response.
#[derive(Debug, thiserror::Error)]
pub(super) enum MalformedRequest {
    #[error("X-Request-ID is missing")]
    MissingRequestId,
    #[error("{0} comes more than once")]
    RepeatedHeader(&'static str),
    #[error("a body needs a Content-Length, or Transfer-Encoding: chunked")]
    MissingLength,
    #[error("Content-Length beside Transfer-Encoding: where the request ends is in doubt")]
    AmbiguousLength,
    #[error("a request of this class has no body")]
    UnexpectedBody,
    #[error("X-Priority-Class names no class")]
    UnknownClass,
    #[error("the path is not that of the class")]
    PathMismatch,
    #[error("the method is not that of the class")]
    MethodMismatch,
    #[error("Idempotency-Key does not go with the class")]
    IdempotencyKeyMismatch,
    #[error("X-Timeout is no time to wait")]
    InvalidTimeout,
    #[error("X-Cost is no amount of work")]
    InvalidCost,
    #[error("the body is too long")]
    BodyTooLong,
    #[error("the body has not come whole")]
    IncompleteBody,
}

impl From<BodyError> for MalformedRequest {
    fn from(error: BodyError) -> MalformedRequest {
        match error {
            BodyError::Incomplete => MalformedRequest::IncompleteBody,
            BodyError::TooLong => MalformedRequest::BodyTooLong,
        }
    }
}

impl From<ClassError> for MalformedRequest {
    fn from(error: ClassError) -> MalformedRequest {
        match error {
            ClassError::Unknown => MalformedRequest::UnknownClass,
            ClassError::MethodMismatch => MalformedRequest::MethodMismatch,
            ClassError::KeyMismatch => MalformedRequest::IdempotencyKeyMismatch,
        }
    }
}

impl MalformedRequest {
    /// The status of the response to the malformed request.
    pub(super) fn status(&self) -> StatusCode {
        match self {
            MalformedRequest::MethodMismatch => StatusCode::METHOD_NOT_ALLOWED,
            MalformedRequest::MissingLength => StatusCode::LENGTH_REQUIRED,
            MalformedRequest::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            MalformedRequest::IncompleteBody => StatusCode::REQUEST_TIMEOUT,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// The validated head of a well-formed request.
pub(super) struct RequestHead {
    /// The client's identifier of the request, `X-Request-ID`.
    pub(super) request_id: HeaderValue,
    pub(super) class: Rc<RegisteredClass>,
    /// Time from the request's last byte within which the gateway must answer: the shorter of `X-Timeout` (a number followed by `m` for
    /// milliseconds or `u` for microseconds) and the class's deadline, less [`RESPONSE_MARGIN`].
    pub(super) answer_timeout: Duration,
    /// The client's estimate of the request's cost, `X-Cost`.
    pub(super) cost_hint: Option<Duration>,
    /// Length of the request body in bytes, if the head specifies it.
    pub(super) body_length: Option<u64>,
}

impl RequestHead {
    /// Validates a request head that is read at `now`, on the balancer's clock.
    ///
    /// # Errors
    /// The first error found in the request head.
    pub(super) fn parse(
        head: &Parts,
        body_length: Option<u64>,
        connection: &ClientConnection,
        settings: &RequestSettings,
        now: Duration,
    ) -> Result<RequestHead, MalformedRequest> {
        let headers = &head.headers;
        check_framing(headers, connection)?;
        if let Some(name) = repeated_header(headers) {
            return Err(MalformedRequest::RepeatedHeader(name));
        }
        let request_id = headers
            .get("x-request-id")
            .filter(|id| !id.is_empty())
            .ok_or(MalformedRequest::MissingRequestId)?
            .clone();
        if body_length.is_some_and(|length| length > MAX_BODY_BYTES) {
            return Err(MalformedRequest::BodyTooLong); // rejected before any of the body is read
        }
        let class = classify(head, settings, now)?;
        let answer_timeout = header_text(headers, "x-timeout")
            .and_then(parse_timeout)
            .ok_or(MalformedRequest::InvalidTimeout)?
            .min(class.class.deadline)
            .saturating_sub(RESPONSE_MARGIN);
        if head.method == Method::GET && body_length.is_some_and(|length| length > 0) {
            return Err(MalformedRequest::UnexpectedBody);
        }
        let cost_hint = parse_cost(headers)?;
        Ok(RequestHead { request_id, class, answer_timeout, cost_hint, body_length })
    }
}

/// Checks that the end of the request is unambiguous. The HTTP library drops a `Content-Length` that follows a `Transfer-Encoding`, so
/// the framing that the connection itself recorded is checked as well. Endpoints understand no encoding other than chunked.
fn check_framing(headers: &HeaderMap, connection: &ClientConnection) -> Result<(), MalformedRequest> {
    let Some(encoding) = headers.get(header::TRANSFER_ENCODING) else { return Ok(()) };
    if !encoding.as_bytes().eq_ignore_ascii_case(b"chunked") {
        return Err(MalformedRequest::MissingLength);
    }
    let has_length = headers.contains_key(header::CONTENT_LENGTH);
    if has_length || !connection.framing.borrow().is_unambiguous(connection.request_count.get()) {
        return Err(MalformedRequest::AmbiguousLength);
    }
    Ok(())
}

/// The first header of [`SINGLE_VALUED_HEADERS`] that is repeated.
fn repeated_header(headers: &HeaderMap) -> Option<&'static str> {
    SINGLE_VALUED_HEADERS.into_iter().find(|&name| headers.get_all(name).iter().nth(1).is_some())
}

/// Resolves the request class in `X-Priority-Class`, and checks that the path, method and idempotency key match the class.
fn classify(
    head: &Parts,
    settings: &RequestSettings,
    now: Duration,
) -> Result<Rc<RegisteredClass>, MalformedRequest> {
    let class_name = header_text(&head.headers, "x-priority-class").ok_or(MalformedRequest::UnknownClass)?;
    if head.uri.path().split('/').nth(1) != Some(class_name) {
        return Err(MalformedRequest::PathMismatch);
    }
    if head.method != Method::GET && head.method != Method::POST {
        return Err(MalformedRequest::MethodMismatch);
    }
    let idempotency_key = header_text(&head.headers, "idempotency-key");
    let form = RequestForm {
        is_write: head.method == Method::POST,
        has_idempotency_key: idempotency_key.is_some_and(|key| !key.is_empty()),
    };
    Ok(settings.classes.resolve(now, class_name, form)?.clone())
}

/// Parses `X-Cost`, the expected work of the request in microseconds.
fn parse_cost(headers: &HeaderMap) -> Result<Option<Duration>, MalformedRequest> {
    let Some(text) = header_text(headers, "x-cost") else { return Ok(None) };
    let cost_us = text.trim().parse().map_err(|_| MalformedRequest::InvalidCost)?;
    Ok(Some(Duration::from_micros(cost_us)))
}

/// Parses a timeout: a decimal number followed by the unit `m` for milliseconds or `u` for microseconds.
fn parse_timeout(text: &str) -> Option<Duration> {
    let text = text.trim();
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let unit_s = match unit {
        "m" => 1e-3,
        "u" => 1e-6,
        _ => return None,
    };
    let is_plain_decimal = number.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds = number.parse::<f64>().ok().filter(|_| is_plain_decimal)? * unit_s;
    Duration::try_from_secs_f64(seconds).ok().filter(|timeout| !timeout.is_zero())
}

/// The value of a header, if the header is present and its value is visible ASCII text.
pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
