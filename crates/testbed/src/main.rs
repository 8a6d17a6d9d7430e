//! The rig's command line: play a script on sockets or in virtual time, or check it.

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

/// Rehearse incidents of the booking service against stand-in nodes.
///
/// Exit codes: 0, all rules kept and the figure counts; 1, a rule was broken; 2, the script, the command or a file is
/// not as it should be; 3, the machine was too busy or a gateway ended, so there is no figure.
#[derive(Parser)]
#[command(name = "weldworks-testbed", version)]
struct Arguments {
    #[command(subcommand)]
    command: Sub,
}

#[derive(Subcommand)]
enum Sub {
    /// Play a script on loopback sockets with real gateway processes.
    Replay {
        #[command(flatten)]
        play: Play,
        /// The gateway's program; without it the one of this workspace is built and used.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Play a script in virtual time with the decision module in process.
    Simulate {
        #[command(flatten)]
        play: Play,
    },
    /// Play a study: scripts x gateways x seeds x variants in virtual time, over all cores.
    Sweep(SweepArgs),
    /// Count over all gateways what their logs tell ([log] format = "json", level = "debug"), one file a gateway.
    Count {
        /// The folder of logs.
        folder: PathBuf,
        /// How long a line's stretch of time is, in seconds.
        #[arg(long, default_value_t = 1.0, value_parser = positive)]
        every: f64,
        /// Nodes are counted from this second on.
        #[arg(long, default_value_t = 0.0)]
        from: f64,
        /// And up to this one.
        #[arg(long, default_value_t = f64::INFINITY)]
        until: f64,
    },
    /// Audit the resends and refusals that the logs of a fleet tell of (as for `count`): exit code 1 where a rule was broken.
    Resends {
        /// The folder of logs.
        folder: PathBuf,
    },
    /// Play a script of faults on a whole fleet: its links, its council, its audit.
    Fleet {
        /// The script.
        script: PathBuf,
        /// The seed of all draws.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// In virtual time, with the decisions in process; otherwise on real processes.
        #[arg(long = "virtual")]
        in_virtual_time: bool,
        /// The gateway's program; without it the one of this workspace is built and used.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Write the report as JSON to this file.
        #[arg(long)]
        json: Option<PathBuf>,
        /// Write what happened, line by line, to this file.
        #[arg(long)]
        history: Option<PathBuf>,
    },
    /// Say whether a script is as it should be.
    Check {
        /// The script.
        script: PathBuf,
    },
}

#[derive(clap::Args)]
struct Play {
    /// The script.
    script: PathBuf,
    /// The seed of all draws; the same one gives the same day.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many gateways, in place of what the script says.
    #[arg(long)]
    gateways: Option<usize>,
    /// The operator's file for all gateways. In virtual time its table [storm] alone has a meaning.
    #[arg(long)]
    settings: Option<PathBuf>,
    /// Write the report as JSON to this file.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write the timeline as SVG to this file.
    #[arg(long)]
    svg: Option<PathBuf>,
}

#[derive(clap::Args)]
struct SweepArgs {
    /// The study.
    study: PathBuf,
    /// Another build of this program, as a further variant named `against`, the first that the others are held against.
    #[arg(long)]
    against: Option<PathBuf>,
    /// Seeds from 1 to this one, in place of what the study says.
    #[arg(long)]
    seeds: Option<u64>,
    /// Play only scripts whose name contains this.
    #[arg(long)]
    only: Option<String>,
    /// How many runs at once; one for each core without it.
    #[arg(long)]
    threads: Option<usize>,
    /// Write rows and runs as JSON to this file.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write the runs as CSV to this file.
    #[arg(long)]
    csv: Option<PathBuf>,
    /// Write the plots as SVG to this file.
    #[arg(long)]
    svg: Option<PathBuf>,
}

fn read(path: &Path) -> Result<Script, Box<dyn Error>> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(Script::parse(&path.display().to_string(), &text)?)
}

/// The gateway's program of this workspace, built if need be.
fn program() -> Result<PathBuf, Box<dyn Error>> {
    let own = std::env::current_exe()?;
    let folder = own.parent().ok_or("the rig's program lies in no folder")?;
    let path = folder.join("weldworks-gateway");
    // Started by cargo, the workspace is at hand, and what was built before may be older than its sources.
    if let Some(cargo) = std::env::var_os("CARGO") {
        let manifest = concat!(env!("CARGO_MANIFEST_DIR"), "/../../Cargo.toml");
        let mut build = Command::new(cargo);
        build.args(["build", "--locked", "--quiet", "-p", "weldworks-gateway", "--manifest-path", manifest]);
        if folder.ends_with("release") {
            build.arg("--release");
        }
        if !build.status()?.success() {
            return Err("the gateway does not build".into());
        }
    }
    if !path.exists() {
        let text = "is not there: build it with cargo build --release, or name it with --program";
        return Err(format!("{} {text}", path.display()).into());
    }
    Ok(path)
}

fn positive(text: &str) -> Result<f64, String> {
    let seconds = text.parse().ok().filter(|s: &f64| s.is_finite() && *s > 0.0);
    seconds.ok_or_else(|| "it must be a number of seconds above 0".to_owned())
}

fn write_file(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

fn run_study(arguments: &SweepArgs) -> Result<ExitCode, Box<dyn Error>> {
    let mut study = Study::read(&arguments.study)?;
    study.seeds = arguments.seeds.unwrap_or(study.seeds);
    study.played.retain(|p| arguments.only.as_deref().is_none_or(|part| p.script.name.contains(part)));
    if study.seeds == 0 || study.played.is_empty() {
        return Err(format!("{}: nothing to play; see --seeds and --only", arguments.study.display()).into());
    }
    if let Some(program) = arguments.against.clone() {
        let program =
            Some(std::fs::canonicalize(&program).map_err(|e| format!("{}: {e}", program.display()))?);
        study.variants.insert(0, study::Variant { program, ..study::Variant::plain("against") });
        study.played.iter_mut().for_each(|p| p.changed.insert(0, None));
    }
    let threads = arguments.threads.or_else(|| std::thread::available_parallelism().ok().map(usize::from));
    let show = |done: usize, of: usize| {
        let mut out = std::io::stderr();
        if out.is_terminal() {
            let _ = write!(out, "\r{done} of {of} runs ");
            let _ = if done == of { writeln!(out) } else { out.flush() };
        } else if done == of || done.is_multiple_of(100) {
            let _ = writeln!(out, "{done} of {of} runs");
        }
    };
    let runs = sweep::run(&study, threads.unwrap_or(1), &show)?;
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
    Ok(ExitCode::from(u8::from(rows.iter().any(|r| r.breaches > 0))))
}

fn finish(play: &Play, report: &Report) -> Result<ExitCode, Box<dyn Error>> {
    print!("{}", report.to_text());
    if let Some(path) = &play.json {
        write_file(path, &report.to_json())?;
    }
    if let Some(path) = &play.svg {
        write_file(path, &svg(report)?)?;
    }
    Ok(match report {
        report if !report.breaches.is_empty() => ExitCode::from(1),
        report if report.unsound.is_some() => ExitCode::from(3),
        _ => ExitCode::SUCCESS,
    })
}

/// A live line on a terminal, a line every five seconds elsewhere.
fn progress(lasts: Duration, at: Duration, counts: Counts, in_time: u64) {
    let (at, lasts) = (at.as_secs(), lasts.as_secs());
    let line = format!(
        "{at:>4} s of {lasts} s: {} asked, {in_time} served in time, {} refused, {} failed, {} nodes fell over",
        counts.asked, counts.refused, counts.failed, counts.fallen
    );
    let mut out = std::io::stderr();
    if out.is_terminal() {
        let _ = write!(out, "\r{line} "); // progress that can't be shown is no reason to stop
        let _ = if at >= lasts { writeln!(out) } else { out.flush() };
    } else if at % 5 == 0 || at >= lasts {
        let _ = writeln!(out, "{line}");
    }
}

/// Ends with the signals that ask a program to stop: its gateways must not outlive it.
async fn stopped() {
    let waiting = || Some((signal(SignalKind::terminate()).ok()?, signal(SignalKind::interrupt()).ok()?));
    let Some((mut terminate, mut interrupt)) = waiting() else { return std::future::pending().await };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

#[expect(clippy::too_many_lines, reason = "one arm for each subcommand")]
fn run(arguments: Arguments) -> Result<ExitCode, Box<dyn Error>> {
    match arguments.command {
        Sub::Check { script } => {
            let script = read(&script)?;
            println!("{}: {}", script.name, script.about);
            Ok(ExitCode::SUCCESS)
        }
        Sub::Count { folder, every, from, until } => {
            print!("{}", count::Counts::read(&folder, every, from..until)?.tables());
            Ok(ExitCode::SUCCESS)
        }
        Sub::Resends { folder } => {
            let audit = resends::Audit::read(&folder)?;
            print!("{}", audit.tables());
            Ok(if audit.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) })
        }
        Sub::Fleet { script, seed, in_virtual_time, program: named, json, history } => {
            let text = std::fs::read_to_string(&script).map_err(|e| format!("{}: {e}", script.display()))?;
            let script = fleet_scenario::script::Script::parse(&script.display().to_string(), &text)?;
            let (breaches, report, told) = if in_virtual_time {
                let played = fleet_scenario::virtual_time::run_script(
                    &script,
                    seed,
                    fleet_scenario::virtual_time::Mutation::None,
                );
                let report = serde_json::json!({
                    "script": script.name, "seed": seed, "breaches": played.violations, "figures": played.figures,
                });
                (played.violations, report, played.history.to_text())
            } else {
                let program = named.map_or_else(program, Ok)?;
                let folder = fleet_scenario::live::create_run_folder(&script, seed, &std::env::temp_dir())?;
                let played = fleet_scenario::live::run_script(&script, seed, &program, &folder);
                let _ = std::fs::remove_dir_all(&folder); // what is left there harms nobody
                let (report, told) = played?;
                (report.violations.clone(), serde_json::to_value(&report)?, told.join("\n") + "\n")
            };
            println!("{report:#}");
            if let Some(path) = &json {
                write_file(path, &format!("{report:#}\n"))?;
            }
            if let Some(path) = &history {
                write_file(path, &told)?;
            }
            Ok(ExitCode::from(u8::from(!breaches.is_empty())))
        }
        Sub::Sweep(arguments) => run_study(&arguments),
        Sub::Simulate { play } => {
            let script = read(&play.script)?;
            let storm = play.settings.as_deref().map(study::storm).transpose()?.flatten();
            let began = std::time::Instant::now();
            let (report, cost) = simulate(&script, play.seed, play.gateways, storm)?;
            let code = finish(&play, &report)?;
            eprintln!(
                "{:.2} s of wall time, {:.1} us of decisions a request",
                began.elapsed().as_secs_f64(),
                cost.per_request().as_secs_f64() * 1e6
            );
            Ok(code)
        }
        Sub::Replay { play, program: named } => {
            let script = read(&play.script)?;
            let path = named.map_or_else(program, Ok)?;
            let folder = std::env::temp_dir().join(format!("weldworks-testbed-{}", std::process::id()));
            std::fs::create_dir_all(&folder)?;
            let start = Program { path, folder: folder.clone(), settings: play.settings.clone() };
            let show = |at, counts, in_time| progress(script.lasts, at, counts, in_time);
            let played = replay(&script, play.seed, play.gateways, &start, &show, stopped());
            let _ = std::fs::remove_dir_all(&folder); // what is left there harms nobody
            let (report, spent) = played?;
            let code = finish(&play, &report)?;
            let share = |spent: Option<Duration>| {
                spent.map_or("unknown".to_owned(), |cpu| {
                    format!("{:.1}% of a core", 100.0 * cpu.as_secs_f64() / script.lasts.as_secs_f64())
                })
            };
            eprintln!("gateways: {}; rig: {}", share(spent.gateways), share(spent.rig));
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
