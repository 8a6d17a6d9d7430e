//! Carries out the runs of a study on several threads.

use super::study::{Study, StudyScript, Variant};
use crate::script::Script;
use crate::simulate::{simulate_with, DecisionModules};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Name of the upper bound among the variants: one balancer that receives the events of all gateways.
pub const ORACLE: &str = "oracle";

/// Figures of one run of a study.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Name of the script.
    pub script: String,
    /// Number of gateways.
    pub gateways: usize,
    /// Name of the variant; `oracle` for the upper bound.
    pub variant: String,
    /// Seed of the run.
    pub seed: u64,
    /// Service of the whole run.
    pub whole: f64,
    /// Service of the worst 10 s.
    pub worst_10s: f64,
    /// Service of the worst class.
    pub worst_class: f64,
    /// Rejected client attempts, as a fraction of first attempts.
    pub refused: f64,
    /// Attempts of gateways, for each first attempt of a client.
    pub attempts: f64,
    /// How evenly attempts arrived at endpoints: 1 for independent arrivals; `None` for a build that does not report it.
    pub dispersion: Option<f64>,
    /// Seconds from the last end of an event until service had recovered to 0.95 for the rest of the run.
    pub back_s: Option<f64>,
    /// Service of the worst tenant, counting only requests within its share.
    pub worst_tenant: f64,
    /// Service at gateways that started late, in their first 10 s.
    pub fresh: Option<f64>,
    /// Service at all other gateways, in the first 10 s of the gateways that started late.
    pub others: Option<f64>,
    /// Endpoints that fell over.
    pub fallen: u64,
    /// Number of violations of rules.
    #[serde(rename = "breaches")]
    pub violations: usize,
    /// Time in the balancer, in microseconds for each request; `None` for another build, which does not report it.
    pub decision_us: Option<f64>,
}

/// Reason why a run of a study failed.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The balancer rejects the settings.
    #[error(transparent)]
    Simulate(#[from] crate::simulate::SimulateError),
    /// Another build of the test bed can't be started.
    #[error("{program}: {source}")]
    Start {
        /// Path of the other build.
        program: String,
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// A run ended without a valid report.
    #[error("{program}: no report of {script}, {gateways} gateways, seed {seed}: {why}")]
    NoReport {
        /// Path of the program that was run.
        program: String,
        /// File of the script.
        script: String,
        /// Number of gateways.
        gateways: usize,
        /// Seed of the run.
        seed: u64,
        /// Error output of the program, or the error of the JSON parser.
        why: String,
    },
}

struct Job<'s> {
    study_script: &'s StudyScript,
    gateways: usize,
    variant: Option<&'s Variant>,
    changed: Option<&'s Script>,
    seed: u64,
}

fn jobs(study: &Study) -> Vec<Job<'_>> {
    let mut jobs = Vec::new();
    for study_script in &study.scripts {
        for seed in 1..=study.seeds {
            for &gateways in &study_script.gateways {
                if study.oracle {
                    jobs.push(Job { study_script, gateways, variant: None, changed: None, seed });
                }
                for (index, variant) in study.variants.iter().enumerate() {
                    let changed = study_script.changed.get(index).and_then(Option::as_ref);
                    jobs.push(Job { study_script, gateways, variant: Some(variant), changed, seed });
                }
            }
        }
    }
    // The longest runs start first, so that no thread is still busy with a long run when all others have finished.
    jobs.sort_by_key(|job| std::cmp::Reverse(job.study_script.script.fleet.nodes * job.gateways));
    jobs
}

/// Carries out all runs of a study on this number of threads. `done` is called after each run with the number of finished runs and
/// the number of all runs.
///
/// # Errors
/// The error of the first run that failed; runs that have not begun are left out.
pub fn run(
    study: &Study,
    threads: usize,
    done: &(dyn Fn(usize, usize) + Sync),
) -> Result<Vec<Run>, RunError> {
    let jobs = jobs(study);
    let (next, finished) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let runs = Mutex::new(Vec::new());
    let failed = Mutex::new(None);
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, jobs.len().max(1)) {
            scope.spawn(|| {
                while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    match execute(job) {
                        Ok(run) => {
                            if let Ok(mut runs) = runs.lock() {
                                runs.push(run);
                            }
                        }
                        Err(error) => {
                            next.store(jobs.len(), Ordering::Relaxed);
                            if let Ok(mut failed) = failed.lock() {
                                failed.get_or_insert(error);
                            }
                        }
                    }
                    done(finished.fetch_add(1, Ordering::Relaxed) + 1, jobs.len());
                }
            });
        }
    });
    if let Some(error) = failed.into_inner().unwrap_or_default() {
        return Err(error);
    }
    let mut runs: Vec<Run> = runs.into_inner().unwrap_or_default();
    let script_index =
        |run: &Run| study.scripts.iter().position(|study_script| study_script.script.name == run.script);
    let variant_index = |run: &Run| {
        study.variants.iter().position(|variant| variant.name == run.variant).unwrap_or(usize::MAX)
    };
    runs.sort_by_key(|run| (script_index(run), run.gateways, variant_index(run), run.seed));
    Ok(runs)
}

fn execute(job: &Job<'_>) -> Result<Run, RunError> {
    match job.variant {
        Some(Variant { program: Some(program), settings, .. }) => {
            let mut command = Command::new(program);
            command.arg("simulate").arg(&job.study_script.file).args(["--json", "/dev/stdout"]);
            command.args(["--seed", &job.seed.to_string(), "--gateways", &job.gateways.to_string()]);
            if let Some(settings) = settings {
                command.arg("--settings").arg(settings);
            }
            let name = program.display().to_string();
            let output =
                command.output().map_err(|source| RunError::Start { program: name.clone(), source })?;
            // The other build prints the text report before the JSON report.
            let text = String::from_utf8_lossy(&output.stdout);
            let json = text.find("\n{").map_or("", |at| &text[at..]);
            let no_report = |why: String| RunError::NoReport {
                program: name.clone(),
                script: job.study_script.file.display().to_string(),
                gateways: job.gateways,
                seed: job.seed,
                why,
            };
            if json.is_empty() {
                return Err(no_report(String::from_utf8_lossy(&output.stderr).trim().to_owned()));
            }
            let figures: ReportFigures =
                serde_json::from_str(json).map_err(|error| no_report(error.to_string()))?;
            Ok(figures.into_run(job))
        }
        variant => {
            let storm = variant.and_then(|variant| variant.storm);
            let script = job.changed.unwrap_or(&job.study_script.script);
            let minds = match variant {
                Some(Variant { plain: true, .. }) => DecisionModules::Baseline,
                Some(_) => DecisionModules::PerGateway,
                None => DecisionModules::Shared,
            };
            let (report, cost) = simulate_with(script, job.seed, Some(job.gateways), storm, minds)?;
            // This build's report is read from JSON like the report of another build, so that all variants are evaluated alike.
            let figures: ReportFigures =
                serde_json::from_str(&report.to_json()).map_err(|error| RunError::NoReport {
                    program: "this build".into(),
                    script: job.study_script.file.display().to_string(),
                    gateways: job.gateways,
                    seed: job.seed,
                    why: error.to_string(),
                })?;
            let decision_us = Some(cost.per_request().as_secs_f64() * 1e6);
            Ok(Run { decision_us, ..figures.into_run(job) })
        }
    }
}

/// The parts of a report that a study uses.
#[derive(Deserialize)]
struct ReportFigures {
    service: Service,
    #[serde(rename = "breaches")]
    violations: Vec<serde_json::Value>,
    counts: Counts,
    dispersion: Option<f64>,
    back_s: Option<f64>,
    fresh: Option<Fresh>,
}

#[derive(Deserialize)]
struct Fresh {
    service: f64,
    others: f64,
}

#[derive(Deserialize)]
struct Service {
    whole: f64,
    worst_10s: Worst,
    worst_class: Worst,
    worst_tenant: Worst,
}

#[derive(Deserialize)]
struct Worst {
    service: f64,
}

#[derive(Deserialize)]
struct Counts {
    asked: u64,
    refused: u64,
    attempts: u64,
    fallen: u64,
}

impl ReportFigures {
    fn into_run(self, job: &Job<'_>) -> Run {
        let asked = self.counts.asked.max(1) as f64;
        Run {
            script: job.study_script.script.name.clone(),
            gateways: job.gateways,
            variant: job.variant.map_or(ORACLE, |variant| &variant.name).to_owned(),
            seed: job.seed,
            whole: self.service.whole,
            worst_10s: self.service.worst_10s.service,
            worst_class: self.service.worst_class.service,
            refused: self.counts.refused as f64 / asked,
            attempts: self.counts.attempts as f64 / asked,
            dispersion: self.dispersion,
            back_s: self.back_s,
            worst_tenant: self.service.worst_tenant.service,
            fresh: self.fresh.as_ref().map(|fresh| fresh.service),
            others: self.fresh.as_ref().map(|fresh| fresh.others),
            fallen: self.counts.fallen,
            violations: self.violations.len(),
            decision_us: None,
        }
    }
}

/// The distinct names in a list of runs, in the order of their first occurrence.
pub(super) fn names<'r>(runs: &'r [Run], of: fn(&'r Run) -> &'r str) -> Vec<&'r str> {
    let mut seen = BTreeSet::new();
    runs.iter().map(of).filter(|name| seen.insert(*name)).collect()
}
