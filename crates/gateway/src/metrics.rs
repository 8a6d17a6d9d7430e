//! The metrics of this process, which the admin API exposes as text.
//!
//! Operators' scrapers depend on the metric names in the text. Only [`Metrics::text`] maps them to fields.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::rc::Rc;
use weldworks_control::class_registry::RegisteredClass;

/// Initial capacity of the buffer for the metrics text, in bytes.
const INITIAL_TEXT_BYTES: usize = 2048;

/// A guard that counts a request as open until the guard is dropped.
#[derive(Debug)]
pub struct OpenRequest(Rc<Metrics>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

/// Counts a request once, by how the request ends. A guard that is dropped without [`RequestMetricsGuard::finish`] counts nothing, since
/// the client has disconnected; a guard that is dropped by a panic counts a failed request.
#[derive(Debug)]
pub struct RequestMetricsGuard {
    metrics: Rc<Metrics>,
    class: Rc<RegisteredClass>,
    open: Option<OpenRequest>,
}

impl RequestMetricsGuard {
    /// Creates the guard of a request of `class`. The request is not counted as open yet.
    pub fn new(metrics: Rc<Metrics>, class: Rc<RegisteredClass>) -> RequestMetricsGuard {
        RequestMetricsGuard { metrics, class, open: None }
    }

    /// Counts the request as open. Called once the last byte of the request has arrived.
    pub fn mark_open(&mut self) {
        if self.open.is_none() {
            self.open = Some(self.metrics.open_request());
        }
    }

    /// Counts the end of the request.
    pub fn finish(self, ending: RequestEnding) {
        self.metrics.record_ending(&self.class.name, ending);
    }
}

impl Drop for RequestMetricsGuard {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // A panic is answered with status 500, so the request counts as failed.
            self.metrics.record_ending(&self.class.name, RequestEnding::Failed);
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnding {
    /// The request was served by an endpoint.
    Served,
    /// The request was rejected, and may safely be retried.
    Rejected,
    /// The request failed.
    Failed,
}

/// The outcome of a reload of the configuration file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadOutcome {
    /// The new configuration was applied.
    Applied,
    /// The new configuration was rejected, and the previous one stays in force.
    Rejected,
}

/// Number of requests of one class by how they ended.
#[derive(Clone, Copy, Debug, Default)]
struct EndingCounts {
    served: u64,
    rejected: u64,
    failed: u64,
}

/// The metrics of this process. A class that is removed from the settings keeps its counts.
#[derive(Debug, Default)]
pub struct Metrics {
    classes: RefCell<BTreeMap<String, EndingCounts>>,
    open_requests: Cell<u64>,
    written_attempts: Cell<u64>,
    /// Number of final answers that were given after the client's time.
    late_answers: Cell<u64>,
    /// Number of endpoints in the current endpoint list, including draining endpoints.
    pub listed_endpoints: Cell<u64>,
    /// Number of listed endpoints that the balancer avoids.
    pub avoided_endpoints: Cell<u64>,
    applied_reloads: Cell<u64>,
    rejected_reloads: Cell<u64>,
}

impl Metrics {
    /// Adds these classes to the metrics text, with counts of 0 for classes that are new.
    pub fn register_classes(&self, classes: &[String]) {
        let mut known = self.classes.borrow_mut();
        for class in classes {
            known.entry(class.clone()).or_default();
        }
    }

    /// Counts a request as open until the returned guard is dropped.
    pub fn open_request(self: &Rc<Self>) -> OpenRequest {
        self.open_requests.set(self.open_requests.get() + 1);
        OpenRequest(self.clone())
    }

    /// Counts the end of a request. A request of a class that is not registered is not counted.
    pub fn record_ending(&self, class: &str, ending: RequestEnding) {
        let mut classes = self.classes.borrow_mut();
        let Some(counts) = classes.get_mut(class) else { return };
        match ending {
            RequestEnding::Served => counts.served += 1,
            RequestEnding::Rejected => counts.rejected += 1,
            RequestEnding::Failed => counts.failed += 1,
        }
    }

    /// Counts an attempt whose request has been written completely to an endpoint.
    pub fn record_written_attempt(&self) {
        self.written_attempts.set(self.written_attempts.get() + 1);
    }

    /// Counts a final answer that was given after the client's time.
    pub fn record_late_answer(&self) {
        self.late_answers.set(self.late_answers.get() + 1);
    }

    /// Counts a reload of the configuration file by its outcome.
    pub fn record_reload(&self, outcome: ReloadOutcome) {
        let count = match outcome {
            ReloadOutcome::Applied => &self.applied_reloads,
            ReloadOutcome::Rejected => &self.rejected_reloads,
        };
        count.set(count.get() + 1);
    }

    /// All metrics in the text format that scrapers read, one metric per line.
    pub fn text(&self) -> String {
        let mut text = String::with_capacity(INITIAL_TEXT_BYTES);
        self.write_classes(&mut text, "answered", |counts| counts.served);
        self.write_classes(&mut text, "deferred", |counts| counts.rejected);
        self.write_classes(&mut text, "errored", |counts| counts.failed);
        let values = [
            ("sends", &self.written_attempts),
            ("current", &self.open_requests),
            ("cluster_size", &self.listed_endpoints),
            ("cluster_unhealthy", &self.avoided_endpoints),
            ("conf_loaded", &self.applied_reloads),
            ("conf_invalid", &self.rejected_reloads),
            ("late", &self.late_answers),
        ];
        for (name, value) in values {
            let _ = writeln!(text, "router_{name} {}", value.get());
        }
        text
    }

    fn write_classes(&self, text: &mut String, name: &str, count: impl Fn(&EndingCounts) -> u64) {
        for (class, counts) in &*self.classes.borrow() {
            let _ = writeln!(text, "router_{name}{{group=\"{}\"}} {}", escape_label(class), count(counts));
        }
    }
}

/// Escapes a label's value for the text format.
fn escape_label(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests;
