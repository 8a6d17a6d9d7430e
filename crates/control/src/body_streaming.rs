//! Which bodies are buffered and which are streamed, and when a streamed body times out.
//!
//! Time limits apply to progress and never to the whole transfer: a long body may take as long as its slower side
//! needs. Times are on any clock of the caller that does not run backwards.

use std::time::Duration;

/// Longest body that is buffered as a whole, in bytes. A request whose body is buffered can be retried, and a broken
/// response that is buffered is noticed before any part of it is forwarded.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// Longest body that either side may send, in bytes.
pub const MAX_BODY_BYTES: u64 = 32 << 20;

/// Rate that a client's body has to reach, in bytes per second, once [`CLIENT_BODY_GRACE`] has passed: half of 64 kB/s,
/// the rate at which slow clients are guaranteed to be served.
const MIN_CLIENT_BODY_BYTES_PER_S: f64 = 32e3;
/// Total time that the gateway waits for body data of a client beside
/// the time that received bytes earn at [`MIN_CLIENT_BODY_BYTES_PER_S`].
const CLIENT_BODY_GRACE: Duration = Duration::from_millis(1500);
/// Time without body data after which a client counts as stopped, regardless of how much it sent before. The error
/// response to a stopped client is due within 3 s.
pub const CLIENT_BODY_IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Shortest time without progress after which one side of a streamed body counts as stalled; see also [`reader_stall_timeout`].
pub const PEER_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Rate at which slow readers are guaranteed to be served, in bytes per second.
const GUARANTEED_READ_BYTES_PER_S: f64 = 64e3;
/// A receiver whose buffer was full advertises a window again once it has freed the buffer's size divided by this, at the latest.
const RECEIVE_WINDOW_STEP_DIVISOR: u64 = 8;
/// Time without data after which a short response is abandoned if the request may be retried. An endpoint that keeps
/// the connection open after too few bytes would otherwise hold the request until the attempt times out, too late for a
/// retry.
const BUFFERED_RESPONSE_IDLE_TIMEOUT: Duration = Duration::from_millis(100);
/// The same for a response that may be long: an endpoint may write a long response slowly and with pauses.
const LONG_RESPONSE_IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time after its head within which a response without an announced length must prove to be long
/// to be waited for beyond the deadline of its attempt.
const UNANNOUNCED_RESPONSE_EXTENSION: Duration = Duration::from_millis(2500);
/// Time before the client's deadline at which the start of a long response is forwarded, so that it arrives in time.
const RESPONSE_START_MARGIN: Duration = Duration::from_millis(10);
/// Time after the first byte from which a response is streamed
/// if its announced length exceeds [`MAX_BUFFERED_BODY_BYTES`].
const STREAM_ANNOUNCED_AFTER: Duration = Duration::from_millis(40);
/// Time after the first byte from which a response without an announced length is streamed if
/// [`STREAM_UNANNOUNCED_MIN_BYTES`] were received. A short response would be complete by then.
const STREAM_UNANNOUNCED_AFTER: Duration = Duration::from_millis(60);
/// Least number of bytes received before a response without an announced length is streamed.
const STREAM_UNANNOUNCED_MIN_BYTES: u64 = 4 << 10;

/// Time without progress after which a peer that is sent data counts as stalled, if `sent_bytes` were sent on its connection so far.
///
/// While a receiver's buffer is full, the sender sees no progress until the receiver advertises a window again. A peer that reads at the
/// guaranteed rate must not count as stalled meanwhile. The receive buffer is assumed to be no larger than the data sent so far.
pub fn reader_stall_timeout(sent_bytes: u64) -> Duration {
    let window_step_bytes = sent_bytes.min(MAX_BODY_BYTES) / RECEIVE_WINDOW_STEP_DIVISOR;
    let window_step_time = Duration::from_secs_f64(window_step_bytes as f64 / GUARANTEED_READ_BYTES_PER_S);
    PEER_STALL_TIMEOUT.max(window_step_time)
}

/// Reason why a body did not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body arrived too slowly, its sender disconnected, or its connection broke.
    #[error("the body is incomplete")]
    Incomplete,
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("the body is longer than {MAX_BODY_BYTES} bytes")]
    TooLong,
}

/// Progress of a streamed body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TransferState {
    /// Nothing of the body has been handed to the writer of an endpoint's connection.
    #[default]
    NotForwarded,
    /// Part of the body has been handed to the writer of an endpoint's connection.
    PartlyForwarded,
    /// The whole body was received and has been handed to the writer of an endpoint's connection.
    Complete,
    /// The body did not complete.
    Failed(BodyError),
}

/// A body that is streamed from a client to an endpoint.
#[derive(Clone, Debug, Default)]
pub struct BodyTransfer {
    state: TransferState,
    received_bytes: u64,
    /// Total time spent waiting for the client, without the current wait.
    client_waited: Duration,
    /// Start of the current wait for the client.
    waiting_for_client_since: Option<Duration>,
    /// Time at which the endpoint last accepted part of the body.
    endpoint_progress_at: Duration,
}

impl BodyTransfer {
    /// Creates the transfer of a body of which `received_bytes` were received already.
    pub fn new(received_bytes: u64) -> BodyTransfer {
        BodyTransfer { received_bytes, ..BodyTransfer::default() }
    }

    /// Progress of the body.
    pub fn state(&self) -> TransferState {
        self.state
    }

    /// Number of bytes that were received from the client.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// Records that the endpoint has accepted all data that was forwarded to it and is ready for more.
    pub fn record_endpoint_ready(&mut self, now: Duration) {
        if self.state == TransferState::NotForwarded {
            self.state = TransferState::PartlyForwarded;
        }
        self.endpoint_progress_at = now;
    }

    /// Records that `bytes` were received from the client, which ends the wait for the client.
    ///
    /// # Errors
    /// [`BodyError::TooLong`] if the body exceeds [`MAX_BODY_BYTES`]; the transfer has failed then.
    pub fn record_received(&mut self, now: Duration, bytes: u64) -> Result<(), BodyError> {
        if let Some(since) = self.waiting_for_client_since.take() {
            self.client_waited += now.saturating_sub(since);
        }
        self.received_bytes = self.received_bytes.saturating_add(bytes);
        if self.received_bytes > MAX_BODY_BYTES {
            return Err(self.fail(BodyError::TooLong));
        }
        Ok(())
    }

    /// Starts the wait for data from the client, unless it has already started, and returns the time at which the wait
    /// ends. Time during which the endpoint is slow does not count against the client.
    pub fn next_client_data_deadline(&mut self, now: Duration) -> Duration {
        let since = *self.waiting_for_client_since.get_or_insert(now);
        let earned = Duration::from_secs_f64(self.received_bytes as f64 / MIN_CLIENT_BODY_BYTES_PER_S);
        let remaining = (CLIENT_BODY_GRACE + earned).saturating_sub(self.client_waited);
        since + remaining.min(CLIENT_BODY_IDLE_TIMEOUT)
    }

    /// Records that the body is complete.
    pub fn record_end(&mut self) {
        self.waiting_for_client_since = None;
        self.state = TransferState::Complete;
    }

    /// Ends the transfer with an error and returns the error.
    pub fn fail(&mut self, error: BodyError) -> BodyError {
        self.state = TransferState::Failed(error);
        error
    }

    /// Time by which the endpoint must accept more of the body;
    /// `None` while there is nothing for the endpoint to accept.
    pub fn endpoint_deadline(&self) -> Option<Duration> {
        let has_data = matches!(self.state, TransferState::PartlyForwarded | TransferState::Complete);
        if !has_data || self.waiting_for_client_since.is_some() {
            return None;
        }
        Some(self.endpoint_progress_at + reader_stall_timeout(self.received_bytes))
    }
}

/// How long a response may be, by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedLength {
    /// At most [`MAX_BUFFERED_BODY_BYTES`], or not a response that serves a request.
    Short,
    /// Not announced: more than [`MAX_BUFFERED_BODY_BYTES`] is possible.
    Unannounced,
    /// More than [`MAX_BUFFERED_BODY_BYTES`].
    Long,
}

impl ExpectedLength {
    /// The expected length of a response that serves its request, whose `Content-Length` is `announced_bytes`.
    pub fn of_served(announced_bytes: Option<u64>) -> ExpectedLength {
        match announced_bytes {
            None => ExpectedLength::Unannounced,
            Some(announced) if announced > MAX_BUFFERED_BODY_BYTES as u64 => ExpectedLength::Long,
            Some(_) => ExpectedLength::Short,
        }
    }

    /// How long after its head the response is waited for beyond the deadline of its attempt, within the client's deadline:
    /// only the start of a long response is due by then. `None` for no longer than the deadline of its attempt.
    pub fn deadline_extension(self) -> Option<Duration> {
        match self {
            ExpectedLength::Short => None,
            ExpectedLength::Unannounced => Some(UNANNOUNCED_RESPONSE_EXTENSION),
            ExpectedLength::Long => Some(Duration::MAX),
        }
    }

    /// How long before the client's deadline the response's head is forwarded, although nothing of the body has arrived;
    /// `None` for a response that is answered with an error instead.
    pub fn start_margin(self) -> Option<Duration> {
        match self {
            ExpectedLength::Long => Some(RESPONSE_START_MARGIN),
            ExpectedLength::Short | ExpectedLength::Unannounced => None,
        }
    }

    /// Time without data after which the response is abandoned if the request may be retried.
    fn idle_timeout(self) -> Duration {
        match self {
            ExpectedLength::Short => BUFFERED_RESPONSE_IDLE_TIMEOUT,
            ExpectedLength::Unannounced | ExpectedLength::Long => LONG_RESPONSE_IDLE_TIMEOUT,
        }
    }
}

/// What to do with a response while it is received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferingDecision {
    /// Buffer the response further: it may be complete soon.
    KeepBuffering,
    /// Stream the response from now on. This decision is final.
    Stream,
    /// Abandon the response: it is longer than [`MAX_BODY_BYTES`].
    TooLong,
}

/// Decides whether a response body is buffered or streamed.
#[derive(Clone, Copy, Debug)]
pub struct ResponseBuffering {
    announced_bytes: Option<u64>,
    received_bytes: u64,
    first_byte_at: Option<Duration>,
}

impl ResponseBuffering {
    /// Creates the state of a response whose `Content-Length` is
    /// `announced_bytes`; `None` for a response without that header.
    pub fn new(announced_bytes: Option<u64>) -> ResponseBuffering {
        ResponseBuffering { announced_bytes, received_bytes: 0, first_byte_at: None }
    }

    /// Records that `bytes` more of the response body were received.
    pub fn record_received(&mut self, now: Duration, bytes: u64) {
        self.first_byte_at.get_or_insert(now);
        self.received_bytes = self.received_bytes.saturating_add(bytes);
    }

    /// What to do with the response now. A response that never proves to be long stays buffered until it is complete.
    pub fn decide(&self, now: Duration) -> BufferingDecision {
        if self.exceeds(MAX_BODY_BYTES) {
            return BufferingDecision::TooLong;
        }
        let buffer_is_full = self.received_bytes > MAX_BUFFERED_BODY_BYTES as u64;
        if buffer_is_full || self.is_expected_long(now) {
            return BufferingDecision::Stream;
        }
        BufferingDecision::KeepBuffering
    }

    /// When the decision changes although nothing more is received, on the clock of the other methods;
    /// `None` where only further data changes it.
    pub fn next_decision_at(&self) -> Option<Duration> {
        Some(self.first_byte_at? + self.stream_after()?)
    }

    /// Whether the announced or the received length exceeds a limit, in bytes.
    fn exceeds(&self, limit: u64) -> bool {
        self.received_bytes > limit || self.announced_bytes.is_some_and(|announced| announced > limit)
    }

    /// Whether the response will be too long to be buffered, by its announced length or by its progress so far.
    fn is_expected_long(&self, now: Duration) -> bool {
        self.next_decision_at().is_some_and(|at| now >= at)
    }

    /// Time after its first byte from which the response is streamed, if nothing more is received; `None` for never.
    fn stream_after(&self) -> Option<Duration> {
        match ExpectedLength::of_served(self.announced_bytes) {
            ExpectedLength::Short => None,
            ExpectedLength::Unannounced => {
                (self.received_bytes >= STREAM_UNANNOUNCED_MIN_BYTES).then_some(STREAM_UNANNOUNCED_AFTER)
            }
            ExpectedLength::Long => Some(STREAM_ANNOUNCED_AFTER),
        }
    }

    /// Time by which the next byte of a buffered response must arrive if the request may be retried. `response_start` is
    /// when the response's first byte arrived; `last_read` is when the connection was last read, possibly for an earlier
    /// response.
    pub fn next_byte_deadline(
        response_start: Duration,
        last_read: Duration,
        expected_length: ExpectedLength,
    ) -> Duration {
        response_start.max(last_read) + expected_length.idle_timeout()
    }

    /// Like [`Self::next_byte_deadline`] for a request that can't be retried: nothing is gained by abandoning its
    /// response before a streamed response would be abandoned.
    pub fn next_byte_deadline_without_retry(response_start: Duration, last_read: Duration) -> Duration {
        response_start.max(last_read) + PEER_STALL_TIMEOUT
    }
}
