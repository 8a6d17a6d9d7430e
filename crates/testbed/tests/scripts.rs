//! Scripts: those that ship hold, mistakes are all told, and two runs of one seed are the same to the byte.

use proptest::prelude::*;
use std::collections::HashSet;
use std::fs;
use weldworks_control::retry_storm::StormSettings;
use weldworks_testbed::ledger::Rule;
use weldworks_testbed::plan::{met, plan};
use weldworks_testbed::random_variates::RandomStreams;
use weldworks_testbed::report::Report;
use weldworks_testbed::script::Script;
use weldworks_testbed::simulate::{simulate, simulate_with, DecisionModules};
use weldworks_testbed::timeline::svg;

fn shipped() -> Vec<(String, String)> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/scripts");
    let files =
        fs::read_dir(folder).expect("the folder of scripts").map(|entry| entry.expect("an entry").path());
    let mut scripts: Vec<_> =
        files.map(|p| (p.display().to_string(), fs::read_to_string(&p).expect("a script"))).collect();
    scripts.sort();
    scripts
}

fn script(text: &str) -> Script {
    Script::parse("test.toml", text).expect("a script")
}

fn run(script: &Script, seed: u64) -> Report {
    simulate(script, seed, None, None).expect("settings that the module takes").0
}

#[test]
fn all_that_ship_are_as_they_should_be_and_are_played_alike_twice() {
    let shipped = shipped();
    assert!(shipped.len() >= 8, "{} scripts", shipped.len());
    for (file, text) in shipped {
        let script = Script::parse(&file, &text).unwrap_or_else(|problems| panic!("{problems}"));
        if script.fleet.gateways > 50 {
            continue; // the full size is measured, in a release build
        }
        let (one, other) = (run(&script, 3), run(&script, 3));
        assert_eq!(one.to_json(), other.to_json(), "{file}");
        assert_eq!(one.breaches, [], "{file}");
        let service = one.service.as_ref().expect("a figure").whole;
        assert!((0.5..=1.0).contains(&service), "{file}: {service}");
        assert_ne!(one.to_json(), run(&script, 4).to_json(), "{file}: another seed is another day");
    }
}

#[test]
fn every_mistake_is_told_with_its_line_and_key() {
    let text = r#"
name = "wrong"
lasts = "2"
colour = "blue"
[load]
rate = -3
shape = "flat"
[fleet]
nodes = 4
[[class]]
name = "look"
aim = "2s"
deadline = "1s"
window = "1s"
[[event]]
what = "kill"
nodes = ["n07"]
[[event]]
at = "30s"
what = "explode"
[[event]]
at = "1s"
what = "heavy"
class = "buy"
zone = "moon"
"#;
    let problems = Script::parse("wrong.toml", text).expect_err("much is wrong");
    let lines: Vec<(usize, &str)> = problems.list.iter().map(|p| (p.line, p.key.as_str())).collect();
    let expected = [
        (3, "lasts"),
        (4, "colour"),
        (6, "load.rate"),
        (7, "load.shape"),
        (12, "class[0].aim"),
        (14, "class[0].window"),
        (15, "event[0].at"),
        (17, "event[0].nodes"),
        (19, "event[1].at"),
        (20, "event[1].what"),
        (23, "event[2].what"),
        (24, "event[2].class"),
        (25, "event[2].zone"),
    ];
    assert_eq!(lines, expected, "{problems}");
    let text = problems.to_string();
    assert!(
        text.contains("wrong.toml:17: event[0].nodes: \"n07\" is no node; they are n00 to n03"),
        "{text}"
    );
}

#[test]
fn a_request_is_the_same_whatever_else_happens() {
    let calm = script("name = \"a\"\nlasts = \"5s\"");
    let rough =
        script("name = \"a\"\nlasts = \"5s\"\n[[event]]\nat = \"1s\"\nwhat = \"kill\"\nshare = 0.5\n");
    let draws = RandomStreams::new(9);
    let (one, other) = (plan(&calm, draws), plan(&rough, draws));
    assert_eq!(one, other, "what nodes do moves no request");
    let numbers: HashSet<u64> = one.iter().flat_map(|a| (0..4).map(|t| a.number(draws, t))).collect();
    assert_eq!(numbers.len(), one.len() * 4, "no number comes twice");
    let rate = one.len() as f64 / 5.0;
    assert!((260.0..340.0).contains(&rate), "{rate} a second where 300 are asked for");
    assert_eq!(met(&rough, draws, 0).len(), 6);
    assert_eq!(met(&rough, draws, 0), met(&rough, draws, 0));
}

#[test]
fn a_surge_multiplies_the_load_while_it_lasts() {
    let surge =
        "name = \"a\"\nlasts = \"9s\"\n[[event]]\nat = \"3s\"\nlasts = \"3s\"\nwhat = \"surge\"\ntimes = 3\n";
    let day = plan(&script(surge), RandomStreams::new(1));
    let third = |n: u64| day.iter().filter(|a| a.at.as_secs() / 3 == n).count() as f64;
    let times = third(1) / ((third(0) + third(2)) / 2.0);
    assert!((2.6..3.4).contains(&times), "{times}");
}

#[test]
fn virtual_time_finds_what_goes_wrong() {
    // Nodes that fail half of everything cost service, and no rule.
    let failing = script(
        "name = \"f\"\nlasts = \"6s\"\n[load]\nrate = 100\n[clients]\nretries = 0\n[[event]]\nat = \"0s\"\nwhat = \"fail\"\npart = 0.9\n",
    );
    let report = run(&failing, 1);
    assert!(report.service.as_ref().expect("a figure").whole < 0.8, "{}", report.to_text());
    assert_eq!(report.breaches, []);
    // A cold fleet that is told of as cold must not be pushed over; one that starts with no word of it may be.
    let cold = script(
        "name = \"c\"\nlasts = \"12s\"\n[fleet]\nnodes = 6\ncold_from = 0.13\ncold_for = \"10s\"\n[load]\nrate = 100\n[[event]]\nat = \"2s\"\nwhat = \"restart\"\nshare = 0.5\ngone = \"3s\"\n",
    );
    let report = run(&cold, 1);
    assert!(!report.breaches.iter().any(|b| b.rule == Rule::PushedOver), "{}", report.to_text());
}

/// The bound on crowding holds at any number of gateways: without it all nodes choke in the surge and stay so.
#[test]
fn live_weights_keep_nodes_from_choking_whoever_shares_the_load() {
    let (_, text) =
        shipped().into_iter().find(|(file, _)| file.ends_with("crowded-claims.toml")).expect("the script");
    let silent = text.replace("weights_every = \"750ms\"", "weights_every = \"600s\"");
    assert_ne!(text, silent);
    for gateways in [3, 12, 45] {
        let played = |text: &str| simulate(&script(text), 1, Some(gateways), None).expect("settings").0;
        let (told, untold) = (played(&text), played(&silent));
        let whole = |r: &Report| r.service.as_ref().expect("a figure").whole;
        assert_eq!((&told.breaches[..], &untold.breaches[..]), (&[][..], &[][..]));
        let text = format!("{gateways} gateways: {} told, {} not", whole(&told), whole(&untold));
        assert!(whole(&told) > whole(&untold) + 0.15, "{text}");
    }
}

/// Where news are pushed nobody asks; a drain and a restart are heard of all the same.
#[test]
fn pushed_news_reach_gateways_that_never_ask() {
    let text = "name = \"p\"\nlasts = \"8s\"\n[load]\nrate = 100\n[register]\npushed = true\nnotice = [\"100ms\", \"200ms\"]\n\
                weights_every = \"500ms\"\n[limits]\ndrain_grace = \"300ms\"\n[[event]]\nat = \"1s\"\nwhat = \"drain\"\nnodes = [\"n01\", \"n02\"]\n\
                [[event]]\nat = \"2s\"\nlasts = \"2s\"\nwhat = \"register-down\"\n\
                [[event]]\nat = \"3s\"\nwhat = \"kill\"\nnodes = [\"n03\"]\n";
    let report = run(&script(text), 1);
    assert_eq!(report.breaches, [], "{}", report.to_text());
    let service = report.service.as_ref().expect("a figure").whole;
    assert!(service > 0.9, "{}", report.to_text());
    let draining = report.timeline.iter().map(|s| s.draining).max();
    assert_eq!(draining, Some(2), "what this is about has happened");
    // Who has not heard goes on sending to nodes that turn it away, and tries each request again.
    let counts = report.counts;
    assert!(counts.attempts < counts.tries + counts.tries / 20, "{}", report.to_text());
}

#[test]
fn the_timeline_is_drawn() {
    let report = run(&script("name = \"t\"\nlasts = \"2s\""), 1);
    let picture = svg(&report).expect("a picture");
    assert!(picture.starts_with("<svg") && picture.contains("answers in time") && picture.contains("warm"));
    assert!(report.timeline.iter().any(|s| s.held > 0), "something was held at some time");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// A script with a line more, less or changed is read or refused; nothing panics, and what is read can be planned.
    #[test]
    fn no_text_makes_the_reader_panic(pick in any::<prop::sample::Index>(), line in any::<prop::sample::Index>(),
        other in "[a-z_]{1,9} = ([0-9.\\-]{1,6}|\"[a-z0-9.\\-]{0,8}\"|\\[.{0,6}\\])") {
        let shipped = shipped();
        let (file, text) = &shipped[pick.index(shipped.len())];
        let mut lines: Vec<&str> = text.lines().collect();
        let at = line.index(lines.len());
        lines[at] = &other;
        if let Ok(mut script) = Script::parse(file, &lines.join("\n")) {
            script.lasts = script.lasts.min(std::time::Duration::from_secs(1));
            script.load.rate = script.load.rate.min(50.0);
            prop_assert!(plan(&script, RandomStreams::new(1)).len() < 10_000);
        }
    }
}

/// With a storm and without one, storm control breaks no rule, costs a calm day nothing, and is the same run twice.
#[test]
fn storm_control_breaks_no_rule_and_costs_a_calm_day_nothing() {
    let on = Some(StormSettings::default());
    for (file, text) in shipped() {
        let script = Script::parse(&file, &text).expect("a script");
        if script.fleet.gateways > 50 {
            continue;
        }
        // Two gateways, for which this holds; at 45 it costs up to a point yet: docs/design/storms.md.
        let played = |storm| simulate(&script, 5, Some(2), storm).expect("settings").0;
        let (with, without) = (played(on), played(None));
        assert_eq!(with.breaches, [], "{file}");
        assert_eq!(with.to_json(), played(on).to_json(), "{file}");
        let whole = |r: &Report| r.service.as_ref().expect("a figure").whole;
        // Where live weights hold hosts at the edge of crowding, what storm control refuses besides is lost.
        let most = if script.register.weights.is_some() { 0.02 } else { 0.005 };
        assert!(
            whole(&with) > whole(&without) - most,
            "{file}: {} with it, {} without",
            whole(&with),
            whole(&without)
        );
    }
}

/// Seeds in which the nodes fell over while gateways heeded only what they were told: the process's end closes their idle
/// connections, and each has to take that for the sign it is.
#[test]
fn no_node_that_restarts_untold_is_pushed_over() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/scripts");
    for (name, seeds) in [("cold-restart-busy", [2, 4, 5].as_slice()), ("unseen-restarts", &[5, 6])] {
        let text = fs::read_to_string(format!("{folder}/{name}.toml")).expect("a script");
        for seed in seeds {
            let report = run(&script(&text), *seed);
            assert_eq!(report.counts.fallen, 0, "{name}, seed {seed}: {}", report.to_text());
        }
    }
}

#[test]
fn a_gateway_that_starts_late_is_dealt_to_from_then_on() {
    let text = "name = \"late\"\nlasts = \"8s\"\n[fleet]\ngateways = 4\njoining = 1\njoins_at = \"3s\"\n";
    let report = run(&script(text), 1);
    let fresh = report.fresh.expect("there is one");
    // A quarter of 300 a second for five seconds.
    assert!((200..600).contains(&fresh.asked), "{}", report.to_text());
    assert!(fresh.service > 0.9 && fresh.others > 0.9, "{}", report.to_text());
    // Before that it knows no node, and would refuse a quarter of everything.
    assert!(report.service.as_ref().is_some_and(|s| s.whole > 0.9), "{}", report.to_text());
    assert_eq!(run(&script("name = \"all\"\nlasts = \"1s\""), 1).fresh, None);
    let wrong = Script::parse("wrong.toml", "name = \"none\"\n[fleet]\ngateways = 4\njoining = 4\n");
    assert!(wrong.expect_err("nobody serves").to_string().contains("wrong.toml:4: fleet.joining"));
}

fn shipped_script(name: &str) -> Script {
    let file = format!("{}/scripts/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    script(&fs::read_to_string(file).expect("a script"))
}

/// The trigger is over at 18 s, and what was asked from then on could be served: a plain gateway's retries keep the nodes full.
#[test]
fn a_plain_gateway_stays_down_after_a_surge_and_the_module_does_not() {
    let script = shipped_script("metastable");
    let run = |minds| simulate_with(&script, 1, Some(12), None, minds).expect("settings").0;
    let (plain, own) = (run(DecisionModules::Baseline), run(DecisionModules::PerGateway));
    assert_eq!((&plain.breaches, &own.breaches), (&vec![], &vec![]));
    assert_eq!(plain.back_s, None, "{}", plain.to_text());
    assert!(own.back_s.is_some_and(|s| s <= 10.0), "{:?}: {}", own.back_s, own.to_text());
    let late = |r: &Report| {
        let samples: Vec<_> = r.timeline.iter().filter(|s| s.at_s > 35.0 && s.at_s < 50.0).collect();
        samples.iter().map(|s| s.in_time).sum::<f64>() / samples.len() as f64
    };
    assert!(late(&plain) < 0.8 * late(&own), "{} and {} a second in time", late(&plain), late(&own));
}

#[test]
fn plain_gateways_repeat_and_drain_by_the_rules() {
    for name in ["fast-failures", "zone-returns", "cold-restart", "register-down", "stale-connections"] {
        let (report, _) = simulate_with(&shipped_script(name), 3, Some(5), None, DecisionModules::Baseline)
            .expect("settings");
        // They hold what they can't dial until it is over and send cold nodes as much as warm ones: that is their plainness.
        let plain = [Rule::PushedOver, Rule::HeldBack];
        let own: Vec<_> = report.breaches.iter().filter(|b| !plain.contains(&b.rule)).collect();
        assert!(own.is_empty(), "{name}: {}", report.to_text());
    }
}
