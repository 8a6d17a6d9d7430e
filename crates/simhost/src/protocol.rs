//! The simulator's protocol: JSON batches of events in, JSON replies with commands out.
//! The protocol's names are mapped to the balancer's names only in this module.

use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::fmt::Write as _;
use std::time::Duration;
use weldworks_balancer::{duration_from_seconds, Endpoint, EndpointId, EndpointState, Outcome};

/// Bit of [`EventFields::flags`]: the request has a cost hint.
const FLAG_HAS_COST_HINT: u64 = 1;
/// Bit of [`EventFields::flags`]: the request is a retry by the client.
const FLAG_CLIENT_RETRY: u64 = 2;

/// One line of input: events of many instances that happen at the same time.
#[derive(Deserialize)]
pub(crate) struct Batch<'a> {
    /// The time of the events, in seconds.
    #[serde(rename = "ts_s")]
    pub(crate) now_s: f64,
    /// The number of the batch, which is repeated in the reply.
    #[serde(rename = "serial")]
    pub(crate) number: u64,
    #[serde(borrow)]
    pub(crate) events: Vec<EventFields<'a>>,
}

/// An event, with the fields of all kinds of events, so that one pass parses any event. Fields that a kind of event lacks are `None`.
#[derive(Deserialize)]
pub(crate) struct EventFields<'a> {
    #[serde(borrow, rename = "type")]
    pub(crate) kind: Cow<'a, str>,
    /// The number of the instance that the event is for.
    pub(crate) gateway: Option<u64>,
    #[serde(borrow, rename = "ref")]
    pub(crate) request: Option<Cow<'a, str>>,
    #[serde(borrow, rename = "host")]
    pub(crate) endpoint: Option<Cow<'a, str>>,
    #[serde(borrow, rename = "how")]
    pub(crate) outcome: Option<Cow<'a, str>>,
    #[serde(borrow, rename = "mode")]
    pub(crate) list_mode: Option<Cow<'a, str>>,
    #[serde(borrow, rename = "item")]
    pub(crate) key: Option<Cow<'a, str>>,
    #[serde(borrow, rename = "profile_data")]
    pub(crate) settings: Option<&'a RawValue>,
    #[serde(borrow, rename = "elements")]
    pub(crate) endpoints: Option<Vec<EndpointFields<'a>>>,
    #[serde(rename = "random_seed")]
    pub(crate) seed: Option<u64>,
    #[serde(rename = "roster_id")]
    pub(crate) list_number: Option<u64>,
    #[serde(rename = "category")]
    pub(crate) class: Option<usize>,
    #[serde(rename = "state_bits")]
    pub(crate) flags: Option<u64>,
    #[serde(rename = "size_hint_s")]
    pub(crate) cost_hint_s: Option<f64>,
    #[serde(rename = "billing")]
    pub(crate) tenant: Option<usize>,
    #[serde(rename = "not_after_s")]
    pub(crate) client_deadline_s: Option<f64>,
    #[serde(rename = "copy")]
    pub(crate) attempt: Option<u32>,
    #[serde(rename = "delay_seen_s")]
    pub(crate) latency_s: Option<f64>,
    #[serde(rename = "no_more")]
    pub(crate) request_ended: Option<bool>,
    #[serde(rename = "metrics")]
    pub(crate) load_figures: Option<Vec<f64>>,
    #[serde(rename = "label")]
    pub(crate) timer_token: Option<u64>,
}

/// An entry of an endpoint list.
#[derive(Deserialize)]
pub(crate) struct EndpointFields<'a> {
    #[serde(borrow, rename = "host")]
    name: Cow<'a, str>,
    #[serde(rename = "az")]
    zone: Option<u32>,
    #[serde(rename = "cohort")]
    cell: Option<u32>,
    #[serde(borrow, rename = "status")]
    state: Option<Cow<'a, str>>,
    #[serde(rename = "launched_s")]
    started_s: Option<f64>,
    #[serde(rename = "hw")]
    kind: Option<u32>,
    #[serde(rename = "scale")]
    weight: Option<f64>,
}

/// An entry of an endpoint list, with the endpoint's name. The endpoint's number in the entry is 0: each instance assigns its own number.
pub(crate) struct ListEntry {
    pub(crate) name: String,
    pub(crate) endpoint: Endpoint,
}

/// The kinds of events that the simulator sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventKind {
    /// The simulator defines a list of endpoints, which later events refer to by its number.
    ListDefined,
    /// An instance of the balancer starts.
    InstanceStarted,
    /// An instance of the balancer ends.
    InstanceEnded,
    /// An instance gets an endpoint list, or discovery failed for the instance.
    EndpointsChanged,
    /// A client has sent a request.
    RequestReceived,
    /// A response is being forwarded while it is received.
    ResponseStarted,
    /// An attempt of a request has ended.
    AttemptEnded,
    /// The client of a request has disconnected.
    ClientDisconnected,
    /// A timer that the instance has set is due.
    TimerDue,
    /// A health check of an endpoint has ended.
    ProbeEnded,
    /// Another instance has sent a message; the balancer uses no such messages.
    PeerMessage,
}

impl EventKind {
    /// The kind of event that has this name on the wire.
    pub(crate) fn from_wire_name(name: &str) -> Option<Self> {
        match name {
            "Inventory" => Some(EventKind::ListDefined),
            "Launch" => Some(EventKind::InstanceStarted),
            "Exit" => Some(EventKind::InstanceEnded),
            "BackendsChanged" => Some(EventKind::EndpointsChanged),
            "Incoming" => Some(EventKind::RequestReceived),
            "Begun" => Some(EventKind::ResponseStarted),
            "Result" => Some(EventKind::AttemptEnded),
            "Lapsed" => Some(EventKind::ClientDisconnected),
            "Reminder" => Some(EventKind::TimerDue),
            "PingResult" => Some(EventKind::ProbeEnded),
            "Inbox" => Some(EventKind::PeerMessage),
            _ => None,
        }
    }
}

/// Mode of an endpoint list: snapshot, delta or none at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListMode {
    /// The endpoint list is a snapshot, fresh or stale.
    Snapshot,
    /// The endpoint list is a delta with the changed entries.
    Delta,
    /// There is no endpoint list: discovery failed.
    Failed,
}

impl ListMode {
    /// The mode of an endpoint list that has this name on the wire.
    pub(crate) fn from_wire_name(name: &str) -> Option<Self> {
        match name {
            "whole" | "stale_copy" => Some(ListMode::Snapshot),
            "patch" => Some(ListMode::Delta),
            "broken" => Some(ListMode::Failed),
            _ => None,
        }
    }
}

/// The outcome of an attempt or a health check that has this name on the wire.
pub(crate) fn outcome_from_wire_name(name: &str) -> Option<Outcome> {
    match name {
        "GOOD" => Some(Outcome::Served),
        "BAD" => Some(Outcome::Error),
        "FULL" => Some(Outcome::Rejected),
        "LATE" => Some(Outcome::TimedOut),
        "NOCONN" => Some(Outcome::NoConnection),
        "RST" => Some(Outcome::Reset),
        "CXL" => Some(Outcome::Cancelled),
        "NOP" => Some(Outcome::NotSent),
        _ => None,
    }
}

impl EventFields<'_> {
    /// The cost hint of the request, if the event has one.
    pub(crate) fn cost_hint(&self) -> Option<Duration> {
        if self.flags.unwrap_or(0) & FLAG_HAS_COST_HINT == 0 {
            return None;
        }
        self.cost_hint_s.map(duration_from_seconds)
    }

    /// Whether the request is a retry by the client.
    pub(crate) fn is_client_retry(&self) -> bool {
        self.flags.unwrap_or(0) & FLAG_CLIENT_RETRY != 0
    }

    /// The time since the send of the attempt or health check; 0 where the event has no latency.
    pub(crate) fn latency(&self) -> Duration {
        duration_from_seconds(self.latency_s.unwrap_or(0.0))
    }
}

impl From<EndpointFields<'_>> for ListEntry {
    fn from(fields: EndpointFields<'_>) -> Self {
        let state = match fields.state.as_deref() {
            Some("draining") => EndpointState::Draining,
            Some("removed") => EndpointState::Removed,
            _ => EndpointState::Up,
        };
        let endpoint = Endpoint {
            state,
            zone: fields.zone.unwrap_or(0),
            cell: fields.cell.unwrap_or(0),
            started: fields.started_s.filter(|&started_s| started_s > 0.0).map(duration_from_seconds),
            kind: fields.kind.unwrap_or(0),
            weight: fields.weight.unwrap_or(1.0),
            ..Endpoint::new(EndpointId(0), &fields.name)
        };
        ListEntry { name: fields.name.into_owned(), endpoint }
    }
}

/// A reply under construction. Commands are appended one after another, and the fields of a command after its beginning.
pub(crate) struct ReplyWriter {
    text: String,
    /// Whether the reply has no command yet, so that the next command needs no comma.
    is_empty: bool,
}

impl ReplyWriter {
    /// Begins the reply to the batch with this number.
    pub(crate) fn new(batch_number: u64) -> Self {
        ReplyWriter { text: format!(r#"{{"serial":{batch_number},"cmds":["#), is_empty: true }
    }

    /// Completes the reply and returns its text, without a line end.
    pub(crate) fn finish(mut self) -> String {
        self.text.push_str("]}");
        self.text
    }

    /// Appends the beginning of a command of an instance.
    fn begin(&mut self, kind: &str, gateway: u64) {
        if !self.is_empty {
            self.text.push(',');
        }
        self.is_empty = false;
        let _ = write!(self.text, r#"{{"type":"{kind}","gateway":{gateway}"#);
    }

    fn end(&mut self) {
        self.text.push('}');
    }

    /// Appends a field whose value is JSON text already. Without a value the field is left out.
    fn json_field(&mut self, name: &str, value: Option<&str>) {
        if let Some(value) = value {
            let _ = write!(self.text, r#","{name}":{value}"#);
        }
    }

    fn seconds_field(&mut self, name: &str, value: Duration) {
        let _ = write!(self.text, r#","{name}":{:.6}"#, value.as_secs_f64());
    }

    fn number_field(&mut self, name: &str, value: u64) {
        let _ = write!(self.text, r#","{name}":{value}"#);
    }

    /// Appends the command to send an attempt. Names are JSON strings; an unknown name is left out.
    pub(crate) fn send(
        &mut self,
        gateway: u64,
        request: Option<&str>,
        endpoint: Option<&str>,
        deadline: Duration,
    ) {
        self.begin("Dispatch", gateway);
        self.json_field("ref", request);
        self.json_field("host", endpoint);
        self.seconds_field("until_s", deadline);
        self.end();
    }

    /// Appends the command to cancel an attempt.
    pub(crate) fn cancel(&mut self, gateway: u64, request: Option<&str>, attempt: u32) {
        self.begin("DropAttempt", gateway);
        self.json_field("ref", request);
        self.number_field("copy", u64::from(attempt));
        self.end();
    }

    /// Appends the command to reject a request, with `Retry-After` unless that is zero.
    pub(crate) fn reject(&mut self, gateway: u64, request: Option<&str>, retry_after: Duration) {
        self.begin("Busy", gateway);
        self.json_field("ref", request);
        if !retry_after.is_zero() {
            self.seconds_field("not_before_for_s", retry_after);
        }
        self.end();
    }

    /// Appends the command to fail a request.
    pub(crate) fn fail(&mut self, gateway: u64, request: Option<&str>) {
        self.begin("ReportFailure", gateway);
        self.json_field("ref", request);
        self.end();
    }

    /// Appends the command to set a timer.
    pub(crate) fn set_timer(&mut self, gateway: u64, after: Duration, token: u64) {
        self.begin("WakeMe", gateway);
        self.seconds_field("delay_s", after);
        self.number_field("label", token);
        self.end();
    }

    /// Appends the command to send a health check.
    pub(crate) fn probe(&mut self, gateway: u64, endpoint: Option<&str>) {
        self.begin("Check", gateway);
        self.json_field("host", endpoint);
        self.end();
    }

    /// Appends the command to close the idle connections to an endpoint.
    pub(crate) fn close_idle_connections(&mut self, gateway: u64, endpoint: Option<&str>) {
        self.begin("Disconnect", gateway);
        self.json_field("host", endpoint);
        self.end();
    }

    /// Appends the command to poll discovery and subscribe to its changes.
    pub(crate) fn poll_discovery(&mut self, gateway: u64) {
        self.begin("StreamChanges", gateway);
        self.json_field("on", Some("true"));
        self.end();
    }
}
