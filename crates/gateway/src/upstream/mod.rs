//! Connections to endpoints, and the attempts that are made on them: one attempt at a time on each connection.

mod attempt;
mod attempt_monitor;
mod connect;
mod connection;
mod deadline;
mod headers;
mod pool;
mod response_reader;
mod response_stream;
mod response_wait;

pub use attempt::{Attempt, AttemptProgress, AttemptResult, RetryAfterWrite};
pub use attempt_monitor::{AttemptMonitor, AttemptPhase};
pub use deadline::Deadline;
pub use pool::{ClosedIdleConnection, ConnectionPool, ConnectionSettings};

use std::cell::Cell;
use std::net::SocketAddr;
use weldworks_balancer::EndpointId;

/// The connection side of an endpoint.
#[derive(Debug)]
pub struct UpstreamEndpoint {
    /// The endpoint's id, which may be reused for another endpoint after this endpoint is removed.
    pub id: EndpointId,
    /// The address at which the endpoint listens; `None` where no valid address was listed.
    pub address: Cell<Option<SocketAddr>>,
    /// Whether new requests may be sent to the endpoint.
    pub accepts_requests: Cell<bool>,
}

#[cfg(test)]
mod tests;
