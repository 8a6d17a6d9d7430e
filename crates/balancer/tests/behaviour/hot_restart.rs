//! The successor's choices right after a hot restart, with its predecessor's snapshot.

use crate::common::gateway::TestGateway;
use crate::common::{local_endpoint, settings};
use weldworks_balancer::{EndpointSnapshot, Settings, Snapshot};

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
