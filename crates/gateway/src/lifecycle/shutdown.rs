//! Graceful shutdown after SIGTERM.

use super::listeners::ListenerOwnership;
use super::running::ClientSide;
use super::service_state::ServiceState;
use tokio::time::{sleep_until, Instant};

impl ClientSide {
    /// Accepts connections while clients may still come, ends the open ones, and leaves the fleet.
    pub(super) async fn shut_down(self) {
        let ClientSide { handle, server, service, fleet, listener, ownership } = self;
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
