use super::super::segment::EncodedLengths;
use super::super::tests::at;
use super::*;
use crate::version::Incarnation;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// The retained segments fit the size limit, the newest segment is always retained, and steps are evicted before any whole segment.
    #[test]
    fn disk_usage_is_bounded(sizes in prop::collection::vec((1u32..50, 0u32..400), 1..60), max_bytes in 100u64..2000) {
        let limits = RetentionLimits { max_bytes, max_age: at(1_000_000) };
        let mut index = RetentionIndex::default();
        for (n, (segment_bytes, steps_bytes)) in sizes.iter().enumerate() {
            let header = SegmentHeader {
                process: Incarnation(1), began_unix_ms: 0, opened_unix_ms: 0, written_unix_ms: n as u64 * 1000, from_ms: 0, to_ms: 0,
                ended: false, list_indices: None, has_gaps: false, lengths: EncodedLengths { segment: *segment_bytes, steps: *steps_bytes },
            };
            index.insert(n as u64 + 1, &header);
            let evicted = index.evict(&limits, n as u64 * 1000);
            let newest_bytes = u64::from(*segment_bytes) + u64::from(*steps_bytes);
            prop_assert!(index.total_bytes <= max_bytes.max(newest_bytes));
            let sum: u64 = index.segments.values().map(StoredSegment::total_bytes).sum();
            prop_assert_eq!(sum, index.total_bytes);
            if evicted.iter().any(|evicted| matches!(evicted, Evicted::Segment(_))) {
                let older = index.segments.range(..index.next_number() - 1);
                let no_steps_left = older.into_iter().all(|(_, stored)| stored.steps_bytes == 0);
                prop_assert!(no_steps_left, "a segment was evicted while another segment still had steps");
            }
        }
        let later_unix_ms = 1_000_000 + 2 * sizes.len() as u64 * 1000;
        index.evict(&limits, later_unix_ms);
        prop_assert_eq!(index.segments.len(), 1, "all segments but the newest are too old");
    }
}
