//! The fleet's decisions under faults, in virtual time.

use ottervane_rig::whole::script::{Event, Script, What, Whom};
use ottervane_rig::whole::virtual_time::{play, shrunk, Mistake};
use std::panic::catch_unwind;
use std::time::Duration;

/// Plays drawn scripts, and shows the shortest one of the first that fails.
fn search(seeds: std::ops::Range<u64>, gateways: usize, council: usize) {
    for seed in seeds {
        let script = Script::drawn(seed, gateways, council);
        let played = play(&script, seed, Mistake::None);
        if !played.breaches.is_empty() {
            let least = shrunk(&script, seed, Mistake::None);
            let again = play(&least, seed, Mistake::None);
            panic!("seed {seed}: {:#?}\n{:#?}\n{}", again.breaches, least.events, again.history.text());
        }
    }
}

#[test]
fn drawn_faults_break_nothing_that_is_promised() {
    search(0..60, 5, 3);
}

#[test]
fn nor_do_they_with_a_council_of_five() {
    search(100..120, 7, 5);
}

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn event(at: f64, lasts: f64, whom: &[usize], others: Option<&[usize]>, what: What) -> Event {
    let (whom, others) = (Whom::Gateways(whom.to_vec()), others.map(<[usize]>::to_vec));
    Event { at: s(at), lasts: Some(s(lasts)), whom, others, what }
}

fn calm(gateways: usize, council: usize, events: Vec<Event>) -> Script {
    Script { events, ..Script::drawn(0, gateways, council) }
}

const CUT: What = What::Cut { one_way: false };

/// A gateway is cut off at some moment between two renewals.
fn cut_off(n: u32) -> Script {
    calm(5, 3, vec![event(4.0 + 0.037 * f64::from(n), 5.0, &[3], None, CUT)])
}

/// A member decides with one that is then lost, and that one comes back beside another who knows of nothing.
fn forgotten() -> Script {
    calm(
        5,
        3,
        vec![
            event(4.0, 3.0, &[0], Some(&[1, 2]), CUT),
            event(6.5, 0.3, &[1], None, What::Kill),
            event(6.6, 8.0, &[2], None, CUT),
        ],
    )
}

/// A check that finds nothing proves nothing.
#[test]
fn mistakes_built_in_are_found() {
    let cut: Vec<Script> = (0..16).map(cut_off).collect();
    let killed: Vec<Script> = (0..60).map(|seed| Script::drawn_with_disks(seed, 5, 3)).collect();
    for (mistake, scripts, what) in [
        (Mistake::MarginReversed, &cut, "acts in it still"),
        (Mistake::ClocksApart, &cut, "acts in it still"),
        (Mistake::VotesAgain, &vec![forgotten()], "registers of gateways"),
        (Mistake::SaysBeforeStored, &killed, "registers of gateways"),
    ] {
        // The library has checks of its own where it is built for tests, and breaks off.
        let seen = |mistake| {
            let mut all = scripts.iter().map(|script| catch_unwind(|| play(script, 1, mistake)));
            all.any(|played| {
                played.is_err() || played.is_ok_and(|p| p.breaches.iter().any(|b| b.contains(what)))
            })
        };
        assert!(seen(mistake), "{mistake:?} is not seen");
        assert!(!seen(Mistake::None), "{mistake:?} is not what is seen");
    }
}

/// Every script that ships, on three seeds.
#[test]
fn scripts_end_without_a_breach() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/fleet");
    let mut played = 0;
    for file in std::fs::read_dir(folder).expect("the scripts") {
        let path = file.expect("a script").path();
        let text = std::fs::read_to_string(&path).expect("its text");
        let script = Script::parse(&path.display().to_string(), &text).expect("as it should be");
        for seed in 1..=3 {
            let played = play(&script, seed, Mistake::None);
            assert!(
                played.breaches.is_empty(),
                "{} {seed}: {:#?}\n{}",
                script.name,
                played.breaches,
                played.history.text()
            );
        }
        played += 1;
    }
    assert!(played >= 5);
}

/// Members with disks: all may be killed at any moment, also all of them, and in the middle of a write.
#[test]
fn with_disks_nothing_agreed_on_is_lost() {
    for seed in 0..60 {
        let script = Script::drawn_with_disks(seed, 5, 3);
        let played = play(&script, seed, Mistake::None);
        if !played.breaches.is_empty() {
            let least = shrunk(&script, seed, Mistake::None);
            let again = play(&least, seed, Mistake::None);
            panic!("seed {seed}: {:#?}\n{:#?}\n{}", again.breaches, least.events, again.history.text());
        }
    }
}
