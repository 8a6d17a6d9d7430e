//! The successor's choices right after a hot restart, with its predecessor's snapshot.

use crate::common::gateway::TestGateway;
use crate::common::{local_endpoint, settings};
use std::time::Duration;
use weldworks_balancer::{EndpointSnapshot, Outcome, Settings, Snapshot};

const FAST_ENDPOINT: u32 = 0;
const SLOW_ENDPOINT: u32 = 1;

fn latency_ms(endpoint: u32) -> u64 {
    if endpoint == FAST_ENDPOINT {
        2
    } else {
        120
    }
}

/// A gateway of two endpoints that has learned their latencies, and its successor, which has restored its snapshot.
struct Restart {
    predecessor: TestGateway,
    successor: TestGateway,
}

impl Restart {
    fn new(seed: u64) -> Restart {
        let settings = Settings { gateway_count: 1, ..settings() };
        let mut predecessor = TestGateway::with_seed(settings.clone(), 2, seed);
        predecessor.serve(40, latency_ms);
        let mut successor = TestGateway::with_seed(settings, 2, seed + 1);
        assert!(successor.balancer.restore(successor.now, &predecessor.balancer.snapshot()));
        Restart { predecessor, successor }
    }
}

/// Guards against one slow answer right after a restart sending all further requests to an endpoint that is always slow.
#[test]
fn single_slow_answer_after_a_restart_does_not_divert_requests_to_a_slower_endpoint() {
    for slow_answer_ms in [200, 300, 500, 1000] {
        for seed in 0..20 {
            let Restart { mut successor, .. } = Restart::new(seed);
            assert_eq!(successor.request(0, None), Some(FAST_ENDPOINT), "seed {seed}");
            successor.end_last_after(Duration::from_millis(slow_answer_ms), Outcome::Served);
            let sent = successor.serve(19, latency_ms);
            let to_slow = sent[SLOW_ENDPOINT as usize];
            assert!(
                to_slow <= 4,
                "seed {seed}, answer after {slow_answer_ms} ms: {to_slow} of 19 to the slow endpoint"
            );
        }
    }
}

/// Guards against a restored estimate that hides a change longer than the estimate of a gateway that was not restarted.
#[test]
fn endpoint_that_becomes_slow_is_noticed_after_a_restart_as_soon_as_without_one() {
    let changed_latency_ms = |endpoint| if endpoint == FAST_ENDPOINT { 500 } else { 120 };
    for seed in 0..20 {
        let Restart { mut predecessor, mut successor } = Restart::new(seed);
        let without_restart = predecessor.serve(20, changed_latency_ms)[FAST_ENDPOINT as usize];
        let after_restart = successor.serve(20, changed_latency_ms)[FAST_ENDPOINT as usize];
        assert!(
            after_restart <= without_restart,
            "seed {seed}: {after_restart} of 20 to the changed endpoint, {without_restart} without a restart"
        );
    }
}

/// Guards against latencies on a wrong scale after a restart: the mean latency was restored, the class averages began anew.
#[test]
fn estimate_keeps_its_scale_after_a_restart_from_a_snapshot_with_another_mean() {
    let settings = Settings { gateway_count: 1, ..settings() };
    let mut successor = TestGateway::new(settings, 1);
    let endpoint = EndpointSnapshot { name_hash: local_endpoint(0, None).hash, latency_estimate_s: 0.12 };
    let snapshot = Snapshot { endpoints: vec![endpoint], mean_latency_s: 0.02, ..Snapshot::default() };
    assert!(successor.balancer.restore(successor.now, &snapshot));
    successor.serve(20, |_| 120);
    let estimate_s = successor.balancer.snapshot().endpoints[0].latency_estimate_s;
    assert!((estimate_s - 0.12).abs() < 1e-9, "every answer takes 0.12 s, the estimate is {estimate_s} s");
}
