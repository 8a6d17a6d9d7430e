//! What a run has shown: as JSON, as text, and the samples behind its timeline.

use crate::ledger::{back_after, Breach, Got, Ledger, Service, Tally};
use crate::plan::Asked;
use crate::script::Script;
use serde::Serialize;
use std::fmt::Write as _;
use std::time::Duration;

/// For so long a gateway counts as fresh.
const FRESH: Duration = Duration::from_secs(10);

/// How often something happened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// First tries.
    pub asked: u64,
    /// All tries.
    pub tries: u64,
    /// Tries that were served, in time or not.
    pub served: u64,
    /// Tries that were refused.
    pub refused: u64,
    /// Tries that failed, or were given up.
    pub failed: u64,
    /// Tries that no gateway took.
    pub unreachable: u64,
    /// Attempts that reached nodes.
    pub attempts: u64,
    /// Connections opened to nodes.
    pub connections: u64,
    /// Repeats that nodes dropped.
    pub repeats_dropped: u64,
    /// Nodes that fell over.
    pub fallen: u64,
}

/// The state of the run at a time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Sample {
    /// When, in seconds.
    pub at_s: f64,
    /// Tries a second, first ones and repeats.
    pub asked: f64,
    /// Answers a second that came in time.
    pub in_time: f64,
    /// Refusals a second.
    pub refused: f64,
    /// Failures a second.
    pub failed: f64,
    /// Requests that nodes hold.
    pub held: usize,
    /// Nodes that are up and warm.
    pub warm: usize,
    /// Nodes that are up and cold.
    pub cold: usize,
    /// Nodes that drain.
    pub draining: usize,
    /// Nodes that are choked.
    pub choked: usize,
    /// Nodes that are gone, silent or fallen over.
    pub down: usize,
}

/// How gateways that started among warm ones fared, in the 10 s from then on.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fresh {
    /// The service of first tries dealt to them.
    pub service: f64,
    /// How many these were.
    pub asked: usize,
    /// The service of first tries dealt to all others in that time.
    pub others: f64,
}

/// How a run was played.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Runner {
    /// In virtual time, with the decision module in process.
    VirtualTime,
    /// On loopback sockets, with real gateways.
    Sockets,
}

/// How late the machine was, where time was real.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Lateness {
    /// The share of first tries that were sent more than 20 ms late.
    pub late_share: f64,
    /// The lateness that a hundredth of the first tries exceeded, in milliseconds.
    pub p99_ms: f64,
    /// The longest time for which the rig itself did not run, in milliseconds.
    pub longest_stall_ms: f64,
}

impl Lateness {
    /// Why the run counts for nothing, where the machine was too busy for it.
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

/// What a run has shown.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The script's name.
    pub script: String,
    /// The seed.
    pub seed: u64,
    /// How it was played.
    pub runner: Runner,
    /// How many gateways.
    pub gateways: usize,
    /// How many nodes.
    pub nodes: usize,
    /// The service; none where the machine was too busy to tell.
    pub service: Option<Service>,
    /// The rules that were broken, each with its request and what happened.
    pub breaches: Vec<Breach>,
    /// Why there is no service figure.
    pub unsound: Option<String>,
    /// What happened how often.
    pub counts: Counts,
    /// How gateways that started later fared, where there were any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fresh: Option<Fresh>,
    /// So many seconds after the last event, service was back at 0.95 for good; none where it never was, or where no
    /// event ends.
    pub back_s: Option<f64>,
    /// How evenly attempts came to nodes ([`Ledger::dispersion`]): 1 is chance alone.
    pub dispersion: Option<f64>,
    /// The most that a cold node was sent in a window by all gateways, as a part of what it may be sent; none where none was cold.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold_peak: Option<f64>,
    /// How late the machine was.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lateness: Option<Lateness>,
    /// The state over time.
    pub timeline: Vec<Sample>,
}

impl Report {
    /// Whether all rules were kept and the figure counts.
    pub fn sound(&self) -> bool {
        self.breaches.is_empty() && self.unsound.is_none()
    }

    /// The report as JSON, the same bytes for the same run.
    pub fn to_json(&self) -> String {
        // Only a map with keys that are no text can fail, and there is none.
        serde_json::to_string_pretty(self).unwrap_or_default() + "\n"
    }

    /// The report for a person.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let c = &self.counts;
        let how = match self.runner {
            Runner::VirtualTime => "in virtual time",
            Runner::Sockets => "on sockets",
        };
        let _ = writeln!(
            text,
            "{} {how}, seed {}: {} gateways, {} nodes",
            self.script, self.seed, self.gateways, self.nodes
        );
        let _ = writeln!(
            text,
            "  {} asked, {} tries: {} served, {} refused, {} failed, {} unreachable",
            c.asked, c.tries, c.served, c.refused, c.failed, c.unreachable
        );
        let _ = writeln!(
            text,
            "  {} attempts on {} connections, {} repeats dropped, {} nodes fell over",
            c.attempts, c.connections, c.repeats_dropped, c.fallen
        );
        match (&self.service, &self.unsound) {
            (_, Some(why)) => {
                let _ = writeln!(text, "  no figure: {why}");
            }
            (Some(s), None) => {
                let _ = writeln!(text, "  service {:.4} of the whole run", s.whole);
                let worst = [("10 s", &s.worst_10s), ("class", &s.worst_class), ("tenant", &s.worst_tenant)];
                for (what, w) in worst {
                    let _ = writeln!(text, "  service {:.4} of the worst {what}: {}", w.service, w.name);
                }
            }
            (None, None) => {}
        }
        if let Some(f) = self.fresh {
            let _ = writeln!(
                text,
                "  service {:.4} of {} first tries at fresh gateways in their first 10 s, {:.4} at the others",
                f.service, f.asked, f.others
            );
        }
        if let Some(dispersion) = self.dispersion {
            let _ =
                writeln!(text, "  attempts come to nodes with a dispersion of {dispersion:.2} (1 is chance)");
        }
        if self.breaches.is_empty() {
            let _ = writeln!(text, "  all rules kept");
        }
        for breach in self.breaches.iter().take(10) {
            let request = breach.request.as_deref().unwrap_or("-");
            let _ = writeln!(text, "  BROKEN {:?} at {:.3} s, request {request}", breach.rule, breach.at_s);
            breach.events.iter().for_each(|event| {
                let _ = writeln!(text, "    {event}");
            });
        }
        if self.breaches.len() > 10 {
            let _ =
                writeln!(text, "  and {} more breaches; the JSON report has all", self.breaches.len() - 10);
        }
        text
    }
}

/// What became of each first try: it or a retry was served within its aim, counted from when it was first asked.
pub fn tallies(
    script: &Script,
    day: &[Asked],
    ledger: &Ledger,
    tries: &[Vec<(u64, Duration)>],
) -> Vec<Tally> {
    let tally = |asked: &Asked| {
        let tries = tries.get(asked.place).map(Vec::as_slice).unwrap_or_default();
        let first = tries.first().map_or(asked.at, |(_, at)| *at);
        let aim = first + script.classes[asked.class].aim;
        let in_time = tries.iter().any(|(number, _)| {
            let got = ledger.of(*number).and_then(|r| r.got.first());
            got.is_some_and(|(at, got)| *got == Got::Served && *at <= aim)
        });
        Tally {
            at: asked.at,
            class: asked.class,
            tenant: asked.tenant,
            worth: asked.worth,
            in_share: asked.in_share,
            in_time,
        }
    };
    day.iter().map(tally).collect()
}

/// How the gateways from `first` on fared in the 10 s after they started; `by` tells which gateway took a first try.
pub fn fresh(script: &Script, tallies: &[Tally], first: usize, by: impl Fn(usize) -> Option<usize>) -> Fresh {
    let from = script.fleet.joins_at;
    let in_time = tallies.iter().enumerate().filter(|(_, t)| t.at >= from && t.at < from + FRESH);
    let (fresh, others): (Vec<_>, Vec<_>) =
        in_time.partition(|(place, _)| by(*place).is_some_and(|gateway| gateway >= first));
    let whole = |these: Vec<(usize, &Tally)>| {
        let these: Vec<Tally> = these.into_iter().map(|(_, tally)| *tally).collect();
        (service(script, &these).whole, these.len())
    };
    let ((service, asked), (others, _)) = (whole(fresh), whole(others));
    Fresh { service, asked, others }
}

/// See [`Report::back_s`].
pub fn back(script: &Script, tallies: &[Tally]) -> Option<f64> {
    let last = script.events.iter().map(|e| e.until()).collect::<Option<Vec<_>>>()?.into_iter().max()?;
    back_after(tallies, last)
}

/// The service of a run.
pub fn service(script: &Script, tallies: &[Tally]) -> Service {
    let classes: Vec<_> = script.classes.iter().map(|c| c.name.clone()).collect();
    let tenants: Vec<_> = script.tenants.iter().map(|t| t.name.clone()).collect();
    Service::count(tallies, &classes, &tenants)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_machine_that_was_too_busy_gives_no_figure() {
        let quick = Lateness { late_share: 0.019, p99_ms: 3.0, longest_stall_ms: 400.0 };
        assert_eq!(quick.too_busy(), None);
        let late = Lateness { late_share: 0.021, ..quick };
        assert!(late.too_busy().is_some_and(|why| why.contains("2.1% of the requests")));
        let stalled = Lateness { longest_stall_ms: 501.0, ..quick };
        assert!(stalled.too_busy().is_some_and(|why| why.contains("501 ms")));
    }
}
