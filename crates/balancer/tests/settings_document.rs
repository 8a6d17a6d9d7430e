//! Tests that every key of the platform's settings object is read into its field and in its unit.
//! A key that is lost in a rename would silently leave its default in force.

use std::time::Duration;
use weldworks_balancer::{parse_settings, EndpointWeights, Idempotency, KeyScope};

const EVERY_KEY: &str = include_str!("fixtures/settings-every-key.json");

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn every_key_of_the_settings_object_is_read() {
    let settings = parse_settings(EVERY_KEY).expect("the settings object parses");
    assert_eq!(settings.gateway_count, 45);
    assert_eq!(settings.zone, 2);
    assert_eq!(settings.tenant_quotas, [99.0, 53.5]);
    assert_eq!(settings.over_quota_weight, 0.2);
    assert_eq!(settings.discovery_poll_interval, Some(ms(9500)));
    assert_eq!(settings.timer_tick, ms(5));
    assert_eq!(settings.max_attempts, 6);
    assert!(settings.cancellation_allowed && settings.hedging_allowed && settings.probes_allowed);
    assert_eq!(settings.max_retry_after, ms(1200));
    assert_eq!(settings.slow_start_min_capacity, 0.13);
    assert_eq!(settings.slow_start_duration, ms(23_000));
    assert_eq!(settings.overload_factor, 2.5);
    assert_eq!(settings.overload_duration, ms(2250));
    assert_eq!(settings.key_quiet_period, ms(350));
    assert_eq!(settings.drain_close_within, Some(ms(450)));
    assert_eq!(settings.cross_zone_cost, 0.02);
    assert_eq!(settings.handshake_cost, 0.03);
    assert_eq!(settings.keep_alive, ms(8000));
    assert!(settings.key_cache_affinity);
    assert_eq!(settings.endpoint_weights, EndpointWeights::Live);

    let class = &settings.classes[0];
    assert_eq!(class.latency_objective, ms(300));
    assert_eq!(class.objective_stretch, 1.5);
    assert_eq!(class.deadline, ms(1250));
    assert_eq!(class.priority_weight, 8.0);
    assert_eq!(class.late_value_fraction, 0.25);
    assert!(class.sequential && !class.retired);
    assert_eq!(class.idempotency, Idempotency::IdempotencyKey { scope: KeyScope::Cell, window: ms(1100) });
    assert_eq!(settings.classes[1].idempotency, Idempotency::Idempotent);
    assert_eq!(settings.classes[2].idempotency, Idempotency::NotIdempotent);
}

#[test]
fn figures_are_ignored_where_their_switches_are_off() {
    let off = EVERY_KEY
        .replace("\"retry_after\": true", "\"retry_after\": false")
        .replace("\"discovery\": \"ask\"", "\"discovery\": \"push\"")
        .replace("\"weight_source\": \"live\"", "\"weight_source\": \"rough\"");
    let settings = parse_settings(&off).expect("the settings object parses");
    assert_eq!(settings.max_retry_after, Duration::ZERO);
    assert_eq!(settings.discovery_poll_interval, None);
    assert_eq!(settings.endpoint_weights, EndpointWeights::Size);
}
