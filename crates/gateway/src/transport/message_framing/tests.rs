//! Tests of finding messages in a stream, however it is cut.

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
fn a_head_with_both_headers_is_ambiguous_and_so_is_all_behind_it() {
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
    assert!(!framing.is_unambiguous(2), "not complete");
    framing.strip_chunk_extensions(&mut b"\r\n".to_vec());
    assert!(framing.is_unambiguous(2));
}

const RESPONSES: [&str; 6] = [
    "HTTP/1.1 200 Fine\r\nContent-Length: 4\r\n\r\nbody",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\n4;x=\r\n0;z\r\n\r\n",
    "HTTP/1.1 204 Nothing\r\nContent-Length: 9\r\n\r\n",
    "HTTP/1.0 503 No\r\nX: transfer-encoding: chunked\r\ncontent-length: 0\r\n\r\n",
    // To the end of the connection: what stands in there is a body, whatever it looks like.
    "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\n",
    "noise\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\n",
];

/// What is left of a text that arrives in pieces of these lengths, by turns.
fn strip_in_pieces(framing: &mut MessageFraming, stream: &str, cuts: &[usize]) -> String {
    let mut rest = stream.as_bytes();
    let mut cut = cuts.iter().cycle();
    let mut passed = Vec::new();
    while !rest.is_empty() {
        let (piece, behind) = rest.split_at((*cut.next().expect("endless")).min(rest.len()));
        let mut piece = piece.to_vec();
        let kept = framing.strip_chunk_extensions(&mut piece);
        passed.extend_from_slice(&piece[..kept]);
        rest = behind;
    }
    String::from_utf8(passed).expect("text")
}

proptest! {
    /// The extensions of a response's chunks are all that is ever stripped, however it is cut.
    #[test]
    fn responses_lose_nothing_but_extensions(kinds in prop::collection::vec(0usize..6, 0..8), cuts in prop::collection::vec(1usize..30, 1..20)) {
        let stream: String = kinds.iter().map(|kind| RESPONSES[*kind]).collect();
        let mut framing = MessageFraming::for_responses();
        let passed = strip_in_pieces(&mut framing, &stream, &cuts);
        let followed = kinds.iter().position(|kind| *kind > 3).unwrap_or(kinds.len());
        let (followed, lost) = kinds.split_at(followed);
        let text = |kinds: &[usize]| kinds.iter().map(|kind| RESPONSES[*kind]).collect::<String>();
        let wanted = text(followed).replace("\n4;x=y", "\n4").replace("\n0;z", "\n0") + &text(lost);
        prop_assert_eq!(passed, wanted);
    }

    /// However a stream is cut, the same is seen; the model is the list of messages that it was made of.
    #[test]
    fn cuts_do_not_change_what_is_seen(kinds in prop::collection::vec(0usize..5, 0..12), cuts in prop::collection::vec(1usize..40, 1..20)) {
        let messages: Vec<&str> = kinds.iter().map(|kind| [PLAIN, NO_BODY, CHUNKED, AMBIGUOUS[0], AMBIGUOUS[1]][*kind]).collect();
        let stream = messages.concat();
        let mut framing = MessageFraming::default();
        let passed = strip_in_pieces(&mut framing, &stream, &cuts);
        let plain_count = kinds.iter().position(|kind| *kind > 2).map_or(kinds.len(), |at| at);
        for number in 1..=kinds.len() {
            prop_assert_eq!(framing.is_unambiguous(number as u64), number <= plain_count, "{}", number);
        }
        // All that is stripped is the extension, where messages can be followed.
        let (followed, lost) = messages.split_at(plain_count);
        let wanted = followed.concat().replace("4;x=y", "4") + &lost.concat();
        prop_assert_eq!(passed, wanted);
    }

    /// However requests are written, their ends are seen with their last byte and not before.
    #[test]
    fn the_end_of_each_message_is_its_last_byte(kinds in prop::collection::vec(0usize..3, 1..8), cuts in prop::collection::vec(1usize..40, 1..20)) {
        let messages: Vec<&str> = kinds.iter().map(|kind| [PLAIN, NO_BODY, CHUNKED][*kind]).collect();
        let ends: Vec<usize> = messages.iter().scan(0, |at, m| { *at += m.len(); Some(*at) }).collect();
        let stream = messages.concat();
        let mut framing = MessageFraming::default();
        let mut at = 0;
        for cut in cuts.iter().cycle() {
            let to = (at + cut).min(stream.len());
            framing.follow(&stream.as_bytes()[at..to]);
            at = to;
            let ended = ends.iter().filter(|end| **end <= at).count() as u64;
            prop_assert_eq!(framing.complete_messages(), Some(ended), "at {}", at);
            if at == stream.len() {
                break;
            }
        }
        framing.follow(AMBIGUOUS[0].as_bytes());
        prop_assert_eq!(framing.complete_messages(), None, "it can't be followed");
    }

    /// No input causes a panic.
    #[test]
    fn noise_does_not_cause_a_panic(mut bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let length = bytes.len();
        prop_assert!(MessageFraming::default().strip_chunk_extensions(&mut bytes.clone()) <= length);
        prop_assert!(MessageFraming::for_responses().strip_chunk_extensions(&mut bytes) <= length);
    }
}
