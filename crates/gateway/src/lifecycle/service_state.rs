//! The start-up, drain and shutdown state of this process, which the servers read and update. Times passed to [`Drain`] are durations
//! since the creation of the service state.

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

/// The start-up, drain and shutdown state of this process.
pub struct ServiceState {
    start: Instant,
    drain: RefCell<Drain>,
    last_accept: Cell<Duration>,
    engine: EngineHandle,
    any_endpoint_accepts: Rc<Cell<bool>>,
    startup: Startup,
    /// Notified at each change of the drain state.
    pub drain_changed: Notify,
    /// Notified at the start of the shutdown.
    pub shutdown_started: Notify,
    /// The metrics of this process.
    pub metrics: Rc<Metrics>,
    fleet: Option<Rc<Fleet>>,
}

impl ServiceState {
    /// Creates the service state of a process that starts now.
    pub fn new(
        drain_settings: DrainSettings,
        engine: EngineHandle,
        metrics: Rc<Metrics>,
        fleet: Option<Rc<Fleet>>,
    ) -> ServiceState {
        let any_endpoint_accepts = engine.any_endpoint_accepts();
        let shared_listener = drain_settings.shared_listener;
        ServiceState {
            start: Instant::now(),
            drain: RefCell::new(Drain::new(drain_settings)),
            last_accept: Cell::default(),
            engine,
            any_endpoint_accepts,
            startup: Startup { shared_listener, started_at: Duration::ZERO },
            drain_changed: Notify::new(),
            shutdown_started: Notify::new(),
            metrics,
            fleet,
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The condition that the process waits for before it accepts clients; `None` if it need not wait.
    pub fn waiting_for(&self) -> Option<StartupWait> {
        let progress = StartupProgress {
            discovery_answered: self.engine.discovery_answered(),
            has_active_endpoint: self.any_endpoint_accepts.get(),
        };
        self.startup.waiting_for(self.now(), progress)
    }

    /// Why this process cannot serve; `None` if it can. A drain is not a reason: a draining gateway still serves its clients, and the
    /// admin call `/_ready`, which returns this reason, then answers `yes`.
    pub fn cannot_serve_reason(&self) -> Option<&'static str> {
        match self.waiting_for() {
            _ if self.is_shutting_down() => Some("stopping"),
            Some(StartupWait::Discovery) => Some("waiting for discovery's first word"),
            _ if !self.any_endpoint_accepts.get() => Some("no host in discovery's list takes work"),
            _ => self.fleet.as_ref().and_then(|fleet| fleet.cannot_serve_reason()),
        }
    }

    /// Whether `/health/ready` answers 200: the process can serve and is not draining. `/_ready` of the admin API ignores a drain.
    pub fn is_ready(&self) -> bool {
        self.cannot_serve_reason().is_none() && self.drain.borrow().is_ready()
    }

    /// Starts a drain. Returns false if the process was draining already.
    pub fn start_drain(&self) -> bool {
        let has_changed = self.drain.borrow_mut().start_draining(self.now());
        self.drain_changed.notify_one();
        has_changed
    }

    /// Cancels a drain. Returns whether the process was draining.
    pub fn end_drain(&self) -> bool {
        let has_changed = self.drain.borrow_mut().cancel_draining();
        self.drain_changed.notify_one();
        has_changed
    }

    /// Starts the shutdown of the process. A repeated call changes nothing.
    pub fn begin_shutdown(&self) {
        self.drain.borrow_mut().begin_shutdown(self.now());
        self.shutdown_started.notify_one();
        if let Some(deadline) = self.drain.borrow().answer_deadline() {
            self.engine.set_shutdown_deadline(self.start + deadline);
            self.engine.send(Message::ShutdownStarted);
        }
        self.drain_changed.notify_one();
    }

    /// Sets the longest time for which any client waits for a response.
    pub fn set_longest_deadline(&self, deadline: Duration) {
        self.drain.borrow_mut().set_longest_deadline(deadline);
    }

    /// Whether the shutdown of the process has started.
    pub fn is_shutting_down(&self) -> bool {
        self.drain.borrow().is_shutting_down()
    }

    /// Whether responses close their connection, as in the later part of a drain and during a shutdown.
    pub fn sends_connection_close(&self) -> bool {
        self.drain.borrow().sends_connection_close(self.now())
    }

    /// Records that a client connection has been accepted now.
    pub fn record_accept(&self) {
        self.last_accept.set(self.now());
    }

    /// Until when client connections are accepted; `None` while there is no deadline.
    pub fn accept_deadline(&self) -> Option<Instant> {
        Some(self.start + self.drain.borrow().accept_deadline(self.last_accept.get())?)
    }

    /// Idle time after which a client connection is closed during a drain or shutdown; `None` in normal service.
    pub fn idle_limit(&self) -> Option<Duration> {
        self.drain.borrow().idle_limit(self.now(), self.last_accept.get())
    }

    /// Whether unused connections are still exempt from [`ServiceState::idle_limit`], because their first request may be on its way.
    pub fn awaits_first_request(&self) -> bool {
        self.drain.borrow().awaits_first_request(self.now())
    }
}
