//! Requests of clients, and how attempts at them end.

use std::time::Duration;

/// The number of a request, used once by the gateway; never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A request from a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Its class, as an index into [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// Its tenant, as an index into [`Settings::tenant_quotas`](super::Settings::tenant_quotas). The
    /// balancer does not use it.
    pub tenant: usize,
    /// The [`stable_hash`](super::stable_hash) of its subject; requests of one key are related.
    pub key: Option<u64>,
    /// Expected work, as time on a standard core.
    pub cost_hint: Option<Duration>,
    /// Whether the client marks the request as a retry.
    pub is_client_retry: bool,
    /// Factor on the admission capacity for this request. Below 1 it is shed while others are admitted; above 1 it is admitted while
    /// others are shed; at 0 it is admitted only when nothing is in flight.
    pub admission_share: f64,
    /// Time until which the client waits for an answer.
    pub client_deadline: Duration,
    /// Whether its body is still arriving and is forwarded to one endpoint as it arrives. Its clock then starts with
    /// [`Event::BodyForwarded`](super::Event::BodyForwarded).
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
    /// Served.
    Served,
    /// The endpoint answered with an error; the request was possibly processed.
    Error,
    /// The endpoint rejected it without processing it.
    Rejected,
    /// There was no answer by the attempt's deadline; the request was possibly processed or still is.
    TimedOut,
    /// The request was not completely written, for instance because no connection could be opened; it was not processed.
    NoConnection,
    /// The connection broke; the request was possibly processed.
    Reset,
    /// The gateway cancelled it; the request was possibly processed.
    Cancelled,
    /// The gateway did not send it; the request was not processed.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the endpoint did not process the request.
    pub fn proves_not_processed(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::NoConnection | Outcome::NotSent)
    }
}
