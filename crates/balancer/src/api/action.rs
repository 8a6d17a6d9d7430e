//! Actions that the balancer asks the gateway to carry out.

use super::{EndpointId, RequestId};
use std::time::Duration;

/// An action for the gateway to carry out, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the request to the endpoint and time it out at `deadline`.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// When the attempt times out.
        deadline: Duration,
        /// The latest time for its last byte to be written, where an earlier attempt was possibly processed: endpoints recognize a
        /// repeat until then. An attempt not written by then ends as [`Outcome::NotSent`](super::Outcome::NotSent).
        write_by: Option<Duration>,
    },
    /// Change the deadline of the request's attempts in flight.
    SetAttemptDeadline {
        /// The request.
        request: RequestId,
        /// When the attempts time out.
        deadline: Duration,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt, numbered from 0 in the order sent.
        attempt: u32,
    },
    /// Final answer: rejected. The client may safely try again.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before that; zero for no advice.
        retry_after: Duration,
    },
    /// Final answer: failed. The request was possibly processed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Send an [`Event::Timer`](super::Event::Timer) after this time.
    SetTimer {
        /// The time from now.
        after: Duration,
        /// Given back with the event.
        token: u64,
    },
    /// Send a health check to the endpoint. The balancer sends none at present.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Close the idle connections to the endpoint.
    CloseIdleConnections {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Ask discovery for all changes from now on; answered by [`Event::EndpointList`](super::Event::EndpointList) or
    /// [`Event::DiscoveryFailed`](super::Event::DiscoveryFailed).
    PollDiscovery,
}
