//! Requests of clients, and how attempts at them end.

use std::time::Duration;

/// The number of a request. The gateway uses each number once and never uses 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A request from a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request's number.
    pub id: RequestId,
    /// The request's class, as an index into [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// The request's tenant, as an index into [`Settings::tenant_quotas`](super::Settings::tenant_quotas).
    /// The balancer does not use the tenant.
    pub tenant: usize,
    /// The [`stable_hash`](super::stable_hash) of what the request is about; requests with the same key are related.
    pub key: Option<u64>,
    /// The client's estimate of the request's work, as time on a standard core.
    pub cost_hint: Option<Duration>,
    /// Whether the client marks the request as a retry.
    pub is_client_retry: bool,
    /// Factor on the concurrency limit for this request. Below 1 the request is shed while others are admitted.
    /// Above 1 the request is admitted while others are shed. At 0 the request is admitted only when no request is in flight.
    pub admission_share: f64,
    /// Time until which the client waits for an answer.
    pub client_deadline: Duration,
    /// Whether the request's body is still arriving and is forwarded to one endpoint as it arrives.
    /// The latency objective then counts from [`Event::BodyForwarded`](super::Event::BodyForwarded).
    pub body_streaming: bool,
}

impl Request {
    /// A request of tenant 0 without key, cost hint or streamed body.
    pub fn new(id: RequestId, class: usize, client_deadline: Duration) -> Self {
        Request {
            id,
            class,
            tenant: 0,
            key: None,
            cost_hint: None,
            is_client_retry: false,
            admission_share: 1.0,
            client_deadline,
            body_streaming: false,
        }
    }
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint served the request.
    Served,
    /// The endpoint answered with an error; the request was possibly processed.
    Error,
    /// The endpoint rejected the request without processing it.
    Rejected,
    /// There was no answer by the attempt's deadline; the request was possibly processed or is still being processed.
    TimedOut,
    /// The request was not completely written, for instance because no connection could be opened, so it was not processed.
    NoConnection,
    /// The connection broke; the request was possibly processed.
    Reset,
    /// The gateway cancelled the attempt; the request was possibly processed.
    Cancelled,
    /// The gateway did not send the attempt; the request was not processed.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the endpoint did not process the request.
    pub fn proves_not_processed(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::NoConnection | Outcome::NotSent)
    }
}
