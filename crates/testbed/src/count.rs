//! Counts over a fleet, from its logs: what all gateways together sent to endpoints and discovery in each interval, and
//! the outcomes at each endpoint. A load that is harmless from one gateway may overload an endpoint when all gateways send it.
//!
//! Times are counted from the earliest event of all logs.

use crate::logs::{self, LogEvent, LogsError};
use serde::Deserialize;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::ops::Range;
use std::path::Path;

/// The fields of a gateway's log events that are counted.
#[derive(Deserialize, Default)]
#[serde(default)]
struct Fields {
    message: String,
    endpoint: Option<String>,
    outcome: Option<String>,
    result: Option<String>,
    latency_ms: Option<u64>,
    duration_ms: Option<u64>,
    attempts: Option<u64>,
    status: Option<String>,
    kind: Option<String>,
    started_unix_ms: Option<u64>,
}

/// Counts of one interval, over all gateways.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IntervalCounts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Connections opened to endpoints.
    pub connections: u64,
    /// Durations of the served requests, in milliseconds.
    pub served_ms: Vec<u64>,
    /// Requests rejected at once, without an attempt.
    pub rejected_at_once: u64,
    /// Requests rejected later.
    pub rejected_later: u64,
    /// Requests failed.
    pub failed: u64,
    /// Attempts by their outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Watches opened on discovery.
    pub watches: u64,
    /// Endpoint lists received.
    pub lists: u64,
}

impl IntervalCounts {
    fn record(&mut self, fields: &Fields) {
        match fields.message.as_str() {
            "request arrived" => self.arrived += 1,
            "attempt sent" => self.attempts += 1,
            "connecting to endpoint" => self.connections += 1,
            "request finished" => self.record_finished(fields),
            "attempt ended" => count_outcome(&mut self.outcomes, fields),
            "watch opened" => self.watches += 1,
            "endpoint list received" => self.lists += 1,
            _ => {}
        }
    }

    fn record_finished(&mut self, fields: &Fields) {
        let is_immediate = fields.attempts == Some(0) && fields.duration_ms == Some(0);
        match fields.result.as_deref() {
            Some("served") => self.served_ms.extend(fields.duration_ms),
            Some("rejected") if is_immediate => self.rejected_at_once += 1,
            Some("rejected") => self.rejected_later += 1,
            Some("failed") => self.failed += 1,
            _ => {}
        }
    }
}

/// Counts of one endpoint, over all gateways and the period asked for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointCounts {
    /// Kind, as listed last.
    pub kind: String,
    /// Status, as listed last.
    pub status: String,
    /// Time of the endpoint's last start, in Unix milliseconds; 0 for a start long ago.
    pub started_unix_ms: u64,
    /// Attempts sent to the endpoint.
    pub attempts: u64,
    /// Connections opened to the endpoint.
    pub connections: u64,
    /// Attempts by their outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Latencies of the served attempts, in milliseconds.
    pub served_ms: Vec<u64>,
}

impl EndpointCounts {
    fn record(&mut self, fields: Fields) {
        match fields.message.as_str() {
            "endpoint listed" => {
                self.kind = fields.kind.unwrap_or_default();
                self.status = fields.status.unwrap_or_default();
                self.started_unix_ms = fields.started_unix_ms.unwrap_or_default();
            }
            "attempt sent" => self.attempts += 1,
            "connecting to endpoint" => self.connections += 1,
            "attempt ended" => {
                if fields.outcome.as_deref() == Some("Served") {
                    self.served_ms.extend(fields.latency_ms);
                }
                count_outcome(&mut self.outcomes, &fields);
            }
            _ => {}
        }
    }

    /// Number of attempts that were not served.
    fn unserved(&self) -> u64 {
        self.outcomes.iter().filter(|(outcome, _)| *outcome != "Served").map(|(_, count)| count).sum()
    }
}

fn count_outcome(outcomes: &mut BTreeMap<String, u64>, fields: &Fields) {
    let outcome = fields.outcome.clone().unwrap_or_default();
    *outcomes.entry(outcome).or_default() += 1;
}

/// The counts of a fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    /// Counts by interval, from the first.
    pub intervals: BTreeMap<u64, IntervalCounts>,
    /// Counts by endpoint, within the period asked for.
    pub endpoints: BTreeMap<String, EndpointCounts>,
    /// Length of an interval, in seconds.
    pub interval_s: f64,
    /// Number of log lines that were no event.
    pub skipped_lines: u64,
}

impl Counts {
    /// Counts all files of a folder, by intervals of `interval_s` and for endpoints within `period_s`, both in seconds.
    ///
    /// # Errors
    /// The folder or a file can't be read, or no line is an event.
    pub fn read(folder: &Path, interval_s: f64, period_s: Range<f64>) -> Result<Counts, LogsError> {
        let mut events: Vec<LogEvent<Fields>> = Vec::new();
        let skipped_lines = logs::read_events(folder, |event| events.push(event))?;
        let mut counts = Counts { interval_s, skipped_lines, ..Counts::default() };
        // A simulation begins at 0; a log by the wall clock begins at its earliest event.
        let start_s = events.iter().map(|event| event.time_s).fold(f64::INFINITY, f64::min);
        for event in events {
            counts.record(event.time_s - start_s, &period_s, event.fields);
        }
        Ok(counts)
    }

    fn record(&mut self, time_s: f64, period_s: &Range<f64>, fields: Fields) {
        let interval = (time_s / self.interval_s) as u64;
        self.intervals.entry(interval).or_default().record(&fields);
        let Some(endpoint) = fields.endpoint.clone() else { return };
        // The kind and status that an endpoint was listed with before the period still hold in the period.
        let is_listing = fields.message == "endpoint listed" && time_s < period_s.end;
        if is_listing || period_s.contains(&time_s) {
            self.endpoints.entry(endpoint).or_default().record(fields);
        }
    }

    /// The counts as text: one line for each interval, then one for each endpoint, those with most unserved attempts
    /// first.
    pub fn tables(&self) -> String {
        let mut text = String::from(
            "  from arrived   sent dialled served  p50  p95 at-once later failed timed-out no-conn watches  lists\n",
        );
        for (index, interval) in &self.intervals {
            write_interval(&mut text, *index as f64 * self.interval_s, interval);
        }
        text.push_str("node                  kind       status         since   sent dialled served unserved  p50  p95\n");
        let mut endpoints: Vec<_> =
            self.endpoints.iter().filter(|(_, endpoint)| endpoint.attempts > 0).collect();
        endpoints.sort_by_key(|(name, endpoint)| (Reverse(endpoint.unserved()), (*name).clone()));
        for (name, endpoint) in endpoints {
            write_endpoint(&mut text, name, endpoint);
        }
        let _ = writeln!(text, "{} lines were no event", self.skipped_lines);
        text
    }
}

fn write_interval(text: &mut String, start_s: f64, interval: &IntervalCounts) {
    let outcome_count = |outcome| interval.outcomes.get(outcome).copied().unwrap_or(0);
    // Writing to a `String` never fails.
    let _ = writeln!(
        text,
        "{:6.1} {:7} {:6} {:7} {:6} {:4} {:4} {:7} {:5} {:6} {:9} {:7} {:7} {:6}",
        start_s,
        interval.arrived,
        interval.attempts,
        interval.connections,
        interval.served_ms.len(),
        quantile(&interval.served_ms, 0.5),
        quantile(&interval.served_ms, 0.95),
        interval.rejected_at_once,
        interval.rejected_later,
        interval.failed,
        outcome_count("TimedOut"),
        outcome_count("NoConnection"),
        interval.watches,
        interval.lists
    );
}

fn write_endpoint(text: &mut String, name: &str, endpoint: &EndpointCounts) {
    let _ = writeln!(
        text,
        "{name:21} {:10} {:8} {:>13} {:6} {:7} {:6} {:8} {:4} {:4}",
        endpoint.kind,
        endpoint.status,
        endpoint.started_unix_ms,
        endpoint.attempts,
        endpoint.connections,
        endpoint.served_ms.len(),
        endpoint.unserved(),
        quantile(&endpoint.served_ms, 0.5),
        quantile(&endpoint.served_ms, 0.95)
    );
}

/// The value at a fraction of the sorted values; 0 where there are none.
fn quantile(values: &[u64], fraction: f64) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let index = (sorted.len() as f64 * fraction) as usize;
    sorted.get(index).copied().unwrap_or(0)
}
