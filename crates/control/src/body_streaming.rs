//! Bodies that may be too long to be held: what is held and what passes through, and when one that passes through is given up.
//!
//! Limits are on progress, never on the whole: a long body takes as long as its slower side needs. Times are on any clock of the
//! caller's that does not run back.

use std::time::Duration;

/// The longest body that is held whole: it can be sent again, and a spoilt one is found out before any of it is passed on.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// The longest body that either side may send.
pub const MAX_BODY_BYTES: u64 = 32 << 20;

/// A body comes from its client at this rate at least, in bytes a second, once [`SPARE`] has passed: half of what slow
/// clients are owed.
const RATE: f64 = 32e3;
/// See [`RATE`].
const SPARE: Duration = Duration::from_millis(1500);
/// A client that has brought nothing for so long while it is waited for has stopped, however much it brought before: it is owed its
/// error within 3 s.
pub const CLIENT_BODY_IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Neither side of what passes through may rest for so long while the other one waits for it.
pub const PEER_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// An answer that is held until it is whole may be silent for so long. What keeps the connection open after noise, or
/// after less than it promised, would hold its request until that times out, too late for another try.
const SILENT: Duration = Duration::from_millis(100);
/// One that says it is longer than what is held is passed on so long after its body began to come, if it comes still ...
const FLOWS: Duration = Duration::from_millis(40);
/// ... and one that does not say how long it is, after this time and so many bytes: of a short one all would be there.
const TRICKLES: Duration = Duration::from_millis(60);
/// See [`TRICKLES`].
const MUCH: u64 = 4 << 10;

/// Why a body has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It came too slowly, its sender has gone, or its connection broke off.
    #[error("the body has not come whole")]
    Incomplete,
    /// It is longer than any may be.
    #[error("the body is too long")]
    TooLong,
}

/// How a body that passes through stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TransferState {
    /// Nothing of it has been given to who writes it to a host.
    #[default]
    Intact,
    /// Some of it has.
    PartlyForwarded,
    /// All of it has come, and has been given to who writes it to a host.
    Complete,
    /// It has no end.
    Failed(BodyError),
}

/// A body on its way from a client, through here, to a host.
#[derive(Clone, Debug, Default)]
pub struct BodyTransfer {
    passage: TransferState,
    brought: u64,
    /// How long its client has been waited for in all, and since when it is now.
    waited: Duration,
    awaited: Option<Duration>,
    /// When the host last took some of it.
    taken: Duration,
}

impl BodyTransfer {
    /// One of which so much has come.
    pub fn new(brought: u64) -> BodyTransfer {
        BodyTransfer { brought, ..BodyTransfer::default() }
    }

    /// How it stands.
    pub fn state(&self) -> TransferState {
        self.passage
    }

    /// The host wants more: what it had been given, it has taken.
    pub fn record_demand(&mut self, now: Duration) {
        if self.passage == TransferState::Intact {
            self.passage = TransferState::PartlyForwarded;
        }
        self.taken = now;
    }

    /// So much has come from the client.
    ///
    /// # Errors
    /// Where that is more than any body may have.
    pub fn record_received(&mut self, now: Duration, bytes: u64) -> Result<(), BodyError> {
        self.waited += self.awaited.take().map_or(Duration::ZERO, |since| now.saturating_sub(since));
        self.brought = self.brought.saturating_add(bytes);
        if self.brought > MAX_BODY_BYTES {
            return Err(self.fail(BodyError::TooLong));
        }
        Ok(())
    }

    /// There is nothing to pass on: the client is waited for. Until when; what its host takes slowly does not count.
    pub fn client_deadline(&mut self, now: Duration) -> Duration {
        let since = *self.awaited.get_or_insert(now);
        let earned = SPARE + Duration::from_secs_f64(self.brought as f64 / RATE);
        since + earned.saturating_sub(self.waited).min(CLIENT_BODY_IDLE_TIMEOUT)
    }

    /// Its end has come.
    pub fn record_end(&mut self) {
        self.awaited = None;
        self.passage = TransferState::Complete;
    }

    /// It has no end.
    pub fn fail(&mut self, why: BodyError) -> BodyError {
        self.passage = TransferState::Failed(why);
        why
    }

    /// By when the host must take more, where it is the one that is waited for and has not been sent the whole.
    pub fn endpoint_deadline(&self) -> Option<Duration> {
        let due = matches!(self.passage, TransferState::PartlyForwarded | TransferState::Complete)
            && self.awaited.is_none();
        due.then_some(self.taken + PEER_STALL_TIMEOUT)
    }
}

/// What is to be done with an answer that comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferingDecision {
    /// Hold it: it may be whole soon.
    KeepBuffering,
    /// Pass it on from now on. The choice is final.
    Stream,
    /// Give it up: it is longer than any may be.
    TooLong,
}

/// An answer's body while it is taken in.
#[derive(Clone, Copy, Debug)]
pub struct ResponseBuffering {
    said: Option<u64>,
    brought: u64,
    begun: Option<Duration>,
}

impl ResponseBuffering {
    /// One that says it is so long, if it says.
    pub fn new(said: Option<u64>) -> ResponseBuffering {
        ResponseBuffering { said, brought: 0, begun: None }
    }

    /// So much more of it has come.
    pub fn record_received(&mut self, now: Duration, bytes: u64) {
        self.begun.get_or_insert(now);
        self.brought = self.brought.saturating_add(bytes);
    }

    /// What is to be done with it now. One that is never known to be long is held until it is whole.
    pub fn decide(&self, now: Duration) -> BufferingDecision {
        if self.said.is_some_and(|said| said > MAX_BODY_BYTES) || self.brought > MAX_BODY_BYTES {
            return BufferingDecision::TooLong;
        }
        let for_long = |time| self.begun.is_some_and(|begun| now.saturating_sub(begun) >= time);
        let long = match self.said {
            Some(said) => said > MAX_BUFFERED_BODY_BYTES as u64 && for_long(FLOWS),
            None => self.brought >= MUCH && for_long(TRICKLES),
        };
        if long || self.brought > MAX_BUFFERED_BODY_BYTES as u64 {
            return BufferingDecision::Stream;
        }
        BufferingDecision::KeepBuffering
    }

    /// By when something more must come of one that is held; its first byte came at `first`, the last one at `last`.
    pub fn next_byte_deadline(first: Duration, last: Duration) -> Duration {
        first.max(last) + SILENT
    }
}
