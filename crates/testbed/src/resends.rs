//! An audit of resends, from the logs of a fleet: for each attempt after the first, how those before it ended, what that proves, and how
//! much of the window for repeats was left when its last byte was written. And of refusals: whether all attempts before surely never ran.
//!
//! It judges by what the gateways wrote down, and by rules of its own: nothing of the decision module is asked.

use crate::logs::{self, LogsError};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

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

/// What repeating a request may do, as its gateway's log words it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Effect {
    Safe,
    KeyedByAll,
    KeyedByZone,
    KeyedByCell,
    Unsafe,
}

impl Effect {
    fn read(text: &str) -> Option<Effect> {
        Some(match text {
            "Idempotent" => Effect::Safe,
            "NotIdempotent" => Effect::Unsafe,
            keyed if !keyed.starts_with("IdempotencyKey") => return None,
            keyed if keyed.contains("scope: All") => Effect::KeyedByAll,
            keyed if keyed.contains("scope: Zone") => Effect::KeyedByZone,
            keyed if keyed.contains("scope: Cell") => Effect::KeyedByCell,
            _ => return None,
        })
    }
}

#[derive(Clone, Debug, Default)]
struct Attempt {
    at: f64,
    zone: Option<u32>,
    cell: Option<u32>,
    /// How much of the window was left when it was decided.
    left_us: Option<u64>,
    /// From then to its last byte, and how it ended; none while it is out.
    ended: Option<(Option<u64>, String, f64)>,
}

impl Attempt {
    /// Whether it may have run, by what it did and not by what its gateway made of it: only a host's own word counts for more
    /// than a last byte that has gone.
    fn may_have_run(&self) -> bool {
        match &self.ended {
            None => true,
            Some((written, how, _)) => match how.as_str() {
                "Rejected" => false,
                "NoConnection" | "NotSent" => written.is_some(),
                _ => true,
            },
        }
    }
}

#[derive(Debug)]
struct Request {
    number: String,
    class: String,
    effect: Effect,
    attempts: Vec<Attempt>,
}

/// A rule that was broken, or a proof that does not hold.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Breach {
    /// What.
    pub what: &'static str,
    /// The client's number of the request, and its class.
    pub number: String,
    /// The class.
    pub class: String,
}

/// What the logs of a fleet say of its resends.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    /// Requests, attempts after the first, and those of them that follow one that may have run.
    pub requests: u64,
    /// See there.
    pub resends: u64,
    /// See there.
    pub repeats: u64,
    /// How much of the window was left when the last byte of each repeat of keyed work was written, in microseconds, in order.
    pub margins: Vec<i64>,
    /// Repeats of keyed work that were not written at all.
    pub withheld: u64,
    /// By how the attempt before ended.
    pub after: BTreeMap<String, u64>,
    /// What was broken, all of it.
    pub breaches: Vec<Breach>,
}

impl Audit {
    /// Audits all files of a folder.
    ///
    /// # Errors
    /// Where the folder or a file can't be read, or no line is an event.
    pub fn of(folder: &Path) -> Result<Audit, LogsError> {
        let mut audit = Audit::default();
        let mut open: BTreeMap<(usize, u64), Request> = BTreeMap::new();
        // Who sent each number so that it may have run: hosts know nothing of one another's clients.
        let mut ran: BTreeMap<String, usize> = BTreeMap::new();
        logs::read(folder, |file, at, fields: Fields| {
            let Some(id) = fields.request else { return };
            if fields.message == "request arrived" {
                let Some(effect) = Effect::read(&fields.idempotency) else { return };
                audit.requests += 1;
                let class = fields.class.as_str().map_or_else(|| fields.class.to_string(), str::to_owned);
                open.insert(
                    (file, id),
                    Request { number: fields.request_id, class, effect, attempts: Vec::new() },
                );
                return;
            }
            let Some(request) = open.get_mut(&(file, id)) else { return };
            match (fields.message.as_str(), fields.attempt) {
                ("attempt sent", _) => {
                    let (zone, cell, left_us) = (fields.zone, fields.cell, fields.write_window_us);
                    let attempt = Attempt { at, zone, cell, left_us, ended: None };
                    audit.sent(request, &attempt);
                    request.attempts.push(attempt);
                }
                ("attempt ended", Some(n)) => {
                    let how = fields.outcome.unwrap_or_default();
                    let Some(attempt) = request.attempts.get_mut(n) else { return };
                    attempt.ended = Some((fields.written_us, how, at));
                    audit.ended(request, n);
                    let ran_now = request.attempts.get(n).is_some_and(Attempt::may_have_run);
                    if ran_now && request.effect != Effect::Safe && !request.number.is_empty() {
                        let first = *ran.entry(request.number.clone()).or_insert(file);
                        if first != file {
                            audit.breach("ran under two gateways", request);
                        }
                    }
                }
                ("request finished", _) if fields.result.as_deref() == Some("rejected") => {
                    let harmless = matches!(request.effect, Effect::Safe | Effect::KeyedByAll);
                    if !harmless && request.attempts.iter().any(Attempt::may_have_run) {
                        audit.breach("refused after an attempt that may have run", request);
                    }
                }
                _ => {}
            }
        })?;
        audit.margins.sort_unstable();
        audit.breaches.sort();
        Ok(audit)
    }

    fn breach(&mut self, what: &'static str, request: &Request) {
        let (number, class) = (request.number.clone(), request.class.clone());
        self.breaches.push(Breach { what, number, class });
    }

    fn sent(&mut self, request: &Request, next: &Attempt) {
        let Some(before) = request.attempts.last() else { return };
        self.resends += 1;
        let how = before.ended.as_ref().map_or("out still", |(_, how, _)| how);
        *self.after.entry(how.to_owned()).or_default() += 1;
        let ran: Vec<&Attempt> = request.attempts.iter().filter(|a| a.may_have_run()).collect();
        self.repeats += u64::from(!ran.is_empty());
        let group =
            |of: fn(&Attempt) -> Option<u32>| ran.iter().all(|a| of(a).is_some() && of(a) == of(next));
        let joined = match request.effect {
            Effect::Safe | Effect::KeyedByAll | Effect::Unsafe => true,
            Effect::KeyedByZone => group(|a| a.zone),
            Effect::KeyedByCell => group(|a| a.cell),
        };
        if request.effect == Effect::Unsafe && !ran.is_empty() {
            self.breach("unsafe work was sent again after an attempt that may have run", request);
        }
        if !joined {
            self.breach("sent again outside its group", request);
        }
        let keyed = !matches!(request.effect, Effect::Safe | Effect::Unsafe);
        if keyed && !ran.is_empty() && next.left_us.is_none() {
            self.breach("sent again with no latest moment for its last byte", request);
        }
    }

    fn ended(&mut self, request: &Request, n: usize) {
        let Some(attempt) = request.attempts.get(n) else { return };
        let Some((written, how, ended)) = &attempt.ended else { return };
        if written.is_some() && matches!(how.as_str(), "NoConnection" | "NotSent") {
            self.breach("its last byte was written, and it was taken for one that never ran", request);
        }
        let repeated = request.attempts.iter().take(n).any(Attempt::may_have_run);
        if !repeated || matches!(request.effect, Effect::Safe | Effect::Unsafe) {
            return;
        }
        let Some(left) = attempt.left_us else { return };
        let Some(written) = *written else {
            // One that is called off may have gone whole; then its end is the latest moment for that.
            if how == "Cancelled" {
                self.margins.push(left as i64 - ((ended - attempt.at) * 1e6) as i64);
            }
            return self.withheld += 1;
        };
        let margin = left as i64 - written as i64;
        self.margins.push(margin);
        if margin <= 0 {
            self.breach("its last byte was written after its window", request);
        }
    }

    /// The tables.
    pub fn tables(&self) -> String {
        let mut text = format!(
            "{} requests, {} attempts after the first, {} of them after one that may have run\nafter an attempt that ended as",
            self.requests, self.resends, self.repeats
        );
        for (how, count) in &self.after {
            let _ = write!(text, "  {how} {count}");
        }
        let at = |part: f64| {
            let last = self.margins.len().saturating_sub(1);
            self.margins.get((last as f64 * part) as usize).map_or(f64::NAN, |us| *us as f64 / 1e3)
        };
        let _ = writeln!(
            text,
            "\nrepeats of keyed work: {} written, {} not; left of the window at the last byte, ms: least {:.1}, 1 in 100 under {:.1}, median {:.1}",
            self.margins.len(),
            self.withheld,
            at(0.0),
            at(0.01),
            at(0.5)
        );
        let mut kinds: BTreeMap<&str, Vec<&Breach>> = BTreeMap::new();
        self.breaches.iter().for_each(|b| kinds.entry(b.what).or_default().push(b));
        for (what, breaches) in &kinds {
            let first = breaches.first().map(|b| format!("{} of class {}", b.number, b.class));
            let _ = writeln!(
                text,
                "BROKEN {} times: {what}; first {}",
                breaches.len(),
                first.unwrap_or_default()
            );
        }
        if kinds.is_empty() {
            text.push_str("nothing broken\n");
        }
        text
    }
}
