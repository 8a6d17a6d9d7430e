//! The deadline of an attempt, which may move while the attempt is in flight.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// When an attempt is given up. A body that is still arriving moves it.
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

    /// Moves it to this instant.
    pub fn set(&self, at: Instant) {
        self.at.set(at);
        self.moved.notify_one();
    }

    /// Shortens it to this instant, where that is earlier.
    pub fn shorten_to(&self, at: Instant) {
        self.set(self.get().min(at));
    }

    pub(super) fn get(&self) -> Instant {
        self.at.get()
    }

    /// Waits until the deadline has passed, wherever it moves. For one waiter.
    ///
    /// # Cancellation safety
    /// Cancel safe: nothing is lost.
    pub(super) async fn passed(&self) {
        while Instant::now() < self.get() {
            tokio::select! {
                () = sleep_until(self.get()) => {}
                () = self.moved.notified() => {}
            }
        }
    }
}
