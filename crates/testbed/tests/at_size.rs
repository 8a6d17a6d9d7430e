//! Scenarios with a hundred gateways and sixty endpoints, in virtual time. The gateways together must violate no rule, and the
//! service must not fall more than some points below its present value.

use weldworks_testbed::checker::Service;
use weldworks_testbed::script::Script;
use weldworks_testbed::simulate::simulate;

fn script(text: &str) -> Script {
    Script::parse("at-size.toml", text).expect("a script of the repository is invalid")
}

fn run(text: &str, seed: u64) -> Service {
    let (report, _) = simulate(&script(text), seed, None, None).expect("the balancer rejected the settings");
    assert!(report.violations.is_empty(), "seed {seed}: {:?}", report.violations);
    report.service.expect("the report has no service figure")
}

/// Most of the remaining endpoints are cold, and as cold as the settings allow. With three times their budget one endpoint falls over.
#[test]
fn endpoints_replaced_in_two_waves_do_not_fall_over() {
    let service = run(include_str!("../scripts/replaced-at-size.toml"), 2).whole;
    assert!(service > 0.87, "{service}");
}

/// Ninety gateways start almost at once, and discovery takes 4.5 s to answer them all.
#[test]
fn gateways_that_start_together_with_slow_discovery_serve_at_once() {
    let service = run(include_str!("../scripts/herd-at-size.toml"), 1);
    assert!(service.whole > 0.97, "{}", service.whole);
    assert!(service.worst_10s.service > 0.94, "{:?}", service.worst_10s);
}

#[test]
fn a_zone_that_returns_cold_during_a_release_does_not_fall_over() {
    let service = run(include_str!("../scripts/zone-and-release.toml"), 1).whole;
    assert!(service > 0.88, "{service}");
}

#[test]
fn service_stays_high_while_endpoints_are_replaced_every_second() {
    let service = run(include_str!("../scripts/churn-at-size.toml"), 1).whole;
    assert!(service > 0.95, "{service}");
}

#[test]
fn a_single_widespread_fault_costs_little_service() {
    let service = run(include_str!("../scripts/wide-at-size.toml"), 1).whole;
    assert!(service > 0.97, "{service}");
}

/// An endpoint whose connection table is full rejects connections and is no slower for that.
#[test]
fn endpoints_with_connections_for_two_gateways_in_five_serve_all_requests() {
    let service = run(include_str!("../scripts/scarce-connections.toml"), 1).whole;
    assert!(service > 0.985, "{service}");
}

/// No gateway has served a request when all come back, so that budgets have to be derived from the requests that arrive.
#[test]
fn endpoints_and_gateways_that_start_together_after_a_power_cut_serve() {
    let service = run(include_str!("../scripts/power-cut.toml"), 2).whole;
    assert!(service > 0.825, "{service}");
}

/// A gateway derives its share of a cold endpoint's budget from its own traffic, not from the number of gateways in its settings.
#[test]
fn a_wrong_number_of_gateways_in_the_settings_costs_little_service() {
    let text = include_str!("../scripts/herd-at-size.toml");
    for factor in ["0.5", "2.0"] {
        let wrong = text.replace("gateways = 100", &format!("gateways = 100\ntold = {factor}"));
        let service = run(&wrong, 1).whole;
        assert!(service > 0.97, "{factor} times the actual number of gateways: {service}");
    }
}

/// The clients of a killed gateway retry the requests that it had in flight: no request is processed twice because of that, and
/// gateways that come back push no cold endpoint over.
#[test]
fn gateways_killed_with_requests_in_flight_violate_no_rule() {
    let text = include_str!("../scripts/killed-in-hand.toml");
    let (report, _) = simulate(&script(text), 1, None, None).expect("the balancer rejected the settings");
    assert!(report.violations.is_empty(), "{:?}", report.violations);
    let calm = text.replace("killed = 70", "killed = 0");
    let (calm, _) = simulate(&script(&calm), 1, None, None).expect("the balancer rejected the settings");
    let (with, without) = (
        report.service.expect("no service figure with the kill").whole,
        calm.service.expect("no service figure without the kill").whole,
    );
    assert!(with < without, "{with} with the kill, {without} without: no gateway was killed");
    assert!(with > 0.8, "{with}");
}

/// Endpoints restart, some twice, while most gateways restart as well; a cold endpoint bears the load that the operators specify.
/// Whatever the number of gateways, the requests of gateways that were notified of the restarts push no endpoint over.
#[test]
fn cold_endpoints_receive_no_more_than_they_bear_from_few_or_many_gateways() {
    let text = include_str!("../scripts/slow-start.toml");
    for (gateways, killed) in [(2, 1), (30, 21), (100, 70), (350, 245)] {
        let text = text.replace("gateways = 100", &format!("gateways = {gateways}"));
        let text = text.replace("killed = 70", &format!("killed = {killed}"));
        let (report, _) =
            simulate(&script(&text), 1, None, None).expect("the balancer rejected the settings");
        assert!(report.violations.is_empty(), "{gateways} gateways: {:?}", report.violations);
        let peak = report.cold_peak.expect("no endpoint was cold");
        // With more than a hundred gateways, the gateways that are not notified yet send too much by themselves; the rule counts only
        // the notified gateways.
        assert!(
            peak > 0.3 && (peak < 1.0 || gateways > 100),
            "{gateways} gateways: a cold endpoint was sent {peak} of the work that it may be sent"
        );
    }
}
