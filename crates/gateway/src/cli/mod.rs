//! The command line: runs the gateway, checks files, and queries a running fleet.

mod arguments;
mod audit_command;
mod audit_report;
mod check_command;
mod cli_error;
mod command_output;
mod exit_status;
mod fleet_command;
mod fleet_query;
mod json_fields;
mod request_report;
mod run_command;
mod status_report;

use crate::config::operator_file::OperatorFile;
use crate::lifecycle::FleetMembership;
use arguments::{Arguments, AuditArguments, FleetCommand, Subcommand};
use cli_error::CliError;
use command_output::{CommandOutput, OutputFormat};
use std::future::Future;
use std::path::Path;
use std::process::ExitCode;
use weldworks_fleet::settings::FleetSettings;

/// Executes the command line of this process, and returns the exit code.
pub fn main() -> ExitCode {
    let arguments = Arguments::from_command_line();
    let settings = arguments.settings.as_deref();
    let result = match &arguments.command {
        None | Some(Subcommand::Run { fleet: false }) => run_gateway(settings, FleetMembership::Disabled),
        Some(Subcommand::Run { fleet: true }) => run_gateway(settings, FleetMembership::Joins),
        Some(Subcommand::Fleet { command, json }) => {
            let format = OutputFormat::from_json_flag(*json);
            run_fleet_command(settings, command, format).map_err(Failure::of_command)
        }
        Some(Subcommand::Audit { arguments, json }) => {
            let format = OutputFormat::from_json_flag(*json);
            run_audit_command(settings, arguments, format).map_err(Failure::of_command)
        }
        Some(Subcommand::Check { file }) => run_check(file),
    };
    result.unwrap_or_else(|failure| {
        eprintln!("weldworks-gateway: {}", failure.error);
        failure.exit_code
    })
}

/// Why a command failed, and the exit code for the failure.
struct Failure {
    error: CliError,
    exit_code: ExitCode,
}

impl Failure {
    fn of_gateway(error: CliError) -> Failure {
        Failure { error, exit_code: exit_status::gateway_failed() }
    }

    fn of_command(error: CliError) -> Failure {
        Failure { error, exit_code: exit_status::invalid_command() }
    }
}

fn run_gateway(settings: Option<&Path>, membership: FleetMembership) -> Result<ExitCode, Failure> {
    run_command::run(settings, membership).map_err(Failure::of_gateway)?;
    Ok(ExitCode::SUCCESS)
}

fn run_check(file: &Path) -> Result<ExitCode, Failure> {
    check_command::check(file).map_err(Failure::of_command)?;
    Ok(ExitCode::SUCCESS)
}

fn run_fleet_command(
    settings: Option<&Path>,
    command: &FleetCommand,
    format: OutputFormat,
) -> Result<ExitCode, CliError> {
    let fleet = fleet_settings(settings)?;
    execute(async { Ok(fleet_command::execute(&fleet, command, format).await?) })
}

fn run_audit_command(
    settings: Option<&Path>,
    arguments: &AuditArguments,
    format: OutputFormat,
) -> Result<ExitCode, CliError> {
    let fleet = fleet_settings(settings)?;
    execute(async { Ok(audit_command::execute(&fleet, arguments, format).await) })
}

/// Reads the settings of the fleet that a command queries from the operator's file.
fn fleet_settings(file: Option<&Path>) -> Result<FleetSettings, CliError> {
    let path = file.ok_or(CliError::SettingsNotNamed)?;
    let fleet = OperatorFile::read(path)?.fleet;
    fleet.ok_or_else(|| CliError::NoFleetTable { path: path.to_owned() })
}

/// Runs a command that queries a fleet, prints the output, and returns the exit code.
fn execute(command: impl Future<Output = Result<CommandOutput, CliError>>) -> Result<ExitCode, CliError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let output = runtime.block_on(command)?;
    print!("{}", output.text);
    Ok(exit_status::of_output(output.completeness))
}
