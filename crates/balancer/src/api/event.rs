//! Events that the gateway reports to the balancer.

use super::{Endpoint, EndpointId, LoadReport, Outcome, Request, RequestId};
use std::time::Duration;

/// An event at the gateway.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// Discovery has sent an endpoint list.
    EndpointList {
        /// Whether the list is complete, so that an endpoint missing from it is removed; otherwise it holds changes.
        is_snapshot: bool,
        /// The entries.
        endpoints: &'a [Endpoint],
    },
    /// An [`Action::PollDiscovery`](super::Action::PollDiscovery) failed, or its subscription broke.
    DiscoveryFailed {
        /// How long a broken subscription had been silent; ignored where a poll failed, whose duration is known.
        silent_for: Duration,
    },
    /// Another discovery service is used from now on and has not answered yet: it is polled soon, even if a later poll was scheduled.
    DiscoveryChanged,
    /// A client has sent a request; one final answer is owed from here on.
    Request(Request),
    /// The first byte of a [streamed body](Request::body_streaming) was forwarded: no other attempt can follow.
    BodyForwardingStarted {
        /// The request.
        request: RequestId,
    },
    /// The last byte of a [streamed body](Request::body_streaming) was forwarded: the clock of the request and of its attempt starts.
    BodyForwarded {
        /// The request.
        request: RequestId,
        /// Time until which the client waits for an answer.
        client_deadline: Duration,
    },
    /// A response is being forwarded while it is received. The choice of endpoint is final, its deadlines no longer apply, and the duration
    /// of the rest is no latency sample. No outcome of the attempt follows.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt, numbered from 0 in the order sent.
        attempt: u32,
        /// The time since the send.
        latency: Duration,
    },
    /// An attempt has ended. Follows each [`Action::Send`](super::Action::Send), unless [`Event::ResponseStarted`] did.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt, numbered from 0 in the order sent.
        attempt: u32,
        /// The time since the send.
        latency: Duration,
        /// How it ended.
        outcome: Outcome,
        /// Whether a final answer has been given. Must be true with [`Outcome::Served`]; otherwise the request is retried.
        request_ended: bool,
    },
    /// A response carried a load report; sent ahead of the [`Event::AttemptEnded`] of its attempt.
    LoadReport {
        /// The endpoint.
        endpoint: EndpointId,
        /// The report.
        report: LoadReport,
    },
    /// The endpoint closed an idle connection that the gateway would have retained.
    IdleConnectionClosed {
        /// The endpoint.
        endpoint: EndpointId,
        /// How long the connection had been idle.
        idle: Duration,
        /// The number of idle connections to the endpoint that remain.
        remaining: usize,
    },
    /// The client has disconnected: the request is over.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer set by [`Action::SetTimer`](super::Action::SetTimer) is due.
    Timer {
        /// The token given there.
        token: u64,
    },
    /// A health check has ended.
    ProbeEnded {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// The time since the send.
        latency: Duration,
    },
}
