//! The simulator's wire: one JSON batch a line in, one JSON reply a line out. Translation only, no decision.

use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::fmt::Write as _;
use std::time::Duration;
use weldworks_balancer::load_report::LoadReportFields;
use weldworks_balancer::{
    parse_settings, stable_hash, Action, Balancer, Endpoint, EndpointId, EndpointState, Event, Outcome,
    Request, RequestId,
};

/// What is wrong with a line of input, and where.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Not a batch.
    #[error("input line {line}: not a batch: {source}")]
    Malformed {
        /// The line, counted from 1.
        line: u64,
        /// What the parser says.
        source: serde_json::Error,
    },
    /// A batch with something in it that cannot be.
    #[error("batch {batch}: {what}")]
    Bad {
        /// The batch's number.
        batch: u64,
        /// What.
        what: String,
    },
}

#[derive(Deserialize)]
struct Batch<'a> {
    ts_s: f64,
    serial: u64,
    #[serde(borrow)]
    events: Vec<RawEvent<'a>>,
}

/// All fields of all events: read in one pass, absent ones left out.
#[derive(Deserialize)]
struct RawEvent<'a> {
    #[serde(borrow, rename = "type")]
    kind: Cow<'a, str>,
    gateway: Option<u64>,
    #[serde(borrow, rename = "ref")]
    request: Option<Cow<'a, str>>,
    #[serde(borrow)]
    host: Option<Cow<'a, str>>,
    #[serde(borrow)]
    how: Option<Cow<'a, str>>,
    #[serde(borrow)]
    mode: Option<Cow<'a, str>>,
    #[serde(borrow)]
    item: Option<Cow<'a, str>>,
    #[serde(borrow)]
    profile_data: Option<&'a RawValue>,
    #[serde(borrow)]
    elements: Option<Vec<RawHost<'a>>>,
    random_seed: Option<u64>,
    roster_id: Option<u64>,
    category: Option<usize>,
    state_bits: Option<u64>,
    size_hint_s: Option<f64>,
    billing: Option<usize>,
    not_after_s: Option<f64>,
    copy: Option<u32>,
    delay_seen_s: Option<f64>,
    no_more: Option<bool>,
    metrics: Option<Vec<f64>>,
    label: Option<u64>,
}

#[derive(Deserialize)]
struct RawHost<'a> {
    #[serde(borrow)]
    host: Cow<'a, str>,
    az: Option<u32>,
    cohort: Option<u32>,
    #[serde(borrow)]
    status: Option<Cow<'a, str>>,
    launched_s: Option<f64>,
    hw: Option<u32>,
    scale: Option<f64>,
}

/// Seconds on the wire as a [`Duration`], to the microsecond; anything that is no such time is 0.
fn time(s: f64) -> Duration {
    Duration::from_micros((s * 1e6).round().clamp(0.0, 1e15) as u64)
}

fn outcome(word: &str) -> Option<Outcome> {
    Some(match word {
        "GOOD" => Outcome::Served,
        "BAD" => Outcome::Error,
        "FULL" => Outcome::Rejected,
        "LATE" => Outcome::TimedOut,
        "NOCONN" => Outcome::NoConnection,
        "RST" => Outcome::Reset,
        "CXL" => Outcome::Cancelled,
        "NOP" => Outcome::NotSent,
        _ => return None,
    })
}

/// A request as the wire names it, and what of it is still awaited.
struct Named {
    text: Box<str>,
    out: u32,
    over: bool,
}

/// One gateway: its decisions, and the names of its hosts and requests.
struct Instance {
    balancer: Balancer,
    report_fields: LoadReportFields,
    hosts: FxHashMap<Box<str>, EndpointId>,
    host_texts: Vec<String>,
    requests: FxHashMap<Box<str>, u64>,
    request_texts: FxHashMap<u64, Named>,
    last_request: u64,
}

impl Instance {
    fn host(&mut self, name: &str) -> EndpointId {
        if let Some(&id) = self.hosts.get(name) {
            return id;
        }
        let id = EndpointId(self.host_texts.len() as u32);
        self.hosts.insert(name.into(), id);
        self.host_texts.push(serde_json::Value::from(name).to_string());
        id
    }

    fn forget_if_done(&mut self, id: u64) {
        if let Some(named) = self.request_texts.get(&id).filter(|n| n.over && n.out == 0) {
            self.requests.remove(&named.text);
            self.request_texts.remove(&id);
        }
    }

    /// Appends an action in the dialect; hosts and requests it names are known here.
    fn write(&mut self, gateway: u64, action: &Action, now: Duration, reply: &mut String) {
        let mut put = |name: &str, request: Option<&RequestId>, host: Option<&EndpointId>| {
            reply.push_str(if reply.ends_with('[') { "" } else { "," });
            let _ = write!(reply, r#"{{"type":"{name}","gateway":{gateway}"#);
            if let Some(named) = request.and_then(|r| self.request_texts.get(&r.0)) {
                let text = serde_json::Value::from(&*named.text);
                let _ = write!(reply, r#","ref":{text}"#);
            }
            if let Some(text) = host.and_then(|h| self.host_texts.get(h.0 as usize)) {
                let _ = write!(reply, r#","host":{text}"#);
            }
        };
        match action {
            Action::Send { request, endpoint: host, deadline: until, .. } => {
                put("Dispatch", Some(request), Some(host));
                let _ = write!(reply, r#","until_s":{:.6}"#, until.max(&now).as_secs_f64());
                self.request_texts.entry(request.0).and_modify(|n| n.out += 1);
            }
            Action::Cancel { request, attempt } => {
                put("DropAttempt", Some(request), None);
                let _ = write!(reply, r#","copy":{attempt}"#);
            }
            Action::Reject { request, .. } | Action::Fail { request } => {
                let name = if matches!(action, Action::Fail { .. }) { "ReportFailure" } else { "Busy" };
                put(name, Some(request), None);
                if let Action::Reject { retry_after: keep_away, .. } = action {
                    if !keep_away.is_zero() {
                        let _ = write!(reply, r#","not_before_for_s":{:.6}"#, keep_away.as_secs_f64());
                    }
                }
                self.request_texts.entry(request.0).and_modify(|n| n.over = true);
                self.forget_if_done(request.0);
            }
            Action::SetTimer { after, token } => {
                put("WakeMe", None, None);
                let _ = write!(reply, r#","delay_s":{:.6},"label":{token}"#, after.as_secs_f64());
            }
            // Bodies of the simulator's requests do not come in pieces.
            Action::SetAttemptDeadline { .. } => return,
            Action::Probe { endpoint: host } => put("Check", None, Some(host)),
            Action::CloseIdleConnections { endpoint: host } => put("Disconnect", None, Some(host)),
            Action::PollDiscovery => {
                put("StreamChanges", None, None);
                reply.push_str(r#","on":true"#);
            }
        }
        reply.push('}');
    }
}

/// All instances of this process, by the number that the wire gives them.
#[derive(Default)]
pub struct Adapter {
    instances: FxHashMap<u64, Instance>,
    lists: FxHashMap<u64, Vec<ListEntry>>,
    actions: Vec<Action>,
    lines: u64,
}

struct ListEntry {
    name: String,
    host: Endpoint,
}

impl Adapter {
    /// Answers one line of input with one line of output, without its end.
    pub fn answer(&mut self, line: &str) -> Result<String, WireError> {
        self.lines += 1;
        let batch: Batch<'_> =
            serde_json::from_str(line).map_err(|source| WireError::Malformed { line: self.lines, source })?;
        let mut reply = format!(r#"{{"serial":{},"cmds":["#, batch.serial);
        for event in batch.events {
            self.event(time(batch.ts_s), event, &mut reply)
                .map_err(|what| WireError::Bad { batch: batch.serial, what })?;
        }
        reply.push_str("]}");
        Ok(reply)
    }

    fn event(&mut self, now: Duration, e: RawEvent<'_>, reply: &mut String) -> Result<(), String> {
        let kind = &*e.kind;
        let lacks = |field: &str| format!("{kind} without {field}");
        if kind == "Inventory" {
            let entries = e.elements.ok_or_else(|| lacks("elements"))?;
            let entries = entries.into_iter().map(list_entry).collect();
            self.lists.insert(e.roster_id.ok_or_else(|| lacks("roster_id"))?, entries);
            return Ok(());
        }
        let gateway = e.gateway.ok_or_else(|| lacks("gateway"))?;
        if kind == "Launch" {
            let info = e.profile_data.ok_or_else(|| lacks("profile_data"))?;
            let settings = parse_settings(info.get()).map_err(|err| format!("settings: {err}"))?;
            let seed = e.random_seed.ok_or_else(|| lacks("random_seed"))?;
            let instance = Instance {
                balancer: Balancer::new(settings, seed),
                report_fields: LoadReportFields::parse(info.get())
                    .map_err(|err| format!("settings: {err}"))?,
                hosts: FxHashMap::default(),
                host_texts: Vec::new(),
                requests: FxHashMap::default(),
                request_texts: FxHashMap::default(),
                last_request: 0,
            };
            self.instances.insert(gateway, instance);
            return Ok(());
        }
        let inst = self
            .instances
            .get_mut(&gateway)
            .ok_or_else(|| format!("{kind} for unknown instance {gateway}"))?;
        let latency = time(e.delay_seen_s.unwrap_or(0.0));
        let how = || {
            let word = e.how.as_deref().ok_or_else(|| lacks("how"))?;
            outcome(word).ok_or_else(|| format!("{kind} with unknown outcome {word:?}"))
        };
        let known = e.request.as_deref().and_then(|r| inst.requests.get(r).copied()).map(RequestId);
        let (mut done, mut load) = (None, None);
        let mut hosts: Vec<Endpoint> = Vec::new();
        let event = match kind {
            "BackendsChanged" => match e.mode.as_deref() {
                Some("broken") => Event::DiscoveryFailed { silent_for: Duration::ZERO },
                Some(mode @ ("patch" | "whole" | "stale_copy")) => {
                    let number = e.roster_id.ok_or_else(|| lacks("roster_id"))?;
                    let list = self.lists.get(&number).ok_or_else(|| format!("unknown list {number}"))?;
                    hosts.extend(list.iter().map(|l| Endpoint { id: inst.host(&l.name), ..l.host.clone() }));
                    Event::EndpointList { is_snapshot: mode != "patch", endpoints: &hosts }
                }
                other => return Err(format!("{kind} with unknown mode {other:?}")),
            },
            "Incoming" => {
                let text = e.request.as_deref().ok_or_else(|| lacks("ref"))?;
                inst.last_request += 1;
                let id = inst.last_request;
                inst.requests.insert(text.into(), id);
                inst.request_texts.insert(id, Named { text: text.into(), out: 0, over: false });
                let bits = e.state_bits.unwrap_or(0);
                Event::Request(Request {
                    id: RequestId(id),
                    class: e.category.ok_or_else(|| lacks("category"))?,
                    tenant: e.billing.unwrap_or(0),
                    key: e.item.as_deref().map(stable_hash),
                    cost_hint: e.size_hint_s.filter(|_| bits & 1 != 0).map(time),
                    is_client_retry: bits & 2 != 0,
                    admission_share: 1.0,
                    client_deadline: time(e.not_after_s.ok_or_else(|| lacks("not_after_s"))?),
                    body_streaming: false,
                })
            }
            "Begun" => {
                let Some(request) = known else { return Ok(()) };
                Event::ResponseStarted { request, attempt: e.copy.unwrap_or(0), latency }
            }
            "Result" => {
                let outcome = how()?;
                let Some(request) = known else { return Ok(()) };
                let over = e.no_more.unwrap_or(false);
                if let Some(named) = inst.request_texts.get_mut(&request.0) {
                    named.out = named.out.saturating_sub(1);
                    named.over |= over;
                }
                done = Some(request.0);
                let report = e.metrics.as_deref().and_then(|row| inst.report_fields.parse_row(row));
                let host = e.host.as_deref().and_then(|name| inst.hosts.get(name)).copied();
                load = host.zip(report).map(|(host, report)| Event::LoadReport { endpoint: host, report });
                let attempt = e.copy.unwrap_or(0);
                Event::AttemptEnded { request, attempt, latency, outcome, request_ended: over }
            }
            "Lapsed" => {
                let Some(request) = known else { return Ok(()) };
                inst.request_texts.entry(request.0).and_modify(|n| n.over = true);
                done = Some(request.0);
                Event::ClientDisconnected { request }
            }
            "Reminder" => Event::Timer { token: e.label.ok_or_else(|| lacks("label"))? },
            "PingResult" => {
                let host = inst.host(e.host.as_deref().ok_or_else(|| lacks("host"))?);
                Event::ProbeEnded { endpoint: host, outcome: how()?, latency }
            }
            "Inbox" => return Ok(()),
            "Exit" => {
                self.instances.remove(&gateway);
                return Ok(());
            }
            _ => return Err(format!("unknown event {kind:?}")),
        };
        self.actions.clear();
        for event in load.into_iter().chain([event]) {
            inst.balancer.handle(now, event, &mut self.actions);
        }
        for action in &self.actions {
            inst.write(gateway, action, now, reply);
        }
        if let Some(id) = done {
            inst.forget_if_done(id);
        }
        Ok(())
    }
}

fn list_entry(raw: RawHost<'_>) -> ListEntry {
    let state = match raw.status.as_deref() {
        Some("draining") => EndpointState::Draining,
        Some("removed") => EndpointState::Removed,
        _ => EndpointState::Up,
    };
    let host = Endpoint {
        state,
        zone: raw.az.unwrap_or(0),
        cell: raw.cohort.unwrap_or(0),
        started: raw.launched_s.filter(|&s| s > 0.0).map(time),
        kind: raw.hw.unwrap_or(0),
        weight: raw.scale.unwrap_or(1.0),
        ..Endpoint::new(EndpointId(0), &raw.host)
    };
    ListEntry { name: raw.host.into_owned(), host }
}
