//! No load report and no end of a connection, however wrong, may break the decisions: every request gets its one answer and no host is lost for good.

mod common;

use common::{host, settings};
use proptest::prelude::*;
use std::time::Duration;
use weldworks_balancer::*;

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

proptest! {
    #[test]
    fn any_reports_and_ends_of_connections_leave_every_host_in_use(
        reports in prop::collection::vec((0u32..6, figure(), figure(), 0u64..2000), 0..120),
        closes in prop::collection::vec((0u32..6, 0u64..6000, 0usize..2), 120),
        gateways in prop_oneof![Just(1u32), Just(45), Just(250)],
        seed in any::<u64>(),
    ) {
        let mut balancer = Balancer::new(Settings { gateway_count: gateways, hedging_allowed: false, ..settings() }, seed);
        let hosts: Vec<Endpoint> = (0..4).map(|i| Endpoint { zone: 0, ..host(i, None) }).collect();
        let mut now = Duration::from_secs(100);
        let mut actions = Vec::new();
        balancer.handle(now, Event::EndpointList { is_snapshot: true, endpoints: &hosts }, &mut actions);
        let mut id = 0;
        let mut met = [0u32; 4];
        type Told = ((u32, LoadReport), (u32, u64, usize));
        let mut serve = |now: &mut Duration, told: Option<Told>, met: &mut [u32; 4]| {
            let mut actions = Vec::new();
            if let Some(((host, report), (closed, idle, left))) = told {
                balancer.handle(*now, Event::LoadReport { endpoint: EndpointId(host), report }, &mut actions);
                let (host, idle) = (EndpointId(closed), Duration::from_millis(idle));
                balancer.handle(*now, Event::IdleConnectionClosed { endpoint: host, idle, remaining: left }, &mut actions);
            }
            id += 1;
            let request = RequestId(id);
            let give_up = *now + Duration::from_secs(1);
            balancer.handle(*now, Event::Request(Request::new(request, 0, give_up)), &mut actions);
            let sent = actions.iter().find_map(|a| match a {
                Action::Send { endpoint: host, .. } => Some(*host),
                _ => None,
            });
            let refused = actions.iter().any(|a| matches!(a, Action::Reject { .. }));
            *now += Duration::from_millis(20);
            if let Some(host) = sent {
                met[host.0 as usize] += 1;
                let (latency, outcome) = (Duration::from_millis(20), Outcome::Served);
                let event = Event::AttemptEnded { request, attempt: 0, latency, outcome, request_ended: true };
                balancer.handle(*now, event, &mut actions);
            }
            (sent.is_some(), refused)
        };
        for ((host, qps, inflight, pause), close) in reports.into_iter().zip(closes) {
            now += Duration::from_millis(pause);
            let told = (host, LoadReport { requests_per_second: qps, in_flight: inflight });
            let (sent, refused) = serve(&mut now, Some((told, close)), &mut met);
            prop_assert!(!(sent && refused), "a request was sent and refused");
        }
        // Once the reports are over and what they may have told of a cold start has passed, all is as ever.
        now += Duration::from_secs(60);
        met = [0; 4];
        for _ in 0..400 {
            let (sent, refused) = serve(&mut now, None, &mut met);
            prop_assert!(sent && !refused, "an idle bank refuses or holds");
        }
        prop_assert!(met.iter().all(|&n| n > 0), "a host is out of use: {met:?}");
    }

    #[test]
    fn any_text_is_read_without_a_fault(text in ".{0,200}", row in prop::collection::vec(any::<f64>(), 0..4)) {
        let json = r#"{"stats":{"how":"inline","fields":["qps","inflight"]}}"#;
        let fields = load_report::LoadReportFields::parse(json).expect("settings");
        let read = [fields.parse_header(&text), fields.parse_header(&format!("TEXT {text}")), fields.parse_row(&row)];
        for report in read.into_iter().flatten() {
            prop_assert_eq!(report.checked(), Some(report));
        }
    }
}
