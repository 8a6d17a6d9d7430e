//! The report of a run, as JSON and as text, with the samples of its timeline.

use crate::checker::{back_after, Checker, FinalAnswer, RequestResult, Service, Violation};
use crate::plan::PlannedRequest;
use crate::script::Script;
use serde::Serialize;
use std::fmt::Write as _;
use std::time::Duration;

/// Time for which a gateway counts as fresh after it started.
const FRESH_PERIOD: Duration = Duration::from_secs(10);

/// Counts over a whole run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// First attempts of clients.
    pub asked: u64,
    /// All attempts of clients, retries included.
    #[serde(rename = "tries")]
    pub client_attempts: u64,
    /// Client attempts that were served, in time or not.
    pub served: u64,
    /// Client attempts that were rejected.
    pub refused: u64,
    /// Client attempts that failed or were given up.
    pub failed: u64,
    /// Client attempts that no gateway accepted.
    pub unreachable: u64,
    /// Attempts of gateways that reached endpoints.
    pub attempts: u64,
    /// Connections opened to endpoints.
    pub connections: u64,
    /// Repeated requests that endpoints recognised by their keys and did not process again.
    pub repeats_dropped: u64,
    /// Endpoints that fell over.
    pub fallen: u64,
}

/// The state of a run at one point of its timeline.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Sample {
    /// Time of the sample, in seconds.
    pub at_s: f64,
    /// Client attempts a second, retries included.
    pub asked: f64,
    /// Client attempts a second that were served in time.
    pub in_time: f64,
    /// Client attempts a second that were rejected.
    pub refused: f64,
    /// Client attempts a second that failed.
    pub failed: f64,
    /// Requests in flight at endpoints.
    #[serde(rename = "held")]
    pub in_flight: usize,
    /// Endpoints that are up and warm.
    pub warm: usize,
    /// Endpoints that are up and cold.
    pub cold: usize,
    /// Endpoints that drain.
    pub draining: usize,
    /// Endpoints that are choked.
    pub choked: usize,
    /// Endpoints that are killed, cut off or fallen over.
    pub down: usize,
}

/// Service at gateways that started late, among gateways that had run for longer, in the first 10 s after the start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fresh {
    /// Service of the first attempts sent to the late gateways.
    pub service: f64,
    /// Number of first attempts sent to the late gateways.
    pub asked: usize,
    /// Service of the first attempts sent to all other gateways in the same 10 s.
    pub others: f64,
}

/// The runner that made a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Runner {
    /// Virtual time, with the balancer in process.
    VirtualTime,
    /// Loopback sockets, with real gateway processes.
    Sockets,
}

/// How late the test bed sent requests in real time, because the machine was busy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Lateness {
    /// Share of the first attempts that were sent more than 20 ms late.
    pub late_share: f64,
    /// 99th percentile of the lateness of first attempts, in milliseconds.
    pub p99_ms: f64,
    /// Longest time for which the test bed itself was not scheduled, in milliseconds.
    pub longest_stall_ms: f64,
}

impl Lateness {
    /// The reason why the run has no valid service figure, if the machine was too busy.
    pub fn too_busy(&self) -> Option<String> {
        (self.late_share > 0.02 || self.longest_stall_ms > 500.0).then(|| {
            format!(
                "the machine was too busy: {:.1}% of the requests were sent more than 20 ms late, the longest stall \
                 was {:.0} ms; run it again with fewer gateways, a lower rate, or less beside it",
                100.0 * self.late_share,
                self.longest_stall_ms
            )
        })
    }
}

/// The report of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Name of the script.
    pub script: String,
    /// Seed of the run.
    pub seed: u64,
    /// Runner that made the report.
    pub runner: Runner,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of stand-in endpoints.
    pub nodes: usize,
    /// Service of the run; `None` where the machine was too busy to measure it.
    pub service: Option<Service>,
    /// Violations of the rules, each with its request and events.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Reason why the report has no service figure.
    pub unsound: Option<String>,
    /// Counts over the whole run.
    pub counts: Counts,
    /// Service at the gateways that started late, if there were any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fresh: Option<Fresh>,
    /// Seconds from the last end of an event until service had recovered to 0.95 for the rest of the run; `None` where service
    /// did not recover, or where an event has no end.
    pub back_s: Option<f64>,
    /// How evenly attempts arrived at endpoints ([`Checker::dispersion`]): 1 for independent arrivals.
    pub dispersion: Option<f64>,
    /// Most work that all gateways together sent to a cold endpoint in a window, as a fraction of the work that it may be sent;
    /// `None` where no endpoint was cold.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold_peak: Option<f64>,
    /// How late the test bed sent requests; `None` in virtual time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lateness: Option<Lateness>,
    /// Samples of the state of the run over time.
    pub timeline: Vec<Sample>,
}

impl Report {
    /// Whether no rule was violated and the service figure is valid.
    pub fn sound(&self) -> bool {
        self.violations.is_empty() && self.unsound.is_none()
    }

    /// The report as JSON; equal reports give equal bytes.
    pub fn to_json(&self) -> String {
        // Serialization fails only for maps whose keys are not strings, and a report contains none.
        serde_json::to_string_pretty(self).unwrap_or_default() + "\n"
    }

    /// The report as text for people.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let counts = &self.counts;
        let runner = match self.runner {
            Runner::VirtualTime => "in virtual time",
            Runner::Sockets => "on sockets",
        };
        let _ = writeln!(
            text,
            "{} {runner}, seed {}: {} gateways, {} endpoints",
            self.script, self.seed, self.gateways, self.nodes
        );
        let _ = writeln!(
            text,
            "  {} requests, {} client attempts: {} served, {} rejected, {} failed, {} unreachable",
            counts.asked,
            counts.client_attempts,
            counts.served,
            counts.refused,
            counts.failed,
            counts.unreachable
        );
        let _ = writeln!(
            text,
            "  {} attempts on {} connections, {} repeats dropped, {} endpoints fell over",
            counts.attempts, counts.connections, counts.repeats_dropped, counts.fallen
        );
        match (&self.service, &self.unsound) {
            (_, Some(why)) => {
                let _ = writeln!(text, "  no service figure: {why}");
            }
            (Some(service), None) => {
                let _ = writeln!(text, "  service {:.4} of the whole run", service.whole);
                let worst = [
                    ("10 s", &service.worst_10s),
                    ("class", &service.worst_class),
                    ("tenant", &service.worst_tenant),
                ];
                for (part, window) in worst {
                    let _ = writeln!(
                        text,
                        "  service {:.4} of the worst {part}: {}",
                        window.service, window.name
                    );
                }
            }
            (None, None) => {}
        }
        if let Some(fresh) = self.fresh {
            let _ = writeln!(
                text,
                "  service {:.4} of {} first attempts at late gateways in their first 10 s, {:.4} at the others",
                fresh.service, fresh.asked, fresh.others
            );
        }
        if let Some(dispersion) = self.dispersion {
            let _ = writeln!(
                text,
                "  dispersion of attempts at endpoints {dispersion:.2} (1 for independent arrivals)"
            );
        }
        if self.violations.is_empty() {
            let _ = writeln!(text, "  no rule violated");
        }
        for violation in self.violations.iter().take(10) {
            let request = violation.request.as_deref().unwrap_or("-");
            let _ = writeln!(
                text,
                "  VIOLATED {:?} at {:.3} s, request {request}",
                violation.rule, violation.at_s
            );
            violation.events.iter().for_each(|event| {
                let _ = writeln!(text, "    {event}");
            });
        }
        if self.violations.len() > 10 {
            let _ = writeln!(
                text,
                "  and {} more violations; the JSON report lists all",
                self.violations.len() - 10
            );
        }
        text
    }
}

/// The result of each first attempt: whether this attempt or a retry was served within the latency objective, counted from the
/// time at which the client sent its first attempt.
pub fn tallies(
    script: &Script,
    plan: &[PlannedRequest],
    checker: &Checker,
    sends: &[Vec<(u64, Duration)>],
) -> Vec<RequestResult> {
    let tally = |planned: &PlannedRequest| {
        let sends = sends.get(planned.index).map(Vec::as_slice).unwrap_or_default();
        let first = sends.first().map_or(planned.at, |(_, at)| *at);
        let objective_end = first + script.classes[planned.class].latency_objective;
        let in_time = sends.iter().any(|(number, _)| {
            let got = checker.record_of(*number).and_then(|record| record.answers.first());
            got.is_some_and(|(at, got)| *got == FinalAnswer::Served && *at <= objective_end)
        });
        RequestResult {
            at: planned.at,
            class: planned.class,
            tenant: planned.tenant,
            priority_weight: planned.priority_weight,
            in_share: planned.in_share,
            in_time,
        }
    };
    plan.iter().map(tally).collect()
}

/// Service at the gateways from number `first` on in the 10 s after their start; `by` gives the gateway that accepted a first
/// attempt, by the index of the attempt.
pub fn fresh(
    script: &Script,
    tallies: &[RequestResult],
    first: usize,
    by: impl Fn(usize) -> Option<usize>,
) -> Fresh {
    let from = script.fleet.late_start_at;
    let in_window =
        tallies.iter().enumerate().filter(|(_, tally)| tally.at >= from && tally.at < from + FRESH_PERIOD);
    let (fresh, others): (Vec<_>, Vec<_>) =
        in_window.partition(|(place, _)| by(*place).is_some_and(|gateway| gateway >= first));
    let whole = |part: Vec<(usize, &RequestResult)>| {
        let part: Vec<RequestResult> = part.into_iter().map(|(_, tally)| *tally).collect();
        (service(script, &part).whole, part.len())
    };
    let ((service, asked), (others, _)) = (whole(fresh), whole(others));
    Fresh { service, asked, others }
}

/// Computes [`Report::back_s`].
pub fn back(script: &Script, tallies: &[RequestResult]) -> Option<f64> {
    let last =
        script.events.iter().map(|event| event.until()).collect::<Option<Vec<_>>>()?.into_iter().max()?;
    back_after(tallies, last)
}

/// Computes the service of a run from the results of its first attempts.
pub fn service(script: &Script, tallies: &[RequestResult]) -> Service {
    let classes: Vec<_> = script.classes.iter().map(|class| class.name.clone()).collect();
    let tenants: Vec<_> = script.tenants.iter().map(|tenant| tenant.name.clone()).collect();
    Service::count(tallies, &classes, &tenants)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_run_on_a_machine_that_was_too_busy_has_no_service_figure() {
        let quick = Lateness { late_share: 0.019, p99_ms: 3.0, longest_stall_ms: 400.0 };
        assert_eq!(quick.too_busy(), None);
        let late = Lateness { late_share: 0.021, ..quick };
        assert!(late.too_busy().is_some_and(|why| why.contains("2.1% of the requests")));
        let stalled = Lateness { longest_stall_ms: 501.0, ..quick };
        assert!(stalled.too_busy().is_some_and(|why| why.contains("501 ms")));
    }
}
