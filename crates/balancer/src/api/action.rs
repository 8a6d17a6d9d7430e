//! Actions that the balancer asks the gateway to carry out.

use super::{EndpointId, RequestId};
use std::time::Duration;

/// An action for the gateway to carry out. The gateway carries out actions in the order in which the balancer returns them.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the request to the endpoint; the attempt times out at `deadline`.
    Send {
        /// The request to send.
        request: RequestId,
        /// The endpoint that the attempt is sent to.
        endpoint: EndpointId,
        /// Time on the gateway's clock at which the attempt times out.
        deadline: Duration,
        /// Latest time at which the last byte of the request may be written.
        /// The time is set where an earlier attempt was possibly processed, because endpoints recognize a repeated request only until then.
        /// An attempt not written by then ends as [`Outcome::NotSent`](super::Outcome::NotSent).
        write_by: Option<Duration>,
    },
    /// Change the deadline of the request's attempts in flight.
    SetAttemptDeadline {
        /// The request whose attempts get the new deadline.
        request: RequestId,
        /// Time on the gateway's clock at which the attempts in flight time out.
        deadline: Duration,
    },
    /// Cancel an attempt of a request.
    Cancel {
        /// The request whose attempt is cancelled.
        request: RequestId,
        /// The attempt to cancel, numbered from 0 in the order in which the request's attempts were sent.
        attempt: u32,
    },
    /// Final answer to the client: the request is rejected, and the client may safely retry it.
    Reject {
        /// The rejected request.
        request: RequestId,
        /// How long the client should wait before it retries the request (`Retry-After`); zero for no `Retry-After`.
        retry_after: Duration,
    },
    /// Final answer to the client: the request failed and was possibly processed.
    Fail {
        /// The failed request.
        request: RequestId,
    },
    /// Set a timer that sends an [`Event::Timer`](super::Event::Timer) when it is due.
    SetTimer {
        /// Time from now until the timer is due.
        after: Duration,
        /// Token that the timer event carries, so that the balancer recognizes the timer.
        token: u64,
    },
    /// Send a health check to the endpoint. The balancer sends no health checks at present.
    Probe {
        /// The endpoint to check.
        endpoint: EndpointId,
    },
    /// Close the idle connections to the endpoint.
    CloseIdleConnections {
        /// The endpoint whose idle connections are closed.
        endpoint: EndpointId,
    },
    /// Poll discovery and subscribe to its changes from now on; answered by [`Event::EndpointList`](super::Event::EndpointList) or
    /// [`Event::DiscoveryFailed`](super::Event::DiscoveryFailed).
    PollDiscovery,
}
