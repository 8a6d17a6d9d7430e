//! Checks the four rules against the records of a run. Each violation names its request, its endpoint and the events of the request.

use super::{Checker, EndpointNotice, FinalAnswer, Record, RequestNumber};
use serde::Serialize;
use std::time::Duration;
use weldworks_balancer::{Idempotency, KeyScope};

/// A rule that a gateway can violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A request that a gateway accepted got no final answer in time.
    Unanswered,
    /// A client received more than one final answer to a request.
    AnsweredTwice,
    /// A client was served with an answer that no endpoint made for its request.
    ForeignAnswer,
    /// An attempt was sent after the final answer to its request.
    SentAfterAnswer,
    /// A gateway had given a request up and answered it late, which keeps the client from retrying.
    HeldBack,
    /// Two attempts of one request were in flight at once.
    TwoCopies,
    /// A request was retried after it was possibly processed, although its class does not allow that.
    ResentAgainstClass,
    /// A request that was possibly processed was rejected; a rejection promises that a retry is harmless.
    RefusedAfterRun,
    /// An attempt was sent to an endpoint later than the drain grace after the gateway was notified that the endpoint drains or was removed.
    SentToDrained,
    /// A cold endpoint fell over under the load that gateways sent to it.
    PushedOver,
    /// An endpoint received an attempt of a request that no client sent.
    NobodyAsked,
}

/// A violation of a rule, with the events that show it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule that was violated.
    pub rule: Rule,
    /// Number of the request, in hexadecimal as in its header.
    pub request: Option<String>,
    /// Endpoint that the violation concerns, if any.
    #[serde(rename = "node")]
    pub endpoint: Option<usize>,
    /// Time of the violation, in seconds from the start of the run.
    pub at_s: f64,
    /// Events of the request, in the order of time.
    pub events: Vec<String>,
}

/// Time limits of the rules. Runs on sockets have longer limits than runs in virtual time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Time after the notification that an endpoint drains or was removed, from which on no attempt may be sent to the endpoint.
    pub drain_grace: Duration,
    /// Time after an endpoint's start from which on every gateway counts as notified of the start.
    pub notice_deadline: Duration,
    /// Greatest difference between the times at which two machines observe one event.
    pub slack: Duration,
    /// Greatest delay of a rejection or failure after nothing was left to wait for.
    pub held_back: Duration,
    /// Length of the window in which a cold endpoint's load is counted.
    pub fall_over: Duration,
}

impl Rules {
    /// Limits in virtual time, where messages take a few milliseconds.
    pub fn virtual_time() -> Rules {
        Rules {
            drain_grace: Duration::from_secs(2),
            notice_deadline: Duration::from_secs(6),
            slack: Duration::from_millis(10),
            held_back: Duration::from_millis(40),
            fall_over: Duration::from_secs(2),
        }
    }

    /// Limits on sockets: a busy machine may wake a process late, so that the slack and the limit on held-back answers are longer.
    pub fn sockets() -> Rules {
        let slack = Duration::from_millis(50);
        Rules { slack, held_back: Duration::from_millis(150), ..Rules::virtual_time() }
    }
}

/// Collects violations in the order in which they are found.
struct ViolationFinder<'l> {
    checker: &'l Checker,
    rules: Rules,
    violations: Vec<Violation>,
}

fn seconds(at: Duration) -> f64 {
    (at.as_secs_f64() * 1e6).round() / 1e6
}

impl Checker {
    /// All violations of the rules, in the order of time.
    pub fn violations(&self, rules: Rules) -> Vec<Violation> {
        let mut finder = ViolationFinder { checker: self, rules, violations: Vec::new() };
        for (number, record) in self.records() {
            finder.check_answers(number, record);
            finder.check_attempts(number, record);
            finder.check_drained(number, record);
        }
        finder.check_falls();
        let mut violations = finder.violations;
        violations.sort_by(|a, b| a.at_s.total_cmp(&b.at_s).then(a.rule.cmp(&b.rule)));
        violations
    }
}

impl ViolationFinder<'_> {
    fn report(
        &mut self,
        rule: Rule,
        number: RequestNumber,
        record: &Record,
        endpoint: Option<usize>,
        at: Duration,
    ) {
        let request = Some(format!("{number:016x}"));
        self.violations.push(Violation {
            rule,
            request,
            endpoint,
            at_s: seconds(at),
            events: events(record),
        });
    }

    /// Checks that the client got one final answer in time, that this answer was made for the request and not held back,
    /// and that no attempt was sent afterwards.
    fn check_answers(&mut self, number: RequestNumber, record: &Record) {
        let Some(request) = &record.request else {
            if let Some(first) = record.attempts.first() {
                self.report(Rule::NobodyAsked, number, record, Some(first.endpoint), first.first_byte_at);
            }
            return;
        };
        let late = request.deadline + self.rules.slack;
        match record.answers.first() {
            Some((at, _)) if *at > late => self.report(Rule::Unanswered, number, record, None, *at),
            Some(_) => {}
            // A client that gives up before its deadline is owed no answer; at the deadline it should have been answered.
            None if record.gave_up_at.is_some_and(|at| at < request.deadline) => {}
            None => self.report(Rule::Unanswered, number, record, None, record.lost_at.unwrap_or(late)),
        }
        if let Some((at, _)) = record.answers.get(1) {
            self.report(Rule::AnsweredTwice, number, record, None, *at);
        }
        let Some(&(at, answer)) = record.answers.first() else { return };
        if answer == FinalAnswer::Foreign {
            self.report(Rule::ForeignAnswer, number, record, None, at);
        }
        let after = record.attempts.iter().find(|attempt| attempt.first_byte_at > at + self.rules.slack);
        if let Some(attempt) = after {
            self.report(Rule::SentAfterAnswer, number, record, Some(attempt.endpoint), attempt.first_byte_at);
        }
        let Some(class) = self.checker.classes.get(request.class) else { return };
        if matches!(answer, FinalAnswer::Refused | FinalAnswer::Failed) {
            // A request may wait until its latency objective, and as long as an attempt is in flight.
            let ended = |attempt: &super::ObservedAttempt| attempt.end.map_or(at, |(end, _)| end);
            let last = record.attempts.iter().map(ended).max().unwrap_or_default();
            if at > last.max(request.sent_at + class.latency_objective) + self.rules.held_back {
                self.report(Rule::HeldBack, number, record, None, at);
            }
        }
        if answer == FinalAnswer::Refused {
            let is_repeatable_anywhere = matches!(
                class.idempotency,
                Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. }
            );
            let possibly_processed = |attempt: &&super::ObservedAttempt| {
                attempt.last_byte_at.is_some() && attempt.end.is_none_or(|(_, how)| !how.not_processed())
            };
            if let Some(attempt) =
                record.attempts.iter().find(possibly_processed).filter(|_| !is_repeatable_anywhere)
            {
                self.report(Rule::RefusedAfterRun, number, record, Some(attempt.endpoint), at);
            }
        }
    }

    /// Checks that one attempt of the request was in flight at a time, and that it was retried only as its class allows.
    fn check_attempts(&mut self, number: RequestNumber, record: &Record) {
        let class =
            record.request.as_ref().and_then(|request| self.checker.classes.get(request.class)).copied();
        let mut possibly_processed: Option<(Duration, usize)> = None;
        let mut previous: Option<&super::ObservedAttempt> = None;
        for attempt in record.attempts.iter().filter(|attempt| attempt.last_byte_at.is_some()) {
            let arrived_at = attempt.last_byte_at.unwrap_or(attempt.first_byte_at);
            if let Some(previous) = previous {
                let still_in_flight = previous.end.is_none_or(|(end, _)| end > arrived_at + self.rules.slack);
                if still_in_flight {
                    self.report(Rule::TwoCopies, number, record, Some(attempt.endpoint), arrived_at);
                }
            }
            if let (Some((sent, endpoint)), Some(class)) = (possibly_processed, class) {
                let allowed = match class.idempotency {
                    Idempotency::Idempotent => true,
                    Idempotency::NotIdempotent => false,
                    Idempotency::IdempotencyKey { scope: key_scope, window } => {
                        arrived_at <= sent + window + self.rules.slack
                            && self.share_scope(key_scope, endpoint, attempt.endpoint)
                    }
                };
                if !allowed {
                    self.report(Rule::ResentAgainstClass, number, record, Some(attempt.endpoint), arrived_at);
                }
            }
            if attempt.end.is_none_or(|(_, how)| !how.not_processed()) {
                possibly_processed.get_or_insert((arrived_at, attempt.endpoint));
            }
            previous = Some(attempt);
        }
    }

    fn share_scope(&self, scope: KeyScope, one: usize, other: usize) -> bool {
        let zone_and_rack = |endpoint: usize| self.checker.groups.get(endpoint).copied().unwrap_or_default();
        match scope {
            KeyScope::All => true,
            KeyScope::Zone => zone_and_rack(one).0 == zone_and_rack(other).0,
            KeyScope::Cell => zone_and_rack(one).1 == zone_and_rack(other).1,
        }
    }

    /// Checks that no attempt was sent to an endpoint later than the drain grace after the gateway was notified that it drains or was removed.
    fn check_drained(&mut self, number: RequestNumber, record: &Record) {
        for attempt in &record.attempts {
            let Some(notices) = self.checker.notices.get(&(attempt.gateway, attempt.endpoint)) else {
                continue;
            };
            let last = notices.iter().rev().find(|(at, _)| *at <= attempt.first_byte_at);
            let Some((at, EndpointNotice::Draining | EndpointNotice::Removed)) = last else { continue };
            // The drain grace begins at the first of several successive notifications that forbid attempts.
            let since = notices
                .iter()
                .rev()
                .skip_while(|(notified_at, _)| notified_at > at)
                .take_while(|(_, notice)| !matches!(notice, EndpointNotice::Up(_)))
                .last()
                .map_or(*at, |(notified_at, _)| *notified_at);
            if attempt.first_byte_at > since + self.rules.drain_grace + self.rules.slack {
                self.report(
                    Rule::SentToDrained,
                    number,
                    record,
                    Some(attempt.endpoint),
                    attempt.first_byte_at,
                );
            }
        }
    }

    /// Checks the cold endpoints that fell over. A fall is a violation where at least two thirds of the work came from gateways
    /// that had been notified of the endpoint's start, or count as notified.
    fn check_falls(&mut self) {
        for &(endpoint, at) in &self.checker.fallen {
            let starts = self.checker.starts.get(&endpoint).map(Vec::as_slice).unwrap_or_default();
            let Some(&start) = starts.iter().rev().find(|start| **start <= at) else { continue };
            let from = at.saturating_sub(self.rules.fall_over).max(start);
            let (mut notified_work_s, mut total_work_s, mut count) = (0.0, 0.0, 0u32);
            for (_, record) in self.checker.records() {
                for attempt in record.attempts.iter().filter(|attempt| {
                    attempt.endpoint == endpoint
                        && attempt.first_byte_at >= from
                        && attempt.first_byte_at <= at
                }) {
                    let notices = self
                        .checker
                        .notices
                        .get(&(attempt.gateway, endpoint))
                        .map(Vec::as_slice)
                        .unwrap_or_default();
                    let was_notified = notices.iter().any(|(notified_at, notice)| {
                        *notified_at <= attempt.first_byte_at && matches!(notice, EndpointNotice::Up(Some(listed_start)) if *listed_start + self.rules.slack >= start)
                    });
                    notified_work_s +=
                        if was_notified || attempt.first_byte_at > start + self.rules.notice_deadline {
                            attempt.work_s
                        } else {
                            0.0
                        };
                    (total_work_s, count) = (total_work_s + attempt.work_s, count + 1);
                }
            }
            if total_work_s > 0.0 && notified_work_s * 3.0 >= total_work_s * 2.0 {
                let events = vec![
                    format!("{:.3} s: node {endpoint} starts, cold", start.as_secs_f64()),
                    format!(
                        "{count} attempts of {total_work_s:.3} s of work since {:.3} s",
                        from.as_secs_f64()
                    ),
                    format!("{:.0}% of it from gateways that knew", 100.0 * notified_work_s / total_work_s),
                    format!("{:.3} s: it falls over", at.as_secs_f64()),
                ];
                let endpoint = Some(endpoint);
                let violation =
                    Violation { rule: Rule::PushedOver, request: None, endpoint, at_s: seconds(at), events };
                self.violations.push(violation);
            }
        }
    }
}

/// The events of a request as text, in the order of time.
fn events(record: &Record) -> Vec<String> {
    let mut events: Vec<(Duration, String)> = Vec::new();
    if let Some(request) = &record.request {
        let until = request.deadline.as_secs_f64();
        events.push((
            request.sent_at,
            format!("asked at gateway {}, class {}, until {until:.3} s", request.gateway, request.class),
        ));
    }
    for attempt in &record.attempts {
        let (endpoint, id) = (attempt.endpoint, attempt.attempt);
        events.push((
            attempt.first_byte_at,
            format!("node {endpoint} sees attempt {id}'s first byte, from gateway {}", attempt.gateway),
        ));
        events.extend(attempt.last_byte_at.map(|at| (at, format!("node {endpoint} has attempt {id} whole"))));
        events.extend(attempt.started_at.map(|at| (at, format!("node {endpoint} runs attempt {id}"))));
        events.extend(
            attempt.end.map(|(at, how)| (at, format!("attempt {id} ends at node {endpoint}: {how:?}"))),
        );
    }
    events.extend(
        record.answers.iter().map(|(at, answer)| (*at, format!("the client has its answer: {answer:?}"))),
    );
    events.extend(record.gave_up_at.map(|at| (at, "the client gives up".to_owned())));
    events.extend(record.lost_at.map(|at| (at, "the connection ends with no whole answer".to_owned())));
    events.sort_by_key(|(at, _)| *at);
    events.into_iter().map(|(at, text)| format!("{:.4} s: {text}", at.as_secs_f64())).collect()
}
