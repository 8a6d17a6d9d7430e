//! Lower bound of when a client wrote the last byte of a body that is still arriving.
//!
//! The time of a request counts from its last byte, which may wait unread while the gateway waits for an endpoint. The bound moves only
//! where the bytes on the connection prove that the client was still writing. Times are on one monotonic clock of the caller.

use crate::body_streaming::CLIENT_BODY_IDLE_TIMEOUT;
use std::time::Duration;

/// Interval between two samples of a body that is still arriving.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// What is known of a client's connection at one moment, while the last byte of the body has not been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArrivalSample {
    /// Number of bytes that have arrived on the connection, read or not.
    pub arrived_bytes: u64,
    /// Number of bytes that have arrived and were not read.
    pub unread_bytes: u64,
    /// Whether the receive window is open and was not closed a moment ago, so that the client's send buffer holds nothing back.
    pub is_window_open: bool,
}

/// Lower bound of when the client wrote the last byte.
#[derive(Clone, Copy, Debug)]
pub struct LastByteBound {
    earliest: Duration,
    last_sample: Option<(Duration, ArrivalSample)>,
    /// When the last sample was taken that found more bytes than the one before.
    grew_at: Duration,
}

impl LastByteBound {
    /// Creates the bound of a body whose last byte was not written before `start`.
    pub fn new(start: Duration) -> LastByteBound {
        LastByteBound { earliest: start, last_sample: None, grew_at: start }
    }

    /// Records a sample that is taken at `now`.
    pub fn record_sample(&mut self, now: Duration, sample: ArrivalSample) {
        let previous = self.last_sample.replace((now, sample));
        let has_grown = previous.is_none_or(|(_, previous)| sample.arrived_bytes > previous.arrived_bytes);
        if has_grown {
            self.grew_at = now;
        }
        let has_stopped = now.saturating_sub(self.grew_at) >= CLIENT_BODY_IDLE_TIMEOUT;
        if sample.is_window_open && sample.unread_bytes == 0 && !has_stopped {
            // Everything that the client has written was read, and the last byte is not among it.
            self.earliest = now;
            return;
        }
        if let Some((sampled_at, previous)) = previous.filter(|_| has_grown) {
            if previous.is_window_open {
                // The bytes that arrived since the previous sample were written after it.
                self.earliest = self.earliest.max(sampled_at);
            }
        }
    }

    /// The earliest time at which the last byte may have been written.
    pub fn earliest(&self) -> Duration {
        self.earliest
    }
}
