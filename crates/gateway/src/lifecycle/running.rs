//! A running gateway: its background tasks, the wait until it may serve, and service until SIGTERM.

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

/// The parts of a gateway.
pub(super) struct Gateway {
    pub(super) engine: Engine,
    pub(super) pool: Rc<ConnectionPool>,
    pub(super) clients: ClientService,
    /// None outside of a fleet, and while the process to be replaced has the address.
    pub(super) link_listener: Option<TcpListener>,
    pub(super) budget: DescriptorBudget,
    pub(super) reloader: ConfigReloader,
}

/// Serves clients, and is what is left to shut down after SIGTERM.
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
    /// [`ServeError::Ended`] where a background task ends: the process would be half alive without it.
    pub(super) async fn run(self, signals: Signals) -> Result<(), ServeError> {
        let Gateway { engine, pool, clients, link_listener, budget, reloader } = self;
        let Signals { mut terminate, hang_up } = signals;
        let handle = clients.handle.clone();
        let server = clients.server.clone();
        let service = clients.service.clone();
        let fleet = clients.fleet.clone();
        let reloading = reloader.run(hang_up);
        let state_folder = shared_state_folder(clients.ownership);
        let snapshot = state_folder.as_deref().and_then(hot_restart::read_snapshot);
        let coordinating = async {
            if let Some(folder) = &state_folder {
                hot_restart::run(folder, &handle, &budget, &service).await;
            }
        };
        let participating = async {
            if let Some(fleet) = &fleet {
                fleet.clone().run(link_listener).await;
            }
        };
        // A panic in one of these ends the process. Tasks that they spawn, such as those of the fleet, are detached: a panic there ends
        // only the task.
        let background = async {
            tokio::join!(
                participating,
                engine.run(),
                pool.run_expiry_loop(idle_close_reporter(&handle)),
                server.measure_event_loop_delay(),
                server.run_expiry_loop(),
                reloading,
                coordinating
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
    /// Accepts clients as soon as the process may serve.
    async fn serve(&self, snapshot: Option<Snapshot>) {
        self.wait_until_ready(snapshot).await;
        if let Some(reason) = self.service.cannot_serve_reason() {
            warn!(reason, "not ready, accepting clients and rejecting their requests");
        }
        self.server.clone().accept(&self.listener).await;
    }

    /// Waits for discovery's first answer, and for what else a successor has to wait for. The snapshot is restored in between: it is
    /// about endpoints of the list.
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

/// The folder in which successive processes of one gateway meet, if the platform replaces them. Without `TMPDIR` there is none, and a
/// hot restart goes without snapshot and without sharing of the descriptor limit.
fn shared_state_folder(ownership: ListenerOwnership) -> Option<PathBuf> {
    match ownership {
        ListenerOwnership::Shared => env::var_os("TMPDIR").map(PathBuf::from),
        ListenerOwnership::Own => None,
    }
}

/// Reports idle connections that endpoints have closed to the engine.
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
