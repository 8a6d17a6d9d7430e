//! What one process writes is read back by the next, whole or not at all.

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

fn memory() -> impl Strategy<Value = Snapshot> {
    let host = (any::<u64>(), 1e-6..500.0f64)
        .prop_map(|(hash, e)| EndpointSnapshot { name_hash: hash, latency_estimate_s: e });
    let rates = [0.0..1e6f64, 0.0..1e6f64, 0.0..1e3f64];
    (prop::collection::vec(host, 0..40), rates, 0.0..10.0f64)
        .prop_map(|(endpoints, rates, mean_latency_s)| snapshot(endpoints, rates, mean_latency_s))
}

proptest! {
    #[test]
    fn what_is_written_is_read_back_to_the_last_digit(memory in memory(), age in 0u64..5000) {
        let text = encode_snapshot(&memory, NOW - Duration::from_millis(age));
        prop_assert_eq!(decode_snapshot(&text, NOW), Ok(memory));
    }

    /// A process that is killed while it writes, or a file of noise, costs the memory and nothing else.
    #[test]
    fn a_torn_or_spoilt_text_is_passed_over(memory in memory(), at in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let text = encode_snapshot(&memory, NOW);
        let torn = &text[..at.index(text.len())];
        prop_assert!(decode_snapshot(torn, NOW).is_err(), "{:?}", torn);
        let mut spoilt = text.clone().into_bytes();
        spoilt[at.index(text.len())] = byte;
        // A digit may have become another one: then the figures hold, and are as good as any.
        if let Ok(memory) = decode_snapshot(&String::from_utf8_lossy(&spoilt), NOW) {
            prop_assert!(memory.is_valid());
        }
    }

    #[test]
    fn nothing_makes_it_panic(text in "(ottervane-handover 2\nwritten [0-9]{0,20}\n)?(traffic|host|end|[ 0-9a-f.\n-]){0,40}") {
        let _ = decode_snapshot(&text, NOW);
    }
}

#[test]
fn what_can_not_be_is_told_with_its_line() {
    let memory =
        snapshot(vec![EndpointSnapshot { name_hash: 7, latency_estimate_s: 0.05 }], [10.0, 12.0, 3.0], 0.05);
    let text = encode_snapshot(&memory, NOW);
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
        "from the future"
    );
    for figure in ["NaN", "inf", "-0.05", "0", "1e300", "soon"] {
        assert_eq!(
            decode_snapshot(&text.replace("7 0.05", &format!("7 {figure}")), NOW),
            Err(SnapshotError::InvalidLine(4)),
            "{figure}"
        );
    }
    assert_eq!(decode_snapshot(&text.replace("10 12", "-1 12"), NOW), Err(SnapshotError::InvalidLine(3)));
    assert_eq!(decode_snapshot(&text.replace("end 1", "end 2"), NOW), Err(SnapshotError::Truncated));
    assert_eq!(decode_snapshot(&(text.clone() + "host 1 1\n"), NOW), Err(SnapshotError::Truncated));
    assert_eq!(decode_snapshot(&"x".repeat(MAX_SNAPSHOT_BYTES + 1), NOW), Err(SnapshotError::TooLong));
}

#[test]
fn a_process_takes_clients_once_it_can_serve_them_or_there_is_nobody_better() {
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
    for (after, discovery_answered, has_active_endpoint, expected) in cases {
        let progress = StartupProgress { discovery_answered, has_active_endpoint };
        assert_eq!(startup.waiting_for(NOW + ms(after), progress), expected, "{after} ms, {progress:?}");
        let alone = Startup { shared_listener: false, ..startup };
        assert_eq!(alone.waiting_for(NOW + ms(after), progress), None);
    }
}

proptest! {
    #[test]
    fn counts_are_read_back_or_passed_over(clients in 0usize..2_000_000, overflow in 0usize..100, hosts in 0usize..5000, cut in 0usize..21, noise in ".{0,24}") {
        let held = DescriptorUsage { clients, overflow, endpoints: hosts };
        let text = held.encode();
        prop_assert_eq!(DescriptorUsage::decode(&text), Some(DescriptorUsage { clients: clients.min(999_999), ..held }));
        prop_assert_eq!(DescriptorUsage::decode(&text[..cut.min(text.len() - 1)]), None);
        let _ = DescriptorUsage::decode(&noise);
    }

    /// Both together never have more than there are, whoever takes what in which order, as long as each knows of the other.
    #[test]
    fn two_that_know_of_each_other_stay_within_one_limit(most in 1usize..200, takes in prop::collection::vec((any::<bool>(), any::<bool>()), 0..400)) {
        let mut open = [0usize; 2];
        for (who, takes) in takes {
            let (own, other) = (open[usize::from(who)], open[usize::from(!who)]);
            match takes {
                true if own < remaining_descriptors(most, other) => open[usize::from(who)] += 1,
                false if own > 0 => open[usize::from(who)] -= 1,
                _ => {}
            }
            prop_assert!(open[0] + open[1] <= most);
        }
    }
}

/// A process of version 0.2.0 hands on to this one, and this one to it: the text is the same to the letter.
#[test]
fn the_text_is_that_of_version_0_2_0() {
    let text = include_str!("fixtures/hot-restart-snapshot.txt");
    let memory = decode_snapshot(text, NOW).expect("it is read");
    let hosts = [(0x00ff_1234_5678_9abc, 0.05), (u64::MAX, 1e-6), (7, 0.123_456_789_012_345_68), (9, 600.0)];
    let hosts = hosts.map(|(hash, e)| EndpointSnapshot { name_hash: hash, latency_estimate_s: e }).into();
    assert_eq!(memory, snapshot(hosts, [10.25, 12.5, 0.1 + 0.2], 0.0875));
    assert_eq!(encode_snapshot(&memory, NOW), text);
}
