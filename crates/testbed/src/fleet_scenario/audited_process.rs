//! Checks what the audit of a gateway reports about its killed processes.

use super::live::{Kill, ProcessTimes, ScenarioRun, OBSERVATION_TOLERANCE};
use super::stand_ins::ServedRequest;
use serde_json::Value;
use std::time::Duration;

/// Longest part of a killed process's run, up to its end, that may be missing from its audit log. The gateways promise 1 s if the disk
/// completes a write within 0.5 s; a busy machine is allowed more, and the measured time is in the report.
const MAX_UNKNOWN_BEFORE_KILL: Duration = Duration::from_secs(5);

/// A span of the run's time, with both ends.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimeSpan {
    pub(super) from: Duration,
    pub(super) to: Duration,
}

impl TimeSpan {
    pub(super) fn contains_within_tolerance(&self, at: Duration) -> bool {
        self.from <= at + OBSERVATION_TOLERANCE && at <= self.to + OBSERVATION_TOLERANCE
    }
}

/// What the audit reports of one ended process.
#[derive(Clone, Debug)]
pub(super) struct AuditedProcess {
    /// When the process started, before it opened its audit store.
    pub(super) began_at: Duration,
    /// The spans for which a part of the process's audit log is missing.
    pub(super) unknown: Vec<TimeSpan>,
    /// Number of forwarded requests.
    pub(super) send_count: u64,
}

impl AuditedProcess {
    /// Reads the report of a process. `run_started_unix_ms` is the wall clock's time at the start of the run.
    pub(super) fn new(report: &Value, run_started_unix_ms: u64) -> AuditedProcess {
        let began_unix_ms = report["began_unix_ms"].as_u64().unwrap_or_default();
        let run_time = |offset_ms: &Value| {
            let unix_ms = began_unix_ms + offset_ms.as_u64().unwrap_or_default();
            Duration::from_millis(unix_ms.saturating_sub(run_started_unix_ms))
        };
        let gaps = report["unknown"].as_array().into_iter().flatten();
        let unknown =
            gaps.map(|gap| TimeSpan { from: run_time(&gap["from_ms"]), to: run_time(&gap["to_ms"]) });
        AuditedProcess {
            began_at: run_time(&Value::Null),
            unknown: unknown.collect(),
            send_count: count_sends(report),
        }
    }
}

impl ScenarioRun {
    /// Checks that the audit reports an unknown time around each kill of a gateway's process, that little of the process's own audit log
    /// is missing, and that a process without an audit log sent endpoints no request. `ended_requests` are the requests that endpoints
    /// received from ended processes of the gateway.
    pub(super) fn check_kills(
        &self,
        gateway: usize,
        processes: &[AuditedProcess],
        ended_requests: &[&ServedRequest],
        violations: &mut Vec<String>,
    ) {
        let all_times = self.gateways[gateway].process_times.borrow();
        for kill in self.kills.borrow().iter().filter(|kill| kill.gateway == gateway) {
            let Kill { process, at: killed_at, .. } = *kill;
            let mut all_unknown = processes.iter().flat_map(|process| &process.unknown);
            if !all_unknown.any(|span| span.contains_within_tolerance(killed_at)) {
                violations.push(format!(
                    "gateway {gateway} was killed at {killed_at:?}, but its audit reports no unknown time around the kill"
                ));
                continue;
            }
            let times = all_times[process];
            let unknown_since = unknown_since(killed_at, times, processes);
            let unknown_time = killed_at.saturating_sub(unknown_since);
            self.figures.borrow_mut().unknown_before_kill_s.push(unknown_time.as_secs_f64());
            if unknown_time > MAX_UNKNOWN_BEFORE_KILL {
                violations.push(format!(
                    "gateway {gateway} was killed at {killed_at:?}, but the audit of its process {process} is unknown from {unknown_since:?} on"
                ));
            }
            let unaudited = unaudited_requests(killed_at, times, processes, ended_requests);
            if unaudited > 0 {
                violations.push(format!(
                    "endpoints received {unaudited} requests from process {process} of gateway {gateway}, which accepted no clients and has no audit"
                ));
            }
        }
    }
}

/// The audit of the process with these times, which was killed at `killed_at`; `None` if it was killed before it opened its audit store.
fn audit_of_killed(
    killed_at: Duration,
    times: ProcessTimes,
    processes: &[AuditedProcess],
) -> Option<&AuditedProcess> {
    let run = TimeSpan { from: times.started_at, to: killed_at };
    processes.iter().find(|process| run.contains_within_tolerance(process.began_at))
}

/// From when on the audit log of a killed process itself is missing. A process that was killed before it opened its audit store is in no
/// report: its log is missing from when it began to accept clients, and not at all if it never did.
fn unknown_since(killed_at: Duration, times: ProcessTimes, processes: &[AuditedProcess]) -> Duration {
    let own_span = audit_of_killed(killed_at, times, processes)
        .and_then(|process| process.unknown.iter().find(|span| span.contains_within_tolerance(killed_at)));
    own_span.map(|span| span.from).or(times.serving_since).unwrap_or(killed_at)
}

/// Number of requests that endpoints received while a process ran that accepted no clients and has no audit.
fn unaudited_requests(
    killed_at: Duration,
    times: ProcessTimes,
    processes: &[AuditedProcess],
    ended_requests: &[&ServedRequest],
) -> usize {
    if times.serving_since.is_some() || audit_of_killed(killed_at, times, processes).is_some() {
        return 0;
    }
    let is_during_run = |request: &&&ServedRequest| {
        request.received_at > times.started_at + OBSERVATION_TOLERANCE && request.received_at <= killed_at
    };
    ended_requests.iter().filter(is_during_run).count()
}

/// Number of forwarded requests, resent ones included, by the audit's intervals.
pub(super) fn count_sends(audit: &Value) -> u64 {
    let intervals = audit["intervals"].as_array().into_iter().flatten();
    let decisions = intervals.flat_map(|interval| interval["decisions"].as_array().into_iter().flatten());
    decisions
        .filter(|decision| decision[0] == "Pick" || decision[0] == "Resend")
        .filter_map(|decision| decision[2].as_u64())
        .sum()
}

#[cfg(test)]
mod tests;
