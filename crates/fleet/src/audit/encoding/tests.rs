use super::super::Segment;
use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// Arbitrary bytes, and a segment with one changed bit, are not decoded and cause no panic.
    #[test]
    fn damaged_segments_are_not_decoded(bytes in prop::collection::vec(any::<u8>(), 0..200), at_byte in any::<prop::sample::Index>()) {
        prop_assert!(decompress::<Segment>(&bytes).is_none());
        let mut compressed = compress(&Segment { from_ms: 1, to_ms: 2, ..Segment::default() });
        let position = at_byte.index(compressed.len());
        compressed[position] ^= 1;
        prop_assert!(decompress::<Segment>(&compressed).is_none());
    }
}
