//! The exit codes of the program other than 0.

use super::command_output::Completeness;
use std::process::ExitCode;

/// Exit code 1: the gateway could not start, or ended without SIGTERM.
pub(super) fn gateway_failed() -> ExitCode {
    ExitCode::FAILURE
}

/// Exit code 2: the command, or a file that it reads, is not valid.
pub(super) fn invalid_command() -> ExitCode {
    ExitCode::from(2)
}

/// Exit code 3 if some gateways did not answer or a change was not committed, else 0.
pub(super) fn of_output(completeness: Completeness) -> ExitCode {
    match completeness {
        Completeness::Complete => ExitCode::SUCCESS,
        Completeness::Incomplete => ExitCode::from(3),
    }
}
