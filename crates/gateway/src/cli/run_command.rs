//! The subcommand `run`: runs the gateway itself.

use super::cli_error::CliError;
use crate::config::operator_file::OperatorFile;
use crate::lifecycle::listener_inheritance::inherited_listener;
use crate::lifecycle::{self, FleetMembership};
use std::path::Path;
use tokio::task::LocalSet;

/// Runs the gateway until SIGTERM.
///
/// # Errors
/// If the gateway cannot start, or ends without SIGTERM.
pub(super) fn run(settings: Option<&Path>, membership: FleetMembership) -> Result<(), CliError> {
    // The operator's file is closed again before the inherited listener is looked up, and nothing else is opened before: otherwise the
    // inherited descriptor number could be one that this process opened itself.
    let operator = settings.map_or_else(|| Ok(OperatorFile::default()), OperatorFile::read)?;
    if membership == FleetMembership::Joins && operator.fleet.is_none() {
        return Err(CliError::FleetFlagWithoutTable);
    }
    let inherited = inherited_listener()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, lifecycle::serve(operator, inherited, membership))?;
    Ok(())
}
