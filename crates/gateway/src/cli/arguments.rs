//! The command-line arguments of the program. `--help` prints the doc comments of arguments and subcommands.

use clap::{CommandFactory, FromArgMatches, Parser};
use std::env;
use std::path::PathBuf;

/// Environment variable that names the operator's file.
const SETTINGS_VARIABLE: &str = "WELDWORKS_SETTINGS";
/// Name of the same environment variable in version 0.2.0. It remains supported, and is read if [`SETTINGS_VARIABLE`] is not set.
const FORMER_SETTINGS_VARIABLE: &str = "OTTERVANE_SETTINGS";

/// The gateway of the booking service.
///
/// Without a subcommand the gateway runs, as the platform starts it: ROUTER_CONFIG names the platform's file.
/// Exit codes: 0, the gateway stopped as requested, or the command succeeded; 1, the gateway could not start or failed;
/// 2, the command or a file that it reads is invalid; 3, some gateways of the fleet did not answer, or a change was not committed.
#[derive(Parser)]
#[command(name = "weldworks-gateway", version)]
pub(super) struct Arguments {
    /// The operator's file, which enables optional subsystems.
    #[arg(long, global = true, env = SETTINGS_VARIABLE)]
    pub(super) settings: Option<PathBuf>,
    #[command(subcommand)]
    pub(super) command: Option<Subcommand>,
}

#[derive(clap::Subcommand)]
pub(super) enum Subcommand {
    /// Run the gateway, as without a subcommand.
    Run {
        /// Join the fleet that the table [fleet] of the operator's file describes.
        #[arg(long)]
        fleet: bool,
    },
    /// Show or change the state of the fleet in the operator's file. Exit code 3: some gateways did not answer, or a change was not
    /// committed.
    Fleet {
        #[command(subcommand)]
        command: FleetCommand,
        /// Print JSON.
        #[arg(long, global = true)]
        json: bool,
    },
    /// Show what all gateways of the fleet did under which version. Exit code 3: some gateways did not answer.
    Audit {
        #[command(flatten)]
        arguments: AuditArguments,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Check whether a platform's file (.json) or an operator's file (.toml) is valid, without starting anything.
    Check {
        /// The file to check.
        file: PathBuf,
    },
}

#[derive(Clone, Debug, clap::Subcommand)]
pub(super) enum FleetCommand {
    /// Show each gateway's session state, version and version lag, the leader, and which gateways are fenced and why.
    Status,
    /// Fence a gateway: it accepts no clients until it is unfenced with `in`.
    Out {
        /// Name of the gateway.
        gateway: String,
    },
    /// Unfence a gateway that was fenced with `out`.
    In {
        /// Name of the gateway.
        gateway: String,
    },
    /// Declare the versions that gateways are required to have. A version that is left out is no longer required.
    Require {
        /// Lineage and minimum index of endpoint lists, as LINEAGE=INDEX.
        #[arg(long)]
        list: Option<String>,
        /// Digest of the configuration, as `fleet status` shows it.
        #[arg(long)]
        config: Option<String>,
        /// Build of the gateway, as `fleet status` shows it.
        #[arg(long)]
        build: Option<String>,
    },
}

#[derive(Clone, Debug, clap::Args)]
pub(super) struct AuditArguments {
    /// Index of the first endpoint list to report.
    #[arg(long, default_value_t = 0)]
    pub(super) from_list: u64,
    /// Index of the last endpoint list to report.
    #[arg(long, default_value_t = u64::MAX)]
    pub(super) to_list: u64,
    /// Report only what was done after this time, in Unix milliseconds by each gateway's own wall clock.
    #[arg(long)]
    pub(super) after: Option<u64>,
    /// Report what was done with the request that has this X-Request-ID, as its client wrote it.
    #[arg(long, conflicts_with_all = ["from_list", "to_list", "after"])]
    pub(super) request: Option<String>,
}

impl Arguments {
    /// Parses the arguments of this process, and exits if they are invalid or request help.
    pub(super) fn from_command_line() -> Arguments {
        let variable = settings_variable();
        let command = Arguments::command().mut_arg("settings", |argument| argument.env(variable));
        let matches = command.get_matches();
        Arguments::from_arg_matches(&matches).unwrap_or_else(|error| error.exit())
    }
}

/// Name of the environment variable from which this process reads the path of the operator's file.
fn settings_variable() -> &'static str {
    if env::var_os(SETTINGS_VARIABLE).is_none() && env::var_os(FORMER_SETTINGS_VARIABLE).is_some() {
        FORMER_SETTINGS_VARIABLE
    } else {
        SETTINGS_VARIABLE
    }
}
