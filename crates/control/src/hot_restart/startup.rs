//! When a starting process begins to accept clients.

use std::time::Duration;

/// Longest wait for the first endpoint list while another process may
/// be active. A starting process must be ready within 6 s of its start.
const DISCOVERY_WAIT_LIMIT: Duration = Duration::from_millis(2500);
/// Longest wait for an active endpoint while another process may be active. After this wait clients are accepted, and
/// are answered that no endpoint is available.
const ACTIVE_ENDPOINT_WAIT_LIMIT: Duration = Duration::from_secs(6);

/// What a process waits for before it accepts clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupWait {
    /// The first endpoint list of discovery. The active process may have a newer list; without the wait this process
    /// would send requests to endpoints that drain.
    Discovery,
    /// An endpoint that accepts requests. Without the wait this process
    /// would take clients away from a process that can serve them.
    Endpoints,
}

/// Progress of a starting process towards accepting clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartupProgress {
    /// Whether discovery has sent an endpoint list.
    pub discovery_answered: bool,
    /// Whether at least one endpoint accepts requests.
    pub has_active_endpoint: bool,
}

/// Decides when a starting process may accept clients.
#[derive(Clone, Copy, Debug)]
pub struct Startup {
    /// Whether another process may accept clients on the same listener.
    pub shared_listener: bool,
    /// Time at which this process started.
    pub started_at: Duration,
}

impl Startup {
    /// What the process waits for now; `None` once the process may accept clients. A process with a listener of its own
    /// never waits: no other process could serve its clients.
    pub fn waiting_for(&self, now: Duration, progress: StartupProgress) -> Option<StartupWait> {
        if !self.shared_listener {
            return None;
        }
        let waited = now.saturating_sub(self.started_at);
        if !progress.discovery_answered && waited < DISCOVERY_WAIT_LIMIT {
            return Some(StartupWait::Discovery);
        }
        if !progress.has_active_endpoint && waited < ACTIVE_ENDPOINT_WAIT_LIMIT {
            return Some(StartupWait::Endpoints);
        }
        None
    }
}
