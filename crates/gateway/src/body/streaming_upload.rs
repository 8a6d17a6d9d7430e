//! A client's body that is streamed to an endpoint while it arrives.

use crate::metrics::RequestMetricsGuard;
use crate::transport::client_liveness::ClientLiveness;
use crate::transport::request_arrival::RequestArrival;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::{timeout, Instant};
use weldworks_control::body_streaming::{BodyError, BodyTransfer, TransferState};
use weldworks_control::last_byte_bound::LastByteBound;

/// How long the body's last byte may have waited unread before the client's connection must be checked.
/// The unread bytes may be all that the client wrote before it disconnected.
///
/// An attempt begins with the body's last byte, and no attempt may begin more than 0.1 s after its client has disconnected.
/// This limit is half of 0.1 s, as is `ASSUMED_CONNECTED_AFTER_READ` for buffered bodies.
const MAX_UNREAD_BEFORE_CLIENT_CHECK: Duration = Duration::from_millis(50);

/// The values from which a [`StreamingUpload`] is created.
pub struct UploadSource {
    /// The part of the body that has been read.
    pub buffered: Bytes,
    /// The part of the body that is still to be read.
    pub unread: Incoming,
    /// The length of the complete body in bytes, where the request states it.
    pub length: Option<u64>,
    /// Time limit for the gateway's answer, counted from the body's last byte.
    pub answer_timeout: Duration,
    /// Counts the request as open from the body's last byte on.
    pub metrics_guard: RequestMetricsGuard,
    /// Whether the client is still connected.
    pub client: Rc<ClientLiveness>,
    /// How far the request has arrived on the client's connection.
    pub arrival: RequestArrival,
}

/// How far a streamed body has come, for the log.
#[derive(Clone, Copy, Debug)]
#[expect(dead_code, reason = "the fields are read by the log, through `Debug`")]
pub struct UploadProgress {
    state: TransferState,
    /// Number of bytes of the body that were taken from the client's connection.
    received_bytes: u64,
    /// The length of the complete body in bytes, where the request states it.
    length: Option<u64>,
    /// Time since the earliest moment at which the client may have written its last byte.
    since_last_byte: Duration,
}

/// A client's body that is streamed while it arrives.
#[derive(Debug)]
pub struct StreamingUpload {
    /// The part of the body that was read before the upload was created; `None` once it has been forwarded.
    buffered: RefCell<Option<Bytes>>,
    unread: RefCell<Incoming>,
    pub(super) length: Option<u64>,
    /// Start of the upload, from which `transfer` counts its times.
    pub(super) start: Instant,
    pub(super) transfer: RefCell<BodyTransfer>,
    /// Time limit for the gateway's answer, counted from the body's last byte.
    pub answer_timeout: Duration,
    pub(super) client: Rc<ClientLiveness>,
    arrival: RequestArrival,
    /// Lower bound of when the client wrote the last byte, while that byte has not been read. Its times count from `start`.
    last_byte_bound: RefCell<LastByteBound>,
    /// The final bound, once the last byte has been read.
    last_byte_at: Cell<Option<Instant>>,
    /// Whether the request was answered, so that nothing more of the body may be forwarded.
    is_abandoned: Cell<bool>,
    /// Counts the request as open from the body's last byte on.
    metrics_guard: RefCell<Option<RequestMetricsGuard>>,
}

impl StreamingUpload {
    /// Creates the upload of a body whose first part has been read.
    pub fn new(source: UploadSource) -> StreamingUpload {
        StreamingUpload {
            transfer: RefCell::new(BodyTransfer::new(source.buffered.len() as u64)),
            buffered: RefCell::new(Some(source.buffered)),
            unread: RefCell::new(source.unread),
            length: source.length,
            start: Instant::now(),
            answer_timeout: source.answer_timeout,
            client: source.client,
            arrival: source.arrival,
            last_byte_bound: RefCell::new(LastByteBound::new(Duration::ZERO)),
            last_byte_at: Cell::new(None),
            is_abandoned: Cell::new(false),
            metrics_guard: RefCell::new(Some(source.metrics_guard)),
        }
    }

    /// Lower bound of when the client wrote the body's last byte, which is not before the start of the upload.
    pub fn earliest_last_byte_at(&self) -> Instant {
        if let Some(at) = self.last_byte_at.get() {
            return at;
        }
        let bound = self.start + self.last_byte_bound.borrow().earliest();
        let read_bound = self.arrival.io_state.arrival.earliest_write();
        let earliest = read_bound.map_or(bound, |at| at.max(bound));
        if self.arrival.is_read_completely() {
            // Later reads belong to the next request.
            self.last_byte_at.set(Some(earliest));
        }
        earliest
    }

    /// Observes whether the client is still writing, for [`StreamingUpload::earliest_last_byte_at`].
    pub fn observe_client(&self, now: Instant) {
        if let Some(sample) = self.arrival.sample(now) {
            self.last_byte_bound.borrow_mut().record_sample(now - self.start, sample);
        }
    }

    /// When the final answer is due, by what is known of the client's last byte.
    pub fn answer_deadline(&self) -> Instant {
        self.earliest_last_byte_at() + self.answer_timeout
    }

    /// Ends the forwarding of the body: its request was answered.
    pub fn abandon(&self) {
        self.is_abandoned.set(true);
    }

    /// Time that is left of the answer timeout, at least.
    pub fn time_left(&self) -> Duration {
        self.answer_timeout.saturating_sub(self.earliest_last_byte_at().elapsed())
    }

    /// Whether the body's last byte may have waited unread for so long that the client has disconnected since.
    pub(super) fn client_may_have_disconnected(&self) -> bool {
        self.earliest_last_byte_at().elapsed() >= MAX_UNREAD_BEFORE_CLIENT_CHECK
    }

    /// Takes the guard that counts the request, so that the caller can count how the request ends.
    pub fn take_metrics_guard(&self) -> Option<RequestMetricsGuard> {
        self.metrics_guard.take()
    }

    /// Reads and drops the rest of the body for up to `limit`.
    /// Otherwise a client that is still writing would be disconnected before it has read that its request has ended.
    pub async fn discard(&self, limit: Duration) {
        if self.state() == TransferState::Complete {
            return;
        }
        let rest = poll_fn(|cx| loop {
            // The borrow of the unread body ends before any other code runs.
            match ready!(Pin::new(&mut *self.unread.borrow_mut()).poll_frame(cx)) {
                Some(Ok(_)) => {}
                _ => return Poll::Ready(()),
            }
        });
        let _ = timeout(limit, rest).await;
    }

    /// The state of the transfer.
    pub fn state(&self) -> TransferState {
        self.transfer.borrow().state()
    }

    /// How far the transfer has come.
    pub fn progress(&self) -> UploadProgress {
        let transfer = self.transfer.borrow();
        UploadProgress {
            state: transfer.state(),
            received_bytes: transfer.received_bytes(),
            length: self.length,
            since_last_byte: self.earliest_last_byte_at().elapsed(),
        }
    }

    /// Deadline for the endpoint to accept more of the body; `None` while the transfer does not wait for the endpoint.
    pub fn endpoint_deadline(&self) -> Option<Instant> {
        Some(self.start + self.transfer.borrow().endpoint_deadline()?)
    }

    /// Deadline for the client to send more of the body.
    pub(super) fn client_deadline(&self) -> Instant {
        self.start + self.transfer.borrow_mut().next_client_data_deadline(self.start.elapsed())
    }

    /// Marks the transfer failed because its body is incomplete.
    pub(super) fn fail_incomplete(&self) -> BodyError {
        self.transfer.borrow_mut().fail(BodyError::Incomplete)
    }

    /// Polls for the next chunk of the body; resolves to `None` at the body's end.
    pub(super) fn poll_data(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if self.is_abandoned.get() {
            return Poll::Ready(Some(Err(BodyError::Incomplete)));
        }
        let now = self.start.elapsed();
        let mut transfer = self.transfer.borrow_mut();
        transfer.record_endpoint_ready(now);
        if let Some(buffered) = self.buffered.take() {
            self.record_end_if_reached(&mut transfer);
            return Poll::Ready(Some(Ok(buffered)));
        }
        loop {
            let frame = Pin::new(&mut *self.unread.borrow_mut()).poll_frame(cx);
            let data = match ready!(frame) {
                None => {
                    self.record_end_if_reached(&mut transfer);
                    return Poll::Ready(None);
                }
                Some(Err(_)) => return Poll::Ready(Some(Err(transfer.fail(BodyError::Incomplete)))),
                Some(Ok(frame)) => frame.into_data(),
            };
            let Ok(data) = data else { continue }; // trailers are not forwarded: they belong to the client's connection
            let received = transfer.record_received(now, data.len() as u64).map(|()| data);
            if received.is_ok() {
                self.record_end_if_reached(&mut transfer);
            }
            return Poll::Ready(Some(received));
        }
    }

    /// Records the end of the body where it has been reached. A body of known length ends with its last byte, and is not polled further.
    fn record_end_if_reached(&self, transfer: &mut BodyTransfer) {
        if !self.unread.borrow().is_end_stream() || transfer.state() == TransferState::Complete {
            return;
        }
        transfer.record_end();
        if let Some(metrics_guard) = &mut *self.metrics_guard.borrow_mut() {
            metrics_guard.mark_open();
        }
    }
}
