//! Where each message on a connection begins and ends, told from its bytes alone: requests of a client, or answers of a host.
//!
//! The HTTP library frames requests itself, but drops a `Content-Length` that comes behind a `Transfer-Encoding` and says nothing of
//! it. Such a request may hide another: somebody who goes by the length reads something else. So each head is looked over
//! as it comes for the two words. The scan keeps a few dozen bytes and skips over bodies.
//!
//! The library also gives a body up whose chunks bring 16 KiB of extensions together. What follows the framing takes them off.

/// The two names that matter, and what begins each.
const LENGTH: &[u8] = b"content-length";
const ENCODING: &[u8] = b"transfer-encoding";
/// Of an answer's first line, as far as its status.
const STATUS: usize = "HTTP/1.1 200".len();
/// The longest chunk size that is followed, in digits.
const DIGITS: u32 = 15;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// In the request line, with something in it or not: empty lines ahead of one are passed over.
    First(bool),
    /// In a header's name, after so many bytes.
    Name(usize),
    /// In a header's value.
    Value(Header),
    /// In a body of which so much is to come.
    Body(u64),
    /// In a chunk's size: so far, its digits, and whether they are over.
    Size(u64, u32, bool),
    /// In a chunk of which so much is to come, its line's end included.
    Chunk(u64),
    /// In the trailer, after so many bytes of a line.
    Trailer(usize),
    /// It can't be followed from here on.
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Header {
    Length,
    Encoding,
    Other,
}

/// The messages on one connection, in the order in which they come.
#[derive(Debug)]
pub struct Framing {
    state: State,
    /// They are answers, which end by their status too, and by the connection's end.
    answers: bool,
    /// How much of the first line is kept, where it is looked at, and the status that stood there.
    first: usize,
    status: u16,
    name: [u8; ENCODING.len()],
    length: Option<u64>,
    encoded: bool,
    /// Heads that were followed to their end.
    heads: u64,
    /// The one of them that says both.
    ambiguous: Option<u64>,
}

impl Default for Framing {
    fn default() -> Framing {
        let (answers, first, status, length, encoded, heads, ambiguous) = Default::default();
        let (state, name) = (State::First(false), [0; ENCODING.len()]);
        Framing { state, answers, first, status, name, length, encoded, heads, ambiguous }
    }
}

impl Framing {
    /// For the answers of a host; else it follows requests.
    pub fn of_answers() -> Framing {
        Framing { answers: true, ..Framing::default() }
    }

    /// Whether the head of the request with this number, counted from 1, was seen whole and says at most one of the two.
    pub fn is_plain(&self, number: u64) -> bool {
        self.heads >= number && self.ambiguous.is_none_or(|at| number < at)
    }

    /// Takes what has come, drops the extensions of chunks from it, and gives how much is left. The library allows 16 KiB of them a
    /// body, which a long one in small chunks passes; nobody reads them.
    pub fn take(&mut self, bytes: &mut [u8]) -> usize {
        let (mut kept, mut at) = (0, 0);
        while let Some(&byte) = bytes.get(at) {
            let rest = bytes.len() - at;
            let taken = match self.state {
                State::Lost => rest,
                State::Body(left) | State::Chunk(left) => {
                    let skipped = left.min(rest as u64);
                    let left = left - skipped;
                    self.state = match self.state {
                        State::Body(_) if left == 0 => State::First(false),
                        State::Body(_) => State::Body(left),
                        _ if left == 0 => State::Size(0, 0, false),
                        _ => State::Chunk(left),
                    };
                    skipped as usize
                }
                State::Value(Header::Other) | State::First(true)
                    if byte != b'\n' && (!self.answers || self.first >= STATUS) =>
                {
                    bytes[at..].iter().position(|&b| b == b'\n').unwrap_or(rest)
                }
                _ => {
                    self.step(byte);
                    if matches!(self.state, State::Size(_, _, true)) && byte != b'\r' {
                        at += 1; // within an extension
                        continue;
                    }
                    1
                }
            };
            if kept < at {
                bytes.copy_within(at..at + taken, kept);
            }
            (kept, at) = (kept + taken, at + taken);
        }
        kept
    }

    fn step(&mut self, byte: u8) {
        self.state = match (self.state, byte) {
            (State::First(false), b'\r' | b'\n') => State::First(false),
            (State::First(_), b'\n') => {
                (self.length, self.encoded) = (None, false);
                let digits = self.name.get(STATUS - 3..self.first).and_then(|d| std::str::from_utf8(d).ok());
                self.status = digits.and_then(|digits| digits.parse().ok()).unwrap_or(0);
                self.first = 0;
                State::Name(0)
            }
            (State::First(_), byte) => {
                if self.answers && self.first < STATUS {
                    self.name[self.first] = byte;
                    self.first += 1;
                }
                State::First(true)
            }
            (State::Name(0), b'\r') => State::Name(0),
            (State::Name(0), b'\n') => self.head_ends(),
            (State::Name(_), b'\n') => State::Name(0),
            (State::Name(n), b':') => State::Value(self.header(n)),
            (State::Name(n), byte) => {
                if let Some(place) = self.name.get_mut(n) {
                    *place = byte.to_ascii_lowercase();
                }
                State::Name((n + 1).min(self.name.len() + 1))
            }
            (State::Value(_), b'\n') => State::Name(0),
            (State::Value(Header::Length), byte) => {
                if let Some(digit) = (byte as char).to_digit(10) {
                    let length = self.length.unwrap_or(0);
                    self.length = Some(length.saturating_mul(10).saturating_add(u64::from(digit)));
                }
                self.state
            }
            (State::Value(_), _) => self.state,
            (State::Size(0, 1.., _), b'\n') => State::Trailer(0),
            (State::Size(size, 1.., _), b'\n') => State::Chunk(size + 2),
            (State::Size(size, digits, false), byte) => match (byte as char).to_digit(16) {
                Some(digit) if digits < DIGITS => {
                    State::Size(size * 16 + u64::from(digit), digits + 1, false)
                }
                None if digits > 0 && matches!(byte, b'\r' | b';' | b' ' | b'\t') => {
                    State::Size(size, digits, true)
                }
                _ => State::Lost,
            },
            (State::Size(size, digits, true), _) => State::Size(size, digits, true),
            (State::Trailer(0), b'\n') => State::First(false),
            (State::Trailer(_), b'\n') => State::Trailer(0),
            (State::Trailer(n), b'\r') => State::Trailer(n),
            (State::Trailer(n), _) => State::Trailer((n + 1).min(2)),
            (State::Body(_) | State::Chunk(_) | State::Lost, _) => State::Lost,
        };
    }

    fn header(&mut self, length: usize) -> Header {
        match self.name.get(..length) {
            Some(LENGTH) => {
                self.length.get_or_insert(0);
                Header::Length
            }
            Some(ENCODING) => {
                self.encoded = true;
                Header::Encoding
            }
            _ => Header::Other,
        }
    }

    fn head_ends(&mut self) -> State {
        self.heads += 1;
        match (self.answers, self.status) {
            (false, _) => {}
            // Another answer follows, or this one has no body.
            (true, 100 | 102..=199 | 204 | 304) => return State::First(false),
            // To the connection's end, or no answer at all.
            (true, _) if !self.encoded && self.length.is_none() => return State::Lost,
            (true, 200..=599) => {}
            (true, _) => return State::Lost,
        }
        match (self.encoded, self.length) {
            (true, Some(_)) => {
                self.ambiguous = Some(self.heads);
                State::Lost
            }
            (true, None) => State::Size(0, 0, false),
            (false, Some(length)) if length > 0 => State::Body(length),
            (false, _) => State::First(false),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const PLAIN: &str = "POST /a HTTP/1.1\r\nContent-LENGTH: 4\r\nX-Note: content-length: 9\r\n\r\nbody";
    const NONE: &str = "GET /a HTTP/1.1\r\nX-Content-Length: 7\r\n\r\n";
    const CHUNKED: &str =
        "\r\nPOST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nGET \r\n0a\r\n0123456789\r\n0\r\nContent-Length: 3\r\n\r\n";
    const BOTH: [&str; 2] = [
        "POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n",
        "POST /a HTTP/1.1\nContent-Length: 4\nTRANSFER-ENCODING: chunked\n\n",
    ];

    #[test]
    fn a_head_that_says_both_is_told_and_nothing_behind_it_is_believed() {
        for both in BOTH {
            let mut framing = Framing::default();
            framing.take(&mut [PLAIN, CHUNKED, NONE, both, PLAIN].concat().into_bytes());
            let plain: Vec<bool> = (1..=6).map(|n| framing.is_plain(n)).collect();
            assert_eq!(plain, [true, true, true, false, false, false], "{both:?}");
        }
    }

    #[test]
    fn what_hides_in_a_body_is_no_head() {
        let mut framing = Framing::default();
        framing.take(
            &mut b"POST /a HTTP/1.1\r\nContent-Length: 31\r\n\r\nGET /b HTTP/1.1\r\nHost: hidden\r\n\r\n"
                .to_vec(),
        );
        assert_eq!(framing.heads, 1);
        framing.take(&mut b"GET /c HTTP/1.1\r\n".to_vec());
        assert!(!framing.is_plain(2), "not whole");
        framing.take(&mut b"\r\n".to_vec());
        assert!(framing.is_plain(2));
    }

    const ANSWERS: [&str; 6] = [
        "HTTP/1.1 200 Fine\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\n4;x=\r\n0;z\r\n\r\n",
        "HTTP/1.1 204 Nothing\r\nContent-Length: 9\r\n\r\n",
        "HTTP/1.0 503 No\r\nX: transfer-encoding: chunked\r\ncontent-length: 0\r\n\r\n",
        // To the end of the connection: what stands in there is a body, whatever it looks like.
        "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\n",
        "noise\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\n",
    ];

    /// What is left of a text that comes in pieces of these lengths, by turns.
    fn cut_up(framing: &mut Framing, whole: &str, cuts: &[usize]) -> String {
        let (mut rest, mut cut, mut passed) = (whole.as_bytes(), cuts.iter().cycle(), Vec::new());
        while !rest.is_empty() {
            let (piece, behind) = rest.split_at((*cut.next().expect("endless")).min(rest.len()));
            let mut piece = piece.to_vec();
            let kept = framing.take(&mut piece);
            passed.extend_from_slice(&piece[..kept]);
            rest = behind;
        }
        String::from_utf8(passed).expect("text")
    }

    proptest! {
        /// The extensions of an answer's chunks are all that is ever left out, however it is cut.
        #[test]
        fn answers_lose_nothing_but_extensions(kinds in prop::collection::vec(0usize..6, 0..8), cuts in prop::collection::vec(1usize..30, 1..20)) {
            let whole: String = kinds.iter().map(|kind| ANSWERS[*kind]).collect();
            let mut framing = Framing::of_answers();
            let passed = cut_up(&mut framing, &whole, &cuts);
            let followed = kinds.iter().position(|kind| *kind > 3).unwrap_or(kinds.len());
            let (followed, lost) = kinds.split_at(followed);
            let text = |kinds: &[usize]| kinds.iter().map(|kind| ANSWERS[*kind]).collect::<String>();
            let wanted = text(followed).replace("\n4;x=y", "\n4").replace("\n0;z", "\n0") + &text(lost);
            prop_assert_eq!(passed, wanted);
        }

        /// However a stream is cut, the same is seen; the model is the list of messages that it was made of.
        #[test]
        fn cuts_change_nothing(kinds in prop::collection::vec(0usize..5, 0..12), cuts in prop::collection::vec(1usize..40, 1..20)) {
            let messages: Vec<&str> = kinds.iter().map(|kind| [PLAIN, NONE, CHUNKED, BOTH[0], BOTH[1]][*kind]).collect();
            let whole = messages.concat();
            let mut framing = Framing::default();
            let passed = cut_up(&mut framing, &whole, &cuts);
            let spoilt = kinds.iter().position(|kind| *kind > 2).map_or(kinds.len(), |at| at);
            for number in 1..=kinds.len() {
                prop_assert_eq!(framing.is_plain(number as u64), number <= spoilt, "{}", number);
            }
            // All that is left out is the extension, where it was followed.
            let (followed, lost) = messages.split_at(spoilt);
            let wanted = followed.concat().replace("4;x=y", "4") + &lost.concat();
            prop_assert_eq!(passed, wanted);
        }

        /// Nothing that comes makes it panic.
        #[test]
        fn noise_is_survived(mut bytes in prop::collection::vec(any::<u8>(), 0..400)) {
            let length = bytes.len();
            prop_assert!(Framing::default().take(&mut bytes.clone()) <= length);
            prop_assert!(Framing::of_answers().take(&mut bytes) <= length);
        }
    }
}
