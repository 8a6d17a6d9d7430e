//! The links to peers that are up, and the log of their failures.

use super::send_queue::SendQueue;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::time::{Duration, Instant};
use tracing::warn;
use weldworks_fleet::protocol::{self, Frame};
use weldworks_fleet::version::GatewayName;

/// Interval at which the same failure of the same peer is logged.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Most peers and addresses whose last failure is remembered.
const MAX_LOGGED_FAILURES: usize = 256;

/// The last failure that was logged of a peer or address.
struct LoggedFailure {
    text: String,
    logged_at: Instant,
}

/// The links that are up, one for each peer.
#[derive(Default)]
pub(super) struct Links {
    queues: BTreeMap<GatewayName, Rc<SendQueue>>,
    logged_failures: BTreeMap<String, LoggedFailure>,
}

impl Links {
    /// Queues a frame for a peer; without a link to it the frame is dropped.
    pub(super) fn send(&mut self, to: &str, frame: &Frame) {
        let Some(queue) = self.queues.get(to) else { return };
        match protocol::encode_frame(frame) {
            Some(bytes) => queue.push(bytes),
            None => warn!(peer = to, "fleet: frame exceeds the link's limit, not sent"),
        }
    }

    /// Closes the link to a peer.
    pub(super) fn close(&mut self, peer: &str) {
        if let Some(queue) = self.queues.get(peer) {
            queue.close();
        }
    }

    /// Registers a new link to a peer; an earlier one is closed.
    pub(super) fn insert(&mut self, peer: &str, queue: Rc<SendQueue>) {
        if let Some(earlier) = self.queues.insert(peer.to_owned(), queue) {
            earlier.close();
        }
    }

    /// Removes a link. Gives whether it was the peer's current one.
    pub(super) fn remove(&mut self, peer: &str, queue: &Rc<SendQueue>) -> bool {
        let is_current = self.queues.get(peer).is_some_and(|current| Rc::ptr_eq(current, queue));
        if is_current {
            self.queues.remove(peer);
        }
        is_current
    }

    /// Logs a failure of a peer or address, the same one only once in [`FAILURE_LOG_INTERVAL`].
    pub(super) fn log_failure(&mut self, peer: &str, error: &str) {
        let now = Instant::now();
        let is_repeated = self
            .logged_failures
            .get(peer)
            .is_some_and(|last| last.text == error && now - last.logged_at < FAILURE_LOG_INTERVAL);
        if is_repeated {
            return;
        }
        if self.logged_failures.len() > MAX_LOGGED_FAILURES {
            self.logged_failures.clear();
        }
        let failure = LoggedFailure { text: error.to_owned(), logged_at: now };
        self.logged_failures.insert(peer.to_owned(), failure);
        warn!(peer, %error, "fleet: link failed");
    }
}
