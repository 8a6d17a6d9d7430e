//! Bodies that may be too long to be held: what is held and what passes through, and when one that passes through is given up.
//!
//! Limits are on progress, never on the whole: a long body takes as long as its slower side needs. Times are on any clock of the
//! caller's that does not run back.

use std::time::Duration;

/// The longest body that is held whole: it can be sent again, and a spoilt one is found out before any of it is passed on.
pub const HELD: usize = 64 << 10;
/// The longest body that either side may send.
pub const MOST: u64 = 32 << 20;

/// A body comes from its client at this rate at least, in bytes a second, once [`SPARE`] has passed: half of what slow
/// clients are owed.
const RATE: f64 = 32e3;
/// See [`RATE`].
const SPARE: Duration = Duration::from_millis(1500);
/// A client that has brought nothing for so long while it is waited for has stopped, however much it brought before: it is owed its
/// error within 3 s.
pub const STOPPED: Duration = Duration::from_millis(2500);
/// Neither side of what passes through may rest for so long while the other one waits for it.
pub const STALL: Duration = Duration::from_secs(10);
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
pub enum Fault {
    /// It came too slowly, its sender has gone, or its connection broke off.
    #[error("the body has not come whole")]
    Off,
    /// It is longer than any may be.
    #[error("the body is too long")]
    Long,
}

/// How a body that passes through stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Passage {
    /// Nothing of it has been given to who writes it to a host.
    #[default]
    Intact,
    /// Some of it has.
    Spent,
    /// All of it has come, and has been given to who writes it to a host.
    Complete,
    /// It has no end.
    Failed(Fault),
}

/// A body on its way from a client, through here, to a host.
#[derive(Clone, Debug, Default)]
pub struct Transit {
    passage: Passage,
    brought: u64,
    /// How long its client has been waited for in all, and since when it is now.
    waited: Duration,
    awaited: Option<Duration>,
    /// When the host last took some of it.
    taken: Duration,
}

impl Transit {
    /// One of which so much has come.
    pub fn new(brought: u64) -> Transit {
        Transit { brought, ..Transit::default() }
    }

    /// How it stands.
    pub fn passage(&self) -> Passage {
        self.passage
    }

    /// The host wants more: what it had been given, it has taken.
    pub fn wanted(&mut self, now: Duration) {
        if self.passage == Passage::Intact {
            self.passage = Passage::Spent;
        }
        self.taken = now;
    }

    /// So much has come from the client.
    ///
    /// # Errors
    /// Where that is more than any body may have.
    pub fn came(&mut self, now: Duration, bytes: u64) -> Result<(), Fault> {
        self.waited += self.awaited.take().map_or(Duration::ZERO, |since| now.saturating_sub(since));
        self.brought = self.brought.saturating_add(bytes);
        if self.brought > MOST {
            return Err(self.fail(Fault::Long));
        }
        Ok(())
    }

    /// There is nothing to pass on: the client is waited for. Until when; what its host takes slowly does not count.
    pub fn await_client(&mut self, now: Duration) -> Duration {
        let since = *self.awaited.get_or_insert(now);
        let earned = SPARE + Duration::from_secs_f64(self.brought as f64 / RATE);
        since + earned.saturating_sub(self.waited).min(STOPPED)
    }

    /// Its end has come.
    pub fn ended(&mut self) {
        self.awaited = None;
        self.passage = Passage::Complete;
    }

    /// It has no end.
    pub fn fail(&mut self, why: Fault) -> Fault {
        self.passage = Passage::Failed(why);
        why
    }

    /// By when the host must take more, where it is the one that is waited for and has not been sent the whole.
    pub fn host_due(&self) -> Option<Duration> {
        let due = matches!(self.passage, Passage::Spent | Passage::Complete) && self.awaited.is_none();
        due.then_some(self.taken + STALL)
    }
}

/// What is to be done with an answer that comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Hold it: it may be whole soon.
    Hold,
    /// Pass it on from now on. The choice is final.
    PassOn,
    /// Give it up: it is longer than any may be.
    Spoilt,
}

/// An answer's body while it is taken in.
#[derive(Clone, Copy, Debug)]
pub struct Intake {
    said: Option<u64>,
    brought: u64,
    begun: Option<Duration>,
}

impl Intake {
    /// One that says it is so long, if it says.
    pub fn new(said: Option<u64>) -> Intake {
        Intake { said, brought: 0, begun: None }
    }

    /// So much more of it has come.
    pub fn came(&mut self, now: Duration, bytes: u64) {
        self.begun.get_or_insert(now);
        self.brought = self.brought.saturating_add(bytes);
    }

    /// What is to be done with it now. One that is never known to be long is held until it is whole.
    pub fn verdict(&self, now: Duration) -> Verdict {
        if self.said.is_some_and(|said| said > MOST) || self.brought > MOST {
            return Verdict::Spoilt;
        }
        let for_long = |time| self.begun.is_some_and(|begun| now.saturating_sub(begun) >= time);
        let long = match self.said {
            Some(said) => said > HELD as u64 && for_long(FLOWS),
            None => self.brought >= MUCH && for_long(TRICKLES),
        };
        if long || self.brought > HELD as u64 {
            return Verdict::PassOn;
        }
        Verdict::Hold
    }

    /// By when something more must come of one that is held; its first byte came at `first`, the last one at `last`.
    pub fn due(first: Duration, last: Duration) -> Duration {
        first.max(last) + SILENT
    }
}
