//! Tests of finding message boundaries in a stream, however the stream is split into reads and writes.

use super::*;
use proptest::prelude::*;

const PLAIN: &str = "POST /a HTTP/1.1\r\nContent-LENGTH: 4\r\nX-Note: content-length: 9\r\n\r\nbody";
const NO_BODY: &str = "GET /a HTTP/1.1\r\nX-Content-Length: 7\r\n\r\n";
const CHUNKED: &str =
    "\r\nPOST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nGET \r\n0a\r\n0123456789\r\n0\r\nContent-Length: 3\r\n\r\n";
const AMBIGUOUS: [&str; 2] = [
    "POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n",
    "POST /a HTTP/1.1\nContent-Length: 4\nTRANSFER-ENCODING: chunked\n\n",
];

#[test]
fn a_head_with_both_headers_is_ambiguous_and_so_are_all_later_heads() {
    for both in AMBIGUOUS {
        let mut framing = MessageFraming::default();
        framing.strip_chunk_extensions(&mut [PLAIN, CHUNKED, NO_BODY, both, PLAIN].concat().into_bytes());
        let plain: Vec<bool> = (1..=6).map(|n| framing.is_unambiguous(n)).collect();
        assert_eq!(plain, [true, true, true, false, false, false], "{both:?}");
    }
}

#[test]
fn a_head_inside_a_body_does_not_count() {
    let mut framing = MessageFraming::default();
    framing.strip_chunk_extensions(
        &mut b"POST /a HTTP/1.1\r\nContent-Length: 31\r\n\r\nGET /b HTTP/1.1\r\nHost: hidden\r\n\r\n"
            .to_vec(),
    );
    assert_eq!(framing.complete_heads, 1);
    framing.strip_chunk_extensions(&mut b"GET /c HTTP/1.1\r\n".to_vec());
    assert!(!framing.is_unambiguous(2), "an incomplete head counts as unambiguous");
    framing.strip_chunk_extensions(&mut b"\r\n".to_vec());
    assert!(framing.is_unambiguous(2));
}

const RESPONSES: [&str; 6] = [
    "HTTP/1.1 200 Fine\r\nContent-Length: 4\r\n\r\nbody",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\n4;x=\r\n0;z\r\n\r\n",
    "HTTP/1.1 204 Nothing\r\nContent-Length: 9\r\n\r\n",
    "HTTP/1.0 503 No\r\nX: transfer-encoding: chunked\r\ncontent-length: 0\r\n\r\n",
    // A body that extends to the end of the connection, even where the body looks like another response.
    "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\n",
    "noise\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\n",
];

/// Strips chunk extensions from a stream that arrives in pieces, whose lengths are taken in turn from `cuts`.
fn strip_in_pieces(framing: &mut MessageFraming, stream: &str, cuts: &[usize]) -> String {
    let mut unread = stream.as_bytes();
    let mut cut = cuts.iter().cycle();
    let mut stripped = Vec::new();
    while !unread.is_empty() {
        let (piece, remainder) = unread.split_at((*cut.next().expect("cuts is empty")).min(unread.len()));
        let mut piece = piece.to_vec();
        let retained = framing.strip_chunk_extensions(&mut piece);
        stripped.extend_from_slice(&piece[..retained]);
        unread = remainder;
    }
    String::from_utf8(stripped).expect("the stripped stream is not UTF-8")
}

proptest! {
    /// Only the chunk extensions of responses are stripped, however the stream is split.
    #[test]
    fn responses_lose_nothing_but_chunk_extensions(kinds in prop::collection::vec(0usize..6, 0..8), cuts in prop::collection::vec(1usize..30, 1..20)) {
        let stream: String = kinds.iter().map(|kind| RESPONSES[*kind]).collect();
        let mut framing = MessageFraming::for_responses();
        let stripped = strip_in_pieces(&mut framing, &stream, &cuts);
        let tracked = kinds.iter().position(|kind| *kind > 3).unwrap_or(kinds.len());
        let (tracked, untracked) = kinds.split_at(tracked);
        let text = |kinds: &[usize]| kinds.iter().map(|kind| RESPONSES[*kind]).collect::<String>();
        let expected = text(tracked).replace("\n4;x=y", "\n4").replace("\n0;z", "\n0") + &text(untracked);
        prop_assert_eq!(stripped, expected);
    }

    /// However a stream of requests is split, the same messages are found: the ones that the stream was made of.
    #[test]
    fn splits_do_not_change_which_messages_are_found(kinds in prop::collection::vec(0usize..5, 0..12), cuts in prop::collection::vec(1usize..40, 1..20)) {
        let messages: Vec<&str> = kinds.iter().map(|kind| [PLAIN, NO_BODY, CHUNKED, AMBIGUOUS[0], AMBIGUOUS[1]][*kind]).collect();
        let stream = messages.concat();
        let mut framing = MessageFraming::default();
        let stripped = strip_in_pieces(&mut framing, &stream, &cuts);
        let plain_count = kinds.iter().position(|kind| *kind > 2).map_or(kinds.len(), |at| at);
        for number in 1..=kinds.len() {
            prop_assert_eq!(framing.is_unambiguous(number as u64), number <= plain_count, "{}", number);
        }
        // Only the chunk extension is stripped, and only while message boundaries can be determined.
        let (tracked, untracked) = messages.split_at(plain_count);
        let expected = tracked.concat().replace("4;x=y", "4") + &untracked.concat();
        prop_assert_eq!(stripped, expected);
    }

    /// In whatever pieces requests are written, the end of each request is found with its last byte and not before.
    #[test]
    fn the_end_of_each_message_is_its_last_byte(kinds in prop::collection::vec(0usize..3, 1..8), cuts in prop::collection::vec(1usize..40, 1..20)) {
        let messages: Vec<&str> = kinds.iter().map(|kind| [PLAIN, NO_BODY, CHUNKED][*kind]).collect();
        let ends: Vec<usize> = messages.iter().scan(0, |at, m| { *at += m.len(); Some(*at) }).collect();
        let stream = messages.concat();
        let mut framing = MessageFraming::default();
        let mut at = 0;
        for cut in cuts.iter().cycle() {
            let to = (at + cut).min(stream.len());
            framing.scan(&stream.as_bytes()[at..to]);
            at = to;
            let ended = ends.iter().filter(|end| **end <= at).count() as u64;
            prop_assert_eq!(framing.complete_messages(), Some(ended), "at {}", at);
            if at == stream.len() {
                break;
            }
        }
        framing.scan(AMBIGUOUS[0].as_bytes());
        prop_assert_eq!(framing.complete_messages(), None, "messages after an ambiguous request are counted");
    }

    /// No sequence of bytes causes a panic, in requests or in responses.
    #[test]
    fn arbitrary_bytes_do_not_cause_a_panic(mut bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let length = bytes.len();
        prop_assert!(MessageFraming::default().strip_chunk_extensions(&mut bytes.clone()) <= length);
        prop_assert!(MessageFraming::for_responses().strip_chunk_extensions(&mut bytes) <= length);
    }
}
