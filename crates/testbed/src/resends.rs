//! Audits retries, from the logs of a fleet.
//!
//! For each attempt after the first: how the attempts before it ended, what that proves, and how much of the idempotency
//! window was left when its last byte was written. For each rejection: whether all attempts before were certainly not
//! processed.
//!
//! The audit judges by what the gateways logged and by rules of its own; it uses no code of the balancer.

use crate::logs::{self, LogEvent, LogsError};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

/// A request was processed by the endpoints of two gateways.
const RAN_UNDER_TWO_GATEWAYS: &str = "ran under two gateways";
/// A request was rejected although an attempt was possibly processed.
const REJECTED_AFTER_POSSIBLE_PROCESSING: &str = "refused after an attempt that may have run";
/// A request that is not idempotent was retried although an attempt was possibly processed.
const UNSAFE_RETRY: &str = "unsafe work was sent again after an attempt that may have run";
/// A retry went to an endpoint outside the scope of its idempotency key.
const RETRY_OUTSIDE_SCOPE: &str = "sent again outside its group";
/// A retry within an idempotency window had no deadline for its last byte.
const RETRY_WITHOUT_DEADLINE: &str = "sent again with no latest moment for its last byte";
/// The last byte of an attempt was written, and its outcome says that it was not processed.
const WRITTEN_BUT_NOT_PROCESSED: &str = "its last byte was written, and it was taken for one that never ran";
/// The last byte of a retry was written after the idempotency window.
const WRITTEN_AFTER_WINDOW: &str = "its last byte was written after its window";

/// The fields of a gateway's log events that are audited.
#[derive(Deserialize, Default)]
#[serde(default)]
struct Fields {
    message: String,
    request: Option<u64>,
    request_id: String,
    class: serde_json::Value,
    idempotency: String,
    attempt: Option<usize>,
    zone: Option<u32>,
    cell: Option<u32>,
    write_window_us: Option<u64>,
    written_us: Option<u64>,
    outcome: Option<String>,
    result: Option<String>,
}

/// Idempotency of a request, as its gateway logs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Repeatability {
    Idempotent,
    KeyForAll,
    KeyForZone,
    KeyForCell,
    NotIdempotent,
}

impl Repeatability {
    fn parse(text: &str) -> Option<Repeatability> {
        match text {
            "Idempotent" => Some(Repeatability::Idempotent),
            "NotIdempotent" => Some(Repeatability::NotIdempotent),
            key if !key.starts_with("IdempotencyKey") => None,
            key if key.contains("scope: All") => Some(Repeatability::KeyForAll),
            key if key.contains("scope: Zone") => Some(Repeatability::KeyForZone),
            key if key.contains("scope: Cell") => Some(Repeatability::KeyForCell),
            _ => None,
        }
    }

    fn has_key(self) -> bool {
        !matches!(self, Repeatability::Idempotent | Repeatability::NotIdempotent)
    }

    /// Whether the request may be processed at two endpoints, wherever they are.
    fn is_repeatable_anywhere(self) -> bool {
        matches!(self, Repeatability::Idempotent | Repeatability::KeyForAll)
    }
}

#[derive(Clone, Debug)]
struct Attempt {
    sent_at_s: f64,
    zone: Option<u32>,
    cell: Option<u32>,
    /// What was left of the idempotency window when the attempt was sent, in microseconds.
    window_us: Option<u64>,
    /// How the attempt ended; `None` while it is in flight.
    end: Option<AttemptEnd>,
}

#[derive(Clone, Debug)]
struct AttemptEnd {
    ended_at_s: f64,
    outcome: String,
    /// Time from sending the attempt to writing its last byte, in microseconds; `None` where that was not written.
    written_us: Option<u64>,
}

impl Attempt {
    /// Whether the attempt was possibly processed, by what it did and not by what its gateway concluded: only an
    /// endpoint's own rejection weighs more than a last byte that was written.
    fn possibly_processed(&self) -> bool {
        let Some(end) = &self.end else { return true };
        match end.outcome.as_str() {
            "Rejected" => false,
            "NoConnection" | "NotSent" => end.written_us.is_some(),
            _ => true,
        }
    }
}

#[derive(Debug)]
struct Request {
    request_id: String,
    class: String,
    repeatability: Repeatability,
    attempts: Vec<Attempt>,
}

impl Request {
    /// The attempts of this request that were possibly processed.
    fn processed_attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.possibly_processed())
    }

    /// Whether a retry stays within the scope of the idempotency key of all attempts that were possibly processed.
    fn is_in_scope(&self, retry: &Attempt) -> bool {
        match self.repeatability {
            Repeatability::Idempotent | Repeatability::KeyForAll | Repeatability::NotIdempotent => true,
            Repeatability::KeyForZone => {
                self.processed_attempts().all(|attempt| attempt.zone.is_some() && attempt.zone == retry.zone)
            }
            Repeatability::KeyForCell => {
                self.processed_attempts().all(|attempt| attempt.cell.is_some() && attempt.cell == retry.cell)
            }
        }
    }
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// Text that says how the rule was violated.
    pub rule: &'static str,
    /// The client's identifier of the request.
    pub request_id: String,
    /// Class of the request.
    pub class: String,
}

/// What the logs of a fleet say about its retries.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    /// Number of requests.
    pub requests: u64,
    /// Number of attempts after the first of a request.
    pub retries: u64,
    /// Number of retries after an attempt that was possibly processed.
    pub repeats: u64,
    /// What was left of the idempotency window at the last byte of each repeat with a key, in microseconds, sorted.
    pub margins_us: Vec<i64>,
    /// Number of repeats with a key that were not written.
    pub unwritten_repeats: u64,
    /// Number of retries by the outcome of the attempt before.
    pub previous_outcomes: BTreeMap<String, u64>,
    /// All violations, sorted by rule, request and class.
    pub violations: Vec<Violation>,
}

impl Audit {
    /// Audits all files of a folder.
    ///
    /// # Errors
    /// The folder or a file can't be read, or no line is an event.
    pub fn read(folder: &Path) -> Result<Audit, LogsError> {
        let mut auditor = Auditor::default();
        logs::read_events(folder, |event| auditor.handle(event))?;
        let mut audit = auditor.audit;
        audit.margins_us.sort_unstable();
        audit.violations.sort();
        Ok(audit)
    }

    fn report(&mut self, rule: &'static str, request: &Request) {
        let request_id = request.request_id.clone();
        let class = request.class.clone();
        self.violations.push(Violation { rule, request_id, class });
    }

    /// Checks an attempt that is sent after those of the request, if there are any.
    fn check_retry(&mut self, request: &Request, retry: &Attempt) {
        let Some(previous) = request.attempts.last() else { return };
        let previous_outcome = previous.end.as_ref().map_or("out still", |end| end.outcome.as_str());
        *self.previous_outcomes.entry(previous_outcome.to_owned()).or_default() += 1;
        self.retries += 1;
        let is_repeat = request.processed_attempts().next().is_some();
        if is_repeat {
            self.repeats += 1;
        }
        if is_repeat && request.repeatability == Repeatability::NotIdempotent {
            self.report(UNSAFE_RETRY, request);
        }
        if !request.is_in_scope(retry) {
            self.report(RETRY_OUTSIDE_SCOPE, request);
        }
        if is_repeat && request.repeatability.has_key() && retry.window_us.is_none() {
            self.report(RETRY_WITHOUT_DEADLINE, request);
        }
    }

    /// Checks the attempt of this index, which has just ended.
    fn check_end(&mut self, request: &Request, index: usize) {
        let Some(attempt) = request.attempts.get(index) else { return };
        let Some(end) = &attempt.end else { return };
        if end.written_us.is_some() && matches!(end.outcome.as_str(), "NoConnection" | "NotSent") {
            self.report(WRITTEN_BUT_NOT_PROCESSED, request);
        }
        let is_repeat = request.attempts.iter().take(index).any(Attempt::possibly_processed);
        if !is_repeat || !request.repeatability.has_key() {
            return;
        }
        let Some(window_us) = attempt.window_us else { return };
        let Some(written_us) = end.written_us else {
            // A cancelled attempt may have been written as a whole, at its end at the latest.
            if end.outcome == "Cancelled" {
                let lasted_us = ((end.ended_at_s - attempt.sent_at_s) * 1e6) as i64;
                self.margins_us.push(window_us as i64 - lasted_us);
            }
            self.unwritten_repeats += 1;
            return;
        };
        let margin_us = window_us as i64 - written_us as i64;
        self.margins_us.push(margin_us);
        if margin_us <= 0 {
            self.report(WRITTEN_AFTER_WINDOW, request);
        }
    }

    /// The results of the audit as text.
    pub fn tables(&self) -> String {
        let mut text = format!(
            "{} requests, {} attempts after the first, {} of them after one that may have run\nafter an attempt that ended as",
            self.requests, self.retries, self.repeats
        );
        // Writing to a `String` never fails.
        for (outcome, count) in &self.previous_outcomes {
            let _ = write!(text, "  {outcome} {count}");
        }
        let _ = writeln!(
            text,
            "\nrepeats of keyed work: {} written, {} not; left of the window at the last byte, ms: least {:.1}, 1 in 100 under {:.1}, median {:.1}",
            self.margins_us.len(),
            self.unwritten_repeats,
            self.margin_ms(0.0),
            self.margin_ms(0.01),
            self.margin_ms(0.5)
        );
        self.write_violations(&mut text);
        text
    }

    /// The margin at a fraction of the sorted margins, in milliseconds; NaN where there are none.
    fn margin_ms(&self, fraction: f64) -> f64 {
        let last = self.margins_us.len().saturating_sub(1);
        let index = (last as f64 * fraction) as usize;
        self.margins_us.get(index).map_or(f64::NAN, |margin_us| *margin_us as f64 / 1e3)
    }

    fn write_violations(&self, text: &mut String) {
        let mut by_rule: BTreeMap<&str, Vec<&Violation>> = BTreeMap::new();
        for violation in &self.violations {
            by_rule.entry(violation.rule).or_default().push(violation);
        }
        for (rule, violations) in &by_rule {
            let count = violations.len();
            let Violation { request_id, class, .. } = violations[0];
            let _ = writeln!(text, "BROKEN {count} times: {rule}; first {request_id} of class {class}");
        }
        if by_rule.is_empty() {
            text.push_str("nothing broken\n");
        }
    }
}

/// Follows the requests of all gateways through their logs.
#[derive(Default)]
struct Auditor {
    audit: Audit,
    /// Requests by file and number.
    requests: BTreeMap<(usize, u64), Request>,
    /// File of the first gateway under which each request that is not idempotent was possibly processed. Endpoints
    /// don't know the clients of another gateway, so no key protects a request under two.
    first_gateways: BTreeMap<String, usize>,
}

impl Auditor {
    fn handle(&mut self, event: LogEvent<Fields>) {
        let Some(number) = event.fields.request else { return };
        let key = (event.file, number);
        match event.fields.message.as_str() {
            "request arrived" => self.record_arrival(key, event.fields),
            "attempt sent" => self.record_sent(key, event),
            "attempt ended" => self.record_end(key, event),
            "request finished" if event.fields.result.as_deref() == Some("rejected") => {
                self.check_rejection(key);
            }
            _ => {}
        }
    }

    fn record_arrival(&mut self, key: (usize, u64), fields: Fields) {
        let Some(repeatability) = Repeatability::parse(&fields.idempotency) else { return };
        self.audit.requests += 1;
        let class = match fields.class.as_str() {
            Some(name) => name.to_owned(),
            None => fields.class.to_string(),
        };
        let request_id = fields.request_id;
        self.requests.insert(key, Request { request_id, class, repeatability, attempts: Vec::new() });
    }

    fn record_sent(&mut self, key: (usize, u64), event: LogEvent<Fields>) {
        let Some(request) = self.requests.get_mut(&key) else { return };
        let attempt = Attempt {
            sent_at_s: event.time_s,
            zone: event.fields.zone,
            cell: event.fields.cell,
            window_us: event.fields.write_window_us,
            end: None,
        };
        self.audit.check_retry(request, &attempt);
        request.attempts.push(attempt);
    }

    fn record_end(&mut self, key: (usize, u64), event: LogEvent<Fields>) {
        let Some(request) = self.requests.get_mut(&key) else { return };
        let Some(index) = event.fields.attempt else { return };
        let Some(attempt) = request.attempts.get_mut(index) else { return };
        attempt.end = Some(AttemptEnd {
            ended_at_s: event.time_s,
            outcome: event.fields.outcome.unwrap_or_default(),
            written_us: event.fields.written_us,
        });
        let possibly_processed = attempt.possibly_processed();
        self.audit.check_end(request, index);
        let is_idempotent = request.repeatability == Repeatability::Idempotent;
        if !possibly_processed || is_idempotent || request.request_id.is_empty() {
            return;
        }
        let first_gateway = *self.first_gateways.entry(request.request_id.clone()).or_insert(event.file);
        if first_gateway != event.file {
            self.audit.report(RAN_UNDER_TWO_GATEWAYS, request);
        }
    }

    fn check_rejection(&mut self, key: (usize, u64)) {
        let Some(request) = self.requests.get(&key) else { return };
        let is_repeat = request.processed_attempts().next().is_some();
        if is_repeat && !request.repeatability.is_repeatable_anywhere() {
            self.audit.report(REJECTED_AFTER_POSSIBLE_PROCESSING, request);
        }
    }
}
