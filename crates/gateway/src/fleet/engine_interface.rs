//! The fleet's interface to the engine. The engine queries the fleet before it acts on requests, and reports endpoint lists, configurations
//! and decisions about requests to the fleet.

use super::Fleet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use weldworks_balancer::EndpointId;
use weldworks_fleet::audit::{Decision, DecisionKind, Exception};
use weldworks_fleet::node::SessionState;
use weldworks_fleet::protocol::DepartedEndpoint;
use weldworks_fleet::version::{ListVersion, Version};

impl Fleet {
    /// Whether this gateway currently accepts clients' requests, by its session in the fleet.
    pub fn accepts_clients(&self) -> bool {
        self.node.borrow().accepts_clients(self.now())
    }

    /// The `Retry-After` of requests that are rejected because this gateway is fenced or has no session.
    pub fn retry_after(&self) -> Duration {
        self.node.borrow().retry_after()
    }

    /// Why this gateway does not accept clients' requests; none if it accepts them.
    pub fn cannot_serve_reason(&self) -> Option<&'static str> {
        let node = self.node.borrow();
        match node.session_state(self.now()) {
            _ if node.accepts_clients(self.now()) => None,
            SessionState::Fenced(_) => Some("shut out of the fleet"),
            _ => Some("without a session in the fleet"),
        }
    }

    /// Records the name of the endpoint with this number. A number may be reused for another endpoint.
    pub fn set_endpoint_name(&self, id: EndpointId, name: &str) {
        let mut names = self.endpoint_names.borrow_mut();
        let index = id.0 as usize;
        if names.len() <= index {
            names.resize(index + 1, Rc::from(""));
        }
        if &*names[index] != name {
            names[index] = Rc::from(name);
        }
    }

    /// Whether newer endpoint lists of other gateways forbid new requests to an endpoint.
    pub fn is_endpoint_overridden(&self, endpoint: &str) -> bool {
        self.departures.borrow().overrides(endpoint)
    }

    /// Records endpoints that drain or are removed in other gateways' endpoint lists. Returns those that new requests must avoid.
    pub fn record_remote_departures(&self, departed: &[DepartedEndpoint]) -> Vec<String> {
        let own_index = self.version.borrow().list.index;
        self.departures.borrow_mut().record_remote(own_index, departed)
    }

    /// Records that the endpoint list of this index has been received and is about to be applied.
    pub fn record_list_received(&self, index: u64) {
        self.departures.borrow_mut().record_own_list(index);
    }

    /// Records that an endpoint list is in force, and which endpoints newly drain (false) or are newly removed (true) by that list.
    pub fn record_applied_list(&self, index: u64, departed: Vec<(String, bool)>) {
        let list = ListVersion { index, ..self.version.borrow().list.clone() };
        self.update_version(|version| version.list = list.clone());
        for (endpoint, _) in &departed {
            let decision =
                Decision { kind: DecisionKind::Drain, class: 0, request_id: "", endpoint: Some(endpoint) };
            self.audit.borrow_mut().record_decision(self.now(), decision);
        }
        if !departed.is_empty() {
            self.step(|node, now, actions| node.record_departures(now, list, departed, actions));
        }
    }

    /// Records that a new configuration is in force.
    pub fn record_applied_config(&self, config_digest: u64, discovery: SocketAddr) {
        let lineage = self.settings.lineage.clone().unwrap_or_else(|| discovery.to_string());
        self.update_version(|version| {
            version.config = config_digest;
            version.generation += 1;
            if version.list.lineage != lineage {
                version.list = ListVersion { lineage, index: 0 };
                self.departures.borrow_mut().clear();
            }
        });
    }

    fn update_version(&self, change: impl FnOnce(&mut Version)) {
        change(&mut self.version.borrow_mut());
        let version = self.version.borrow().clone();
        self.audit.borrow_mut().set_version(self.now(), version.clone());
        self.step(|node, now, actions| node.set_version(now, version, actions));
    }

    /// Records a decision about a request in the audit log, along with each exception from the fleet's rules that the decision makes.
    pub fn record_decision(
        &self,
        kind: DecisionKind,
        class: usize,
        request_id: &str,
        endpoint: Option<EndpointId>,
    ) {
        let now = self.now();
        let names = self.endpoint_names.borrow();
        let endpoint = endpoint.and_then(|id| names.get(id.0 as usize)).map(|name| &**name);
        let decision = Decision { kind, class, request_id, endpoint };
        self.audit.borrow_mut().record_decision(now, decision);
        self.record_session_exception(now, kind, request_id);
        if matches!(kind, DecisionKind::Pick | DecisionKind::Retry) {
            self.record_endpoint_exceptions(now, request_id, endpoint);
        }
    }

    /// Records an exception for a decision without a session, or for a first attempt while fenced. Other decisions of a fenced gateway are
    /// permitted: requests in flight when it was fenced may end, and requests that arrive later are rejected.
    fn record_session_exception(&self, now: Duration, kind: DecisionKind, request_id: &str) {
        let exception = match self.node.borrow().session_state(now) {
            SessionState::WithoutSession => Exception::WithoutSession,
            SessionState::Fenced(_) if kind == DecisionKind::Pick => Exception::Fenced,
            SessionState::InSession(_) | SessionState::Fenced(_) => return,
        };
        self.audit.borrow_mut().record_exception(now, exception, request_id);
    }

    /// Records an exception for an attempt under an outdated endpoint list, or to an endpoint that drains or is removed in a newer list of
    /// another gateway.
    fn record_endpoint_exceptions(&self, now: Duration, request_id: &str, endpoint: Option<&str>) {
        let mut audit = self.audit.borrow_mut();
        let own = self.version.borrow().list.index;
        let newest_known = self.current_list_index.get();
        if newest_known > own {
            audit.record_exception(now, Exception::StaleList { own, newest_known }, request_id);
        }
        if let Some(endpoint) = endpoint.filter(|endpoint| self.is_endpoint_overridden(endpoint)) {
            audit.record_exception(
                now,
                Exception::RemovedEndpoint { endpoint: endpoint.to_owned() },
                request_id,
            );
        }
    }
}
