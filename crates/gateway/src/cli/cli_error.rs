//! Why a command failed.

use super::fleet_command::FleetCommandError;
use crate::config::config_error::ConfigError;
use crate::config::operator_file::OperatorError;
use crate::lifecycle::listener_inheritance::InheritedListenerError;
use crate::lifecycle::ServeError;
use std::io;
use std::path::PathBuf;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum CliError {
    /// The platform's file cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operator's file cannot be used.
    #[error(transparent)]
    Operator(#[from] OperatorError),
    /// The flag `--fleet` finds no fleet.
    #[error("--fleet needs the table [fleet] in the operator's file; name the file with --settings, or leave the flag out")]
    FleetFlagWithoutTable,
    /// The command needs the operator's file.
    #[error("name the operator's file with --settings FILE")]
    SettingsNotNamed,
    /// The operator's file has no fleet.
    #[error("{path} has no table [fleet]")]
    NoFleetTable {
        /// Path of the file.
        path: PathBuf,
    },
    /// The listener that the platform hands on cannot be used.
    #[error(transparent)]
    InheritedListener(#[from] InheritedListenerError),
    /// The runtime cannot be started.
    #[error(transparent)]
    Runtime(#[from] io::Error),
    /// The gateway could not start, or ended by itself.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// The arguments of a command for the fleet are not valid.
    #[error(transparent)]
    FleetCommand(#[from] FleetCommandError),
}
