//! `run`: the gateway itself.

use super::cli_error::CliError;
use crate::config::operator_file::OperatorFile;
use crate::lifecycle::listener_inheritance::inherited_listener;
use crate::lifecycle::{self, FleetMembership};
use std::path::Path;
use tokio::task::LocalSet;

/// Runs the gateway until SIGTERM.
///
/// # Errors
/// Where it cannot start, or ends by itself.
pub(super) fn run(settings: Option<&Path>, membership: FleetMembership) -> Result<(), CliError> {
    // Before anything is opened, apart from this file, which is closed again: the inherited descriptor must not be one of our own.
    let operator = settings.map_or_else(|| Ok(OperatorFile::default()), OperatorFile::read)?;
    if membership == FleetMembership::Joins && operator.fleet.is_none() {
        return Err(CliError::FleetFlagWithoutTable);
    }
    let inherited = inherited_listener()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, lifecycle::serve(operator, inherited, membership))?;
    Ok(())
}
