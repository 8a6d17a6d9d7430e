//! Events that the gateway reports to the balancer.

use super::{Endpoint, EndpointId, LoadReport, Outcome, Request, RequestId};
use std::time::Duration;

/// Why a poll of discovery failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollFailure {
    /// Discovery could not be reached, or was silent until the poll was abandoned.
    Unreachable,
    /// Discovery was reached and ended the poll without an endpoint list, as it does with too many polls at once.
    TurnedAway,
}

/// An event at the gateway.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// Discovery has sent an endpoint list, complete or as a delta.
    EndpointList {
        /// Whether the list is a snapshot, so that an endpoint missing from it is removed; otherwise the list is a delta.
        is_snapshot: bool,
        /// The entries of the endpoint list.
        endpoints: &'a [Endpoint],
    },
    /// An [`Action::PollDiscovery`](super::Action::PollDiscovery) failed, or its subscription broke.
    DiscoveryFailed {
        /// How long a broken subscription had been silent. Ignored after a failed poll, whose duration the balancer knows.
        silent_for: Duration,
        /// Why the poll failed. Ignored after a broken subscription.
        cause: PollFailure,
    },
    /// The gateway uses another discovery service from now on, which has not answered yet:
    /// that service is polled soon, even if a later poll was scheduled.
    DiscoveryChanged,
    /// A client has sent a request. From here on the client is owed exactly one final answer.
    Request(Request),
    /// The first byte of a [streamed body](Request::body_streaming) was forwarded: the request can have no further attempt.
    BodyForwardingStarted {
        /// The request whose body is forwarded.
        request: RequestId,
    },
    /// The last byte of a [streamed body](Request::body_streaming) was forwarded:
    /// the latency objective of the request and the latency of its attempt count from now.
    BodyForwarded {
        /// The request whose body is complete.
        request: RequestId,
        /// Time until which the client waits for an answer.
        client_deadline: Duration,
    },
    /// A response is being forwarded while it is received. The endpoint of the request can no longer change,
    /// the request's deadlines no longer apply, and the time that the rest of the response takes is not a latency sample.
    /// No [`Event::AttemptEnded`] follows for this attempt.
    ResponseStarted {
        /// The request that the response answers.
        request: RequestId,
        /// The attempt that is answered, numbered from 0 in the order in which the request's attempts were sent.
        attempt: u32,
        /// Time from the send of the attempt to the start of its response.
        latency: Duration,
    },
    /// An attempt has ended. Reported once for each [`Action::Send`](super::Action::Send),
    /// unless [`Event::ResponseStarted`] was reported for the attempt.
    AttemptEnded {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt that has ended, numbered from 0 in the order in which the request's attempts were sent.
        attempt: u32,
        /// Time from the send of the attempt to its end.
        latency: Duration,
        /// How the attempt ended.
        outcome: Outcome,
        /// Whether the client has its final answer. Must be true with [`Outcome::Served`]; where it is false the request is retried.
        request_ended: bool,
    },
    /// A response carried a load report. The gateway reports this before the [`Event::AttemptEnded`] of the attempt.
    LoadReport {
        /// The endpoint that reports its load.
        endpoint: EndpointId,
        /// The load that the endpoint reports.
        report: LoadReport,
    },
    /// An endpoint closed an idle connection that the gateway would have kept open.
    IdleConnectionClosed {
        /// The endpoint that closed the connection.
        endpoint: EndpointId,
        /// How long the connection had been idle.
        idle: Duration,
        /// The number of idle connections to the endpoint that remain.
        remaining: usize,
    },
    /// The client has disconnected: its request has ended.
    ClientDisconnected {
        /// The request whose client has disconnected.
        request: RequestId,
    },
    /// A timer set by [`Action::SetTimer`](super::Action::SetTimer) is due.
    Timer {
        /// The token of the [`Action::SetTimer`](super::Action::SetTimer) that set the timer.
        token: u64,
    },
    /// A health check of an endpoint has ended.
    ProbeEnded {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// How the health check ended.
        outcome: Outcome,
        /// Time from the send of the health check to its end.
        latency: Duration,
    },
}
