//! The bounded queue of frames to be written to a peer. A peer that stops reading loses its link; once it reconnects, it gets the missed
//! changes from the consensus log or as a snapshot.

use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use tokio::sync::Notify;
use weldworks_fleet::protocol::MAX_FRAME_BYTES;

/// Maximum number of frames queued for one peer.
const MAX_QUEUED_FRAMES: usize = 4096;
/// Maximum number of bytes queued for a voting member: a snapshot of the state machine and 4 MiB of later frames.
const MAX_QUEUED_BYTES_TO_VOTER: usize = MAX_FRAME_BYTES + (4 << 20);
/// Maximum number of bytes queued for a gateway without a vote. It gets only updates, and the limit is small because hundreds of such
/// gateways may be slow at the same time.
const MAX_QUEUED_BYTES_TO_OTHER: usize = 256 << 10;

/// Whether a peer is a voting member of the consensus group or another gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerRole {
    Voter,
    Other,
}

/// The queue of frames for one peer.
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

    /// Queues a frame. If the frame exceeds the queue's bounds, the queue and its link are closed, which is not logged here.
    pub(super) fn push(&self, frame: Vec<u8>) {
        let queued_bytes = self.queued_bytes.get() + frame.len();
        let mut frames = self.frames.borrow_mut();
        if queued_bytes > self.max_bytes || frames.len() >= MAX_QUEUED_FRAMES {
            return self.close();
        }
        self.queued_bytes.set(queued_bytes);
        frames.push_back(frame.into());
        self.frame_queued.notify_one();
    }

    /// Marks the queue as closed, which makes the link's task end.
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

#[cfg(test)]
mod tests;
