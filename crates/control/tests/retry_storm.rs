//! Storm control in virtual time: when it says storm, what it allows, and what it promises.

use proptest::prelude::*;
use std::time::Duration;
use weldworks_control::retry_storm::{
    wilson_lower_bound, AllowanceReason, ArrivingRequest, FairShare, PlatformTerms, RepeatCache,
    RequestResult, Reservation, ReservationCache, RetryAfterSchedule, RetryBudget, RetryStormControl,
    StartedEndpoint, StormSettings, StormState,
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const MOST: Duration = Duration::from_millis(1200);

fn storm() -> RetryStormControl {
    storm_with(StormSettings { retry_after_enabled: true, ..StormSettings::default() })
}

fn storm_with(settings: StormSettings) -> RetryStormControl {
    let terms = PlatformTerms {
        slow_start_min_capacity: 0.2,
        slow_start_duration: ms(10_000),
        max_retry_after: MOST,
        tenant_quotas: &[390.0, 10.0],
        gateway_count: 1,
    };
    let mut storm = RetryStormControl::new(settings, terms, 1);
    storm.set_endpoints(ms(0), &[StartedEndpoint { started_at: None }; 10]);
    storm
}

fn arriving(repeat: bool, identity: u64) -> ArrivingRequest {
    ArrivingRequest { is_client_retry: repeat, identity: Some(identity), relative_weight: 1.0, tenant: 0 }
}

/// A day's stretch at 200 requests a second: of each ten arrivals so many are repeats, and so many are not served.
fn stretch(
    storm: &mut RetryStormControl,
    from: u64,
    until: u64,
    repeats: u64,
    unserved: u64,
) -> Vec<StormState> {
    let mut states = Vec::new();
    for (n, at) in (from..until).step_by(5).enumerate() {
        let (now, n) = (ms(at), n as u64);
        storm.admit(now, arriving(n % 10 < repeats, at));
        let how = if n % 10 < unserved { RequestResult::Rejected } else { RequestResult::Served };
        storm.record_result(now, how);
        if how == RequestResult::Rejected {
            storm.retry_after(now, Some(at), MOST);
        }
        if states.last() != Some(&storm.state()) {
            states.push(storm.state());
        }
    }
    states
}

#[test]
fn a_peak_that_is_served_is_no_storm_and_costs_nothing() {
    let mut storm = storm();
    for at in (0..20_000).step_by(1) {
        let allowed = storm.admit(ms(at), arriving(at % 20 == 0, at));
        assert_eq!((allowed.admission_share, allowed.reason), (1.0, AllowanceReason::Calm));
        storm.record_result(
            ms(at),
            if at % 20 == 0 { RequestResult::Rejected } else { RequestResult::Served },
        );
    }
    assert_eq!(storm.state(), StormState::Calm);
    assert_eq!(storm.retry_after(ms(20_000), Some(1), MOST), MOST, "the module's own advice");
}

#[test]
fn neither_repeats_alone_nor_failures_alone_are_a_storm() {
    assert_eq!(stretch(&mut storm(), 0, 10_000, 5, 0), [StormState::Calm]);
    assert_eq!(stretch(&mut storm(), 0, 10_000, 0, 5), [StormState::Calm]);
}

#[test]
fn goes_through_its_states_and_back_and_through_a_second_outage() {
    let mut storm = storm();
    assert_eq!(stretch(&mut storm, 0, 5000, 0, 0), [StormState::Calm]);
    assert_eq!(
        stretch(&mut storm, 5000, 12_000, 5, 5),
        [StormState::Calm, StormState::Suspected, StormState::Storm]
    );
    assert_eq!(stretch(&mut storm, 12_000, 20_000, 0, 0), [StormState::Storm, StormState::Recovering]);
    // A second outage in the recovery is met at once, without a second look.
    assert_eq!(stretch(&mut storm, 20_000, 24_000, 5, 5), [StormState::Recovering, StormState::Storm]);
    let back = stretch(&mut storm, 24_000, 45_000, 0, 0);
    assert_eq!(back, [StormState::Storm, StormState::Recovering, StormState::Calm]);
}

#[test]
fn an_outage_shorter_than_the_second_look_changes_nothing() {
    let mut storm = storm();
    stretch(&mut storm, 0, 5000, 0, 0);
    let states = stretch(&mut storm, 5000, 5300, 5, 5);
    assert!(!states.contains(&StormState::Storm), "{states:?}");
    assert_eq!(*stretch(&mut storm, 5300, 8000, 0, 0).last().expect("a state"), StormState::Calm);
}

#[test]
fn a_figure_at_the_edge_changes_nothing_back_and_forth() {
    let mut storm = storm();
    stretch(&mut storm, 0, 3000, 0, 0);
    stretch(&mut storm, 3000, 8000, 5, 5);
    assert_eq!(storm.state(), StormState::Storm);
    // A tenth of repeats lies under the limit that begins a storm and over the one that ends it.
    assert_eq!(stretch(&mut storm, 8000, 30_000, 1, 1), [StormState::Storm]);
}

#[test]
fn each_change_is_told_once_with_its_figures() {
    let mut storm = storm();
    stretch(&mut storm, 0, 3000, 0, 0);
    stretch(&mut storm, 3000, 8000, 5, 5);
    let change = storm.take_change().expect("the last change");
    assert_eq!((change.from, change.to), (StormState::Suspected, StormState::Storm));
    assert!(change.signals.client_retry_ratio > 0.12 && change.signals.unserved_ratio > 0.12);
    assert!(change.to_string().contains("Suspected to Storm"), "{change}");
    assert!(storm.take_change().is_none());
}

#[test]
fn first_tries_go_before_repeats_and_kept_promises_before_broken_ones() {
    let mut storm = storm();
    stretch(&mut storm, 0, 3000, 0, 0);
    stretch(&mut storm, 3000, 8000, 5, 5);
    assert_eq!(storm.admit(ms(8000), arriving(false, 1)).reason, AllowanceReason::FirstAttempt);
    // Whatever is left of the budget is spent.
    while storm.admit(ms(8000), arriving(true, 2)).reason == AllowanceReason::Budgeted {}
    let unpaid = storm.admit(ms(8000), arriving(true, 3));
    assert_eq!((unpaid.reason, unpaid.admission_share), (AllowanceReason::Unbudgeted, 0.5));
    // Two seconds on, the places that were given away are past. Some are given away anew.
    let after = (0..40).map(|n| storm.retry_after(ms(10_000), Some(70 + n), MOST)).nth(7).expect("an eighth");
    assert!(after > ms(60) && after <= MOST, "{after:?}");
    let early = storm.admit(ms(10_000) + after / 3, arriving(true, 77));
    assert_eq!(early.reason, AllowanceReason::Unbudgeted, "it was told to come at {after:?}");
    assert_eq!(storm.admit(ms(10_000) + after, arriving(true, 77)).reason, AllowanceReason::Reserved);
    assert_eq!(
        storm.admit(ms(10_001) + after, arriving(true, 77)).reason,
        AllowanceReason::Unbudgeted,
        "good once"
    );
    let worth = storm
        .admit(ms(12_000), ArrivingRequest { relative_weight: 4.0, ..arriving(false, 5) })
        .admission_share;
    let poor = storm
        .admit(ms(12_000), ArrivingRequest { relative_weight: 0.5, ..arriving(false, 6) })
        .admission_share;
    assert!(worth > poor && worth <= 1.5, "{worth} against {poor}");
    // A tenant with a fortieth of the service that asks for most of it.
    let greedy = |n| ArrivingRequest { tenant: 1, ..arriving(false, n) };
    let parts: Vec<f64> = (100..4000).map(|n| storm.admit(ms(12_000), greedy(n)).admission_share).collect();
    assert_eq!((parts[0], parts[parts.len() - 1]), (1.0, 0.7));
    assert_eq!(
        storm.admit(ms(12_000), arriving(false, 8)).admission_share,
        1.0,
        "the other one is within its share"
    );
}

#[test]
fn says_nothing_where_clients_are_told_nothing() {
    let mut storm = storm();
    stretch(&mut storm, 0, 3000, 0, 0);
    stretch(&mut storm, 3000, 8000, 5, 5);
    assert_eq!(storm.retry_after(ms(8000), Some(1), Duration::ZERO), Duration::ZERO);
}

#[test]
fn damping_and_advice_are_switched_apart() {
    let in_storm = |settings| {
        let mut storm = storm_with(settings);
        stretch(&mut storm, 0, 3000, 0, 0);
        stretch(&mut storm, 3000, 8000, 5, 5);
        assert_eq!(storm.state(), StormState::Storm);
        while storm.admit(ms(8000), arriving(true, 2)).reason == AllowanceReason::Budgeted {}
        let part = storm.admit(ms(8000), arriving(true, 3)).admission_share;
        let advice: Vec<Duration> = (0..20).map(|n| storm.retry_after(ms(8000), Some(n), MOST)).collect();
        (part, advice.iter().all(|a| *a == MOST))
    };
    let only = |damping, advice| StormSettings {
        damping_enabled: damping,
        retry_after_enabled: advice,
        ..StormSettings::default()
    };
    assert_eq!(in_storm(only(true, false)), (0.5, true));
    assert_eq!(in_storm(only(false, true)), (1.0, false));
    assert_eq!(in_storm(only(true, true)), (0.5, false));
}

/// Eight requests a second, of which a tenth is refused and comes back: an ordinary day of one gateway among 45.
#[test]
fn a_few_refusals_among_few_requests_are_no_storm() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut storm = storm();
    for n in 0..8 * 600 {
        let now = ms(n * 125);
        storm.admit(now, arriving(rng.f64() < 0.1, n));
        storm.record_result(
            now,
            if rng.f64() < 0.1 { RequestResult::Rejected } else { RequestResult::Served },
        );
        assert!(!matches!(storm.state(), StormState::Storm), "at {now:?}: {:?}", storm.status(now));
    }
    // Most of them unserved and back again is one, seen within seconds all the same.
    let mut at = 8 * 600;
    while storm.state() != StormState::Storm {
        let now = ms(at * 125);
        storm.admit(now, arriving(rng.f64() < 0.6, at));
        storm.record_result(
            now,
            if rng.f64() < 0.6 { RequestResult::Rejected } else { RequestResult::Served },
        );
        at += 1;
        assert!(at < 8 * 606, "{:?}", storm.status(now));
    }
    let view = storm.status(ms(at * 125));
    assert!(view.since > ms(600_000) && view.signals.unserved_ratio > 0.12, "{view:?}");
    let tally = view.allowances;
    assert_eq!(
        tally.calm + tally.first_attempts + tally.reserved + tally.budgeted + tally.unbudgeted,
        at,
        "{view:?}"
    );
}

#[test]
fn a_share_is_exceeded_only_surely() {
    assert_eq!(wilson_lower_bound(0.0, 0.0), 0.0);
    // Wilson's interval for 4 of 10 begins at 0.1682.
    assert!((wilson_lower_bound(4.0, 10.0) - 0.1682).abs() < 1e-4, "{}", wilson_lower_bound(4.0, 10.0));
    assert!(wilson_lower_bound(2.0, 10.0) < 0.12 && wilson_lower_bound(200.0, 1000.0) > 0.17);
    // Half of what comes is of a tenant whose quota is a tenth of all: beyond it at 40 a second, not at 4 while all others rest,
    // and at 4 again where ten such gateways make 40.
    for (gateways, gap, beyond) in [(1, 25, true), (1, 250, false), (10, 250, true)] {
        let mut shares = FairShare::new(&[10.0, 90.0], gateways);
        let within = |n: u64| shares.record_request(ms(n * gap / 2), (n % 2) as usize);
        let seen: Vec<bool> = (0..4000).map(within).collect();
        assert_eq!(!seen[3998], beyond, "{gateways} gateways, one in {gap} ms");
        assert!(seen[3999], "the other one asks for less than is its own");
    }
    let mut shares = FairShare::new(&[f64::NAN, -1.0, 0.0], 45);
    assert!((0..5000).all(|n| shares.record_request(ms(n), n as usize % 5)), "no share, nothing beyond it");
}

#[test]
fn promises_what_cold_hosts_will_be_able_to_do() {
    let mut returns = RetryAfterSchedule::new(0.2, ms(10_000), Duration::from_secs(60), 1);
    // Four warm hosts serve 40 a second while others are refused.
    returns.set_endpoints(ms(0), &[StartedEndpoint { started_at: None }; 4]);
    for at in (0..20_000).step_by(25) {
        returns.record_result(ms(at), RequestResult::Served);
        returns.record_result(ms(at), RequestResult::Rejected);
    }
    let now = ms(20_000);
    let at_rest = returns.capacity(now);
    assert!((36.0..44.0).contains(&at_rest), "{at_rest} a second");
    // Four more have just started.
    let cold = StartedEndpoint { started_at: Some(now) };
    let warm = StartedEndpoint { started_at: None };
    returns.set_endpoints(now, &[warm, warm, warm, warm, cold, cold, cold, cold]);
    let (soon, later) = (returns.capacity(now), returns.capacity(now + ms(10_000)));
    assert!((soon / at_rest - 1.2).abs() < 1e-6 && (later / at_rest - 2.0).abs() < 1e-6, "{soon}, {later}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// No schedule of tries spends what was not earned.
    #[test]
    fn a_budget_is_never_negative(tries in proptest::collection::vec(any::<bool>(), 0..2000), each in 0.0..2.0f64) {
        let mut budget = RetryBudget::new(each, 10.0);
        let (mut earned, mut spent) = (10.0, 0.0);
        for first in tries {
            if first {
                budget.deposit();
                earned += each;
            } else if budget.withdraw() {
                spent += 1.0;
            }
            prop_assert!(budget.balance() >= 0.0 && budget.balance() <= 10.0);
            prop_assert!(spent <= earned + 1e-6);
        }
    }

    /// Within any second no more returns are promised than hosts can do then, whenever refusals come.
    #[test]
    fn promises_stay_under_the_capacity(refusals in proptest::collection::vec(0u64..40, 1..600), hosts in 1usize..12,
        rate in 5u64..200) {
        let mut returns = RetryAfterSchedule::new(0.2, ms(5000), Duration::from_secs(20), 3);
        returns.set_endpoints(ms(0), &vec![StartedEndpoint { started_at: None }; hosts]);
        for n in 0..rate * 10 {
            returns.record_result(ms(n * 1000 / rate), RequestResult::Served);
            returns.record_result(ms(n * 1000 / rate), RequestResult::Rejected);
        }
        let mut now = ms(10_000);
        let capacity = returns.capacity(now);
        let mut promised = Vec::new();
        for gap in refusals {
            now += ms(gap);
            let Reservation { after, is_reserved: counted } = returns.reserve(now);
            prop_assert!(after <= Duration::from_secs(20));
            if counted {
                promised.push((now + after).as_secs_f64());
            }
        }
        promised.sort_by(f64::total_cmp);
        for (n, from) in promised.iter().enumerate() {
            let within = promised[n..].iter().take_while(|at| **at < from + 1.0).count() as f64;
            // Jitter moves a promise by a tenth of its distance, so some of the next second's may fall into this one.
            let most = capacity * 1.3 + 2.0 + 0.1 * capacity * (from - 10.0).max(0.0);
            prop_assert!(within <= most, "{within} promised within a second where {capacity} fit");
        }
    }

    /// Whatever comes, in whatever order and also where the clock seems to run back, allowances and advice stay in
    /// their bounds.
    #[test]
    fn allowances_and_advice_stay_in_bounds(steps in proptest::collection::vec(
        (0u64..3000, 0u8..6, any::<u64>(), 0.0..20.0f64, any::<bool>()), 1..400)) {
        let mut storm = storm();
        let mut now = 1000i64;
        for (n, (gap, what, identity, worth, flag)) in steps.into_iter().enumerate() {
            now = (now + if n % 50 == 49 { -(gap as i64) } else { gap as i64 / 20 }).max(0);
            let at = ms(now as u64);
            match what {
                0 | 1 => {
                    let arriving = ArrivingRequest { is_client_retry: flag, identity: Some(identity % 9), relative_weight: worth, tenant: n % 3 };
                    let part = storm.admit(at, arriving).admission_share;
                    prop_assert!((0.0..=1.5).contains(&part), "{part}");
                }
                2 => storm.record_result(at, RequestResult::Rejected),
                3 => storm.record_result(at, if flag { RequestResult::Served } else { RequestResult::Failed }),
                4 => {
                    let advice = storm.retry_after(at, Some(identity % 9), MOST);
                    prop_assert!(advice > Duration::ZERO && advice <= MOST, "{advice:?}");
                }
                _ => storm.set_endpoints(at, &vec![StartedEndpoint { started_at: flag.then_some(at) }; (identity % 9) as usize]),
            }
        }
    }
}

/// A million clients leave no more behind than a thousand do: the tables have their size from the start.
#[test]
fn a_million_keys_fit_in_the_same_places() {
    let (mut seen, mut promised) = (RepeatCache::new(ms(2000), 4096), ReservationCache::new(4096));
    let slots = |seen: &RepeatCache, promised: &ReservationCache| {
        format!("{seen:?}{promised:?}").matches("Slot {").count()
    };
    let before = slots(&seen, &promised);
    assert_eq!(before, 2 * 4096);
    for key in 1..=1_000_000u64 {
        assert!(!seen.insert(ms(key / 100), key), "{key} was never met");
        promised.insert(key, ms(key / 100));
    }
    assert!(seen.insert(ms(10_000), 1_000_000));
    assert!(promised.redeem(ms(10_000), 1_000_000));
    assert_eq!(slots(&seen, &promised), before);
}
