//! Frames that must not leave before records are on disk.
//!
//! A member that has sent others a promise and then forgets it in a crash could make the group decide twice. So a frame waits for
//! the batch of records that was last handed to the store before it.

use std::collections::VecDeque;
use weldworks_fleet::protocol::Frame;
use weldworks_fleet::version::GatewayName;

/// Most frames that wait for one batch. Beyond it, when a disk hangs, frames are dropped; the consensus library resends them.
const MAX_HELD_FRAMES: usize = 4096;

/// A frame with its receiver.
pub(super) struct OutgoingFrame {
    pub(super) to: GatewayName,
    pub(super) frame: Frame,
}

/// The frames that wait for one batch of records.
struct PendingBatch {
    number: u64,
    frames: Vec<OutgoingFrame>,
}

/// All frames that wait, oldest batch first.
#[derive(Default)]
pub(super) struct HeldFrames {
    batches: VecDeque<PendingBatch>,
}

impl HeldFrames {
    /// Holds further frames until the batch of this number is on disk.
    pub(super) fn start_batch(&mut self, number: u64) {
        self.batches.push_back(PendingBatch { number, frames: Vec::new() });
    }

    /// Holds a frame behind the last batch. Gives it back if there is none, and it may leave at once.
    pub(super) fn hold(&mut self, frame: OutgoingFrame) -> Option<OutgoingFrame> {
        let Some(batch) = self.batches.back_mut() else { return Some(frame) };
        if batch.frames.len() < MAX_HELD_FRAMES {
            batch.frames.push(frame);
        }
        None
    }

    /// Takes the frames that waited for batches up to this one, in order.
    pub(super) fn release(&mut self, written: u64) -> Vec<OutgoingFrame> {
        let mut released = Vec::new();
        while self.batches.front().is_some_and(|batch| batch.number <= written) {
            released.extend(self.batches.pop_front().into_iter().flat_map(|batch| batch.frames));
        }
        released
    }

    /// Drops all frames.
    pub(super) fn clear(&mut self) {
        self.batches.clear();
    }
}
