//! Fault scenarios on a fleet's decision code, in virtual time.

use std::panic::catch_unwind;
use std::time::Duration;
use weldworks_fleet::node::SessionState;
use weldworks_testbed::fleet_scenario::history::Observation;
use weldworks_testbed::fleet_scenario::script::{Fault, FaultKind, Script, Target};
use weldworks_testbed::fleet_scenario::virtual_time::{run_script, shrink_script, Mutation};

/// Runs random scripts; at the first that fails, panics with the shortest script that still fails.
fn check_random_scripts(seeds: std::ops::Range<u64>, gateway_count: usize, voter_count: usize) {
    for seed in seeds {
        let script = Script::random(seed, gateway_count, voter_count);
        let result = run_script(&script, seed, Mutation::None);
        if !result.violations.is_empty() {
            let shortest = shrink_script(&script, seed, Mutation::None);
            let shortest_result = run_script(&shortest, seed, Mutation::None);
            panic!(
                "seed {seed}: {:#?}\n{:#?}\n{}",
                shortest_result.violations,
                shortest.faults,
                shortest_result.history.to_text()
            );
        }
    }
}

#[test]
fn random_faults_cause_no_violation_with_three_voters() {
    check_random_scripts(0..60, 5, 3);
}

#[test]
fn random_faults_cause_no_violation_with_five_voters() {
    check_random_scripts(100..120, 7, 5);
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

fn fault(
    start_s: f64,
    duration_s: f64,
    target: &[usize],
    other_side: Option<&[usize]>,
    kind: FaultKind,
) -> Fault {
    let (target, other_side) = (Target::Gateways(target.to_vec()), other_side.map(<[usize]>::to_vec));
    Fault { start: seconds(start_s), duration: Some(seconds(duration_s)), target, other_side, kind }
}

fn script_with_faults(gateway_count: usize, voter_count: usize, faults: Vec<Fault>) -> Script {
    Script { faults, ..Script::random(0, gateway_count, voter_count) }
}

const CUT_LINKS: FaultKind = FaultKind::CutLinks { one_way: false };

/// A script in which one gateway is cut off, `step` times 37 ms after 4 s, so that the steps cover the time between two lease renewals.
fn cut_off_one_gateway(step: u32) -> Script {
    script_with_faults(5, 3, vec![fault(4.0 + 0.037 * f64::from(step), 5.0, &[3], None, CUT_LINKS)])
}

/// A script in which two voters agree on entries; one of them is killed and returns, without its votes, to a third voter that knows
/// nothing of these entries.
fn script_with_forgotten_votes() -> Script {
    script_with_faults(
        5,
        3,
        vec![
            fault(4.0, 3.0, &[0], Some(&[1, 2]), CUT_LINKS),
            fault(6.5, 0.3, &[1], None, FaultKind::KillProcess),
            fault(6.6, 8.0, &[2], None, CUT_LINKS),
        ],
    )
}

/// The checks have to find each inserted defect: a check that finds no defect proves nothing.
#[test]
fn checks_find_every_inserted_defect() {
    let cut_scripts: Vec<Script> = (0..16).map(cut_off_one_gateway).collect();
    let kill_scripts: Vec<Script> = (0..60).map(|seed| Script::random_with_disks(seed, 5, 3)).collect();
    for (mutation, scripts, expected_text) in [
        (Mutation::ReversedMargin, &cut_scripts, "still acts in it"),
        (Mutation::ClocksBeyondMargin, &cut_scripts, "still acts in it"),
        (Mutation::ForgottenVotes, &vec![script_with_forgotten_votes()], "state machines of gateways"),
        (Mutation::SendBeforeStore, &kill_scripts, "state machines of gateways"),
    ] {
        // The consensus library has assertions of its own in test builds, which panic before the checks see the violation.
        let is_found = |mutation| {
            let mut results = scripts.iter().map(|script| catch_unwind(|| run_script(script, 1, mutation)));
            results.any(|result| {
                result.is_err()
                    || result.is_ok_and(|run| {
                        run.violations.iter().any(|violation| violation.contains(expected_text))
                    })
            })
        };
        assert!(is_found(mutation), "the checks do not find {mutation:?}");
        assert!(
            !is_found(Mutation::None),
            "the checks report a violation for {mutation:?} without the defect too"
        );
    }
}

/// Runs every script in the `fleet` folder with three seeds.
#[test]
fn scripts_of_the_fleet_folder_run_without_violation() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/fleet");
    let mut script_count = 0;
    for file in std::fs::read_dir(folder).expect("the folder of scripts can be read") {
        let path = file.expect("a folder entry can be read").path();
        let text = std::fs::read_to_string(&path).expect("the script file can be read");
        let script = Script::parse(&path.display().to_string(), &text).expect("the script is valid");
        for seed in 1..=3 {
            let result = run_script(&script, seed, Mutation::None);
            assert!(
                result.violations.is_empty(),
                "{} {seed}: {:#?}\n{}",
                script.name,
                result.violations,
                result.history.to_text()
            );
        }
        script_count += 1;
    }
    assert!(script_count >= 5);
}

/// Voters with disks: any number of processes may be killed at any time, also all at once and during a write.
#[test]
fn agreed_entries_survive_any_kills_when_voters_have_disks() {
    for seed in 0..60 {
        let script = Script::random_with_disks(seed, 5, 3);
        let result = run_script(&script, seed, Mutation::None);
        if !result.violations.is_empty() {
            let shortest = shrink_script(&script, seed, Mutation::None);
            let shortest_result = run_script(&shortest, seed, Mutation::None);
            panic!(
                "seed {seed}: {:#?}\n{:#?}\n{}",
                shortest_result.violations,
                shortest.faults,
                shortest_result.history.to_text()
            );
        }
    }
}

/// A script in which the last gateway's discovery is frozen, so that the gateway has to be fenced.
fn script_with_frozen_discovery(gateway_count: usize, voter_count: usize) -> Script {
    let mut script = script_with_faults(
        gateway_count,
        voter_count,
        vec![fault(4.0, 10.0, &[gateway_count - 1], None, FaultKind::FreezeDiscovery)],
    );
    script.expected.fenced = vec![gateway_count - 1];
    script
}

/// A rolling restart: all 45 processes are replaced within 20 s.
#[test]
fn rolling_restart_of_45_gateways_keeps_one_consensus_group() {
    let replace_all = FaultKind::ReplaceProcesses { interval: Duration::from_millis(444) };
    let mut script =
        script_with_faults(45, 3, vec![fault(4.0, 20.0, &(0..45).collect::<Vec<_>>(), None, replace_all)]);
    (script.has_disks, script.duration) = (true, seconds(40.0));
    for seed in 1..=3 {
        let result = run_script(&script, seed, Mutation::None);
        assert!(result.violations.is_empty(), "{seed}: {:#?}", result.violations);
    }
}

#[test]
fn lagging_gateway_among_45_is_fenced_and_unfenced() {
    let result = run_script(&script_with_frozen_discovery(45, 3), 1, Mutation::None);
    assert!(result.violations.is_empty(), "{:#?}\n{}", result.violations, result.history.to_text());
    assert_eq!((result.figures.time_to_fence_s.len(), result.figures.time_to_unfence_s.len()), (1, 1));
}

/// Discovery is frozen at seven of nine gateways and up to date at two of them: no gateway is fenced, since the version of most gateways
/// is what counts.
#[test]
fn no_gateway_is_fenced_when_most_discoveries_are_frozen() {
    let mut script = script_with_faults(
        9,
        3,
        vec![fault(4.0, 10.0, &[2, 3, 4, 5, 6, 7, 8], None, FaultKind::FreezeDiscovery)],
    );
    script.duration = seconds(24.0);
    let result = run_script(&script, 1, Mutation::None);
    assert!(result.violations.is_empty(), "{:#?}", result.violations);
    assert!(result.history.fenced_gateways().is_empty(), "{:?}", result.history.fenced_gateways());
}

fn percentiles(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let quantile = |fraction: f64| {
        values.get(((values.len().max(1) - 1) as f64 * fraction) as usize).copied().unwrap_or_default()
    };
    format!("{:.2} {:.2} {:.2}", quantile(0.5), quantile(0.95), quantile(1.0))
}

/// The figures of docs/measurements/fleet.md. `cargo test --release -p weldworks-testbed --test fleet_scenarios -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn measure_fault_recovery() {
    let leader_fault = |kind| Fault { target: Target::Leader, ..fault(5.0, 5.0, &[], None, kind) };
    let cut_from_one = |other: usize| Fault { other_side: Some(vec![other]), ..leader_fault(CUT_LINKS) };
    for (name, voter_count, gateway_count) in [("3 of 5", 3, 5), ("5 of 45", 5, 45)] {
        for (fault_name, faults) in [
            ("killed", vec![leader_fault(FaultKind::KillProcess)]),
            ("paused 5 s", vec![leader_fault(FaultKind::PauseProcess)]),
            ("cut from all", vec![leader_fault(CUT_LINKS)]),
            ("cut from one", vec![cut_from_one(1)]),
            ("outgoing cut", vec![leader_fault(FaultKind::CutLinks { one_way: true })]),
        ] {
            let results: Vec<_> = (1..=20)
                .map(|seed| {
                    run_script(
                        &script_with_faults(gateway_count, voter_count, faults.clone()),
                        seed,
                        Mutation::None,
                    )
                })
                .collect();
            let (mut leaderless_s, mut in_session_fractions) = (Vec::new(), Vec::new());
            for result in &results {
                assert!(result.violations.is_empty(), "{:?}", result.violations);
                leaderless_s.push(result.figures.leaderless_s);
                in_session_fractions.push(result.figures.in_session_fraction);
            }
            println!(
                "{name} {fault_name:<16} leaderless {} s, in session {}",
                percentiles(leaderless_s),
                percentiles(in_session_fractions)
            );
        }
    }
    for (gateway_count, voter_count) in [(5, 3), (45, 3), (300, 5)] {
        let calm =
            run_script(&script_with_faults(gateway_count, voter_count, vec![]), 1, Mutation::None).figures;
        let results: Vec<_> = (1..=10)
            .map(|seed| {
                run_script(&script_with_frozen_discovery(gateway_count, voter_count), seed, Mutation::None)
                    .figures
            })
            .collect();
        let time_to_fence_s = results.iter().flat_map(|figures| figures.time_to_fence_s.clone()).collect();
        let time_to_unfence_s =
            results.iter().flat_map(|figures| figures.time_to_unfence_s.clone()).collect();
        let gateways_f64 = gateway_count as f64;
        println!(
            "{gateway_count} gateways: {:.1} frames and {:.0} bytes a second and gateway, {:.1} entries a second; fenced after {} s, unfenced after {} s; first session after {:?} s",
            calm.frames_per_s / gateways_f64, calm.bytes_per_s / gateways_f64, calm.log_entries as f64 / 30.0, percentiles(time_to_fence_s), percentiles(time_to_unfence_s), calm.first_session_s
        );
    }
}

/// Distribution of the time until the voters count the session of a lost gateway as expired:
/// `cargo test --release -p weldworks-testbed --test fleet_scenarios measure_session_expiry -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn measure_session_expiry() {
    for (gateway_count, voter_count) in [(5, 3), (45, 5)] {
        for (fault_name, kind) in
            [("killed", FaultKind::KillProcess), ("paused", FaultKind::PauseProcess), ("cut off", CUT_LINKS)]
        {
            let mut times_s = Vec::new();
            for seed in 1..=20 {
                let lost_gateway = gateway_count - 1;
                let script = script_with_faults(
                    gateway_count,
                    voter_count,
                    vec![fault(5.0 + 0.1 * seed as f64, 10.0, &[lost_gateway], None, kind.clone())],
                );
                let result = run_script(&script, seed, Mutation::None);
                assert!(result.violations.is_empty(), "{:?}", result.violations);
                let lost_at = script.faults[0].start;
                let records = &result.history.records;
                let mut sessions_before = records
                    .iter()
                    .filter(|record| record.gateway == lost_gateway && record.at < lost_at)
                    .filter_map(|record| match &record.observation {
                        Observation::SessionStateChanged(SessionState::InSession(session)) => Some(*session),
                        _ => None,
                    });
                let session = sessions_before.next_back().expect("the lost gateway had a session");
                let expired = records
                    .iter()
                    .find(|record| record.observation == Observation::SessionExpired(session))
                    .expect("the session expires");
                times_s.push((expired.at - lost_at).as_secs_f64());
            }
            println!("{gateway_count} gateways, one {fault_name}: its session expires after {} s (median, 95th percentile, maximum of 20)", percentiles(times_s));
        }
    }
}

/// Disk space that the audit log takes:
/// `cargo test --release -p weldworks-testbed --test fleet_scenarios measure_audit_log_size -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn measure_audit_log_size() {
    use weldworks_fleet::audit::{decode_header, ProcessState, SegmentBuilder, SegmentCursor, SegmentWriter};
    use weldworks_fleet::audit::{AuditLog, Decision, DecisionKind};
    use weldworks_fleet::version::{Incarnation, ListVersion, Version};
    let version = |index| Version {
        list: ListVersion { lineage: "register".into(), index },
        build: "0.2.0".into(),
        ..Version::default()
    };
    for requests_per_s in [0u64, 8, 200, 2000] {
        let mut audit = AuditLog::new(Duration::ZERO, version(1));
        let writer = SegmentWriter { process: Incarnation(7), began_unix_ms: 0, opened_unix_ms: 0 };
        let (mut builder, mut cursor) =
            (SegmentBuilder::new(writer, 1), SegmentCursor::start(Duration::ZERO));
        let (mut retained_bytes, mut open_segment) = (0usize, (1, 0));
        let (mut loop_time, mut thread_time, mut longest_delta, mut written_bytes, mut request_number) =
            (Duration::ZERO, Duration::ZERO, Duration::ZERO, 0usize, 0u64);
        let delta_count: u64 = 2 * 600;
        for delta_number in 0..delta_count {
            let now = Duration::from_millis(500 * (delta_number + 1));
            if delta_number % 60 == 0 {
                audit.set_version(now - Duration::from_millis(500), version(delta_number / 60 + 2));
            }
            for request_in_delta in 0..requests_per_s / 2 {
                request_number += 1;
                let id = format!("{:016x}", request_number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
                let name = format!("n{}", id.len() as u64 + request_number % 12);
                let class = (request_number % 5) as usize;
                let at = now - Duration::from_millis(500 - request_in_delta * 1000 / requests_per_s);
                audit.record_decision(
                    at,
                    Decision { kind: DecisionKind::Pick, class, request_id: &id, endpoint: Some(&name) },
                );
            }
            let started_at = std::time::Instant::now();
            let delta = audit.segment_since(&cursor, now, ProcessState::Running);
            loop_time += started_at.elapsed();
            longest_delta = longest_delta.max(started_at.elapsed());
            cursor = delta.cursor;
            let started_at = std::time::Instant::now();
            let record = builder.append(delta.segment, delta.steps, 0);
            thread_time += started_at.elapsed();
            assert!(decode_header(&record.header).is_some());
            let size = record.header.len() + record.segment.len() + record.steps.len();
            written_bytes += size;
            if record.number != open_segment.0 {
                retained_bytes += open_segment.1;
            }
            open_segment = (record.number, size);
        }
        let (retained_mb_per_day, deltas_in_millions) =
            (144.0 * (retained_bytes + open_segment.1) as f64 / 1e6, delta_count as f64 / 1e6);
        println!(
            "{requests_per_s:>5} requests a second: {retained_mb_per_day:>8.1} MB a day retained, {:>8.1} MB a day written; each delta {:.0} us on the event loop, at most {longest_delta:?}, and {:.0} us in the writer thread",
            144.0 * written_bytes as f64 / 1e6,
            loop_time.as_secs_f64() / deltas_in_millions,
            thread_time.as_secs_f64() / deltas_in_millions,
        );
    }
}
