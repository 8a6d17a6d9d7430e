//! Tests of the platform's file: the shipped example, and damaged copies of the example.

use super::*;
use proptest::prelude::*;

#[test]
fn the_shipped_example_is_valid() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/platform.example.json");
    let config = PlatformConfig::check(Path::new(file)).expect("the shipped example is valid");
    assert_eq!(config.classes, ["timetable", "room-status", "enrol-pay", "book-room"]);
    assert_eq!(config.known_endpoints.endpoints.len(), 2);
}

proptest! {
    /// A platform's file is damaged while it is written or copied. It must be accepted completely, with values that allow requests to be
    /// served, or rejected completely.
    #[test]
    fn a_damaged_file_is_accepted_completely_or_not_at_all(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0usize..4), 1..6),
    ) {
        let good = include_str!("../../../../../deploy/platform.example.json");
        let running = PlatformConfig::parse(Path::new("good"), good, None, AddressSource::File).expect("the example is valid").document;
        let mut bytes = good.as_bytes().to_vec();
        for (at, byte, how) in changes {
            let at = at.index(bytes.len());
            match how {
                0 => bytes[at] = byte,
                1 if bytes.len() > 1 => drop(bytes.remove(at)),
                1 | 2 => bytes.truncate(at.max(1)),
                _ => bytes.insert(at, b"-0.e19"[usize::from(byte) % 6]),
            }
        }
        let text = String::from_utf8_lossy(&bytes);
        match PlatformConfig::parse(Path::new("damaged"), &text, Some(&running), AddressSource::File) {
            Ok(config) => {
                let classes: Vec<_> = config.named_classes().collect();
                prop_assert!(!classes.is_empty() && config.settings.max_attempts > 0);
                prop_assert!(classes.iter().all(|(name, c)| !name.is_empty() && !c.deadline.is_zero()), "{:?}", classes);
            }
            Err(error) => prop_assert!(error.to_string().len() < 4000, "{}", error),
        }
    }
}
