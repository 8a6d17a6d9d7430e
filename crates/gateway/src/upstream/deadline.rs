//! The deadline of an attempt, which may move while the attempt is in flight.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// When an attempt times out. The balancer moves the deadline of an attempt whose request body is streamed; a shutdown shortens it.
/// An attempt whose response has begun and may be long extends it, up to the client's deadline.
#[derive(Debug)]
pub struct Deadline {
    at: Cell<Instant>,
    /// The client's deadline, or that of a shutdown.
    latest: Cell<Instant>,
    /// Until when the attempt waits for the rest of its response's start.
    extension: Cell<Option<Instant>>,
    moved: Notify,
}

impl Deadline {
    /// Creates a deadline at this instant, or at `latest` where that is earlier.
    pub fn new(at: Instant, latest: Instant) -> Rc<Deadline> {
        Rc::new(Deadline {
            at: Cell::new(at),
            latest: Cell::new(latest),
            extension: Cell::new(None),
            moved: Notify::new(),
        })
    }

    /// Moves the deadline to this instant, or to `latest` where that is earlier.
    pub fn set(&self, at: Instant, latest: Instant) {
        self.at.set(at);
        self.latest.set(latest);
        self.moved.notify_one();
    }

    /// Moves the deadline to this instant, where that is earlier.
    pub fn shorten_to(&self, at: Instant) {
        self.latest.set(self.latest.get().min(at));
        self.moved.notify_one();
    }

    /// Extends the deadline to `wait` from now, up to the client's deadline.
    pub(super) fn extend(&self, wait: Duration) {
        let until = Instant::now().checked_add(wait).unwrap_or_else(|| self.latest.get());
        self.extension.set(Some(until));
        self.moved.notify_one();
    }

    /// The client's deadline, or that of a shutdown: the latest instant to which the deadline may be extended.
    pub(super) fn latest(&self) -> Instant {
        self.latest.get()
    }

    pub(super) fn get(&self) -> Instant {
        let at = self.at.get();
        let extended = self.extension.get().map_or(at, |until| at.max(until));
        extended.min(self.latest.get())
    }

    /// Waits until the deadline has passed, even if it moves meanwhile. Only one task may wait at a time.
    ///
    /// # Cancellation safety
    /// Cancel safe: the next wait uses the deadline as it is then.
    pub(super) async fn passed(&self) {
        while Instant::now() < self.get() {
            tokio::select! {
                () = sleep_until(self.get()) => {}
                () = self.moved.notified() => {}
            }
        }
    }
}
