//! The process from start to exit.
//!
//! `startup` assembles a gateway from its files, `running` serves clients until SIGTERM, `reload` applies a changed file on SIGHUP and
//! `shutdown` ends the process. `hot_restart` coordinates with the process that replaces this one.

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

/// Whether the gateway joins the fleet of the operator's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetMembership {
    /// It joins: `run --fleet`.
    Joins,
    /// It does not, and builds nothing for it.
    Disabled,
}

/// Why the gateway could not start, or ended by itself.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The signal handlers, or a socket that is open already, cannot be used.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The platform's file is unusable.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The fleet's state on disk is unusable.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// An address cannot be listened on.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The address of the link between gateways cannot be listened on.
    #[error(transparent)]
    LinkListen(#[from] LinkListenError),
    /// A task that runs as long as the process has ended.
    #[error("the gateway has ended")]
    Ended,
}

/// Runs the gateway until SIGTERM. `inherited` is the clients' listener, if the platform hands one on.
///
/// # Errors
/// Where it can't start, or ends without SIGTERM.
pub async fn serve(
    mut operator: OperatorFile,
    inherited: Option<std::net::TcpListener>,
    membership: FleetMembership,
) -> Result<(), ServeError> {
    // Installed before anything else: by default either signal ends the process.
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
