//! The links to peers that are currently up, and rate-limited logging of link failures.

use super::send_queue::SendQueue;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::time::{Duration, Instant};
use tracing::warn;
use weldworks_fleet::protocol::{self, Frame};
use weldworks_fleet::version::GatewayName;

/// Minimum interval between log lines for the same failure of the same peer.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Number of peers and addresses above which the record of logged failures is cleared.
const MAX_LOGGED_FAILURES: usize = 256;

/// The last failure that was logged for a peer or address.
struct LoggedFailure {
    text: String,
    logged_at: Instant,
}

/// The links that are up, at most one for each peer, with their last logged failures.
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

    /// Asks the task of a peer's link to end.
    pub(super) fn close(&mut self, peer: &str) {
        if let Some(queue) = self.queues.get(peer) {
            queue.close();
        }
    }

    /// Registers a new link to a peer, and closes an earlier link to the same peer.
    pub(super) fn insert(&mut self, peer: &str, queue: Rc<SendQueue>) {
        if let Some(earlier) = self.queues.insert(peer.to_owned(), queue) {
            earlier.close();
        }
    }

    /// Removes a link if it is the peer's current link, and returns whether it was.
    pub(super) fn remove(&mut self, peer: &str, queue: &Rc<SendQueue>) -> bool {
        let is_current = self.queues.get(peer).is_some_and(|current| Rc::ptr_eq(current, queue));
        if is_current {
            self.queues.remove(peer);
        }
        is_current
    }

    /// Logs a link failure of a peer or address. A repeated failure is logged at most once per [`FAILURE_LOG_INTERVAL`].
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
