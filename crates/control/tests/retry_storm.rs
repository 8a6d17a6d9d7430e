//! Storm control in virtual time: when a storm is detected, which
//! allowances requests get, and which times are reserved for retries.

use proptest::prelude::*;
use std::time::Duration;
use weldworks_control::retry_storm::{
    wilson_lower_bound, Allowance, AllowanceReason, ArrivingRequest, ClientRetryBudget, FairShare,
    PlatformSettings, RepeatCache, RequestResult, Reservation, ReservationCache, RetryAfterSchedule,
    RetryStormControl, StartedEndpoint, StormSettings, StormState,
};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Longest `Retry-After` that clients respect; also the `Retry-After` that the balancer chooses.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1200);

fn computed_retry_after() -> StormSettings {
    StormSettings { retry_after_enabled: true, ..StormSettings::default() }
}

fn storm_control() -> RetryStormControl {
    storm_control_with(computed_retry_after())
}

fn storm_control_with(settings: StormSettings) -> RetryStormControl {
    let platform = PlatformSettings {
        slow_start_min_capacity: 0.2,
        slow_start_duration: ms(10_000),
        max_retry_after: MAX_RETRY_AFTER,
        tenant_quotas: &[390.0, 10.0],
        gateway_count: 1,
    };
    let mut storm = RetryStormControl::new(settings, platform, 1);
    storm.set_endpoints(ms(0), &[StartedEndpoint { started_at: None }; 10]);
    storm
}

fn arriving(is_client_retry: bool, identity: u64) -> ArrivingRequest {
    ArrivingRequest { is_client_retry, identity: Some(identity), relative_weight: 1.0, tenant: 0 }
}

/// Traffic of 200 requests per second.
#[derive(Clone, Copy)]
struct Traffic {
    /// Number of client retries among ten arrivals.
    retries_of_ten: u64,
    /// Number of rejected requests among ten arrivals.
    rejected_of_ten: u64,
}

const CALM_TRAFFIC: Traffic = Traffic { retries_of_ten: 0, rejected_of_ten: 0 };
const STORM_TRAFFIC: Traffic = Traffic { retries_of_ten: 5, rejected_of_ten: 5 };

/// Runs traffic for a period, in milliseconds, and returns the states of storm control in their order.
fn run_traffic(
    storm: &mut RetryStormControl,
    period_ms: std::ops::Range<u64>,
    traffic: Traffic,
) -> Vec<StormState> {
    let mut states = Vec::new();
    for (index, now_ms) in (0u64..).zip(period_ms.step_by(5)) {
        let now = ms(now_ms);
        storm.admit(now, arriving(index % 10 < traffic.retries_of_ten, now_ms));
        if index % 10 < traffic.rejected_of_ten {
            storm.record_result(now, RequestResult::Rejected);
            storm.retry_after(now, Some(now_ms), MAX_RETRY_AFTER);
        } else {
            storm.record_result(now, RequestResult::Served);
        }
        if states.last() != Some(&storm.state()) {
            states.push(storm.state());
        }
    }
    states
}

/// Storm control that is in the storm state after 8 s of traffic.
fn control_in_storm(settings: StormSettings) -> RetryStormControl {
    let mut storm = storm_control_with(settings);
    run_traffic(&mut storm, 0..3000, CALM_TRAFFIC);
    run_traffic(&mut storm, 3000..8000, STORM_TRAFFIC);
    assert_eq!(storm.state(), StormState::Storm);
    storm
}

/// Spends the remaining retry budget at 8 s.
fn spend_budget(storm: &mut RetryStormControl) {
    while storm.admit(ms(8000), arriving(true, 2)).reason == AllowanceReason::Budgeted {}
}

fn rejected_with(probability: f64, rng: &mut fastrand::Rng) -> RequestResult {
    if rng.f64() < probability {
        RequestResult::Rejected
    } else {
        RequestResult::Served
    }
}

#[test]
fn a_peak_that_is_served_is_no_storm_and_limits_nothing() {
    let mut storm = storm_control();
    for now_ms in 0..20_000 {
        let is_twentieth = now_ms % 20 == 0;
        let allowance = storm.admit(ms(now_ms), arriving(is_twentieth, now_ms));
        assert_eq!(allowance, Allowance { admission_share: 1.0, reason: AllowanceReason::Calm });
        let result = if is_twentieth { RequestResult::Rejected } else { RequestResult::Served };
        storm.record_result(ms(now_ms), result);
    }
    assert_eq!(storm.state(), StormState::Calm);
    assert_eq!(
        storm.retry_after(ms(20_000), Some(1), MAX_RETRY_AFTER),
        MAX_RETRY_AFTER,
        "without a storm the balancer's `Retry-After` is sent"
    );
}

#[test]
fn neither_retries_alone_nor_rejections_alone_are_a_storm() {
    assert_eq!(
        run_traffic(&mut storm_control(), 0..10_000, Traffic { retries_of_ten: 5, rejected_of_ten: 0 }),
        [StormState::Calm]
    );
    assert_eq!(
        run_traffic(&mut storm_control(), 0..10_000, Traffic { retries_of_ten: 0, rejected_of_ten: 5 }),
        [StormState::Calm]
    );
}

#[test]
fn the_states_follow_in_order_also_in_a_second_outage() {
    let mut storm = storm_control();
    assert_eq!(run_traffic(&mut storm, 0..5000, CALM_TRAFFIC), [StormState::Calm]);
    assert_eq!(
        run_traffic(&mut storm, 5000..12_000, STORM_TRAFFIC),
        [StormState::Calm, StormState::Suspected, StormState::Storm]
    );
    assert_eq!(
        run_traffic(&mut storm, 12_000..20_000, CALM_TRAFFIC),
        [StormState::Storm, StormState::Recovering]
    );
    // A second outage during the recovery is a storm at once, without waiting for the confirmation time.
    assert_eq!(
        run_traffic(&mut storm, 20_000..24_000, STORM_TRAFFIC),
        [StormState::Recovering, StormState::Storm]
    );
    let states = run_traffic(&mut storm, 24_000..45_000, CALM_TRAFFIC);
    assert_eq!(states, [StormState::Storm, StormState::Recovering, StormState::Calm]);
}

#[test]
fn an_outage_shorter_than_the_confirmation_time_is_no_storm() {
    let mut storm = storm_control();
    run_traffic(&mut storm, 0..5000, CALM_TRAFFIC);
    let states = run_traffic(&mut storm, 5000..5300, STORM_TRAFFIC);
    assert!(!states.contains(&StormState::Storm), "{states:?}");
    assert_eq!(
        *run_traffic(&mut storm, 5300..8000, CALM_TRAFFIC).last().expect("the run has at least one state"),
        StormState::Calm
    );
}

#[test]
fn signals_near_their_limits_do_not_make_the_state_oscillate() {
    let mut storm = control_in_storm(computed_retry_after());
    // A tenth of retries lies below the limit at which a storm begins and above the limit at which it ends.
    assert_eq!(
        run_traffic(&mut storm, 8000..30_000, Traffic { retries_of_ten: 1, rejected_of_ten: 1 }),
        [StormState::Storm]
    );
}

#[test]
fn each_change_of_state_is_reported_once_with_its_signals() {
    let mut storm = control_in_storm(computed_retry_after());
    let change = storm.take_change().expect("the change to the storm state was not reported yet");
    assert_eq!((change.from, change.to), (StormState::Suspected, StormState::Storm));
    assert!(change.signals.client_retry_ratio > 0.12 && change.signals.unserved_ratio > 0.12);
    assert!(change.to_string().contains("Suspected to Storm"), "{change}");
    assert!(storm.take_change().is_none());
}

#[test]
fn an_allowance_depends_on_attempt_reservation_budget_weight_and_tenant_share() {
    let mut storm = control_in_storm(computed_retry_after());
    assert_eq!(storm.admit(ms(8000), arriving(false, 1)).reason, AllowanceReason::FirstAttempt);
    spend_budget(&mut storm);
    let unbudgeted = storm.admit(ms(8000), arriving(true, 3));
    assert_eq!(unbudgeted, Allowance { admission_share: 0.5, reason: AllowanceReason::Unbudgeted });
    // Two seconds later all reserved times are in the past, and new times are reserved.
    let after = (0..40)
        .map(|n| storm.retry_after(ms(10_000), Some(70 + n), MAX_RETRY_AFTER))
        .nth(7)
        .expect("40 retries were scheduled");
    assert!(after > ms(60) && after <= MAX_RETRY_AFTER, "{after:?}");
    let early = storm.admit(ms(10_000) + after / 3, arriving(true, 77));
    assert_eq!(
        early.reason,
        AllowanceReason::Unbudgeted,
        "the retry arrives before its reserved time, in {after:?}"
    );
    assert_eq!(storm.admit(ms(10_000) + after, arriving(true, 77)).reason, AllowanceReason::Reserved);
    assert_eq!(
        storm.admit(ms(10_001) + after, arriving(true, 77)).reason,
        AllowanceReason::Unbudgeted,
        "a reservation can be redeemed only once"
    );
    let high_weight = ArrivingRequest { relative_weight: 4.0, ..arriving(false, 5) };
    let low_weight = ArrivingRequest { relative_weight: 0.5, ..arriving(false, 6) };
    let high_weight_share = storm.admit(ms(12_000), high_weight).admission_share;
    let low_weight_share = storm.admit(ms(12_000), low_weight).admission_share;
    assert!(
        high_weight_share > low_weight_share && high_weight_share <= 1.5,
        "{high_weight_share} against {low_weight_share}"
    );
    // A tenant with a fortieth of all quotas sends most of the requests.
    let from_small_tenant = |identity| ArrivingRequest { tenant: 1, ..arriving(false, identity) };
    let shares: Vec<f64> = (100..4000)
        .map(|identity| storm.admit(ms(12_000), from_small_tenant(identity)).admission_share)
        .collect();
    assert_eq!(shares[0], 1.0);
    assert_eq!(shares[shares.len() - 1], 0.7);
    let other_share = storm.admit(ms(12_000), arriving(false, 8)).admission_share;
    assert_eq!(other_share, 1.0, "the other tenant is within its share");
}

#[test]
fn no_retry_after_is_computed_where_clients_are_sent_none() {
    let mut storm = control_in_storm(computed_retry_after());
    assert_eq!(storm.retry_after(ms(8000), Some(1), Duration::ZERO), Duration::ZERO);
}

#[test]
fn damping_and_computed_retry_after_are_enabled_independently() {
    // Whether damping is enabled; whether `Retry-After` is computed; the admission share of an unbudgeted retry.
    for (damping_enabled, retry_after_enabled, expected_share) in
        [(true, false, 0.5), (false, true, 1.0), (true, true, 0.5)]
    {
        let mut storm = control_in_storm(StormSettings {
            damping_enabled,
            retry_after_enabled,
            ..StormSettings::default()
        });
        spend_budget(&mut storm);
        let admission_share = storm.admit(ms(8000), arriving(true, 3)).admission_share;
        let is_default =
            |identity| storm.retry_after(ms(8000), Some(identity), MAX_RETRY_AFTER) == MAX_RETRY_AFTER;
        let defaults: Vec<bool> = (0..20).map(is_default).collect();
        assert_eq!(admission_share, expected_share);
        assert_eq!(defaults.iter().all(|is_default| *is_default), !retry_after_enabled);
    }
}

/// One gateway of 45 on a normal day receives eight requests per second, of which a tenth is rejected and retried by
/// chance. Detecting a storm in this traffic would limit requests without cause.
#[test]
fn a_few_rejections_among_few_requests_are_no_storm() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut storm = storm_control();
    for index in 0..8 * 600 {
        let now = ms(index * 125);
        storm.admit(now, arriving(rng.f64() < 0.1, index));
        storm.record_result(now, rejected_with(0.1, &mut rng));
        assert!(!matches!(storm.state(), StormState::Storm), "at {now:?}: {:?}", storm.status(now));
    }
    // With 60 % of requests rejected and retried there is a storm,
    // which is detected within 6 s also at eight requests per second.
    let mut index = 8 * 600;
    while storm.state() != StormState::Storm {
        let now = ms(index * 125);
        storm.admit(now, arriving(rng.f64() < 0.6, index));
        storm.record_result(now, rejected_with(0.6, &mut rng));
        index += 1;
        assert!(index < 8 * 606, "{:?}", storm.status(now));
    }
    let status = storm.status(ms(index * 125));
    assert!(status.since > ms(600_000) && status.signals.unserved_ratio > 0.12, "{status:?}");
    let counts = status.allowances;
    assert_eq!(
        counts.calm + counts.first_attempts + counts.reserved + counts.budgeted + counts.unbudgeted,
        index,
        "{status:?}"
    );
}

#[test]
fn a_tenant_exceeds_its_share_only_with_clear_evidence_in_both_estimates() {
    assert_eq!(wilson_lower_bound(0.0, 0.0), 0.0);
    // Wilson's interval for 4 of 10 begins at 0.1682.
    assert!((wilson_lower_bound(4.0, 10.0) - 0.1682).abs() < 1e-4, "{}", wilson_lower_bound(4.0, 10.0));
    assert!(wilson_lower_bound(2.0, 10.0) < 0.12 && wilson_lower_bound(200.0, 1000.0) > 0.17);
    // Half of the requests are from a tenant whose quota is a tenth of all quotas.
    // The tenant exceeds its share at 40 requests per second, but not at 4 while all
    // other tenants send little; at 4 it does with ten such gateways, which make 40.
    for (gateway_count, interval_ms, exceeds_share) in [(1, 25, true), (1, 250, false), (10, 250, true)] {
        let mut fair_share = FairShare::new(&[10.0, 90.0], gateway_count);
        let record =
            |index: u64| fair_share.record_request(ms(index * interval_ms / 2), (index % 2) as usize);
        let within_share: Vec<bool> = (0..4000).map(record).collect();
        assert_eq!(
            !within_share[3998], exceeds_share,
            "{gateway_count} gateways, one request of the tenant every {interval_ms} ms"
        );
        assert!(within_share[3999], "the other tenant is within its share");
    }
    let mut fair_share = FairShare::new(&[f64::NAN, -1.0, 0.0], 45);
    let mut record = |index: u64| fair_share.record_request(ms(index), index as usize % 5);
    assert!((0..5000).all(&mut record), "a tenant without a quota never exceeds its share");
}

#[test]
fn the_expected_capacity_follows_the_slow_start_of_endpoints() {
    let mut schedule = RetryAfterSchedule::new(0.2, ms(10_000), Duration::from_secs(60), 1);
    // Four endpoints past their slow start serve 40 requests per second while other requests are rejected.
    schedule.set_endpoints(ms(0), &[StartedEndpoint { started_at: None }; 4]);
    for now_ms in (0..20_000).step_by(25) {
        schedule.record_result(ms(now_ms), RequestResult::Served);
        schedule.record_result(ms(now_ms), RequestResult::Rejected);
    }
    let now = ms(20_000);
    let initial_capacity = schedule.capacity(now);
    assert!((36.0..44.0).contains(&initial_capacity), "{initial_capacity} requests per second");
    // Four more endpoints have just started.
    let starting = StartedEndpoint { started_at: Some(now) };
    let started = StartedEndpoint { started_at: None };
    schedule
        .set_endpoints(now, &[started, started, started, started, starting, starting, starting, starting]);
    let capacity_now = schedule.capacity(now);
    let capacity_later = schedule.capacity(now + ms(10_000));
    assert!((capacity_now / initial_capacity - 1.2).abs() < 1e-6, "{capacity_now}");
    assert!((capacity_later / initial_capacity - 2.0).abs() < 1e-6, "{capacity_later}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// No order of first attempts and retries spends more of the budget than was earned.
    #[test]
    fn a_retry_budget_is_never_negative(attempts in proptest::collection::vec(any::<bool>(), 0..2000), earned_each in 0.0..2.0f64) {
        let mut budget = ClientRetryBudget::new(earned_each, 10.0);
        let mut earned = 10.0;
        let mut spent = 0.0;
        for is_first_attempt in attempts {
            if is_first_attempt {
                budget.deposit();
                earned += earned_each;
            } else if budget.withdraw() {
                spent += 1.0;
            }
            prop_assert!(budget.balance() >= 0.0 && budget.balance() <= 10.0);
            prop_assert!(spent <= earned + 1e-6);
        }
    }

    /// Rejections occur in bursts. If more retries were reserved for one second than endpoints can serve in it, they
    /// would be rejected again and the storm would continue.
    #[test]
    fn reserved_retries_stay_below_the_capacity(
        rejection_gaps_ms in proptest::collection::vec(0u64..40, 1..600),
        endpoints in 1usize..12,
        rate in 5u64..200,
    ) {
        let mut schedule = RetryAfterSchedule::new(0.2, ms(5000), Duration::from_secs(20), 3);
        schedule.set_endpoints(ms(0), &vec![StartedEndpoint { started_at: None }; endpoints]);
        for index in 0..rate * 10 {
            schedule.record_result(ms(index * 1000 / rate), RequestResult::Served);
            schedule.record_result(ms(index * 1000 / rate), RequestResult::Rejected);
        }
        let mut now = ms(10_000);
        let capacity = schedule.capacity(now);
        let mut reserved_s = Vec::new();
        for gap_ms in rejection_gaps_ms {
            now += ms(gap_ms);
            let Reservation { after, is_reserved } = schedule.reserve(now);
            prop_assert!(after <= Duration::from_secs(20));
            if is_reserved {
                reserved_s.push((now + after).as_secs_f64());
            }
        }
        reserved_s.sort_by(f64::total_cmp);
        for (index, start_s) in reserved_s.iter().enumerate() {
            let in_second = reserved_s[index..].iter().take_while(|time_s| **time_s < start_s + 1.0).count() as f64;
            // Jitter moves a reservation by up to a tenth of its delay, so
            // some reservations of the next second may fall into this second.
            let limit = capacity * 1.3 + 2.0 + 0.1 * capacity * (start_s - 10.0).max(0.0);
            prop_assert!(in_second <= limit, "{in_second} retries reserved within a second at a capacity of {capacity} per second");
        }
    }

    /// Events arrive in any order, and the clock may seem to run backwards. An allowance or a `Retry-After` out of
    /// bounds would admit everything or nothing.
    #[test]
    fn allowances_and_retry_after_stay_in_bounds(steps in proptest::collection::vec(
        (0u64..3000, 0u8..6, any::<u64>(), 0.0..20.0f64, any::<bool>()), 1..400)) {
        let mut storm = storm_control();
        let mut now_ms = 1000i64;
        for (index, (step_ms, event, identity, relative_weight, flag)) in steps.into_iter().enumerate() {
            let change_ms = if index % 50 == 49 { -(step_ms as i64) } else { step_ms as i64 / 20 };
            now_ms = (now_ms + change_ms).max(0);
            let now = ms(now_ms as u64);
            let identity = identity % 9;
            match event {
                0 | 1 => {
                    let request = ArrivingRequest { relative_weight, tenant: index % 3, ..arriving(flag, identity) };
                    let admission_share = storm.admit(now, request).admission_share;
                    prop_assert!((0.0..=1.5).contains(&admission_share), "{admission_share}");
                }
                2 => storm.record_result(now, RequestResult::Rejected),
                3 => storm.record_result(now, if flag { RequestResult::Served } else { RequestResult::Failed }),
                4 => {
                    let retry_after = storm.retry_after(now, Some(identity), MAX_RETRY_AFTER);
                    prop_assert!(retry_after > Duration::ZERO && retry_after <= MAX_RETRY_AFTER, "{retry_after:?}");
                }
                _ => {
                    let endpoint = StartedEndpoint { started_at: flag.then_some(now) };
                    storm.set_endpoints(now, &vec![endpoint; identity as usize]);
                }
            }
        }
    }
}

/// A retry storm of a million clients must not exhaust the memory: the tables have a fixed size.
#[test]
fn a_million_identities_leave_the_caches_at_their_size() {
    let mut repeats = RepeatCache::new(ms(2000), 4096);
    let mut reservations = ReservationCache::new(4096);
    let count_slots = |repeats: &RepeatCache, reservations: &ReservationCache| {
        format!("{repeats:?}{reservations:?}").matches("Slot {").count()
    };
    let initial_slots = count_slots(&repeats, &reservations);
    assert_eq!(initial_slots, 2 * 4096);
    for identity in 1..=1_000_000u64 {
        assert!(!repeats.insert(ms(identity / 100), identity), "identity {identity} was not recorded before");
        reservations.insert(identity, ms(identity / 100));
    }
    assert!(repeats.insert(ms(10_000), 1_000_000));
    assert!(reservations.redeem(ms(10_000), 1_000_000));
    assert_eq!(count_slots(&repeats, &reservations), initial_slots);
}
