//! A successor reads what the active process wrote, completely or not at all.

use proptest::prelude::*;
use std::time::Duration;
use weldworks_balancer::{EndpointSnapshot, Snapshot};
use weldworks_control::hot_restart::{
    decode_snapshot, encode_snapshot, remaining_descriptors, DescriptorUsage, SnapshotError, Startup,
    StartupProgress, StartupWait, MAX_SNAPSHOT_AGE, MAX_SNAPSHOT_BYTES,
};

const NOW: Duration = Duration::from_secs(1_800_000_000);

fn snapshot(endpoints: Vec<EndpointSnapshot>, rates: [f64; 3], mean_latency_s: f64) -> Snapshot {
    let [served_per_s, first_attempts_per_s, served_per_warm_endpoint_per_s] = rates;
    Snapshot { endpoints, served_per_s, first_attempts_per_s, served_per_warm_endpoint_per_s, mean_latency_s }
}

fn any_snapshot() -> impl Strategy<Value = Snapshot> {
    let endpoint = (any::<u64>(), 1e-6..500.0f64)
        .prop_map(|(name_hash, latency_estimate_s)| EndpointSnapshot { name_hash, latency_estimate_s });
    let rates = [0.0..1e6f64, 0.0..1e6f64, 0.0..1e3f64];
    (prop::collection::vec(endpoint, 0..40), rates, 0.0..10.0f64)
        .prop_map(|(endpoints, rates, mean_latency_s)| snapshot(endpoints, rates, mean_latency_s))
}

proptest! {
    #[test]
    fn a_snapshot_is_decoded_exactly(snapshot in any_snapshot(), age_ms in 0u64..5000) {
        let text = encode_snapshot(&snapshot, NOW - Duration::from_millis(age_ms));
        prop_assert_eq!(decode_snapshot(&text, NOW), Ok(snapshot));
    }

    /// A process is killed while it writes its snapshot, or a byte of the file is damaged. The successor then starts
    /// without learned state; values out of range must never reach the balancer.
    #[test]
    fn a_truncated_or_damaged_text_is_rejected_or_valid(snapshot in any_snapshot(), position in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let text = encode_snapshot(&snapshot, NOW);
        let truncated = &text[..position.index(text.len())];
        prop_assert!(decode_snapshot(truncated, NOW).is_err(), "{:?}", truncated);
        let mut damaged = text.clone().into_bytes();
        damaged[position.index(text.len())] = byte;
        // A digit may have become another digit, which can't be noticed.
        if let Ok(snapshot) = decode_snapshot(&String::from_utf8_lossy(&damaged), NOW) {
            prop_assert!(snapshot.is_valid());
        }
    }

    #[test]
    fn decoding_never_panics(text in "(ottervane-handover 2\nwritten [0-9]{0,20}\n)?(traffic|host|end|[ 0-9a-f.\n-]){0,40}") {
        let _ = decode_snapshot(&text, NOW);
    }
}

#[test]
fn an_invalid_snapshot_is_rejected_with_its_cause_and_line() {
    let valid =
        snapshot(vec![EndpointSnapshot { name_hash: 7, latency_estimate_s: 0.05 }], [10.0, 12.0, 3.0], 0.05);
    let text = encode_snapshot(&valid, NOW);
    assert_eq!(
        decode_snapshot(&text.replace("handover 2", "handover 1"), NOW),
        Err(SnapshotError::UnknownFormat)
    );
    assert_eq!(decode_snapshot("", NOW), Err(SnapshotError::UnknownFormat));
    assert_eq!(
        decode_snapshot(&text, NOW + MAX_SNAPSHOT_AGE + Duration::from_millis(1)),
        Err(SnapshotError::Expired(5001))
    );
    assert_eq!(
        decode_snapshot(&text, NOW - Duration::from_secs(1)),
        Err(SnapshotError::Expired(-1000)),
        "a snapshot from the future is rejected"
    );
    for estimate in ["NaN", "inf", "-0.05", "0", "1e300", "soon"] {
        assert_eq!(
            decode_snapshot(&text.replace("7 0.05", &format!("7 {estimate}")), NOW),
            Err(SnapshotError::InvalidLine(4)),
            "{estimate}"
        );
    }
    assert_eq!(decode_snapshot(&text.replace("10 12", "-1 12"), NOW), Err(SnapshotError::InvalidLine(3)));
    assert_eq!(decode_snapshot(&text.replace("end 1", "end 2"), NOW), Err(SnapshotError::Truncated));
    assert_eq!(decode_snapshot(&(text.clone() + "host 1 1\n"), NOW), Err(SnapshotError::Truncated));
    assert_eq!(decode_snapshot(&"x".repeat(MAX_SNAPSHOT_BYTES + 1), NOW), Err(SnapshotError::TooLong));
}

#[test]
fn a_new_process_waits_for_discovery_and_an_active_endpoint_within_limits() {
    let ms = Duration::from_millis;
    let startup = Startup { shared_listener: true, started_at: NOW };
    let cases = [
        (0, false, true, Some(StartupWait::Discovery)),
        (2499, false, true, Some(StartupWait::Discovery)),
        (2500, false, true, None),
        (10, true, true, None),
        (10, true, false, Some(StartupWait::Endpoints)),
        (2500, false, false, Some(StartupWait::Endpoints)),
        (5999, true, false, Some(StartupWait::Endpoints)),
        (6000, false, false, None),
    ];
    for (after_ms, discovery_answered, has_active_endpoint, expected) in cases {
        let progress = StartupProgress { discovery_answered, has_active_endpoint };
        assert_eq!(
            startup.waiting_for(NOW + ms(after_ms), progress),
            expected,
            "{after_ms} ms, {progress:?}"
        );
        let sole_process = Startup { shared_listener: false, ..startup };
        assert_eq!(sole_process.waiting_for(NOW + ms(after_ms), progress), None);
    }
}

proptest! {
    #[test]
    fn descriptor_counts_are_decoded_completely_or_rejected(clients in 0usize..2_000_000, overflow in 0usize..100, endpoints in 0usize..5000, length in 0usize..21, noise in ".{0,24}") {
        let usage = DescriptorUsage { clients, overflow, endpoints };
        let text = usage.encode();
        prop_assert_eq!(DescriptorUsage::decode(&text), Some(DescriptorUsage { clients: clients.min(999_999), ..usage }));
        prop_assert_eq!(DescriptorUsage::decode(&text[..length.min(text.len() - 1)]), None);
        let _ = DescriptorUsage::decode(&noise);
    }

    /// Two processes open and close descriptors in any order. If they exceeded
    /// the limit together, accepting and connecting would fail in both processes.
    #[test]
    fn two_processes_that_know_each_others_usage_stay_within_one_limit(limit in 1usize..200, steps in prop::collection::vec((0usize..2, any::<bool>()), 0..400)) {
        let mut open = [0usize; 2];
        for (process, opens) in steps {
            let own_usage = open[process];
            let peer_usage = open[1 - process];
            if opens && own_usage < remaining_descriptors(limit, peer_usage) {
                open[process] += 1;
            } else if !opens && own_usage > 0 {
                open[process] -= 1;
            }
            prop_assert!(open[0] + open[1] <= limit);
        }
    }
}

/// Processes of version 0.2.0 and of this version succeed each other in
/// both directions, so the text of a snapshot stays the same to the byte.
#[test]
fn the_snapshot_text_is_that_of_version_0_2_0() {
    let text = include_str!("fixtures/hot-restart-snapshot.txt");
    let decoded = decode_snapshot(text, NOW).expect("the snapshot of version 0.2.0 is valid");
    let endpoints =
        [(0x00ff_1234_5678_9abc, 0.05), (u64::MAX, 1e-6), (7, 0.123_456_789_012_345_68), (9, 600.0)];
    let endpoints = endpoints
        .map(|(name_hash, latency_estimate_s)| EndpointSnapshot { name_hash, latency_estimate_s })
        .into();
    assert_eq!(decoded, snapshot(endpoints, [10.25, 12.5, 0.1 + 0.2], 0.0875));
    assert_eq!(encode_snapshot(&decoded, NOW), text);
}
