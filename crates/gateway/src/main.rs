//! The gateway's command line.

use clap::{Parser, Subcommand};
use std::error::Error;
use std::future::Future;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::task::LocalSet;
use weldworks_fleet::settings::FleetSettings;
use weldworks_gateway::cli::fleet::{self as fleet_commands, Shown};
use weldworks_gateway::config::operator_file::OperatorFile;
use weldworks_gateway::config::platform_file::Config;
use weldworks_gateway::lifecycle::{self, FleetMembership};

/// The gateway of the booking service.
///
/// Without a subcommand it runs, as the platform starts it: ROUTER_CONFIG names its file.
/// Exit codes: 0, it was told to stop and has, or the file is as it should be; 1, it can't start or has broken down;
/// 2, the command or a file that was to be checked is not as it should be; 3, some gateways of the fleet could not be asked.
#[derive(Parser)]
#[command(name = "weldworks-gateway", version)]
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
    Run {
        /// Be part of the fleet that the operator's file names in its table [fleet].
        #[arg(long)]
        fleet: bool,
    },
    /// Ask or tell the fleet of the operator's file. Exit code 3: some gateways could not be asked, or nothing was decided.
    Fleet {
        #[command(subcommand)]
        command: fleet_commands::FleetCommand,
        /// Print JSON.
        #[arg(long, global = true)]
        json: bool,
    },
    /// Ask all gateways of the fleet what they did under which version. Exit code 3: some could not be asked.
    Audit {
        #[command(flatten)]
        arguments: fleet_commands::AuditArgs,
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

fn check(file: &Path) -> Result<(), Box<dyn Error>> {
    if file.extension().is_some_and(|e| e == "json") {
        Config::check(file)?;
    } else {
        OperatorFile::read(file)?;
    }
    println!("{} is as it should be", file.display());
    Ok(())
}

fn run(settings: Option<&Path>, fleet: bool) -> Result<(), Box<dyn Error>> {
    // A flag that finds no table is an error before anything is opened; the descriptor handed on is claimed ahead of what this
    // process opens, and the file has been closed again by then.
    let operator = settings.map_or_else(|| Ok(OperatorFile::default()), OperatorFile::read)?;
    if fleet && operator.fleet.is_none() {
        return Err("--fleet needs the table [fleet] in the operator's file; name the file with --settings, or leave the flag out".into());
    }
    let handed = lifecycle::listener_inheritance::inherited_listener()?;
    let membership = if fleet { FleetMembership::Joins } else { FleetMembership::Disabled };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, lifecycle::serve(operator, handed, membership))?;
    Ok(())
}

/// The fleet of the operator's file, for a command.
fn fleet_of(settings: Option<&Path>) -> Result<FleetSettings, Box<dyn Error>> {
    let file = settings.ok_or("name the operator's file with --settings FILE")?;
    let fleet = OperatorFile::read(file)?.fleet;
    Ok(fleet.ok_or_else(|| format!("{} has no table [fleet]", file.display()))?)
}

/// Has a command carried out, and shows what came of it.
fn ask<E: Into<Box<dyn Error>>>(
    asking: impl Future<Output = Result<Shown, E>>,
) -> Result<ExitCode, Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let shown = runtime.block_on(asking).map_err(Into::into)?;
    print!("{}", shown.text);
    Ok(if shown.whole && shown.done { ExitCode::SUCCESS } else { ExitCode::from(3) })
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let settings = arguments.settings.as_deref();
    let well = |()| ExitCode::SUCCESS;
    let (done, failure) = match &arguments.command {
        Some(Sub::Check { file }) => (check(file).map(well), ExitCode::from(2)),
        None => (run(settings, false).map(well), ExitCode::FAILURE),
        Some(Sub::Run { fleet }) => (run(settings, *fleet).map(well), ExitCode::FAILURE),
        Some(Sub::Fleet { command, json }) => {
            let asked =
                fleet_of(settings).and_then(|fleet| ask(fleet_commands::command(&fleet, command, *json)));
            (asked, ExitCode::from(2))
        }
        Some(Sub::Audit { arguments, json }) => {
            let asked = fleet_of(settings).and_then(|fleet| {
                ask(async {
                    Ok::<_, fleet_commands::CommandError>(
                        fleet_commands::audit(&fleet, arguments, *json).await,
                    )
                })
            });
            (asked, ExitCode::from(2))
        }
    };
    match done {
        Ok(code) => code,
        Err(error) => {
            eprintln!("weldworks-gateway: {error}");
            failure
        }
    }
}
