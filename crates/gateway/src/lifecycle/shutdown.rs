//! Graceful shutdown of the gateway after SIGTERM.

use super::listeners::ListenerOwnership;
use super::running::ClientService;
use super::service_state::ServiceState;
use tokio::time::{sleep_until, Instant};

impl ClientService {
    /// Shuts down the service of clients, in four steps whose deadlines are computed in `weldworks_control::drain`:
    ///
    /// 1. Accepts connections until the accept deadline, which moves with each accept.
    /// 2. With a listener of its own, accepts the rest of the kernel's accept queue, until the shutdown deadline at the latest. With a
    ///    shared listener, leaves the connections in the accept queue to the successor.
    /// 3. Waits for all connections to end. Idle connections are closed within the idle limit, and open requests are answered by the
    ///    shutdown deadline, also those whose client is still writing.
    ///    A streamed response is ended only by its client or endpoint, so step 3 has no upper bound of its own.
    /// 4. Ends the fleet session.
    pub(super) async fn shut_down(self) {
        let ClientService { handle, server, service, fleet, listener, ownership } = self;
        tokio::select! {
            biased; // checks the accept deadline first: once the deadline has passed, no connection may be accepted
            () = wait_for_accept_deadline(&service) => {}
            () = server.clone().accept(&listener) => {}
        }
        match ownership {
            // The connections in the accept queue of a shared listener are left to the successor.
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

/// Waits until the accept deadline has passed, which may change while waiting.
async fn wait_for_accept_deadline(service: &ServiceState) {
    loop {
        match service.accept_deadline() {
            Some(deadline) if deadline <= Instant::now() => return,
            Some(deadline) => sleep_until(deadline).await,
            None => service.drain_changed.notified().await,
        }
    }
}
