//! The subcommand `fleet`: shows the fleet's status, fences and unfences gateways, and declares the required versions.

use super::arguments::FleetCommand;
use super::command_output::{render_answers, CommandOutput, Completeness, OutputFormat};
use super::fleet_query::{query_gateway, query_gateways, GatewayAnswer};
use super::status_report::render_status;
use weldworks_fleet::protocol::AdminQuery;
use weldworks_fleet::settings::FleetSettings;
use weldworks_fleet::state_machine::{Command, Requirements};
use weldworks_fleet::version::ListVersion;

/// Why the arguments of the subcommand `fleet` are not valid.
#[derive(Debug, thiserror::Error)]
pub(super) enum FleetCommandError {
    /// The fleet has no gateway of this name.
    #[error("no gateway is named {name:?}; the fleet has {}", known.join(", "))]
    UnknownGateway { name: String, known: Vec<String> },
    /// The argument `--list` cannot be parsed.
    #[error("--list {0:?} is not LINEAGE=INDEX, as in 127.0.0.1:8500=42")]
    InvalidList(String),
    /// The argument `--config` cannot be parsed.
    #[error("--config {0:?} is not a digest of 16 hexadecimal digits")]
    InvalidConfig(String),
}

/// Executes a command of the subcommand `fleet`.
///
/// # Errors
/// If the command's arguments are not valid.
pub(super) async fn execute(
    settings: &FleetSettings,
    command: &FleetCommand,
    format: OutputFormat,
) -> Result<CommandOutput, FleetCommandError> {
    let proposal = match command {
        FleetCommand::Status => {
            let answers = query_gateways(settings, &AdminQuery::Status).await;
            return Ok(render_answers(answers, format, render_status));
        }
        FleetCommand::Out { gateway } => {
            check_gateway(settings, gateway)?;
            Command::SetFenced { name: gateway.clone(), fenced: true }
        }
        FleetCommand::In { gateway } => {
            check_gateway(settings, gateway)?;
            Command::SetFenced { name: gateway.clone(), fenced: false }
        }
        FleetCommand::Require { list, config, build } => {
            let requirements = parse_requirements(list.as_deref(), config.as_deref(), build.as_deref())?;
            Command::SetRequirements(requirements)
        }
    };
    Ok(propose(settings, proposal).await)
}

fn check_gateway(settings: &FleetSettings, name: &str) -> Result<(), FleetCommandError> {
    if settings.peers.iter().any(|peer| peer.name == name) {
        return Ok(());
    }
    let known = settings.peers.iter().map(|peer| peer.name.clone()).collect();
    Err(FleetCommandError::UnknownGateway { name: name.to_owned(), known })
}

fn parse_requirements(
    list: Option<&str>,
    config: Option<&str>,
    build: Option<&str>,
) -> Result<Requirements, FleetCommandError> {
    Ok(Requirements {
        list: list.map(parse_list_version).transpose()?,
        config: config.map(parse_config_digest).transpose()?,
        build: build.map(str::to_owned),
    })
}

fn parse_list_version(text: &str) -> Result<ListVersion, FleetCommandError> {
    let invalid = || FleetCommandError::InvalidList(text.to_owned());
    let (lineage, index) = text.rsplit_once('=').ok_or_else(invalid)?;
    let index = index.parse().map_err(|_| invalid())?;
    Ok(ListVersion { lineage: lineage.to_owned(), index })
}

fn parse_config_digest(text: &str) -> Result<u64, FleetCommandError> {
    u64::from_str_radix(text, 16).map_err(|_| FleetCommandError::InvalidConfig(text.to_owned()))
}

/// Sends a proposal to the voting members, one after another, until one of them reports that it is committed.
async fn propose(settings: &FleetSettings, command: Command) -> CommandOutput {
    let query = AdminQuery::Propose(Box::new(command));
    let mut reasons = Vec::new();
    for peer in settings.voters() {
        let GatewayAnswer { gateway, answer } = query_gateway(&settings.name, peer, &query).await;
        match answer {
            Ok(answer) if answer["decided"] == true => {
                let text = format!("committed through {gateway}, at log index {}\n", answer["position"]);
                return CommandOutput { text, completeness: Completeness::Complete };
            }
            Ok(answer) => {
                let error = answer["error"].as_str().unwrap_or("no reason given");
                reasons.push(format!("{gateway}: {error}"));
            }
            Err(error) => reasons.push(format!("{gateway}: {error}")),
        }
    }
    let text = format!("not committed\n  {}\n", reasons.join("\n  "));
    CommandOutput { text, completeness: Completeness::Incomplete }
}

#[cfg(test)]
mod tests;
