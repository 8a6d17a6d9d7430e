//! How this process stands in service: the drain machine with the clock it wants, what has been accepted, and the figures. The
//! listeners read it and report to it.

use crate::engine::message::{EngineHandle, Message};
use crate::fleet::Fleet;
use crate::metrics::Metrics;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;
use weldworks_control::drain::{Drain, DrainSettings};
use weldworks_control::hot_restart::{Startup, StartupProgress, StartupWait};

/// The state.
pub struct ServiceState {
    start: Instant,
    drain: RefCell<Drain>,
    accepted: Cell<Duration>,
    gateway: EngineHandle,
    hosts_up: Rc<Cell<bool>>,
    entry: Startup,
    /// Wakes who waits for the next change of the drain.
    pub changed: Notify,
    /// Wakes who waits for the end of its service.
    pub stopped: Notify,
    /// The figures.
    pub figures: Rc<Metrics>,
    fleet: Option<Rc<Fleet>>,
}

impl ServiceState {
    /// In service, once it awaits nothing more.
    pub fn new(
        terms: DrainSettings,
        gateway: EngineHandle,
        figures: Rc<Metrics>,
        fleet: Option<Rc<Fleet>>,
    ) -> ServiceState {
        let hosts_up = gateway.has_active_endpoint();
        ServiceState {
            start: Instant::now(),
            drain: RefCell::new(Drain::new(terms)),
            accepted: Cell::default(),
            gateway,
            hosts_up,
            entry: Startup { shared_listener: terms.shared_listener, started_at: Duration::ZERO },
            changed: Notify::new(),
            stopped: Notify::new(),
            figures,
            fleet,
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// What it waits for before it takes clients, if anything.
    pub fn waiting_for(&self) -> Option<StartupWait> {
        let progress = StartupProgress {
            discovery_answered: self.gateway.discovery_answered(),
            has_active_endpoint: self.hosts_up.get(),
        };
        self.entry.waiting_for(self.now(), progress)
    }

    /// Why this process can't serve, be it drained or not; none where it can.
    pub fn not_ready_reason(&self) -> Option<&'static str> {
        match self.waiting_for() {
            _ if self.is_shutting_down() => Some("stopping"),
            Some(StartupWait::Discovery) => Some("waiting for discovery's first word"),
            _ if !self.hosts_up.get() => Some("no host in discovery's list takes work"),
            _ => self.fleet.as_ref().and_then(|fleet| fleet.unready()),
        }
    }

    /// Whether the front may send clients here.
    pub fn is_ready(&self) -> bool {
        self.not_ready_reason().is_none() && self.drain.borrow().is_ready()
    }

    /// Drains it, or takes that back. Whether this changed anything.
    pub fn set_draining(&self, on: bool) -> bool {
        let mut drain = self.drain.borrow_mut();
        let changed = if on { drain.start_draining(self.now()) } else { drain.cancel_draining() };
        self.changed.notify_one();
        changed
    }

    /// Ends its service.
    pub fn begin_shutdown(&self) {
        self.drain.borrow_mut().begin_shutdown(self.now());
        self.stopped.notify_one();
        if let Some(by) = self.drain.borrow().answer_deadline() {
            self.gateway.set_shutdown_deadline(self.start + by);
            self.gateway.send(Message::ShutdownStarted);
        }
        self.changed.notify_one();
    }

    /// Clients wait for so long at most from now on.
    pub fn set_longest_deadline(&self, longest: Duration) {
        self.drain.borrow_mut().set_longest_deadline(longest);
    }

    /// Whether it is on its way out.
    pub fn is_shutting_down(&self) -> bool {
        self.drain.borrow().is_shutting_down()
    }

    /// Whether an answer ends its connection.
    pub fn sends_connection_close(&self) -> bool {
        self.drain.borrow().sends_connection_close(self.now())
    }

    /// A connection has been accepted.
    pub fn record_accept(&self) {
        self.accepted.set(self.now());
    }

    /// Until when connections are accepted, where that has an end.
    pub fn accept_deadline(&self) -> Option<Instant> {
        Some(self.start + self.drain.borrow().accept_deadline(self.accepted.get())?)
    }

    /// For how long a connection may rest, where that has a limit.
    pub fn idle_limit(&self) -> Option<Duration> {
        self.drain.borrow().idle_limit(self.now(), self.accepted.get())
    }

    /// Whether new connections keep their time to bring a first request.
    pub fn awaits_first_request(&self) -> bool {
        self.drain.borrow().awaits_first_request(self.now())
    }
}
