//! Checks a run on real processes: compares what endpoints, discovery, clients and logs observed with the rules of the fleet and with the
//! audit logs of the gateways, including those of processes that have ended.

use super::history::Seen;
use super::live::{Play, NODES, SLACK};
use super::place::Served;
use super::script::What;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::Duration;
use weldworks_fleet::node::SessionState;
use weldworks_fleet::protocol::AdminQuery;

/// Time from the first list that marks an endpoint as draining, after which gateways with an older list may not send it requests either.
const TOLD_GONE: Duration = Duration::from_secs(2);
/// Longest part of a killed process's life, up to its end, that may be missing from its audit log. The gateways promise 1 s if the disk
/// completes a write within 0.5 s; a busy machine is allowed more, and the measured time is in the report.
const UNKNOWN: Duration = Duration::from_secs(5);

impl Play {
    /// Checks all rules and returns their violations.
    pub(super) async fn judge(&self) -> Vec<String> {
        let mut breaches = Vec::new();
        for n in 0..self.gateways.len() {
            match self.ask(n, AdminQuery::Status).await {
                Some(status) if status["standing"].as_str().is_some_and(|s| s.starts_with("in session")) => {}
                Some(status) => breaches.push(format!("gateway {n} is {} at the end", status["standing"])),
                None => breaches.push(format!("gateway {n} does not answer at the end")),
            }
        }
        let founded = self.logs.borrow().iter().filter(|l| l.contains("consensus group founded")).count();
        if founded != 1 {
            breaches.push(format!("{founded} councils were founded"));
        }
        self.judge_configured(&mut breaches).await;
        self.judge_sessions(&mut breaches);
        self.judge_clients(&mut breaches);
        self.judge_departure(&mut breaches);
        self.judge_audit(&mut breaches).await;
        let history = self.history.borrow();
        let (shut, alone) = (history.shut_out(), history.alone());
        for gateway in &self.script.expected.shut_out {
            if !shut.contains(gateway) {
                breaches.push(format!("gateway {gateway} stayed behind and was never shut out"));
            }
        }
        for gateway in &self.script.expected.alone {
            if !alone.contains(gateway) {
                breaches.push(format!("gateway {gateway} was never without its session"));
            }
        }
        let whom = self.whom.borrow();
        let sticks = |n: &usize| matches!(self.script.events[*n].what, What::Stick);
        let stuck: Vec<usize> =
            whom.iter().filter(|(n, _)| sticks(n)).flat_map(|(_, met)| met.clone()).collect();
        for gateway in shut.iter().filter(|g| !stuck.contains(g)) {
            breaches.push(format!("gateway {gateway} was shut out, and its discovery was never stuck"));
        }
        let mut figures = self.figures.borrow_mut();
        figures.leaderless_s = self.leaderless.get().1.as_secs_f64();
        breaches
    }

    /// Checks that a valid new configuration is in force exactly at the gateways where it was written.
    async fn judge_configured(&self, breaches: &mut Vec<String>) {
        let configured = self.configured.borrow().clone();
        let mut in_force = Vec::new();
        for n in 0..self.gateways.len() {
            let status = self.ask(n, AdminQuery::Status).await.unwrap_or_default();
            in_force.push(status["version"]["config"].as_u64());
        }
        let Some(common) = (0..in_force.len()).find(|n| !configured.contains_key(n)).map(|n| in_force[n])
        else {
            return;
        };
        for (n, of) in in_force.iter().enumerate() {
            let taken = configured.get(&n).is_some_and(|broken| !broken);
            if (*of == common) == taken {
                breaches.push(format!(
                    "gateway {n} has the configuration {of:x?}, where {common:x?} is the others'"
                ));
            }
        }
    }

    /// Checks that no gateway serves a request that arrived after its session had expired and before it had a new one, if the script has
    /// gateways without a session reject requests.
    fn judge_sessions(&self, breaches: &mut Vec<String>) {
        let history = self.history.borrow();
        let mut holder: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
        for line in &history.lines {
            match &line.seen {
                Seen::Stands(SessionState::InSession(id)) => {
                    holder.insert(*id, (line.gateway, line.process));
                }
                Seen::Lapsed(id) => {
                    let Some((gateway, process)) = holder.get(id).copied() else { continue };
                    let next = history.lines.iter().find(|l| {
                        let anew =
                            matches!(&l.seen, Seen::Stands(SessionState::InSession(other)) if other != id);
                        l.gateway == gateway && (anew || l.process > process) && l.at > line.at
                    });
                    let until = next.map_or(Duration::MAX, |l| l.at.saturating_sub(SLACK));
                    if !self.script.refuses_alone {
                        continue;
                    }
                    let asked = self.books.asked.borrow();
                    let served = asked.iter().filter(|a| {
                        a.gateway == gateway
                            && a.status == Some(200)
                            && a.at > line.at + SLACK
                            && a.until < until
                    });
                    for asked in served.take(3) {
                        breaches.push(format!(
                            "{:?}: gateway {gateway} served {}, taken after its session {id} was over at {:?}",
                            asked.until, asked.request, line.at
                        ));
                    }
                }
                _ => {}
            }
        }
    }

    fn judge_clients(&self, breaches: &mut Vec<String>) {
        let asked = self.books.asked.borrow();
        let mut figures = self.figures.borrow_mut();
        let mut seconds: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
        for one in asked.iter() {
            let served = one.status == Some(200);
            let second = seconds.entry(one.at.as_secs()).or_default();
            (second.0, second.1) = (second.0 + 1, second.1 + usize::from(served));
            let troubled = self.gateways[one.gateway].troubled.borrow();
            let troubled =
                troubled.iter().any(|(from, until)| one.until + SLACK >= *from && one.at <= *until);
            if one.status.is_none() && !troubled {
                figures.unanswered += 1;
                if figures.unanswered <= 3 {
                    breaches.push(format!(
                        "{:?}: {} got no answer of gateway {}, to which nothing was done",
                        one.at, one.request, one.gateway
                    ));
                }
            }
            if one.status.is_some_and(|s| s != 200 && s != 503 && s != 429) && !troubled {
                breaches.push(format!("{:?}: {} was answered {:?}", one.at, one.request, one.status));
            }
        }
        figures.asked = asked.len();
        figures.served =
            asked.iter().filter(|a| a.status == Some(200)).count() as f64 / asked.len().max(1) as f64;
        seconds.pop_last(); // the last second is incomplete
        let share = |(asked, served): &(usize, usize)| *served as f64 / (*asked).max(1) as f64;
        figures.worst_second = seconds.values().map(share).fold(1.0, f64::min);
    }

    /// Checks that a draining endpoint gets no new request from any gateway, once the delay for the gateways with an older list is over.
    fn judge_departure(&self, breaches: &mut Vec<String>) {
        let Some(left) = self.left.get() else { return };
        let served = self.books.served.borrow();
        let late: Vec<_> = served.iter().filter(|s| s.node == NODES - 1 && s.at > left + TOLD_GONE).collect();
        if let Some(one) = late.first() {
            breaches.push(format!(
                "{:?}: node {} was sent {} and {} more, later than {TOLD_GONE:?} after the lists said at {left:?} that it leaves",
                one.at,
                NODES - 1,
                one.request,
                late.len() - 1
            ));
        }
    }

    /// Checks that each request that endpoints received is in the audit of the gateway that forwarded it, with that endpoint and with an
    /// endpoint list that was in force there.
    async fn judge_audit(&self, breaches: &mut Vec<String>) {
        let served = self.books.served.borrow().clone();
        let asked: BTreeMap<String, usize> =
            self.books.asked.borrow().iter().map(|a| (a.request.clone(), a.gateway)).collect();
        let listed = self.books.listed.borrow().clone();
        for (n, gateway) in self.gateways.iter().enumerate() {
            let since = gateway.since.get() + SLACK;
            let own: Vec<_> =
                served.iter().filter(|s| asked.get(&s.request) == Some(&n) && s.at > since).collect();
            let Some(told) = self.ask(n, AdminQuery::Audit { from_index: 0, to_index: u64::MAX }).await
            else {
                breaches.push(format!("gateway {n} does not tell what it did"));
                continue;
            };
            let sends = sends(&told);
            if self.script.disks {
                let ended: Vec<&Served> = served
                    .iter()
                    .filter(|s| asked.get(&s.request) == Some(&n) && s.at < gateway.since.get())
                    .collect();
                self.judge_ended(n, &told, &ended, breaches).await;
            }
            if sends < own.len() as u64 {
                breaches
                    .push(format!("nodes saw {} sends of gateway {n}, and its audit has {sends}", own.len()));
            }
            // The audit is queried for a sample of the requests, spread evenly over all of them.
            let every = (own.len() / 40).max(1);
            for seen in own.iter().step_by(every) {
                self.figures.borrow_mut().audited += 1;
                let question = AdminQuery::Request { request_id: seen.request.clone() };
                let answer = self.ask(n, question).await.unwrap_or_default();
                let host = json!(format!("n{}", seen.node));
                let steps = answer["steps"].as_array().cloned().unwrap_or_default();
                let Some(step) = steps.iter().find(|step| step["host"] == host) else {
                    breaches.push(format!(
                        "node {} saw {} of gateway {n}, whose audit does not have it",
                        seen.node, seen.request
                    ));
                    continue;
                };
                let index = step["version"]["list"]["index"].as_u64().unwrap_or_default();
                let known = listed.get(&n).map(Vec::as_slice).unwrap_or_default();
                // A decision may use the newest list that discovery had sent to the gateway, or one sent within the tolerance before,
                // which the gateway may not have applied yet. A paused gateway does not read the lists sent meanwhile, and continues with
                // the list that it had before the pause.
                let troubled = gateway.troubled.borrow();
                let within = troubled.iter().filter(|(from, until)| *from <= seen.at && seen.at <= *until);
                let since = within.map(|(from, _)| *from).min().unwrap_or(seen.at);
                let before = |by: Duration| known.iter().filter(|(at, _)| *at <= by).map(|(_, i)| *i).max();
                let (oldest, newest) = (before(since.saturating_sub(SLACK)), before(seen.at));
                if newest.is_some_and(|newest| index > newest) || oldest.is_some_and(|oldest| index < oldest)
                {
                    breaches.push(format!(
                        "{:?}: gateway {n} booked {} under list {index}, where {oldest:?} to {newest:?} was in force",
                        seen.at, seen.request
                    ));
                }
            }
        }
    }

    /// Checks the audit of a gateway's ended processes: each request that endpoints received from these processes is on disk, or lies in
    /// a time that the audit reports as unknown.
    async fn judge_ended(&self, n: usize, told: &Value, ended: &[&Served], breaches: &mut Vec<String>) {
        if let Some(why) = told["earlier_unread"].as_str() {
            breaches.push(format!("gateway {n} does not tell what its processes before did: {why}"));
        }
        let processes = told["earlier"]["processes"].as_array().cloned().unwrap_or_default();
        let mut unknown = Vec::new();
        for process in &processes {
            let began = process["began_unix_ms"].as_u64().unwrap_or_default();
            let at = |ms: &Value| {
                let unix_ms = began + ms.as_u64().unwrap_or_default();
                Duration::from_millis(unix_ms.saturating_sub(self.began_unix_ms))
            };
            let gaps = process["unknown"].as_array().into_iter().flatten();
            unknown.extend(gaps.map(|gap| (at(&gap["from_ms"]), at(&gap["to_ms"]))));
        }
        // A killed process could not record its end, so its audit has to report an unknown time around the kill.
        for kill in self.kills.borrow().iter().filter(|(gateway, _)| *gateway == n).map(|(_, at)| *at) {
            let Some((from, _)) =
                unknown.iter().find(|(from, to)| *from <= kill + SLACK && kill <= *to + SLACK)
            else {
                breaches.push(format!(
                    "gateway {n} was killed at {kill:?}, and its books know of no time that is unknown"
                ));
                continue;
            };
            let lost = kill.saturating_sub(*from);
            self.figures.borrow_mut().unknown_s.push(lost.as_secs_f64());
            if lost > UNKNOWN {
                breaches.push(format!(
                    "gateway {n} was killed at {kill:?}, and nothing is known of it from {from:?} on"
                ));
            }
        }
        let known: Vec<_> = ended
            .iter()
            .filter(|s| !unknown.iter().any(|(from, to)| s.at + SLACK >= *from && s.at <= *to + SLACK))
            .collect();
        let sends = processes.iter().map(sends).sum::<u64>();
        if sends < known.len() as u64 {
            let of = known.len();
            breaches.push(format!(
                "nodes saw {of} sends of processes of gateway {n} that have ended, whose audit has {sends}"
            ));
        }
        let every = (known.len() / 40).max(1);
        for seen in known.iter().step_by(every) {
            {
                let mut figures = self.figures.borrow_mut();
                (figures.audited, figures.audited_ended) = (figures.audited + 1, figures.audited_ended + 1);
            }
            let answer = self
                .ask(n, AdminQuery::Request { request_id: seen.request.clone() })
                .await
                .unwrap_or_default();
            let earlier = answer["earlier"]["processes"].as_array().into_iter().flatten();
            let steps = earlier.flat_map(|p| p["steps"].as_array().into_iter().flatten());
            let host = json!(format!("n{}", seen.node));
            let lists: Vec<_> =
                steps.filter(|s| s["host"] == host).map(|s| s["version"]["list"]["index"].clone()).collect();
            if !lists.iter().any(Value::is_u64) {
                breaches.push(format!(
                    "{:?}: node {} saw {} of a process of gateway {n} that has ended, whose audit has {lists:?} of it",
                    seen.at, seen.node, seen.request
                ));
            }
        }
    }
}

/// Number of forwarded requests, resent ones included, by the audit's intervals.
fn sends(told: &Value) -> u64 {
    let intervals = told["intervals"].as_array().into_iter().flatten();
    let decisions = intervals.flat_map(|i| i["decisions"].as_array().into_iter().flatten());
    decisions.filter(|d| d[0] == "Pick" || d[0] == "Resend").filter_map(|d| d[2].as_u64()).sum()
}
