//! Graceful shutdown after SIGTERM.

use super::listeners::ListenerOwnership;
use super::running::ClientService;
use super::service_state::ServiceState;
use tokio::time::{sleep_until, Instant};

impl ClientService {
    /// Ends the service, in four steps whose times are computed in `weldworks_control::drain`:
    ///
    /// 1. Accepts connections until the accept deadline, which moves with each accept.
    /// 2. Own listener: accepts the rest of the kernel's queue, until the shutdown deadline at the latest. Shared listener: leaves
    ///    the queue to the successor.
    /// 3. Waits for all connections. Idle ones are closed within the idle limit, and open requests are answered by the shutdown
    ///    deadline unless their body is still arriving. A streamed response ends only by its client or endpoint, so this step has no
    ///    upper bound of its own.
    /// 4. Ends the fleet session.
    pub(super) async fn shut_down(self) {
        let ClientService { handle, server, service, fleet, listener, ownership } = self;
        tokio::select! {
            biased; // the deadline first: once it has passed no connection may be accepted
            () = wait_for_accept_deadline(&service) => {}
            () = server.clone().accept(&listener) => {}
        }
        match ownership {
            // The connections in the accept queue are the successor's.
            ListenerOwnership::Shared => drop(listener),
            ListenerOwnership::Own => {
                let deadline = handle.shutdown_deadline().unwrap_or_else(Instant::now);
                server.drain_backlog(listener, deadline).await;
            }
        }
        server.finish_connections().await;
        if let Some(fleet) = &fleet {
            fleet.shut_down().await;
        }
    }
}

/// Waits until no more connections are to be accepted.
async fn wait_for_accept_deadline(service: &ServiceState) {
    loop {
        match service.accept_deadline() {
            Some(deadline) if deadline <= Instant::now() => return,
            Some(deadline) => sleep_until(deadline).await,
            None => service.drain_changed.notified().await,
        }
    }
}
