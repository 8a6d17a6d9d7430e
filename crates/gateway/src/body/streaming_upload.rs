//! A client's body that is streamed to an endpoint while it arrives.

use crate::metrics::RequestMetricsGuard;
use crate::transport::client_liveness::ClientLiveness;
use crate::transport::instrumented_stream::IoState;
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

/// How long the last byte may have waited unread before the client has to be looked for: the unread bytes may be all that the client
/// wrote before it disconnected. An attempt begins with the last byte, and none may begin more than 0.1 s after its client has
/// disconnected; this is half of that, as is `ASSUMED_CONNECTED_AFTER_READ` for buffered bodies.
const MAX_UNREAD_BEFORE_CLIENT_CHECK: Duration = Duration::from_millis(50);

/// A wait of at least this long shows that what ends it arrived just then. What is there sooner may have lain unread.
const MIN_WAIT_FOR_FRESH_DATA: Duration = Duration::from_millis(20);

/// What a streamed body is made of.
pub struct UploadSource {
    /// The part of the body that has been read.
    pub buffered: Bytes,
    /// The part of the body that is still to be read.
    pub unread: Incoming,
    /// The length of the complete body in bytes, where the request states it.
    pub length: Option<u64>,
    /// Time from the last byte by which the gateway answers.
    pub answer_timeout: Duration,
    /// Counts the request as open from its last byte on.
    pub metrics_guard: RequestMetricsGuard,
    /// Whether the client is still connected.
    pub client: Rc<ClientLiveness>,
    /// The I/O on the client's connection.
    pub io_state: Rc<IoState>,
}

/// A client's body that is streamed while it arrives.
#[derive(Debug)]
pub struct StreamingUpload {
    /// What was read of it before it was forwarded.
    buffered: RefCell<Option<Bytes>>,
    unread: RefCell<Incoming>,
    pub(super) length: Option<u64>,
    /// The zero of the transfer's times.
    pub(super) start: Instant,
    pub(super) transfer: RefCell<BodyTransfer>,
    /// Time from the last byte by which the gateway answers.
    pub answer_timeout: Duration,
    pub(super) client: Rc<ClientLiveness>,
    io_state: Rc<IoState>,
    /// Since when more data is waited for.
    waiting_since: Cell<Option<Instant>>,
    /// When data last arrived after a wait.
    fresh_data_at: Cell<Option<Instant>>,
    /// Counts the request as open from its last byte on.
    metrics_guard: RefCell<Option<RequestMetricsGuard>>,
}

impl StreamingUpload {
    /// A body of which the first part has been read.
    pub fn new(source: UploadSource) -> StreamingUpload {
        StreamingUpload {
            transfer: RefCell::new(BodyTransfer::new(source.buffered.len() as u64)),
            buffered: RefCell::new(Some(source.buffered)),
            unread: RefCell::new(source.unread),
            length: source.length,
            start: Instant::now(),
            answer_timeout: source.answer_timeout,
            client: source.client,
            io_state: source.io_state,
            waiting_since: Cell::new(None),
            fresh_data_at: Cell::new(None),
            metrics_guard: RefCell::new(Some(source.metrics_guard)),
        }
    }

    /// Lower bound of when the body's last byte arrived: when the socket was last seen empty before the latest read.
    pub fn earliest_last_byte_at(&self) -> Instant {
        let known = [self.io_state.last_empty_before_read.get(), self.fresh_data_at.get()];
        known.into_iter().flatten().fold(self.start, Instant::max)
    }

    /// What is left of the answer timeout, at least.
    pub fn time_left(&self) -> Duration {
        self.answer_timeout.saturating_sub(self.earliest_last_byte_at().elapsed())
    }

    /// Whether the last byte may have waited so long that the client has disconnected since.
    pub(super) fn may_be_abandoned(&self) -> bool {
        self.earliest_last_byte_at().elapsed() >= MAX_UNREAD_BEFORE_CLIENT_CHECK
    }

    /// Takes the guard that counts the request, for whoever ends it.
    pub fn take_metrics_guard(&self) -> Option<RequestMetricsGuard> {
        self.metrics_guard.take()
    }

    /// Reads and drops the rest for up to `limit`: a client that is still writing would otherwise be cut off before it has read that
    /// its request is over.
    pub async fn discard(&self, limit: Duration) {
        if self.state() == TransferState::Complete {
            return;
        }
        let rest = poll_fn(|cx| loop {
            // Each borrow ends before anything else runs.
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

    /// By when the endpoint must take more of the body, where it is the endpoint that is waited for.
    pub fn endpoint_deadline(&self) -> Option<Instant> {
        Some(self.start + self.transfer.borrow().endpoint_deadline()?)
    }

    /// By when the client must send more of the body.
    pub(super) fn client_deadline(&self) -> Instant {
        self.start + self.transfer.borrow_mut().next_client_data_deadline(self.start.elapsed())
    }

    /// Marks the transfer failed because its body is incomplete.
    pub(super) fn fail_incomplete(&self) -> BodyError {
        self.transfer.borrow_mut().fail(BodyError::Incomplete)
    }

    /// The next piece of the body; none at its end.
    pub(super) fn poll_data(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let now = self.start.elapsed();
        let mut transfer = self.transfer.borrow_mut();
        transfer.record_endpoint_ready(now);
        if let Some(buffered) = self.buffered.take() {
            self.record_end_if_reached(&mut transfer);
            return Poll::Ready(Some(Ok(buffered)));
        }
        loop {
            let frame = Pin::new(&mut *self.unread.borrow_mut()).poll_frame(cx);
            self.record_wait(&frame);
            let data = match ready!(frame) {
                None => {
                    self.record_end_if_reached(&mut transfer);
                    return Poll::Ready(None);
                }
                Some(Err(_)) => return Poll::Ready(Some(Err(transfer.fail(BodyError::Incomplete)))),
                Some(Ok(frame)) => frame.into_data(),
            };
            let Ok(data) = data else { continue }; // trailers belong to the client's connection
            let received = transfer.record_received(now, data.len() as u64).map(|()| data);
            if received.is_ok() {
                self.record_end_if_reached(&mut transfer);
            }
            return Poll::Ready(Some(received));
        }
    }

    /// Records how long data has been waited for, and when it arrived after a wait. Data that is there at once may have lain unread.
    fn record_wait<T>(&self, frame: &Poll<T>) {
        let now = Instant::now();
        if frame.is_pending() {
            self.waiting_since.set(self.waiting_since.get().or(Some(now)));
        } else if self.waiting_since.take().is_some_and(|since| now - since >= MIN_WAIT_FOR_FRESH_DATA) {
            self.fresh_data_at.set(Some(now));
        }
    }

    /// Records the end of the body where it has been reached. A body of known length ends with its last byte: nobody polls further.
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
