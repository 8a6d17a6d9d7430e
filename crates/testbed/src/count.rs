//! Counts over a fleet, from its logs: what all gateways together asked of nodes and register in each stretch of time,
//! and what came of it at each node. What is harmless in one gateway shows only here.
//!
//! Reads what [`crate::logs`] gives; the time counts from the earliest line.

use crate::logs::{self, LogsError};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

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

/// What happened in one stretch, over all gateways.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stretch {
    /// Requests that arrived.
    pub arrived: u64,
    /// Attempts begun.
    pub sent: u64,
    /// Connections opened to nodes.
    pub dialled: u64,
    /// Requests served, and how long each took, in milliseconds.
    pub served: Vec<u64>,
    /// Requests refused at once, with nothing sent.
    pub refused_at_once: u64,
    /// Requests refused later.
    pub refused_later: u64,
    /// Requests failed.
    pub failed: u64,
    /// Attempts by how they ended.
    pub ended: BTreeMap<String, u64>,
    /// Calls to the register.
    pub watches: u64,
    /// Lists heard.
    pub lists: u64,
}

/// What one node saw, over all gateways and the time asked for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seen {
    /// Its kind, as listed last.
    pub kind: String,
    /// Its state, as listed last.
    pub status: String,
    /// When it last started, Unix milliseconds; 0 for long ago.
    pub since: u64,
    /// Attempts sent to it.
    pub sent: u64,
    /// Connections opened to it.
    pub dialled: u64,
    /// Attempts by how they ended.
    pub ended: BTreeMap<String, u64>,
    /// How long those took that were served, in milliseconds.
    pub took: Vec<u64>,
}

/// The counts of a fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    /// By stretch, from the first.
    pub stretches: BTreeMap<u64, Stretch>,
    /// By node, within the time asked for.
    pub nodes: BTreeMap<String, Seen>,
    /// How long a stretch is, in seconds.
    pub every: f64,
    /// Lines that were no event.
    pub passed_over: u64,
}

impl Counts {
    /// Takes one event in; `listed` only says what a node is, and counts at any time.
    fn take(&mut self, at: f64, within: (f64, f64), fields: Fields) {
        let stretch = self.stretches.entry((at / self.every) as u64).or_default();
        let counted = (within.0..within.1).contains(&at);
        let outcome = fields.outcome.unwrap_or_default();
        let sent_nothing = fields.attempts == Some(0) && fields.duration_ms == Some(0);
        match (fields.message.as_str(), fields.result.as_deref()) {
            ("request arrived", _) => stretch.arrived += 1,
            ("attempt sent", _) => stretch.sent += 1,
            ("connecting to endpoint", _) => stretch.dialled += 1,
            ("request finished", Some("served")) => stretch.served.extend(fields.duration_ms),
            ("request finished", Some("rejected")) if sent_nothing => stretch.refused_at_once += 1,
            ("request finished", Some("rejected")) => stretch.refused_later += 1,
            ("request finished", Some("failed")) => stretch.failed += 1,
            ("attempt ended", _) => *stretch.ended.entry(outcome.clone()).or_default() += 1,
            ("watch opened", _) => stretch.watches += 1,
            ("endpoint list received", _) => stretch.lists += 1,
            _ => {}
        }
        let Some(endpoint) = fields.endpoint else { return };
        let listed = fields.message == "endpoint listed" && at < within.1;
        if !counted && !listed {
            return;
        }
        let node = self.nodes.entry(endpoint).or_default();
        match fields.message.as_str() {
            "endpoint listed" => {
                node.kind = fields.kind.unwrap_or_default();
                node.status = fields.status.unwrap_or_default();
                node.since = fields.started_unix_ms.unwrap_or_default();
            }
            "attempt sent" => node.sent += 1,
            "connecting to endpoint" => node.dialled += 1,
            "attempt ended" => {
                node.took.extend(fields.latency_ms.filter(|_| outcome == "Served"));
                *node.ended.entry(outcome).or_default() += 1;
            }
            _ => {}
        }
    }

    /// Counts all files of a folder in stretches of `every` seconds; nodes within the times `within`, in seconds.
    ///
    /// # Errors
    /// Where the folder or a file can't be read, or no line is an event.
    pub fn of(folder: &Path, every: f64, within: (f64, f64)) -> Result<Counts, LogsError> {
        let mut counts = Counts { every, ..Counts::default() };
        let mut events = Vec::new();
        counts.passed_over = logs::read(folder, |_, at, fields: Fields| events.push((at, fields)))?;
        // Gateways that play in step begin at 0; a log by the wall clock begins at its earliest line.
        let first = events.iter().map(|(at, _)| *at).fold(f64::INFINITY, f64::min);
        for (at, fields) in events {
            counts.take(at - first, within, fields);
        }
        Ok(counts)
    }

    /// The tables: one line a stretch, then one line a node, those with most attempts that did not serve first.
    pub fn tables(&self) -> String {
        let mut text = String::from(
            "  from arrived   sent dialled served  p50  p95 at-once later failed timed-out no-conn watches  lists\n",
        );
        for (n, s) in &self.stretches {
            let ended = |how| s.ended.get(how).copied().unwrap_or(0);
            let _ = writeln!(
                text,
                "{:6.1} {:7} {:6} {:7} {:6} {:4} {:4} {:7} {:5} {:6} {:9} {:7} {:7} {:6}",
                *n as f64 * self.every,
                s.arrived,
                s.sent,
                s.dialled,
                s.served.len(),
                quantile(&s.served, 0.5),
                quantile(&s.served, 0.95),
                s.refused_at_once,
                s.refused_later,
                s.failed,
                ended("TimedOut"),
                ended("NoConnection"),
                s.watches,
                s.lists
            );
        }
        text.push_str("node                  kind       status         since   sent dialled served unserved  p50  p95\n");
        let unserved =
            |n: &Seen| n.ended.iter().filter(|(how, _)| *how != "Served").map(|(_, c)| c).sum::<u64>();
        let mut nodes: Vec<_> = self.nodes.iter().filter(|(_, n)| n.sent > 0).collect();
        nodes.sort_by_key(|(name, n)| (std::cmp::Reverse(unserved(n)), (*name).clone()));
        for (name, n) in nodes {
            let _ = writeln!(
                text,
                "{name:21} {:10} {:8} {:>13} {:6} {:7} {:6} {:8} {:4} {:4}",
                n.kind,
                n.status,
                n.since,
                n.sent,
                n.dialled,
                n.took.len(),
                unserved(n),
                quantile(&n.took, 0.5),
                quantile(&n.took, 0.95)
            );
        }
        let _ = writeln!(text, "{} lines were no event", self.passed_over);
        text
    }
}

fn quantile(values: &[u64], part: f64) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    sorted.get((sorted.len() as f64 * part) as usize).copied().unwrap_or(0)
}
