//! The errors of the command line.

use super::fleet_command::FleetCommandError;
use crate::config::config_error::ConfigError;
use crate::config::operator_file::OperatorError;
use crate::lifecycle::listener_inheritance::InheritedListenerError;
use crate::lifecycle::ServeError;
use std::io;
use std::path::PathBuf;

/// Why a subcommand failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum CliError {
    /// The platform's file cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operator's file cannot be used.
    #[error(transparent)]
    Operator(#[from] OperatorError),
    /// The flag `--fleet` is given, but the operator's file has no table `[fleet]`.
    #[error("--fleet needs the table [fleet] in the operator's file; name the file with --settings, or leave the flag out")]
    FleetFlagWithoutTable,
    /// The subcommand needs the operator's file, and neither `--settings` nor the environment names one.
    #[error("name the operator's file with --settings FILE")]
    SettingsNotNamed,
    /// The subcommand needs a fleet, and the operator's file has no table `[fleet]`.
    #[error("{path} has no table [fleet]")]
    NoFleetTable {
        /// Path of the operator's file.
        path: PathBuf,
    },
    /// The listener that the platform passes to this process cannot be used.
    #[error(transparent)]
    InheritedListener(#[from] InheritedListenerError),
    /// The asynchronous runtime cannot be started.
    #[error(transparent)]
    Runtime(#[from] io::Error),
    /// The gateway could not start, or ended without SIGTERM.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// The arguments of the subcommand `fleet` are not valid.
    #[error(transparent)]
    FleetCommand(#[from] FleetCommandError),
}
