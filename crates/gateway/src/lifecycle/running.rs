//! Runs a gateway: starts its background tasks, waits until the process may serve clients, and serves clients until SIGTERM.

use super::hot_restart;
use super::listeners::ListenerOwnership;
use super::reload::ConfigReloader;
use super::service_state::ServiceState;
use super::signals::Signals;
use super::ServeError;
use crate::engine::message::{EngineHandle, Message};
use crate::engine::Engine;
use crate::fleet::Fleet;
use crate::server::http::Server;
use crate::transport::descriptor_budget::DescriptorBudget;
use crate::upstream::{ClosedIdleConnection, ConnectionPool};
use std::env;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tracing::{info, warn};
use weldworks_balancer::Snapshot;
use weldworks_control::hot_restart::StartupWait;

/// Interval at which a starting process checks whether it still has to wait.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The parts of an assembled gateway.
pub(super) struct Gateway {
    pub(super) engine: Engine,
    pub(super) pool: Rc<ConnectionPool>,
    pub(super) clients: ClientService,
    /// The listener for links from other gateways; `None` outside a fleet, and while the predecessor still uses the address.
    pub(super) link_listener: Option<TcpListener>,
    pub(super) budget: DescriptorBudget,
    pub(super) reloader: ConfigReloader,
}

/// Serves clients. These are the parts that shut down gracefully after SIGTERM.
pub(super) struct ClientService {
    pub(super) handle: EngineHandle,
    pub(super) server: Rc<Server>,
    pub(super) service: Rc<ServiceState>,
    pub(super) fleet: Option<Rc<Fleet>>,
    pub(super) listener: TcpListener,
    pub(super) ownership: ListenerOwnership,
}

impl Gateway {
    /// Serves clients until SIGTERM, then shuts down.
    ///
    /// # Errors
    /// [`ServeError::Ended`] if a background task ends: without that task the process would not be fully functional.
    pub(super) async fn run(self, signals: Signals) -> Result<(), ServeError> {
        let Gateway { engine, pool, clients, link_listener, budget, reloader } = self;
        let Signals { mut terminate, hang_up } = signals;
        let handle = clients.handle.clone();
        let server = clients.server.clone();
        let service = clients.service.clone();
        let fleet = clients.fleet.clone();
        let reload_task = reloader.run(hang_up);
        let state_folder = shared_state_folder(clients.ownership);
        let snapshot = state_folder.as_deref().and_then(hot_restart::read_snapshot);
        let hot_restart_task = async {
            if let Some(folder) = &state_folder {
                hot_restart::run(folder, &handle, &budget, &service).await;
            }
        };
        let fleet_task = async {
            if let Some(fleet) = &fleet {
                fleet.clone().run(link_listener).await;
            }
        };
        // A panic in one of these background tasks ends the process. The tasks that they spawn in turn, such as those of the fleet, are
        // detached: a panic in a detached task ends only that task.
        let background = async {
            tokio::join!(
                fleet_task,
                engine.run(),
                pool.run_expiry_loop(idle_close_reporter(&handle)),
                server.measure_event_loop_delay(),
                server.run_expiry_loop(),
                reload_task,
                hot_restart_task
            )
        };
        tokio::pin!(background);
        tokio::select! {
            _ = background.as_mut() => return Err(ServeError::Ended),
            () = clients.serve(snapshot) => {}
            _ = terminate.recv() => {}
        }
        info!("SIGTERM received, shutting down");
        service.begin_shutdown();
        tokio::select! {
            _ = background => Err(ServeError::Ended),
            () = clients.shut_down() => Ok(()),
        }
    }
}

impl ClientService {
    /// Waits until the process may serve clients, then accepts their connections.
    async fn serve(&self, snapshot: Option<Snapshot>) {
        self.wait_until_ready(snapshot).await;
        if let Some(reason) = self.service.cannot_serve_reason() {
            warn!(reason, "not ready, accepting clients and rejecting their requests");
        }
        self.server.clone().accept(&self.listener).await;
    }

    /// Waits for discovery's first answer, then restores the snapshot, which refers to endpoints of the received list, and then waits
    /// for the other conditions that a successor has to meet before it serves.
    async fn wait_until_ready(&self, snapshot: Option<Snapshot>) {
        while self.service.waiting_for() == Some(StartupWait::Discovery) {
            sleep(STARTUP_CHECK_INTERVAL).await;
        }
        if self.ownership == ListenerOwnership::Shared && !self.handle.discovery_answered() {
            warn!(
                hint = "its address is `discovery` in the file that ROUTER_CONFIG names, or ROUTER_DISCOVERY",
                "no answer from discovery, accepting clients with the endpoint list of the configuration"
            );
        }
        if let Some(snapshot) = snapshot {
            self.handle.send(Message::RestoreSnapshot(snapshot));
        }
        while self.service.waiting_for().is_some() {
            sleep(STARTUP_CHECK_INTERVAL).await;
        }
    }
}

/// The folder that successive processes of a gateway share, if the platform performs hot restarts. Without `TMPDIR` there is no such
/// folder, and a hot restart works without a snapshot and without sharing the descriptor limit.
fn shared_state_folder(ownership: ListenerOwnership) -> Option<PathBuf> {
    match ownership {
        ListenerOwnership::Shared => env::var_os("TMPDIR").map(PathBuf::from),
        ListenerOwnership::Own => None,
    }
}

/// Returns a callback that reports to the engine each idle connection that its endpoint has closed.
fn idle_close_reporter(handle: &EngineHandle) -> impl Fn(ClosedIdleConnection) {
    let engine = handle.clone();
    move |closed: ClosedIdleConnection| {
        engine.send(Message::IdleConnectionClosed {
            endpoint: closed.endpoint,
            address: closed.address,
            idle: closed.idle_for,
            remaining: closed.remaining,
        });
    }
}
