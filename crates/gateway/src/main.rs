//! The gateway's command line.

use clap::{Parser, Subcommand};
use ottervane_gateway::config::operator::Operator;
use ottervane_gateway::config::platform::Config;
use ottervane_gateway::daemon;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::task::LocalSet;

/// The gateway of the booking service.
///
/// Without a subcommand it runs, as the platform starts it: ROUTER_CONFIG names its file.
/// Exit codes: 0, it was told to stop and has, or the file is as it should be; 1, it can't start or has broken down;
/// 2, the command or a file that was to be checked is not as it should be.
#[derive(Parser)]
#[command(name = "ottervane-gateway", version)]
struct Arguments {
    /// The operator's file; it switches subsystems on.
    #[arg(long, global = true, env = "OTTERVANE_SETTINGS")]
    settings: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Sub>,
}

#[derive(Subcommand)]
enum Sub {
    /// Run, as without a subcommand.
    Run,
    /// Say whether a file is as it should be, and start nothing: a platform's (.json) or an operator's (.toml).
    Check {
        /// The file.
        file: PathBuf,
    },
}

fn check(file: &Path) -> Result<(), Box<dyn Error>> {
    if file.extension().is_some_and(|e| e == "json") {
        Config::check(file)?;
    } else {
        Operator::read(file)?;
    }
    println!("{} is as it should be", file.display());
    Ok(())
}

fn run(settings: Option<&Path>) -> Result<(), Box<dyn Error>> {
    let handed = daemon::inherited::listener()?; // ahead of whatever this process opens
    let operator = settings.map_or_else(|| Ok(Operator::default()), Operator::read)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, daemon::serve(operator, handed))
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let (done, failure) = match &arguments.command {
        Some(Sub::Check { file }) => (check(file), ExitCode::from(2)),
        None | Some(Sub::Run) => (run(arguments.settings.as_deref()), ExitCode::FAILURE),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ottervane-gateway: {error}");
            failure
        }
    }
}
