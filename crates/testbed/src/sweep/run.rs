//! The runs of a study, over all cores.

use super::study::{Played, Study, Variant};
use crate::script::Script;
use crate::simulate::{simulate_with, DecisionModules};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// The name of the bound in tables.
pub const ORACLE: &str = "oracle";

/// What a run has shown.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The script's name.
    pub script: String,
    /// How many gateways.
    pub gateways: usize,
    /// The variant's name; the bound's is `oracle`.
    pub variant: String,
    /// The seed.
    pub seed: u64,
    /// The service of the whole run.
    pub whole: f64,
    /// The service of the worst 10 s.
    pub worst_10s: f64,
    /// The service of the worst class.
    pub worst_class: f64,
    /// Refused tries, as a share of first tries.
    pub refused: f64,
    /// Attempts for each first try.
    pub attempts: f64,
    /// How evenly attempts came to nodes: 1 is chance alone; none from a build that does not tell it.
    pub dispersion: Option<f64>,
    /// So many seconds after the last event service was back at 0.95 for good.
    pub back_s: Option<f64>,
    /// The service of the worst tenant, within its share.
    pub worst_tenant: f64,
    /// The service at gateways that started late, in their first 10 s, and at the others in that time.
    pub fresh: Option<f64>,
    /// See `fresh`.
    pub others: Option<f64>,
    /// Nodes that fell over.
    pub fallen: u64,
    /// Rules broken.
    pub breaches: usize,
    /// Decisions, in microseconds a request; none for another build, which does not tell it.
    pub decision_us: Option<f64>,
}

/// Why a run failed.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The decision module does not take the settings.
    #[error(transparent)]
    Simulate(#[from] crate::simulate::SimulateError),
    /// Another build can't be started.
    #[error("{program}: {source}")]
    Start {
        /// Its path.
        program: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// It ended without a report.
    #[error("{program}: no report of {script}, {gateways} gateways, seed {seed}: {why}")]
    NoReport {
        /// Its path.
        program: String,
        /// The script's file.
        script: String,
        /// How many gateways.
        gateways: usize,
        /// The seed.
        seed: u64,
        /// What it or the parser says.
        why: String,
    },
}

struct Job<'s> {
    played: &'s Played,
    gateways: usize,
    variant: Option<&'s Variant>,
    changed: Option<&'s Script>,
    seed: u64,
}

fn jobs(study: &Study) -> Vec<Job<'_>> {
    let mut jobs = Vec::new();
    for played in &study.played {
        for seed in 1..=study.seeds {
            for &gateways in &played.gateways {
                if study.oracle {
                    jobs.push(Job { played, gateways, variant: None, changed: None, seed });
                }
                for (n, variant) in study.variants.iter().enumerate() {
                    let changed = played.changed.get(n).and_then(Option::as_ref);
                    jobs.push(Job { played, gateways, variant: Some(variant), changed, seed });
                }
            }
        }
    }
    // The longest first, so that no core is left with one at the end.
    jobs.sort_by_key(|j| std::cmp::Reverse(j.played.script.fleet.nodes * j.gateways));
    jobs
}

/// Plays all runs of a study on so many threads; `done` hears after each how many are done, and of how many.
///
/// # Errors
/// The first run that failed; the others are given up.
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
                    match play(job) {
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
    let place = |r: &Run| study.played.iter().position(|p| p.script.name == r.script);
    let order = |r: &Run| study.variants.iter().position(|v| v.name == r.variant).unwrap_or(usize::MAX);
    runs.sort_by_key(|r| (place(r), r.gateways, order(r), r.seed));
    Ok(runs)
}

fn play(job: &Job<'_>) -> Result<Run, RunError> {
    match job.variant {
        Some(Variant { program: Some(program), settings, .. }) => {
            let mut command = Command::new(program);
            command.arg("simulate").arg(&job.played.file).args(["--json", "/dev/stdout"]);
            command.args(["--seed", &job.seed.to_string(), "--gateways", &job.gateways.to_string()]);
            if let Some(settings) = settings {
                command.arg("--settings").arg(settings);
            }
            let name = program.display().to_string();
            let output =
                command.output().map_err(|source| RunError::Start { program: name.clone(), source })?;
            // The report for a person comes ahead of the one for a program.
            let text = String::from_utf8_lossy(&output.stdout);
            let json = text.find("\n{").map_or("", |at| &text[at..]);
            let no_report = |why: String| RunError::NoReport {
                program: name.clone(),
                script: job.played.file.display().to_string(),
                gateways: job.gateways,
                seed: job.seed,
                why,
            };
            if json.is_empty() {
                return Err(no_report(String::from_utf8_lossy(&output.stderr).trim().to_owned()));
            }
            let told: Told = serde_json::from_str(json).map_err(|e| no_report(e.to_string()))?;
            Ok(told.run(job))
        }
        variant => {
            let storm = variant.and_then(|v| v.storm);
            let script = job.changed.unwrap_or(&job.played.script);
            let minds = match variant {
                Some(Variant { plain: true, .. }) => DecisionModules::Baseline,
                Some(_) => DecisionModules::PerGateway,
                None => DecisionModules::Shared,
            };
            let (report, cost) = simulate_with(script, job.seed, Some(job.gateways), storm, minds)?;
            // The same way as another build's, so that no variant is read by other rules.
            let told: Told = serde_json::from_str(&report.to_json()).map_err(|e| RunError::NoReport {
                program: "this build".into(),
                script: job.played.file.display().to_string(),
                gateways: job.gateways,
                seed: job.seed,
                why: e.to_string(),
            })?;
            let decision_us = Some(cost.per_request().as_secs_f64() * 1e6);
            Ok(Run { decision_us, ..told.run(job) })
        }
    }
}

/// What of a report a study looks at.
#[derive(Deserialize)]
struct Told {
    service: Service,
    breaches: Vec<serde_json::Value>,
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

impl Told {
    fn run(self, job: &Job<'_>) -> Run {
        let asked = self.counts.asked.max(1) as f64;
        Run {
            script: job.played.script.name.clone(),
            gateways: job.gateways,
            variant: job.variant.map_or(ORACLE, |v| &v.name).to_owned(),
            seed: job.seed,
            whole: self.service.whole,
            worst_10s: self.service.worst_10s.service,
            worst_class: self.service.worst_class.service,
            refused: self.counts.refused as f64 / asked,
            attempts: self.counts.attempts as f64 / asked,
            dispersion: self.dispersion,
            back_s: self.back_s,
            worst_tenant: self.service.worst_tenant.service,
            fresh: self.fresh.as_ref().map(|f| f.service),
            others: self.fresh.as_ref().map(|f| f.others),
            fallen: self.counts.fallen,
            breaches: self.breaches.len(),
            decision_us: None,
        }
    }
}

/// The names in a list of runs, each once, in the order in which they come.
pub(super) fn names<'r>(runs: &'r [Run], of: fn(&'r Run) -> &'r str) -> Vec<&'r str> {
    let mut seen = BTreeSet::new();
    runs.iter().map(of).filter(|name| seen.insert(*name)).collect()
}
