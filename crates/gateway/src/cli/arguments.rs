//! The arguments of the program. Doc comments of arguments and subcommands are the text of `--help`.

use clap::{CommandFactory, FromArgMatches, Parser};
use std::env;
use std::path::PathBuf;

/// Environment variable that names the operator's file.
const SETTINGS_VARIABLE: &str = "WELDWORKS_SETTINGS";
/// The same under its name of version 0.2.0, which is read for good where the other is not set.
const FORMER_SETTINGS_VARIABLE: &str = "OTTERVANE_SETTINGS";

/// The gateway of the booking service.
///
/// Without a subcommand it runs, as the platform starts it: ROUTER_CONFIG names its file.
/// Exit codes: 0, it was told to stop and has, or the file is as it should be; 1, it can't start or has broken down;
/// 2, the command or a file that was to be checked is not as it should be; 3, some gateways of the fleet could not be asked.
#[derive(Parser)]
#[command(name = "weldworks-gateway", version)]
pub(super) struct Arguments {
    /// The operator's file; it switches subsystems on.
    #[arg(long, global = true, env = SETTINGS_VARIABLE)]
    pub(super) settings: Option<PathBuf>,
    #[command(subcommand)]
    pub(super) command: Option<Subcommand>,
}

#[derive(clap::Subcommand)]
pub(super) enum Subcommand {
    /// Run, as without a subcommand.
    Run {
        /// Be part of the fleet that the operator's file names in its table [fleet].
        #[arg(long)]
        fleet: bool,
    },
    /// Ask or tell the fleet of the operator's file. Exit code 3: some gateways could not be asked, or nothing was decided.
    Fleet {
        #[command(subcommand)]
        command: FleetCommand,
        /// Print JSON.
        #[arg(long, global = true)]
        json: bool,
    },
    /// Ask all gateways of the fleet what they did under which version. Exit code 3: some could not be asked.
    Audit {
        #[command(flatten)]
        arguments: AuditArguments,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Say whether a file is as it should be, and start nothing: a platform's (.json) or an operator's (.toml).
    Check {
        /// The file.
        file: PathBuf,
    },
}

#[derive(Clone, Debug, clap::Subcommand)]
pub(super) enum FleetCommand {
    /// Who is in, who leads, who lags by how much, who is shut out and why.
    Status,
    /// Shut a gateway out: it takes no client until it is let in again.
    Out {
        /// Its name.
        gateway: String,
    },
    /// Let it in again.
    In {
        /// Its name.
        gateway: String,
    },
    /// Declare what counts as current; what is left out is not required any more.
    Require {
        /// Lists have at least this index, on this lineage, as LINEAGE=INDEX.
        #[arg(long)]
        list: Option<String>,
        /// The configuration's digest, as `fleet status` shows it.
        #[arg(long)]
        config: Option<String>,
        /// The build, likewise.
        #[arg(long)]
        build: Option<String>,
    },
}

#[derive(Clone, Debug, clap::Args)]
pub(super) struct AuditArguments {
    /// Under lists from this index on.
    #[arg(long, default_value_t = 0)]
    pub(super) from_list: u64,
    /// And up to this one.
    #[arg(long, default_value_t = u64::MAX)]
    pub(super) to_list: u64,
    /// Only what was done after this moment, in Unix milliseconds by each gateway's own wall clock.
    #[arg(long)]
    pub(super) after: Option<u64>,
    /// What the request of this number met, as its client wrote it in X-Request-ID.
    #[arg(long, conflicts_with_all = ["from_list", "to_list", "after"])]
    pub(super) request: Option<String>,
}

impl Arguments {
    /// Parses the arguments of this process, and ends it where they are not valid or ask for help.
    pub(super) fn from_command_line() -> Arguments {
        let variable = settings_variable();
        let command = Arguments::command().mut_arg("settings", |argument| argument.env(variable));
        let matches = command.get_matches();
        Arguments::from_arg_matches(&matches).unwrap_or_else(|error| error.exit())
    }
}

/// The environment variable that names the operator's file in this process.
fn settings_variable() -> &'static str {
    if env::var_os(SETTINGS_VARIABLE).is_none() && env::var_os(FORMER_SETTINGS_VARIABLE).is_some() {
        FORMER_SETTINGS_VARIABLE
    } else {
        SETTINGS_VARIABLE
    }
}
