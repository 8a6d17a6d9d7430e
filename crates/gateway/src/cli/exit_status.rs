//! The exit codes of the program beside 0.

use super::command_output::Completeness;
use std::process::ExitCode;

/// The gateway could not start, or ended by itself: 1.
pub(super) fn gateway_failed() -> ExitCode {
    ExitCode::FAILURE
}

/// The command, or a file that it reads, is not valid: 2.
pub(super) fn invalid_command() -> ExitCode {
    ExitCode::from(2)
}

/// Some gateways could not be asked, or nothing was committed: 3, else 0.
pub(super) fn of_output(completeness: Completeness) -> ExitCode {
    match completeness {
        Completeness::Complete => ExitCode::SUCCESS,
        Completeness::Incomplete => ExitCode::from(3),
    }
}
