//! Tests that no load report and no closed connection, however wrong, breaks the balancer:
//! every request gets its one answer, and every endpoint is used again afterwards.

mod common;

use common::{local_endpoint, settings};
use proptest::prelude::*;
use std::time::Duration;
use weldworks_balancer::*;

/// Figures of a load report, both possible and impossible loads.
fn figure() -> impl Strategy<Value = f64> {
    prop_oneof![
        any::<f64>(),
        Just(f64::NAN),
        Just(f64::INFINITY),
        Just(-1.0),
        Just(0.0),
        Just(1e300),
        0.0..200.0,
    ]
}

/// Signals of endpoints: one endpoint sends a load report, and one closes an idle connection.
#[derive(Clone, Copy)]
struct EndpointSignals {
    reporting: EndpointId,
    report: LoadReport,
    closing: EndpointId,
    idle: Duration,
    remaining: usize,
}

/// Whether a request was sent to an endpoint and whether it was rejected.
#[derive(Clone, Copy, PartialEq, Eq)]
struct RequestResult {
    is_sent: bool,
    is_rejected: bool,
}

/// A balancer with four endpoints that answer each request after 20 ms.
struct Fleet {
    balancer: Balancer,
    now: Duration,
    last_request: u64,
    requests_by_endpoint: [u32; 4],
}

impl Fleet {
    fn new(gateway_count: u32, seed: u64) -> Self {
        let settings = Settings { gateway_count, hedging_allowed: false, ..settings() };
        let mut fleet = Fleet {
            balancer: Balancer::new(settings, seed),
            now: Duration::from_secs(100),
            last_request: 0,
            requests_by_endpoint: [0; 4],
        };
        let list: Vec<Endpoint> = (0..4).map(|number| local_endpoint(number, None)).collect();
        fleet.handle(Event::EndpointList { is_snapshot: true, endpoints: &list });
        fleet
    }

    fn handle(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// Reports the signals to the balancer and returns the resulting actions.
    fn report_signals(&mut self, signals: EndpointSignals) -> Vec<Action> {
        let EndpointSignals { reporting, report, closing, idle, remaining } = signals;
        let mut actions = self.handle(Event::LoadReport { endpoint: reporting, report });
        actions.extend(self.handle(Event::IdleConnectionClosed { endpoint: closing, idle, remaining }));
        actions
    }

    /// Reports the signals, if any, and then serves a request. The result covers the actions of both.
    fn serve_one(&mut self, signals: Option<EndpointSignals>) -> RequestResult {
        let mut actions = signals.map_or_else(Vec::new, |signals| self.report_signals(signals));
        self.last_request += 1;
        let request = RequestId(self.last_request);
        let client_deadline = self.now + Duration::from_secs(1);
        actions.extend(self.handle(Event::Request(Request::new(request, 0, client_deadline))));
        let sent = actions.iter().find_map(|action| match action {
            Action::Send { endpoint, .. } => Some(*endpoint),
            _ => None,
        });
        let is_rejected = actions.iter().any(|action| matches!(action, Action::Reject { .. }));
        let latency = Duration::from_millis(20);
        self.now += latency;
        if let Some(endpoint) = sent {
            self.requests_by_endpoint[endpoint.0 as usize] += 1;
            let outcome = Outcome::Served;
            self.handle(Event::AttemptEnded { request, attempt: 0, latency, outcome, request_ended: true });
        }
        RequestResult { is_sent: sent.is_some(), is_rejected }
    }
}

proptest! {
    #[test]
    fn any_reports_and_closed_connections_leave_every_endpoint_in_use(
        reports in prop::collection::vec((0u32..6, figure(), figure(), 0u64..2000), 0..120),
        closes in prop::collection::vec((0u32..6, 0u64..6000, 0usize..2), 120),
        gateway_count in prop_oneof![Just(1u32), Just(45), Just(250)],
        seed in any::<u64>(),
    ) {
        let mut fleet = Fleet::new(gateway_count, seed);
        for ((reporting, requests_per_second, in_flight, pause_ms), (closing, idle_ms, remaining)) in
            reports.into_iter().zip(closes)
        {
            fleet.now += Duration::from_millis(pause_ms);
            let signals = EndpointSignals {
                reporting: EndpointId(reporting),
                report: LoadReport { requests_per_second, in_flight },
                closing: EndpointId(closing),
                idle: Duration::from_millis(idle_ms),
                remaining,
            };
            let result = fleet.serve_one(Some(signals));
            prop_assert!(!(result.is_sent && result.is_rejected), "a request was both sent and rejected");
        }
        // A minute after the last signal, any slow start that the signals caused is over, and every endpoint gets requests as before.
        fleet.now += Duration::from_secs(60);
        fleet.requests_by_endpoint = [0; 4];
        for _ in 0..400 {
            let result = fleet.serve_one(None);
            prop_assert!(result.is_sent && !result.is_rejected, "an idle fleet did not send a request at once");
        }
        let requests = fleet.requests_by_endpoint;
        prop_assert!(requests.iter().all(|&count| count > 0), "an endpoint got no requests: {requests:?}");
    }

    #[test]
    fn any_text_and_row_are_read_without_panic(text in ".{0,200}", row in prop::collection::vec(any::<f64>(), 0..4)) {
        let json = r#"{"stats":{"how":"inline","fields":["qps","inflight"]}}"#;
        let fields = load_report::LoadReportFields::parse(json).expect("the settings object parses");
        let reports =
            [fields.parse_header(&text), fields.parse_header(&format!("TEXT {text}")), fields.parse_row(&row)];
        for report in reports.into_iter().flatten() {
            prop_assert_eq!(report.checked(), Some(report));
        }
    }
}
