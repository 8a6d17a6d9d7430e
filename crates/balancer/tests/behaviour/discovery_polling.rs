//! Tests of when discovery is polled.

use crate::common::gateway::TestGateway;
use crate::common::settings;
use std::collections::BTreeSet;
use std::time::Duration;
use weldworks_balancer::*;

#[test]
fn discovery_is_polled_soon_after_the_start_and_with_growing_backoff_within_the_limit() {
    let interval = Duration::from_secs(10);
    let mut first_polls = BTreeSet::new();
    for seed in 0..20 {
        let settings = Settings { discovery_poll_interval: Some(interval), ..settings() };
        let mut gateway = TestGateway::new(settings.clone(), 0);
        gateway.balancer = Balancer::new(settings, seed);
        gateway.list_snapshot(&[]);
        for failure in 0..8 {
            let Some(Action::SetTimer { after, token }) = gateway.actions.first().cloned() else {
                panic!("no timer for the next poll was set")
            };
            assert!(after < interval, "seed {seed}, failure {failure}: the poll is due after {after:?}");
            if failure == 0 {
                first_polls.insert(after);
            }
            gateway.now += after;
            gateway.handle(Event::Timer { token });
            assert_eq!(gateway.actions, [Action::PollDiscovery]);
            let cause = PollFailure::Unreachable;
            gateway.handle(Event::DiscoveryFailed { silent_for: Duration::ZERO, cause });
        }
    }
    assert!(first_polls.len() == 20, "each gateway polls first at a time of its own");
}
