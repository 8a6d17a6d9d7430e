//! Frames that wait to be written to a peer. The queue is bounded: a peer that does not read loses its link, and gets what it missed
//! from the consensus log, or as a snapshot, once it is back.

use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::{Duration, Instant};
use tracing::warn;
use weldworks_fleet::protocol::{self, Frame, MAX_FRAME_BYTES};
use weldworks_fleet::version::GatewayName;

/// Most frames that wait for one peer.
const MAX_QUEUED_FRAMES: usize = 4096;
/// Most bytes that wait for a voting member: a snapshot of the state machine and what follows it.
const MAX_QUEUED_BYTES_TO_VOTER: usize = MAX_FRAME_BYTES + (4 << 20);
/// Most bytes that wait for any other gateway, which gets updates alone: hundreds of them may be slow at once.
const MAX_QUEUED_BYTES_TO_OTHER: usize = 256 << 10;
/// Interval at which the same failure of the same peer is logged.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Most peers and addresses whose last failure is remembered.
const MAX_LOGGED_FAILURES: usize = 256;

/// What a peer is to the consensus group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerRole {
    Voter,
    Other,
}

/// The frames that wait for one peer.
#[derive(Default)]
pub(super) struct SendQueue {
    max_bytes: usize,
    frames: RefCell<VecDeque<Bytes>>,
    queued_bytes: Cell<usize>,
    frame_queued: Notify,
    closed: Notify,
    is_closed: Cell<bool>,
}

impl SendQueue {
    pub(super) fn new(role: PeerRole) -> SendQueue {
        let max_bytes = match role {
            PeerRole::Voter => MAX_QUEUED_BYTES_TO_VOTER,
            PeerRole::Other => MAX_QUEUED_BYTES_TO_OTHER,
        };
        SendQueue { max_bytes, ..SendQueue::default() }
    }

    /// Queues a frame. A queue without room for it is closed.
    fn push(&self, frame: Vec<u8>) {
        let queued_bytes = self.queued_bytes.get() + frame.len();
        let mut frames = self.frames.borrow_mut();
        if queued_bytes > self.max_bytes || frames.len() >= MAX_QUEUED_FRAMES {
            return self.close();
        }
        self.queued_bytes.set(queued_bytes);
        frames.push_back(frame.into());
        self.frame_queued.notify_one();
    }

    /// Asks the link's task to end.
    pub(super) fn close(&self) {
        self.is_closed.set(true);
        self.closed.notify_one();
    }

    pub(super) fn is_closed(&self) -> bool {
        self.is_closed.get()
    }

    /// Waits until the queue is closed.
    pub(super) async fn wait_until_closed(&self) {
        self.closed.notified().await;
    }

    /// Takes the next frame, if one is queued.
    pub(super) fn try_next(&self) -> Option<Bytes> {
        let frame = self.frames.borrow_mut().pop_front()?;
        self.queued_bytes.set(self.queued_bytes.get() - frame.len());
        Some(frame)
    }

    /// Waits for the next frame.
    pub(super) async fn next(&self) -> Bytes {
        loop {
            if let Some(frame) = self.try_next() {
                return frame;
            }
            self.frame_queued.notified().await;
        }
    }
}

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

#[cfg(test)]
mod tests;
