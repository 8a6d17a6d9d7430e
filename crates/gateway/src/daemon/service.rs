//! How this process stands in service: the drain machine with the clock it wants, what has been accepted, and the figures. The
//! listeners read it and report to it.

use crate::figures::Figures;
use ottervane_control::drain::{Drain, Terms};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The state.
pub struct Service {
    start: Instant,
    drain: RefCell<Drain>,
    accepted: Cell<Duration>,
    /// A host takes work.
    hosts_up: Rc<Cell<bool>>,
    /// The list has been heard, or waited for long enough.
    begun: Cell<bool>,
    /// Wakes who waits for the next change of the drain.
    pub changed: Notify,
    /// The figures.
    pub figures: Rc<Figures>,
}

impl Service {
    /// In service, once it has [`Self::begin`] and hosts that take work.
    pub fn new(terms: Terms, hosts_up: Rc<Cell<bool>>, figures: Rc<Figures>) -> Service {
        Service {
            start: Instant::now(),
            drain: RefCell::new(Drain::new(terms)),
            accepted: Cell::default(),
            hosts_up,
            begun: Cell::new(false),
            changed: Notify::new(),
            figures,
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// From now on it may serve.
    pub fn begin(&self) {
        self.begun.set(true);
    }

    /// Whether this process can serve, be it drained or not.
    pub fn can_serve(&self) -> bool {
        self.begun.get() && self.hosts_up.get() && !self.stopping()
    }

    /// Whether the front may send clients here.
    pub fn ready(&self) -> bool {
        self.begun.get() && self.hosts_up.get() && self.drain.borrow().ready()
    }

    /// Drains it, or takes that back. Whether this changed anything.
    pub fn drain(&self, on: bool) -> bool {
        let changed = self.drain.borrow_mut().call(self.now(), on);
        self.changed.notify_one();
        changed
    }

    /// Ends its service.
    pub fn stop(&self) {
        self.drain.borrow_mut().stop(self.now());
        self.changed.notify_one();
    }

    /// Clients wait for so long at most from now on.
    pub fn longest(&self, longest: Duration) {
        self.drain.borrow_mut().longest(longest);
    }

    /// Whether it is on its way out.
    pub fn stopping(&self) -> bool {
        self.drain.borrow().stopping()
    }

    /// Whether an answer ends its connection.
    pub fn says_goodbye(&self) -> bool {
        self.drain.borrow().says_goodbye(self.now())
    }

    /// A connection has been accepted.
    pub fn accepted(&self) {
        self.accepted.set(self.now());
    }

    /// Until when connections are accepted, where that has an end.
    pub fn accepts_until(&self) -> Option<Instant> {
        Some(self.start + self.drain.borrow().accepts_until(self.accepted.get())?)
    }

    /// For how long a connection may rest, where that has a limit.
    pub fn may_rest(&self) -> Option<Duration> {
        self.drain.borrow().may_rest(self.now(), self.accepted.get())
    }

    /// The latest moment for any answer, where there is one.
    pub fn answers_by(&self) -> Option<Instant> {
        Some(self.start + self.drain.borrow().answers_by()?)
    }
}
