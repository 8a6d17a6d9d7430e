//! Retries a write that waits for room in the kernel's send buffer, and ends the wait once the peer has stalled.
//!
//! The kernel reports a full send buffer as writable only once about a third of the buffer is free. The buffer holds up to several
//! megabytes, so a peer that reads slowly and steadily may take many seconds to free that much, and would count as stalled meanwhile.
//! A write succeeds as soon as there is any room, so only a write shows whether the peer has read.

use super::stream::is_transient;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::{sleep_until, Instant, Sleep};
use tracing::debug;
use weldworks_control::body_streaming::reader_stall_timeout;

/// Interval between retries of a blocked write for which the runtime reports no readiness.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The wait of one connection for room in its send buffer, until the poller reports room.
#[derive(Debug)]
pub(super) struct BlockedWrite {
    /// Since when every write has found the send buffer full.
    full_since: Instant,
    /// Whether the last retry succeeded, so that there may be room for more.
    may_have_room: bool,
    retry_timer: Pin<Box<Sleep>>,
}

impl BlockedWrite {
    /// Starts the wait.
    pub(super) fn new() -> BlockedWrite {
        let now = Instant::now();
        BlockedWrite {
            full_since: now,
            may_have_room: false,
            retry_timer: Box::pin(sleep_until(now + WRITE_RETRY_INTERVAL)),
        }
    }

    /// Calls `write` at once if the previous call succeeded, and otherwise at each interval until a call succeeds or fails. `write` must
    /// not depend on the readiness that the runtime has recorded. `sent_bytes` is the number of bytes that the kernel has accepted on the
    /// connection so far.
    ///
    /// # Errors
    /// The error of `write`, or `TimedOut` once the kernel has accepted no byte for [`reader_stall_timeout`].
    pub(super) fn poll_retry(
        &mut self,
        cx: &mut Context<'_>,
        sent_bytes: u64,
        write: impl Fn() -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            let may_have_room = std::mem::take(&mut self.may_have_room);
            if !may_have_room {
                ready!(self.retry_timer.as_mut().poll(cx));
            }
            let now = Instant::now();
            let written = write();
            let is_full = matches!(&written, Err(error) if is_transient(error));
            if may_have_room && is_full {
                self.full_since = now;
            }
            let full_for = now - self.full_since;
            let full_for_ms = full_for.as_millis() as u64;
            if !is_full {
                if !may_have_room {
                    debug!(full_for_ms, ?written, "blocked write retried before the poller reported room");
                }
                self.may_have_room = true;
                return Poll::Ready(written);
            }
            if full_for >= reader_stall_timeout(sent_bytes) {
                debug!(full_for_ms, "peer takes no byte, connection abandoned");
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            self.retry_timer.as_mut().reset(now + WRITE_RETRY_INTERVAL);
        }
    }
}
