//! What an attempt is doing, as far as its connection shows, for the log.

use crate::transport::instrumented_stream::IoState;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::Instant;
use weldworks_control::execution::WriteProgress;

/// What an attempt is doing, or was doing when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptPhase {
    /// The attempt waits for a descriptor or for its connection.
    Connecting,
    /// The request is being written, and nothing of a response has been read.
    WritingRequest,
    /// The request is being written, although a part of a response has been read.
    WritingRequestAfterResponseStart,
    /// The request has been written completely, and nothing of a response has been read.
    AwaitingResponse,
    /// The request has been written completely, and a part of the response has been read.
    ReadingResponse,
}

/// Observes an attempt through the I/O state of its connection, also after the attempt has ended.
#[derive(Debug, Default)]
pub struct AttemptMonitor {
    io_state: RefCell<Option<Rc<IoState>>>,
}

impl AttemptMonitor {
    /// Records that the request is being written on the connection with this I/O state.
    pub(super) fn begin_exchange(&self, io_state: Rc<IoState>) {
        self.io_state.replace(Some(io_state));
    }

    /// What the attempt is doing.
    pub fn phase(&self) -> AttemptPhase {
        let io_state = self.io_state.borrow();
        let Some(io_state) = &*io_state else { return AttemptPhase::Connecting };
        let is_written = io_state.write_progress.get() == WriteProgress::Complete;
        let has_response_start = io_state.first_read_at.get().is_some();
        match (is_written, has_response_start) {
            (false, false) => AttemptPhase::WritingRequest,
            (false, true) => AttemptPhase::WritingRequestAfterResponseStart,
            (true, false) => AttemptPhase::AwaitingResponse,
            (true, true) => AttemptPhase::ReadingResponse,
        }
    }

    /// How many bytes of the request, its head included, the kernel has accepted.
    pub fn written_bytes(&self) -> u64 {
        self.io_state.borrow().as_ref().map_or(0, |io_state| io_state.request_bytes_written.get())
    }

    /// How much of the request has been written to the kernel.
    pub(super) fn write_progress(&self) -> WriteProgress {
        let io_state = self.io_state.borrow();
        io_state.as_ref().map_or(WriteProgress::Nothing, |io_state| io_state.write_progress.get())
    }

    /// When the request's last byte was written to the kernel; `None` where that byte was not written.
    pub(super) fn written_at(&self) -> Option<Instant> {
        self.io_state.borrow().as_ref().and_then(|io_state| io_state.written_at.get())
    }
}
