//! Fault scenarios on a fleet's decision code, in virtual time.

use std::panic::catch_unwind;
use std::time::Duration;
use weldworks_fleet::node::SessionState;
use weldworks_testbed::whole::history::Seen;
use weldworks_testbed::whole::script::{Event, Script, What, Whom};
use weldworks_testbed::whole::virtual_time::{play, shrunk, Mistake};

/// Runs random scripts; at the first that fails, panics with the shortest script that still fails.
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

/// Scripts in which one gateway is cut off, `n` steps of 37 ms after 4 s: at different times between two renewals of its lease.
fn cut_off(n: u32) -> Script {
    calm(5, 3, vec![event(4.0 + 0.037 * f64::from(n), 5.0, &[3], None, CUT)])
}

/// A script in which two voters agree on entries; one of them is killed and returns, without its votes, to a third voter that knows
/// nothing of these entries.
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

/// The checks have to find each inserted defect: a check that finds no defect proves nothing.
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
        // The consensus library has assertions of its own in test builds, which panic before the checks see the violation.
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

/// Runs every script in the `fleet` folder with three seeds.
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

/// Voters with disks: any number of processes may be killed at any time, also all at once and during a write.
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

/// A script in which the last gateway's discovery is frozen, so that the gateway has to be fenced.
fn stuck(gateways: usize, council: usize) -> Script {
    let mut script = calm(gateways, council, vec![event(4.0, 10.0, &[gateways - 1], None, What::Stick)]);
    script.expected.shut_out = vec![gateways - 1];
    script
}

/// A rolling restart: all 45 processes are replaced within 20 s.
#[test]
fn a_rolling_restart_of_forty_five_keeps_one_council() {
    let replaced = What::Replace { apart: Duration::from_millis(444) };
    let mut script = calm(45, 3, vec![event(4.0, 20.0, &(0..45).collect::<Vec<_>>(), None, replaced)]);
    (script.disks, script.lasts) = (true, s(40.0));
    for seed in 1..=3 {
        let played = play(&script, seed, Mistake::None);
        assert!(played.breaches.is_empty(), "{seed}: {:#?}", played.breaches);
    }
}

#[test]
fn a_straggler_among_forty_five_is_shut_out_and_let_in() {
    let played = play(&stuck(45, 3), 1, Mistake::None);
    assert!(played.breaches.is_empty(), "{:#?}\n{}", played.breaches, played.history.text());
    assert_eq!((played.figures.to_shut_out_s.len(), played.figures.to_let_in_s.len()), (1, 1));
}

/// Discovery is frozen at seven of nine gateways and up to date at two of them: no gateway is fenced, since the version of most gateways
/// is what counts.
#[test]
fn most_of_the_fleet_stuck_shuts_nobody_out() {
    let mut script = calm(9, 3, vec![event(4.0, 10.0, &[2, 3, 4, 5, 6, 7, 8], None, What::Stick)]);
    script.lasts = s(24.0);
    let played = play(&script, 1, Mistake::None);
    assert!(played.breaches.is_empty(), "{:#?}", played.breaches);
    assert!(played.history.shut_out().is_empty(), "{:?}", played.history.shut_out());
}

fn spread(mut all: Vec<f64>) -> String {
    all.sort_by(f64::total_cmp);
    let at =
        |part: f64| all.get(((all.len().max(1) - 1) as f64 * part) as usize).copied().unwrap_or_default();
    format!("{:.2} {:.2} {:.2}", at(0.5), at(0.95), at(1.0))
}

/// The figures of docs/measurements/fleet.md. `cargo test --release -p weldworks-testbed --test whole -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn figures() {
    let leader = |what| Event { whom: Whom::Leader, ..event(5.0, 5.0, &[], None, what) };
    let cut_from_one = |n: usize| Event { others: Some(vec![n]), ..leader(CUT) };
    for (name, council, gateways) in [("3 of 5", 3, 5), ("5 of 45", 5, 45)] {
        for (what, events) in [
            ("killed", vec![leader(What::Kill)]),
            ("paused 5 s", vec![leader(What::Pause)]),
            ("cut from all", vec![leader(CUT)]),
            ("cut from one", vec![cut_from_one(1)]),
            ("its words lost", vec![leader(What::Cut { one_way: true })]),
        ] {
            let plays: Vec<_> = (1..=20)
                .map(|seed| play(&calm(gateways, council, events.clone()), seed, Mistake::None))
                .collect();
            let (mut leaderless, mut session) = (Vec::new(), Vec::new());
            for played in &plays {
                assert!(played.breaches.is_empty(), "{:?}", played.breaches);
                leaderless.push(played.figures.leaderless_s);
                session.push(played.figures.in_session);
            }
            println!(
                "{name} {what:<16} without leader {} in session {}",
                spread(leaderless),
                spread(session)
            );
        }
    }
    for (gateways, council) in [(5, 3), (45, 3), (300, 5)] {
        let calm = play(&calm(gateways, council, vec![]), 1, Mistake::None).figures;
        let plays: Vec<_> =
            (1..=10).map(|seed| play(&stuck(gateways, council), seed, Mistake::None).figures).collect();
        let out = plays.iter().flat_map(|f| f.to_shut_out_s.clone()).collect();
        let back = plays.iter().flat_map(|f| f.to_let_in_s.clone()).collect();
        let each = gateways as f64;
        println!(
            "{gateways} gateways: {:.1} frames and {:.0} bytes a second and gateway, {:.1} entries a second; shut out {} let in {}; first session {:?}",
            calm.frames_s / each, calm.bytes_s / each, calm.entries as f64 / 30.0, spread(out), spread(back), calm.first_session_s
        );
    }
}

/// Distribution of the time until the voters count the session of a lost gateway as expired:
/// `cargo test --release -p weldworks-testbed --test whole figures_of_noticing -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn figures_of_noticing() {
    for (gateways, council) in [(5, 3), (45, 5)] {
        for (what, happens) in [("killed", What::Kill), ("paused", What::Pause), ("cut off", CUT)] {
            let mut took = Vec::new();
            for seed in 1..=20 {
                let lost = gateways - 1;
                let script = calm(
                    gateways,
                    council,
                    vec![event(5.0 + 0.1 * seed as f64, 10.0, &[lost], None, happens.clone())],
                );
                let played = play(&script, seed, Mistake::None);
                assert!(played.breaches.is_empty(), "{:?}", played.breaches);
                let from = script.events[0].at;
                let lines = &played.history.lines;
                let mut held =
                    lines.iter().filter(|l| l.gateway == lost && l.at < from).filter_map(|l| match &l.seen {
                        Seen::Stands(SessionState::InSession(id)) => Some(*id),
                        _ => None,
                    });
                let session = held.next_back().expect("a session");
                let over = lines.iter().find(|l| l.seen == Seen::Lapsed(session)).expect("it is over");
                took.push((over.at - from).as_secs_f64());
            }
            println!("{gateways} gateways, one {what}: its session is over after {} s (median, 95th, longest of 20)", spread(took));
        }
    }
}

/// Disk space that the audit log takes:
/// `cargo test --release -p weldworks-testbed --test whole figures_of_the_books -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn figures_of_the_books() {
    use weldworks_fleet::audit::{decode_header, ProcessState, SegmentBuilder, SegmentCursor, SegmentWriter};
    use weldworks_fleet::audit::{AuditLog, Decision, DecisionKind};
    use weldworks_fleet::version::{Incarnation, ListVersion, Version};
    let version = |index| Version {
        list: ListVersion { lineage: "register".into(), index },
        build: "0.2.0".into(),
        ..Version::default()
    };
    for per_second in [0u64, 8, 200, 2000] {
        let mut audit = AuditLog::new(Duration::ZERO, version(1));
        let writer = SegmentWriter { process: Incarnation(7), began_unix_ms: 0, opened_unix_ms: 0 };
        let (mut filling, mut mark) = (SegmentBuilder::new(writer, 1), SegmentCursor::start(Duration::ZERO));
        let (mut kept, mut open) = (0usize, (1, 0));
        let (mut taken, mut packed, mut longest, mut written, mut request) =
            (Duration::ZERO, Duration::ZERO, Duration::ZERO, 0usize, 0u64);
        let halves: u64 = 2 * 600;
        for half in 0..halves {
            let now = Duration::from_millis(500 * (half + 1));
            if half % 60 == 0 {
                audit.set_version(now - Duration::from_millis(500), version(half / 60 + 2));
            }
            for n in 0..per_second / 2 {
                request += 1;
                let number = format!("{:016x}", request.wrapping_mul(0x9e37_79b9_7f4a_7c15));
                let host = format!("n{}", number.len() as u64 + request % 12);
                let class = (request % 5) as usize;
                let at = now - Duration::from_millis(500 - n * 1000 / per_second);
                audit.record_decision(
                    at,
                    Decision { kind: DecisionKind::Pick, class, request_id: &number, endpoint: Some(&host) },
                );
            }
            let begun = std::time::Instant::now();
            let delta = audit.segment_since(&mark, now, ProcessState::Running);
            taken += begun.elapsed();
            longest = longest.max(begun.elapsed());
            mark = delta.cursor;
            let begun = std::time::Instant::now();
            let record = filling.append(delta.segment, delta.steps, 0);
            packed += begun.elapsed();
            assert!(decode_header(&record.header).is_some());
            let size = record.header.len() + record.segment.len() + record.steps.len();
            written += size;
            if record.number != open.0 {
                kept += open.1;
            }
            open = (record.number, size);
        }
        let (a_day, each) = (144.0 * (kept + open.1) as f64 / 1e6, halves as f64 / 1e6);
        println!(
            "{per_second:>5} a second: {a_day:>8.1} MB a day kept, {:>8.1} written; on the loop {:.0} us each, at most {longest:?}; in the thread {:.0} us each",
            144.0 * written as f64 / 1e6,
            taken.as_secs_f64() / each,
            packed.as_secs_f64() / each,
        );
    }
}
