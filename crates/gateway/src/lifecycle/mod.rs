//! The lifecycle of the gateway process, from start to exit.
//!
//! `startup` assembles a gateway from its configuration, `running` serves clients until SIGTERM, `reload` applies a changed platform
//! file on SIGHUP and `shutdown` ends the process. `hot_restart` coordinates with the process that replaces this one.

pub mod hot_restart;
pub mod listener_inheritance;
mod listeners;
pub mod log;
mod reload;
mod running;
pub mod service_state;
mod shutdown;
mod signals;
mod startup;

use crate::config::config_error::ConfigError;
use crate::config::operator_file::OperatorFile;
use crate::fleet::StoreError;
use listeners::{LinkListenError, ListenError};
use signals::Signals;
use std::io;
use tracing::info;

/// Whether the gateway joins the fleet that the operator's file describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetMembership {
    /// The gateway joins the fleet: `run --fleet`.
    Joins,
    /// The gateway does not join a fleet, and creates nothing for one.
    Disabled,
}

/// Why the gateway could not start, or ended without SIGTERM.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// A signal handler could not be installed, or an open socket could not be used.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The platform's file is unusable.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The fleet's state on disk is unusable.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The gateway cannot listen on the address for clients or for administrators.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The gateway cannot listen on its address for links from other gateways.
    #[error(transparent)]
    LinkListen(#[from] LinkListenError),
    /// A background task has ended that should run as long as the process.
    #[error("a background task of the gateway ended unexpectedly")]
    Ended,
}

/// Runs the gateway until SIGTERM. `inherited` is the clients' listener if the platform passes one to the process.
///
/// # Errors
/// If the gateway can't start, or ends without SIGTERM.
pub async fn serve(
    mut operator: OperatorFile,
    inherited: Option<std::net::TcpListener>,
    membership: FleetMembership,
) -> Result<(), ServeError> {
    // The signal handlers are installed first: by default SIGTERM and SIGHUP would each end the process at once.
    let signals = Signals::install()?;
    operator.log.install();
    if membership == FleetMembership::Disabled && operator.fleet.take().is_some() {
        info!("[fleet] is in the operator's file and stays off: it takes effect with `run --fleet`");
    }
    let config = startup::load_config(&operator)?;
    let gateway = startup::assemble(config, operator, inherited)?;
    info!(address = %gateway.clients.listener.local_addr()?, "listening");
    gateway.run(signals).await
}
