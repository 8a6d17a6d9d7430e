//! One instance of the balancer, and the names by which the simulator identifies its endpoints and requests.

use crate::error::EventError;
use crate::protocol::{outcome_from_wire_name, EventFields, ListEntry, ListMode, ReplyWriter};
use rustc_hash::FxHashMap;
use std::time::Duration;
use weldworks_balancer::load_report::LoadReportFields;
use weldworks_balancer::{
    duration_from_seconds, stable_hash, Action, Balancer, Endpoint, EndpointId, Event, Outcome, PollFailure,
    Request, RequestId, Settings,
};

/// The time and the instance of an event, and the buffers for its results.
pub(crate) struct EventContext<'a> {
    pub(crate) now: Duration,
    /// The number of the instance on the wire.
    pub(crate) gateway: u64,
    /// Buffer for the actions of the event, reused for the next event.
    pub(crate) actions: &'a mut Vec<Action>,
    pub(crate) reply: &'a mut ReplyWriter,
}

/// A request that later events of the simulator may still name.
struct NamedRequest {
    name: Box<str>,
    /// The name of the request as a JSON string.
    name_json: Box<str>,
    attempts_in_flight: u32,
    /// Whether the request has its final answer or its client has disconnected.
    ended: bool,
}

/// One simulated gateway: its balancer, and the names of its endpoints and requests.
pub(crate) struct Instance {
    balancer: Balancer,
    load_report_fields: LoadReportFields,
    endpoint_ids: FxHashMap<Box<str>, EndpointId>,
    /// The names of the endpoints as JSON strings, indexed by endpoint number.
    endpoint_names_json: Vec<String>,
    request_ids: FxHashMap<Box<str>, u64>,
    requests: FxHashMap<u64, NamedRequest>,
    last_request: u64,
}

impl Instance {
    /// An instance that starts with these settings.
    pub(crate) fn new(settings: Settings, load_report_fields: LoadReportFields, seed: u64) -> Self {
        Instance {
            balancer: Balancer::new(settings, seed),
            load_report_fields,
            endpoint_ids: FxHashMap::default(),
            endpoint_names_json: Vec::new(),
            request_ids: FxHashMap::default(),
            requests: FxHashMap::default(),
            last_request: 0,
        }
    }

    /// Handles an event with an endpoint list or a failure of discovery.
    pub(crate) fn on_endpoints_changed(
        &mut self,
        fields: &EventFields<'_>,
        lists: &FxHashMap<u64, Vec<ListEntry>>,
        context: &mut EventContext<'_>,
    ) -> Result<(), EventError> {
        let mode = fields.list_mode.as_deref().and_then(ListMode::from_wire_name);
        let is_snapshot = match mode {
            Some(ListMode::Snapshot) => true,
            Some(ListMode::Delta) => false,
            Some(ListMode::Failed) => {
                // The wire does not say which call failed, nor why.
                let failure =
                    Event::DiscoveryFailed { silent_for: Duration::ZERO, cause: PollFailure::Unreachable };
                self.handle(failure, context);
                return Ok(());
            }
            None => return Err(fields.unknown_list_mode()),
        };
        let number = fields.list_number.ok_or_else(|| fields.missing("roster_id"))?;
        let list = lists.get(&number).ok_or(EventError::UnknownList(number))?;
        let mut endpoints: Vec<Endpoint> = Vec::with_capacity(list.len());
        for entry in list {
            let id = self.endpoint_id(&entry.name);
            endpoints.push(Endpoint { id, ..entry.endpoint.clone() });
        }
        self.handle(Event::EndpointList { is_snapshot, endpoints: &endpoints }, context);
        Ok(())
    }

    /// Handles a request that a client has sent.
    pub(crate) fn on_request(
        &mut self,
        fields: &EventFields<'_>,
        context: &mut EventContext<'_>,
    ) -> Result<(), EventError> {
        let name = fields.request.as_deref().ok_or_else(|| fields.missing("ref"))?;
        let class = fields.class.ok_or_else(|| fields.missing("category"))?;
        let client_deadline_s = fields.client_deadline_s.ok_or_else(|| fields.missing("not_after_s"))?;
        let request = Request {
            id: self.add_request(name),
            class,
            tenant: fields.tenant.unwrap_or(0),
            key: fields.key.as_deref().map(stable_hash),
            cost_hint: fields.cost_hint(),
            is_client_retry: fields.is_client_retry(),
            admission_share: 1.0,
            client_deadline: duration_from_seconds(client_deadline_s),
            body_streaming: false,
        };
        self.handle(Event::Request(request), context);
        Ok(())
    }

    /// Handles a response that is being forwarded while it is received.
    pub(crate) fn on_response_started(&mut self, fields: &EventFields<'_>, context: &mut EventContext<'_>) {
        let Some(request) = self.request_id(fields) else { return };
        let attempt = fields.attempt.unwrap_or(0);
        self.handle(Event::ResponseStarted { request, attempt, latency: fields.latency() }, context);
    }

    /// Handles the outcome of an attempt, and the load report in the same event if there is one.
    pub(crate) fn on_attempt_ended(
        &mut self,
        fields: &EventFields<'_>,
        context: &mut EventContext<'_>,
    ) -> Result<(), EventError> {
        let outcome = fields.outcome()?;
        let Some(request) = self.request_id(fields) else { return Ok(()) };
        let request_ended = fields.request_ended.unwrap_or(false);
        if let Some(named) = self.requests.get_mut(&request.0) {
            named.attempts_in_flight = named.attempts_in_flight.saturating_sub(1);
            named.ended |= request_ended;
        }
        self.handle_load_report(fields, context);
        let attempt = fields.attempt.unwrap_or(0);
        let latency = fields.latency();
        self.handle(Event::AttemptEnded { request, attempt, latency, outcome, request_ended }, context);
        self.remove_if_complete(request.0);
        Ok(())
    }

    /// Ends a request whose client has disconnected.
    pub(crate) fn on_client_disconnected(
        &mut self,
        fields: &EventFields<'_>,
        context: &mut EventContext<'_>,
    ) {
        let Some(request) = self.request_id(fields) else { return };
        self.mark_ended(request.0);
        self.handle(Event::ClientDisconnected { request }, context);
        self.remove_if_complete(request.0);
    }

    /// Handles a timer that is due.
    pub(crate) fn on_timer(
        &mut self,
        fields: &EventFields<'_>,
        context: &mut EventContext<'_>,
    ) -> Result<(), EventError> {
        let token = fields.timer_token.ok_or_else(|| fields.missing("label"))?;
        self.handle(Event::Timer { token }, context);
        Ok(())
    }

    /// Handles the outcome of a health check.
    pub(crate) fn on_probe_ended(
        &mut self,
        fields: &EventFields<'_>,
        context: &mut EventContext<'_>,
    ) -> Result<(), EventError> {
        let name = fields.endpoint.as_deref().ok_or_else(|| fields.missing("host"))?;
        let outcome = fields.outcome()?;
        let endpoint = self.endpoint_id(name);
        self.handle(Event::ProbeEnded { endpoint, outcome, latency: fields.latency() }, context);
        Ok(())
    }

    fn handle_load_report(&mut self, fields: &EventFields<'_>, context: &mut EventContext<'_>) {
        let row = fields.load_figures.as_deref();
        let Some(report) = row.and_then(|row| self.load_report_fields.parse_row(row)) else { return };
        let name = fields.endpoint.as_deref();
        let Some(&endpoint) = name.and_then(|name| self.endpoint_ids.get(name)) else { return };
        self.handle(Event::LoadReport { endpoint, report }, context);
    }

    /// Passes an event to the balancer and writes its actions into the reply.
    fn handle(&mut self, event: Event<'_>, context: &mut EventContext<'_>) {
        context.actions.clear();
        self.balancer.handle(context.now, event, context.actions);
        for action in context.actions.iter() {
            self.write_action(action, context.gateway, context.now, context.reply);
        }
    }

    fn write_action(&mut self, action: &Action, gateway: u64, now: Duration, reply: &mut ReplyWriter) {
        match action {
            // The simulator's protocol has no write deadline.
            Action::Send { request, endpoint, deadline, write_by: _ } => {
                let endpoint = self.endpoint_json(*endpoint);
                reply.send(gateway, self.request_json(*request), endpoint, *deadline.max(&now));
                if let Some(named) = self.requests.get_mut(&request.0) {
                    named.attempts_in_flight += 1;
                }
            }
            Action::Cancel { request, attempt } => {
                reply.cancel(gateway, self.request_json(*request), *attempt);
            }
            Action::Reject { request, retry_after } => {
                reply.reject(gateway, self.request_json(*request), *retry_after);
                self.mark_ended(request.0);
                self.remove_if_complete(request.0);
            }
            Action::Fail { request } => {
                reply.fail(gateway, self.request_json(*request));
                self.mark_ended(request.0);
                self.remove_if_complete(request.0);
            }
            Action::SetTimer { after, token } => reply.set_timer(gateway, *after, *token),
            // Requests of the simulator have no streamed bodies, so their deadlines do not change.
            Action::SetAttemptDeadline { .. } => {}
            Action::Probe { endpoint } => reply.probe(gateway, self.endpoint_json(*endpoint)),
            Action::CloseIdleConnections { endpoint } => {
                reply.close_idle_connections(gateway, self.endpoint_json(*endpoint));
            }
            Action::PollDiscovery => reply.poll_discovery(gateway),
        }
    }

    /// The number of an endpoint. An endpoint gets its number when an event first names it.
    fn endpoint_id(&mut self, name: &str) -> EndpointId {
        if let Some(&id) = self.endpoint_ids.get(name) {
            return id;
        }
        let id = EndpointId(self.endpoint_names_json.len() as u32);
        self.endpoint_ids.insert(name.into(), id);
        self.endpoint_names_json.push(serde_json::Value::from(name).to_string());
        id
    }

    fn endpoint_json(&self, endpoint: EndpointId) -> Option<&str> {
        self.endpoint_names_json.get(endpoint.0 as usize).map(String::as_str)
    }

    fn add_request(&mut self, name: &str) -> RequestId {
        self.last_request += 1;
        let named = NamedRequest {
            name: name.into(),
            name_json: serde_json::Value::from(name).to_string().into(),
            attempts_in_flight: 0,
            ended: false,
        };
        self.request_ids.insert(name.into(), self.last_request);
        self.requests.insert(self.last_request, named);
        RequestId(self.last_request)
    }

    /// The number of the request that an event names, if it is known.
    fn request_id(&self, fields: &EventFields<'_>) -> Option<RequestId> {
        self.request_ids.get(fields.request.as_deref()?).copied().map(RequestId)
    }

    fn request_json(&self, request: RequestId) -> Option<&str> {
        self.requests.get(&request.0).map(|named| &*named.name_json)
    }

    fn mark_ended(&mut self, request: u64) {
        if let Some(named) = self.requests.get_mut(&request) {
            named.ended = true;
        }
    }

    /// Removes a request that has ended and has no attempts in flight.
    fn remove_if_complete(&mut self, request: u64) {
        let Some(named) = self.requests.get(&request) else { return };
        if named.ended && named.attempts_in_flight == 0 {
            self.request_ids.remove(&named.name);
            self.requests.remove(&request);
        }
    }
}

impl EventFields<'_> {
    /// The error of an event that lacks a field, by the field's name on the wire.
    pub(crate) fn missing(&self, field: &'static str) -> EventError {
        EventError::MissingField { event: self.kind.to_string(), field }
    }

    fn unknown_list_mode(&self) -> EventError {
        EventError::UnknownListMode {
            event: self.kind.to_string(),
            mode: self.list_mode.as_deref().map(str::to_owned),
        }
    }

    fn outcome(&self) -> Result<Outcome, EventError> {
        let name = self.outcome.as_deref().ok_or_else(|| self.missing("how"))?;
        outcome_from_wire_name(name).ok_or_else(|| EventError::UnknownOutcome {
            event: self.kind.to_string(),
            outcome: name.to_owned(),
        })
    }
}
