//! Retries a write that waits for room in the kernel's send buffer, and ends the wait once the peer has stalled.
//!
//! The kernel reports a full send buffer as writable only once about a third of the buffer is free. The buffer holds up to several
//! megabytes, so a peer that reads steadily at the lowest rate may take more than [`PEER_STALL_TIMEOUT`] to free that much. A write
//! succeeds as soon as there is any room, so only a write shows whether the peer has read.

use super::stream::is_transient;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::{sleep_until, Instant, Sleep};
use tracing::debug;
use weldworks_control::body_streaming::PEER_STALL_TIMEOUT;

/// Interval between retries of a blocked write for which the runtime reports no readiness.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The wait of one connection for room in its send buffer.
#[derive(Debug)]
pub(super) struct BlockedWrite {
    /// Start of the wait, since which the peer has taken no byte.
    since: Instant,
    retry_timer: Pin<Box<Sleep>>,
}

impl BlockedWrite {
    /// Starts the wait.
    pub(super) fn new() -> BlockedWrite {
        let since = Instant::now();
        BlockedWrite { since, retry_timer: Box::pin(sleep_until(since + WRITE_RETRY_INTERVAL)) }
    }

    /// Calls `write`, which must not depend on the readiness that the runtime has recorded, at each interval until it succeeds or fails.
    ///
    /// # Errors
    /// The error of `write`, or `TimedOut` once the kernel has accepted no byte for [`PEER_STALL_TIMEOUT`].
    pub(super) fn poll_retry(
        &mut self,
        cx: &mut Context<'_>,
        write: impl Fn() -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.retry_timer.as_mut().poll(cx));
            let blocked_ms = self.since.elapsed().as_millis() as u64;
            match write() {
                Err(error) if is_transient(&error) => {}
                written => {
                    debug!(blocked_ms, ?written, "blocked write retried before the poller reported room");
                    return Poll::Ready(written);
                }
            }
            if self.since.elapsed() >= PEER_STALL_TIMEOUT {
                debug!(blocked_ms, "peer takes no byte, connection abandoned");
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            self.retry_timer.as_mut().reset(Instant::now() + WRITE_RETRY_INTERVAL);
        }
    }
}
