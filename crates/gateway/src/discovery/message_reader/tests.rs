//! Tests of reading endpoint lists from a stream, however the stream is split into reads.

use super::*;
use proptest::prelude::*;

/// Reads a text in pieces whose lengths are taken in turn from `cuts`; returns the indexes of its lists and the number of keep-alives.
fn read_all(text: &[u8], cuts: &[usize]) -> Result<(Vec<u64>, usize), ListError> {
    let mut reader = WatchMessageReader::default();
    let mut unread = text;
    let mut cut = cuts.iter().cycle();
    let mut indexes = Vec::new();
    let mut keep_alives = 0;
    while !unread.is_empty() {
        let (piece, remainder) = unread.split_at((*cut.next().expect("cuts is empty")).min(unread.len()));
        reader.push(piece);
        unread = remainder;
        while let Some(message) = reader.next_message()? {
            match message {
                WatchMessage::List(list) => indexes.push(list.index),
                WatchMessage::KeepAlive => keep_alives += 1,
            }
        }
    }
    Ok((indexes, keep_alives))
}

const ENTRY: &str = r#"{"name":"a \\\"}]{[ \\\\","address":"127.0.0.1:1","status":"leaving"}"#;

/// The text of an endpoint list in one of four layouts of white space and line breaks.
fn list_text(index: u64, layout: u8) -> String {
    let value: serde_json::Value = serde_json::from_str(&format!(
        r#"{{"index":{index},"snapshot":true,"endpoints":[{ENTRY},{ENTRY}]}}"#
    ))
    .expect("invalid JSON in the test's list");
    match layout {
        0 => format!("{value}\n"),
        1 => format!("{value:#}\n"),
        2 => format!("  {value}\r\n"),
        _ => value.to_string(),
    }
}

#[test]
fn malformed_and_overlong_lists_are_errors() {
    for wrong in ["no list", "[1]\n", "3\n", "{\"index\":}\n", "{\"index\": -4}", "\u{0}", "}"] {
        let error = read_all(wrong.as_bytes(), &[3]).expect_err(wrong).to_string();
        assert!(error.contains("not an endpoint list") && error.len() < 300, "{error}");
    }
    let overlong = "{\"name\":\"".to_owned() + &"x".repeat(MAX_LIST_BYTES + 9);
    assert!(matches!(read_all(overlong.as_bytes(), &[4096]), Err(ListError::TooLong)));
}

proptest! {
    /// However the stream is split and the lists are laid out, each list is read exactly once and in order.
    #[test]
    fn splits_and_layout_do_not_change_which_lists_are_read(
        layouts in prop::collection::vec((0u8..4, 0usize..3), 1..6), cuts in prop::collection::vec(1usize..90, 1..12),
    ) {
        let mut stream = String::new();
        let mut lines = 0;
        for (n, (layout, empty_lines)) in layouts.iter().enumerate() {
            stream += &list_text(n as u64, *layout);
            stream += &"\n".repeat(*empty_lines);
            lines += empty_lines;
        }
        let (indexes, keep_alives) = read_all(stream.as_bytes(), &cuts).expect("a valid list was rejected");
        prop_assert_eq!(indexes, (0..layouts.len() as u64).collect::<Vec<_>>());
        // The line break after a list counts as a keep-alive if it arrives in a later piece than the list, or after a carriage return.
        prop_assert!(keep_alives + layouts.len() >= lines, "{} of {}", keep_alives, lines);
    }

    /// No sequence of bytes, at the start of the stream or inside a list, causes a panic.
    #[test]
    fn arbitrary_bytes_do_not_cause_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..300), cut in 1usize..40) {
        let _ = read_all(&bytes, &[cut]);
        let _ = read_all(&[br#"{"index":"#.as_slice(), &bytes].concat(), &[cut]);
    }
}
