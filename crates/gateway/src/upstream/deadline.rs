//! The deadline of an attempt, which may move while the attempt is in flight.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// When an attempt times out. The balancer moves the deadline of an attempt whose request body is streamed; a shutdown shortens it.
#[derive(Debug)]
pub struct Deadline {
    at: Cell<Instant>,
    moved: Notify,
}

impl Deadline {
    /// Creates a deadline at this instant.
    pub fn new(at: Instant) -> Rc<Deadline> {
        Rc::new(Deadline { at: Cell::new(at), moved: Notify::new() })
    }

    /// Moves the deadline to this instant.
    pub fn set(&self, at: Instant) {
        self.at.set(at);
        self.moved.notify_one();
    }

    /// Moves the deadline to this instant, where that is earlier.
    pub fn shorten_to(&self, at: Instant) {
        self.set(self.get().min(at));
    }

    pub(super) fn get(&self) -> Instant {
        self.at.get()
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
