//! Frames that must not be sent before consensus records are on disk.
//!
//! If a member sent a promise to others and lost it in a crash, the consensus group could decide twice. So a frame is held back until the
//! last batch of records that was passed to the store before that frame is on disk.

use std::collections::VecDeque;
use weldworks_fleet::protocol::Frame;
use weldworks_fleet::version::GatewayName;

/// Maximum number of frames held back for one batch. Further frames, as when a disk hangs, are dropped; the consensus library resends
/// them.
const MAX_HELD_FRAMES: usize = 4096;

/// A frame and the gateway that it is sent to.
pub(super) struct OutgoingFrame {
    pub(super) to: GatewayName,
    pub(super) frame: Frame,
}

/// The frames held back until one batch of records is on disk.
struct PendingBatch {
    number: u64,
    frames: Vec<OutgoingFrame>,
}

/// All frames that are held back, oldest batch first.
#[derive(Default)]
pub(super) struct HeldFrames {
    batches: VecDeque<PendingBatch>,
}

impl HeldFrames {
    /// Holds back all further frames until the batch of this number is on disk.
    pub(super) fn start_batch(&mut self, number: u64) {
        self.batches.push_back(PendingBatch { number, frames: Vec::new() });
    }

    /// Holds back a frame until the last batch is on disk. Returns the frame if no batch is pending, so that it is sent at once.
    pub(super) fn hold(&mut self, frame: OutgoingFrame) -> Option<OutgoingFrame> {
        let Some(batch) = self.batches.back_mut() else { return Some(frame) };
        if batch.frames.len() < MAX_HELD_FRAMES {
            batch.frames.push(frame);
        }
        None
    }

    /// Takes the frames that were held back for batches up to the number `written`, in order.
    pub(super) fn release(&mut self, written: u64) -> Vec<OutgoingFrame> {
        let mut released = Vec::new();
        while self.batches.front().is_some_and(|batch| batch.number <= written) {
            released.extend(self.batches.pop_front().into_iter().flat_map(|batch| batch.frames));
        }
        released
    }

    /// Drops all frames that are held back.
    pub(super) fn clear(&mut self) {
        self.batches.clear();
    }
}
