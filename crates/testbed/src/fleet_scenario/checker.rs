//! Checks a run on real processes: compares what endpoints, discovery, clients and logs observed with the rules of the fleet and with the
//! audit logs of the gateways, including those of processes that have ended.

use super::audited_process::{count_sends, AuditedProcess, TimeSpan};
use super::live::{ScenarioRun, ENDPOINT_COUNT, OBSERVATION_TOLERANCE};
use super::script::FaultKind;
use super::session_lapse::session_lapses;
use super::stand_ins::ServedRequest;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::Duration;
use weldworks_fleet::protocol::AdminQuery;

/// Time from the first list that marks an endpoint as draining, after which gateways with an older list may not send it requests either.
const MAX_DRAIN_DELAY: Duration = Duration::from_secs(2);

impl ScenarioRun {
    /// Checks all rules and returns their violations.
    pub(super) async fn check(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for gateway in 0..self.gateways.len() {
            match self.query_admin(gateway, AdminQuery::Status).await {
                Some(status)
                    if status["standing"].as_str().is_some_and(|state| state.starts_with("in session")) => {}
                Some(status) => violations.push(format!("gateway {gateway}: {} at end", status["standing"])),
                None => violations.push(format!("gateway {gateway} does not answer at the end")),
            }
        }
        let groups_formed =
            self.logs.borrow().iter().filter(|line| line.contains("consensus group founded")).count();
        if groups_formed != 1 {
            violations.push(format!("{groups_formed} consensus groups were formed, expected 1"));
        }
        self.check_configurations(&mut violations).await;
        self.check_sessions(&mut violations);
        self.check_client_requests(&mut violations);
        self.check_draining(&mut violations);
        self.check_audit(&mut violations).await;
        let history = self.history.borrow();
        let (fenced, without_session) = (history.fenced_gateways(), history.gateways_without_session());
        for gateway in &self.script.expected.fenced {
            if !fenced.contains(gateway) {
                violations.push(format!("gateway {gateway} was never fenced, as the script expects"));
            }
        }
        for gateway in &self.script.expected.without_session {
            if !without_session.contains(gateway) {
                violations
                    .push(format!("gateway {gateway} was never without a session, as the script expects"));
            }
        }
        let fault_targets = self.fault_targets.borrow();
        let freezes_discovery =
            |fault: &usize| matches!(self.script.faults[*fault].kind, FaultKind::FreezeDiscovery);
        let frozen: Vec<usize> = fault_targets
            .iter()
            .filter(|(fault, _)| freezes_discovery(fault))
            .flat_map(|(_, targets)| targets.clone())
            .collect();
        for gateway in fenced.iter().filter(|gateway| !frozen.contains(gateway)) {
            violations.push(format!("gateway {gateway} was fenced, but its discovery was never frozen"));
        }
        let mut figures = self.figures.borrow_mut();
        figures.leaderless_s = self.leaderless_time.get().1.as_secs_f64();
        violations
    }

    /// Checks that a valid new configuration is in force exactly at the gateways where it was written.
    async fn check_configurations(&self, violations: &mut Vec<String>) {
        let rewritten_configs = self.rewritten_configs.borrow().clone();
        let mut in_force = Vec::new();
        for gateway in 0..self.gateways.len() {
            let status = self.query_admin(gateway, AdminQuery::Status).await.unwrap_or_default();
            in_force.push(status["version"]["config"].as_u64());
        }
        let Some(common_version) = (0..in_force.len())
            .find(|gateway| !rewritten_configs.contains_key(gateway))
            .map(|gateway| in_force[gateway])
        else {
            return;
        };
        for (gateway, config_version) in in_force.iter().enumerate() {
            let expects_new = rewritten_configs.get(&gateway).is_some_and(|is_invalid| !is_invalid);
            if (*config_version == common_version) == expects_new {
                violations.push(format!(
                    "gateway {gateway} has configuration {config_version:x?}, gateways without a new file have {common_version:x?}"
                ));
            }
        }
    }

    /// Checks that no gateway serves a request that arrived after its session had expired and before it had a new one, if the script has
    /// gateways without a session reject requests.
    fn check_sessions(&self, violations: &mut Vec<String>) {
        if !self.script.rejects_without_session {
            return;
        }
        let history = self.history.borrow();
        let requests = self.observations.client_requests.borrow();
        for lapse in session_lapses(&history) {
            let served_too_late = requests.iter().filter(|request| lapse.is_served_during(request));
            for late in served_too_late.take(3) {
                violations.push(format!(
                    "{:?}: gateway {} served request {}, sent after session {} had expired at {:?}",
                    late.ended_at, lapse.gateway, late.request_id, lapse.session, lapse.expired_at
                ));
            }
        }
    }

    fn check_client_requests(&self, violations: &mut Vec<String>) {
        let requests = self.observations.client_requests.borrow();
        let mut figures = self.figures.borrow_mut();
        let mut seconds: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
        for request in requests.iter() {
            let is_served = request.status == Some(200);
            let second_counts = seconds.entry(request.sent_at.as_secs()).or_default();
            (second_counts.0, second_counts.1) =
                (second_counts.0 + 1, second_counts.1 + usize::from(is_served));
            let fault_periods = self.gateways[request.gateway].fault_periods.borrow();
            let is_affected = fault_periods.iter().any(|(start, end)| {
                request.ended_at + OBSERVATION_TOLERANCE >= *start && request.sent_at <= *end
            });
            if request.status.is_none() && !is_affected {
                figures.unanswered_requests += 1;
                if figures.unanswered_requests <= 3 {
                    violations.push(format!(
                        "{:?}: request {} got no response from gateway {}, which no fault affected",
                        request.sent_at, request.request_id, request.gateway
                    ));
                }
            }
            if request.status.is_some_and(|status| status != 200 && status != 503 && status != 429)
                && !is_affected
            {
                violations.push(format!(
                    "{:?}: request {} got the unexpected status {:?}",
                    request.sent_at, request.request_id, request.status
                ));
            }
        }
        figures.requests_sent = requests.len();
        figures.served_fraction = requests.iter().filter(|request| request.status == Some(200)).count()
            as f64
            / requests.len().max(1) as f64;
        seconds.pop_last(); // the last second of the run is incomplete
        let served_fraction =
            |(sent, served_count): &(usize, usize)| *served_count as f64 / (*sent).max(1) as f64;
        figures.worst_second_served_fraction = seconds.values().map(served_fraction).fold(1.0, f64::min);
    }

    /// Checks that a draining endpoint gets no new request from any gateway, once the delay for the gateways with an older list is over.
    fn check_draining(&self, violations: &mut Vec<String>) {
        let Some(drained_at) = self.drained_at.get() else { return };
        let served_requests = self.observations.served_requests.borrow();
        let late_requests: Vec<_> = served_requests
            .iter()
            .filter(|request| {
                request.endpoint == ENDPOINT_COUNT - 1 && request.received_at > drained_at + MAX_DRAIN_DELAY
            })
            .collect();
        if let Some(first) = late_requests.first() {
            violations.push(format!(
                "{:?}: endpoint {} received request {} and {} more, later than {MAX_DRAIN_DELAY:?} after the lists marked it as draining at {drained_at:?}",
                first.received_at,
                ENDPOINT_COUNT - 1,
                first.request_id,
                late_requests.len() - 1
            ));
        }
    }

    /// Checks that each request that endpoints received is in the audit of the gateway that forwarded it, with that endpoint and with an
    /// endpoint list that was in force there.
    async fn check_audit(&self, violations: &mut Vec<String>) {
        let served_requests = self.observations.served_requests.borrow().clone();
        let gateway_of_request: BTreeMap<String, usize> = self
            .observations
            .client_requests
            .borrow()
            .iter()
            .map(|request| (request.request_id.clone(), request.gateway))
            .collect();
        let sent_lists = self.observations.sent_lists.borrow().clone();
        for (gateway_number, gateway) in self.gateways.iter().enumerate() {
            let since = gateway.serving_since.get() + OBSERVATION_TOLERANCE;
            let own_requests: Vec<_> = served_requests
                .iter()
                .filter(|request| {
                    gateway_of_request.get(&request.request_id) == Some(&gateway_number)
                        && request.received_at > since
                })
                .collect();
            let Some(audit) = self
                .query_admin(gateway_number, AdminQuery::Audit { from_index: 0, to_index: u64::MAX })
                .await
            else {
                violations.push(format!("gateway {gateway_number} does not return its audit"));
                continue;
            };
            let send_count = count_sends(&audit);
            if self.script.has_disks {
                let ended_requests: Vec<&ServedRequest> = served_requests
                    .iter()
                    .filter(|request| {
                        gateway_of_request.get(&request.request_id) == Some(&gateway_number)
                            && request.received_at < gateway.serving_since.get()
                    })
                    .collect();
                self.check_audit_of_ended_processes(gateway_number, &audit, &ended_requests, violations)
                    .await;
            }
            if send_count < own_requests.len() as u64 {
                violations.push(format!(
                    "endpoints received {} requests from gateway {gateway_number}, but its audit has {send_count}",
                    own_requests.len()
                ));
            }
            // The audit is queried for a sample of the requests, spread evenly over all of them.
            let sample_step = (own_requests.len() / 40).max(1);
            for request in own_requests.iter().step_by(sample_step) {
                self.figures.borrow_mut().audited_steps += 1;
                let query = AdminQuery::Request { request_id: request.request_id.clone() };
                let response = self.query_admin(gateway_number, query).await.unwrap_or_default();
                let endpoint_name = json!(format!("n{}", request.endpoint));
                let steps = response["steps"].as_array().cloned().unwrap_or_default();
                let Some(step) = steps.iter().find(|step| step["host"] == endpoint_name) else {
                    violations.push(format!(
                        "endpoint {} received request {} from gateway {gateway_number}, whose audit does not contain it",
                        request.endpoint, request.request_id
                    ));
                    continue;
                };
                let index = step["version"]["list"]["index"].as_u64().unwrap_or_default();
                let known_lists = sent_lists.get(&gateway_number).map(Vec::as_slice).unwrap_or_default();
                // A decision may use the newest list that discovery had sent to the gateway, or one sent within the tolerance before,
                // which the gateway may not have applied yet. A paused gateway does not read the lists sent meanwhile, and continues with
                // the list that it had before the pause.
                let fault_periods = gateway.fault_periods.borrow();
                let active_periods = fault_periods
                    .iter()
                    .filter(|(start, end)| *start <= request.received_at && request.received_at <= *end);
                let since = active_periods.map(|(start, _)| *start).min().unwrap_or(request.received_at);
                let before = |limit: Duration| {
                    known_lists.iter().filter(|(at, _)| *at <= limit).map(|(_, index)| *index).max()
                };
                let (oldest, newest) =
                    (before(since.saturating_sub(OBSERVATION_TOLERANCE)), before(request.received_at));
                if newest.is_some_and(|newest| index > newest) || oldest.is_some_and(|oldest| index < oldest)
                {
                    violations.push(format!(
                        "{:?}: gateway {gateway_number} booked {} under list {index}, where {oldest:?} to {newest:?} was in force",
                        request.received_at, request.request_id
                    ));
                }
            }
        }
    }

    /// Checks the audit of a gateway's ended processes: each request that endpoints received from these processes is on disk, or lies in
    /// a time that the audit reports as unknown.
    async fn check_audit_of_ended_processes(
        &self,
        gateway_number: usize,
        audit: &Value,
        ended_requests: &[&ServedRequest],
        violations: &mut Vec<String>,
    ) {
        if let Some(error) = audit["earlier_unread"].as_str() {
            violations.push(format!(
                "gateway {gateway_number} does not return the audit of its earlier processes: {error}"
            ));
        }
        let processes = audit["earlier"]["processes"].as_array().cloned().unwrap_or_default();
        let processes: Vec<AuditedProcess> =
            processes.iter().map(|process| AuditedProcess::new(process, self.started_unix_ms)).collect();
        self.check_kills(gateway_number, &processes, ended_requests, violations);
        let unknown: Vec<TimeSpan> = processes.iter().flat_map(|process| process.unknown.clone()).collect();
        let known_requests: Vec<_> = ended_requests
            .iter()
            .filter(|request| !unknown.iter().any(|span| span.contains_within_tolerance(request.received_at)))
            .collect();
        let send_count = processes.iter().map(|process| process.send_count).sum::<u64>();
        if send_count < known_requests.len() as u64 {
            let request_count = known_requests.len();
            violations.push(format!(
                "endpoints received {request_count} requests from ended processes of gateway {gateway_number}, whose audit has {send_count}"
            ));
        }
        let sample_step = (known_requests.len() / 40).max(1);
        for request in known_requests.iter().step_by(sample_step) {
            {
                let mut figures = self.figures.borrow_mut();
                (figures.audited_steps, figures.audited_steps_of_ended) =
                    (figures.audited_steps + 1, figures.audited_steps_of_ended + 1);
            }
            let response = self
                .query_admin(gateway_number, AdminQuery::Request { request_id: request.request_id.clone() })
                .await
                .unwrap_or_default();
            let earlier = response["earlier"]["processes"].as_array().into_iter().flatten();
            let steps = earlier.flat_map(|process| process["steps"].as_array().into_iter().flatten());
            let endpoint_name = json!(format!("n{}", request.endpoint));
            let list_indices: Vec<_> = steps
                .filter(|step| step["host"] == endpoint_name)
                .map(|step| step["version"]["list"]["index"].clone())
                .collect();
            if !list_indices.iter().any(Value::is_u64) {
                violations.push(format!(
                    "{:?}: endpoint {} received request {} from an ended process of gateway {gateway_number}, whose audit has list indices {list_indices:?} for it",
                    request.received_at, request.endpoint, request.request_id
                ));
            }
        }
    }
}
