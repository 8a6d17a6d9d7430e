//! The command line of the test bed: runs and checks scenario scripts, runs studies, and evaluates the logs of gateways.

use clap::{Parser, Subcommand};
use std::error::Error;
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use weldworks_testbed::count;
use weldworks_testbed::fleet_scenario;
use weldworks_testbed::live::gateways::Program;
use weldworks_testbed::replay::replay;
use weldworks_testbed::report::{Counts, Report};
use weldworks_testbed::resends;
use weldworks_testbed::script::Script;
use weldworks_testbed::simulate::simulate;
use weldworks_testbed::sweep::{self, plot, study, table, Study};
use weldworks_testbed::timeline::svg;

/// Rehearse incidents of the booking service against stand-in endpoints.
///
/// Exit codes: 0, no rule was violated and the service figure is valid; 1, a rule was violated; 2, the script, the
/// command line or a file is invalid; 3, the machine was too busy or a gateway ended, so there is no service figure.
#[derive(Parser)]
#[command(name = "weldworks-testbed", version)]
struct Arguments {
    #[command(subcommand)]
    command: TestbedCommand,
}

#[derive(Subcommand)]
enum TestbedCommand {
    /// Run a script on loopback sockets with real gateway processes.
    Replay {
        #[command(flatten)]
        run_args: RunArgs,
        /// Path of the gateway's program; by default the gateway of this workspace is built and used.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Run a script in virtual time with the balancer in process.
    Simulate {
        #[command(flatten)]
        run_args: RunArgs,
    },
    /// Run a study in virtual time, on all cores: each script with each number of gateways, seed and variant.
    Sweep(SweepArgs),
    /// Count events in the logs of all gateways ([log] format = "json", level = "debug"), one file for each gateway.
    Count {
        /// Folder of the gateways' logs.
        folder: PathBuf,
        /// Length of the interval that a line of the table covers, in seconds.
        #[arg(long, default_value_t = 1.0, value_parser = positive)]
        every: f64,
        /// Start of the period for which endpoints are counted, in seconds.
        #[arg(long, default_value_t = 0.0)]
        from: f64,
        /// End of the period for which endpoints are counted, in seconds.
        #[arg(long, default_value_t = f64::INFINITY)]
        until: f64,
    },
    /// Audit the retries and rejections in the logs of a fleet, which are those of `count`; exit code 1 if a rule was violated.
    Resends {
        /// Folder of the gateways' logs.
        folder: PathBuf,
    },
    /// Run a script of faults on a whole fleet: its links, its consensus group and its audit log.
    Fleet {
        /// File of the script.
        script: PathBuf,
        /// Seed of all random numbers.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Run in virtual time, with the fleet in process; without this flag the fleet consists of real processes.
        #[arg(long = "virtual")]
        in_virtual_time: bool,
        /// Path of the gateway's program; by default the gateway of this workspace is built and used.
        #[arg(long)]
        program: Option<PathBuf>,
        /// File to which the report is written as JSON.
        #[arg(long)]
        json: Option<PathBuf>,
        /// File to which the history of the run is written, one event a line.
        #[arg(long)]
        history: Option<PathBuf>,
    },
    /// Check whether a script is valid.
    Check {
        /// File of the script.
        script: PathBuf,
    },
}

#[derive(clap::Args)]
struct RunArgs {
    /// File of the script.
    script: PathBuf,
    /// Seed of all random numbers: the same seed gives the same requests and events.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of gateways, in place of the script's.
    #[arg(long)]
    gateways: Option<usize>,
    /// Settings file of the operator, for all gateways. In virtual time only its table [storm] is used.
    #[arg(long)]
    settings: Option<PathBuf>,
    /// File to which the report is written as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// File to which the timeline is written as SVG.
    #[arg(long)]
    svg: Option<PathBuf>,
}

#[derive(clap::Args)]
struct SweepArgs {
    /// File of the study.
    study: PathBuf,
    /// Another build of this program. It is run as the variant `against`, which becomes the baseline of all others.
    #[arg(long)]
    against: Option<PathBuf>,
    /// Number of seeds, counted from 1, in place of the study's.
    #[arg(long)]
    seeds: Option<u64>,
    /// Run only scripts whose names contain this text.
    #[arg(long)]
    only: Option<String>,
    /// Number of simultaneous runs; by default one for each core.
    #[arg(long)]
    threads: Option<usize>,
    /// File to which the rows and runs are written as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// File to which the runs are written as CSV.
    #[arg(long)]
    csv: Option<PathBuf>,
    /// File to which the plots are written as SVG.
    #[arg(long)]
    svg: Option<PathBuf>,
}

fn read_script(path: &Path) -> Result<Script, Box<dyn Error>> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    Ok(Script::parse(&path.display().to_string(), &text)?)
}

/// Path of the gateway's program in this workspace, which is built first when cargo started the test bed.
fn workspace_gateway() -> Result<PathBuf, Box<dyn Error>> {
    let executable = std::env::current_exe()?;
    let folder = executable.parent().ok_or("the path of the test bed's program has no parent folder")?;
    let path = folder.join("weldworks-gateway");
    // When cargo started the test bed, the sources of the gateway are present, and an earlier build of it may be out of date.
    if let Some(cargo) = std::env::var_os("CARGO") {
        let manifest = concat!(env!("CARGO_MANIFEST_DIR"), "/../../Cargo.toml");
        let mut build = Command::new(cargo);
        build.args(["build", "--locked", "--quiet", "-p", "weldworks-gateway", "--manifest-path", manifest]);
        if folder.ends_with("release") {
            build.arg("--release");
        }
        if !build.status()?.success() {
            return Err("cargo build of weldworks-gateway failed".into());
        }
    }
    if !path.exists() {
        let text = "does not exist: build it with cargo build --release, or name it with --program";
        return Err(format!("{} {text}", path.display()).into());
    }
    Ok(path)
}

fn positive(text: &str) -> Result<f64, String> {
    let seconds = text.parse().ok().filter(|seconds: &f64| seconds.is_finite() && *seconds > 0.0);
    seconds.ok_or_else(|| "must be a number of seconds above 0".to_owned())
}

fn write_file(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}

fn run_study(arguments: &SweepArgs) -> Result<ExitCode, Box<dyn Error>> {
    let mut study = Study::read(&arguments.study)?;
    study.seeds = arguments.seeds.unwrap_or(study.seeds);
    study
        .scripts
        .retain(|entry| arguments.only.as_deref().is_none_or(|part| entry.script.name.contains(part)));
    if study.seeds == 0 || study.scripts.is_empty() {
        return Err(format!("{}: no run is left; see --seeds and --only", arguments.study.display()).into());
    }
    if let Some(program) = arguments.against.clone() {
        let program =
            Some(std::fs::canonicalize(&program).map_err(|error| format!("{}: {error}", program.display()))?);
        study.variants.insert(0, study::Variant { program, ..study::Variant::plain("against") });
        study.scripts.iter_mut().for_each(|entry| entry.changed.insert(0, None));
    }
    let threads = arguments.threads.or_else(|| std::thread::available_parallelism().ok().map(usize::from));
    let show_progress = |done: usize, of: usize| {
        let mut out = std::io::stderr();
        if out.is_terminal() {
            let _ = write!(out, "\r{done} of {of} runs ");
            let _ = if done == of { writeln!(out) } else { out.flush() };
        } else if done == of || done.is_multiple_of(100) {
            let _ = writeln!(out, "{done} of {of} runs");
        }
    };
    let runs = sweep::run(&study, threads.unwrap_or(1), &show_progress)?;
    let rows = table::rows(&runs);
    println!("{}: {}", study.name, study.about);
    print!("{}", table::text(&rows));
    if let Some(path) = &arguments.json {
        let all = serde_json::json!({ "study": study.name, "rows": rows, "runs": runs });
        write_file(path, &(serde_json::to_string_pretty(&all)? + "\n"))?;
    }
    if let Some(path) = &arguments.csv {
        write_file(path, &table::csv(&runs)?)?;
    }
    if let Some(path) = &arguments.svg {
        write_file(path, &plot::svg(&rows)?)?;
    }
    Ok(ExitCode::from(u8::from(rows.iter().any(|row| row.violations > 0))))
}

fn write_report(run_args: &RunArgs, report: &Report) -> Result<ExitCode, Box<dyn Error>> {
    print!("{}", report.to_text());
    if let Some(path) = &run_args.json {
        write_file(path, &report.to_json())?;
    }
    if let Some(path) = &run_args.svg {
        write_file(path, &svg(report)?)?;
    }
    Ok(match report {
        report if !report.violations.is_empty() => ExitCode::from(1),
        report if report.unsound.is_some() => ExitCode::from(3),
        _ => ExitCode::SUCCESS,
    })
}

/// Shows the progress of a run on standard error: a line that is rewritten every second on a terminal, a line every 5 s elsewhere.
fn progress(lasts: Duration, at: Duration, counts: Counts, in_time: u64) {
    let (at, lasts) = (at.as_secs(), lasts.as_secs());
    let line = format!(
        "{at:>4} s of {lasts} s: {} requests, {in_time} served in time, {} rejected, {} failed, {} endpoints fell over",
        counts.asked, counts.refused, counts.failed, counts.fallen
    );
    let mut out = std::io::stderr();
    if out.is_terminal() {
        let _ = write!(out, "\r{line} "); // a failure to show progress does not end the run
        let _ = if at >= lasts { writeln!(out) } else { out.flush() };
    } else if at % 5 == 0 || at >= lasts {
        let _ = writeln!(out, "{line}");
    }
}

/// Completes on SIGTERM or SIGINT, so that the test bed can stop its gateways before it exits.
async fn stop_signal() {
    let signals = || Some((signal(SignalKind::terminate()).ok()?, signal(SignalKind::interrupt()).ok()?));
    let Some((mut terminate, mut interrupt)) = signals() else { return std::future::pending().await };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

#[expect(clippy::too_many_lines, reason = "one arm for each subcommand")]
fn run(arguments: Arguments) -> Result<ExitCode, Box<dyn Error>> {
    match arguments.command {
        TestbedCommand::Check { script } => {
            let script = read_script(&script)?;
            println!("{}: {}", script.name, script.about);
            Ok(ExitCode::SUCCESS)
        }
        TestbedCommand::Count { folder, every, from, until } => {
            print!("{}", count::Counts::read(&folder, every, from..until)?.tables());
            Ok(ExitCode::SUCCESS)
        }
        TestbedCommand::Resends { folder } => {
            let audit = resends::Audit::read(&folder)?;
            print!("{}", audit.tables());
            Ok(if audit.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) })
        }
        TestbedCommand::Fleet { script, seed, in_virtual_time, program: given, json, history } => {
            let text =
                std::fs::read_to_string(&script).map_err(|error| format!("{}: {error}", script.display()))?;
            let script = fleet_scenario::script::Script::parse(&script.display().to_string(), &text)?;
            let (violations, report, history_text) = if in_virtual_time {
                let outcome = fleet_scenario::virtual_time::run_script(
                    &script,
                    seed,
                    fleet_scenario::virtual_time::Mutation::None,
                );
                let report = serde_json::json!({
                    "script": script.name, "seed": seed, "breaches": outcome.violations, "figures": outcome.figures,
                });
                (outcome.violations, report, outcome.history.to_text())
            } else {
                let program = given.map_or_else(workspace_gateway, Ok)?;
                let folder = fleet_scenario::live::create_run_folder(&script, seed, &std::env::temp_dir())?;
                let outcome = fleet_scenario::live::run_script(&script, seed, &program, &folder);
                let _ = std::fs::remove_dir_all(&folder); // files left in the temporary folder do no harm
                let (report, events) = outcome?;
                (report.violations.clone(), serde_json::to_value(&report)?, events.join("\n") + "\n")
            };
            println!("{report:#}");
            if let Some(path) = &json {
                write_file(path, &format!("{report:#}\n"))?;
            }
            if let Some(path) = &history {
                write_file(path, &history_text)?;
            }
            Ok(ExitCode::from(u8::from(!violations.is_empty())))
        }
        TestbedCommand::Sweep(arguments) => run_study(&arguments),
        TestbedCommand::Simulate { run_args } => {
            let script = read_script(&run_args.script)?;
            let storm = run_args.settings.as_deref().map(study::storm).transpose()?.flatten();
            let started_at = std::time::Instant::now();
            let (report, cost) = simulate(&script, run_args.seed, run_args.gateways, storm)?;
            let code = write_report(&run_args, &report)?;
            eprintln!(
                "{:.2} s of wall time, {:.1} us of balancer time per request",
                started_at.elapsed().as_secs_f64(),
                cost.per_request().as_secs_f64() * 1e6
            );
            Ok(code)
        }
        TestbedCommand::Replay { run_args, program: given } => {
            let script = read_script(&run_args.script)?;
            let path = given.map_or_else(workspace_gateway, Ok)?;
            let folder = std::env::temp_dir().join(format!("weldworks-testbed-{}", std::process::id()));
            std::fs::create_dir_all(&folder)?;
            let start = Program { path, folder: folder.clone(), settings: run_args.settings.clone() };
            let show_progress = |at, counts, in_time| progress(script.lasts, at, counts, in_time);
            let result =
                replay(&script, run_args.seed, run_args.gateways, &start, &show_progress, stop_signal());
            let _ = std::fs::remove_dir_all(&folder); // files left in the temporary folder do no harm
            let (report, spent) = result?;
            let code = write_report(&run_args, &report)?;
            let share = |spent: Option<Duration>| {
                spent.map_or("unknown".to_owned(), |cpu| {
                    format!("{:.1}% of a core", 100.0 * cpu.as_secs_f64() / script.lasts.as_secs_f64())
                })
            };
            eprintln!(
                "processor time: gateways {}; test bed {}",
                share(spent.gateways),
                share(spent.test_bed)
            );
            Ok(code)
        }
    }
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
