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
pub struct MessageFraming {
    state: State,
    /// They are answers, which end by their status too, and by the connection's end.
    answers: bool,
    /// How much of the first line is kept, where it is looked at, and the status that stood there.
    first: usize,
    status: u16,
    name: [u8; ENCODING.len()],
    length: Option<u64>,
    encoded: bool,
    /// Heads that were followed to their end, and messages.
    heads: u64,
    messages: u64,
    /// The one of them that says both.
    ambiguous: Option<u64>,
}

impl Default for MessageFraming {
    fn default() -> MessageFraming {
        let (answers, first, status, length, encoded, heads, messages, ambiguous) = Default::default();
        let (state, name) = (State::First(false), [0; ENCODING.len()]);
        MessageFraming { state, answers, first, status, name, length, encoded, heads, messages, ambiguous }
    }
}

impl MessageFraming {
    /// For the answers of a host; else it follows requests.
    pub fn for_responses() -> MessageFraming {
        MessageFraming { answers: true, ..MessageFraming::default() }
    }

    /// Whether the head of the request with this number, counted from 1, was seen whole and says at most one of the two.
    pub fn is_plain(&self, number: u64) -> bool {
        self.heads >= number && self.ambiguous.is_none_or(|at| number < at)
    }

    /// How many messages have ended so far; nobody knows where they can't be followed any more.
    pub fn messages(&self) -> Option<u64> {
        (self.state != State::Lost).then_some(self.messages)
    }

    /// Whether a message has begun and not ended, as far as it can be followed.
    pub fn is_inside(&self) -> bool {
        !matches!(self.state, State::First(false) | State::Lost)
    }

    /// Whether a whole message has come behind the one with this number, counted from 1.
    pub fn is_ahead_of(&self, number: u64) -> bool {
        self.messages().is_some_and(|messages| messages > number)
    }

    /// Takes what has come, drops the extensions of chunks from it, and gives how much is left. The library allows 16 KiB of them a
    /// body, which a long one in small chunks passes; nobody reads them.
    pub fn take(&mut self, bytes: &mut [u8]) -> usize {
        let (mut kept, mut at) = (0, 0);
        while let Some(rest) = bytes.get(at..).filter(|rest| !rest.is_empty()) {
            let (passed, drop) = self.advance(rest);
            if !drop {
                if kept < at {
                    bytes.copy_within(at..at + passed, kept);
                }
                kept += passed;
            }
            at += passed;
        }
        kept
    }

    /// Follows what has passed.
    pub fn follow(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let (passed, _) = self.advance(bytes);
            bytes = bytes.get(passed..).unwrap_or_default();
        }
    }

    /// Goes over the first of these bytes, which are some: how many, and whether they are a chunk's extension.
    fn advance(&mut self, bytes: &[u8]) -> (usize, bool) {
        let (all, byte) = (bytes.len(), bytes.first().copied().unwrap_or_default());
        match self.state {
            State::Lost => (all, false),
            State::Body(left) | State::Chunk(left) => {
                let skipped = left.min(all as u64);
                let left = left - skipped;
                self.state = match self.state {
                    State::Body(_) if left == 0 => self.message_ends(),
                    State::Body(_) => State::Body(left),
                    _ if left == 0 => State::Size(0, 0, false),
                    _ => State::Chunk(left),
                };
                (skipped as usize, false)
            }
            State::Value(Header::Other) | State::First(true)
                if byte != b'\n' && (!self.answers || self.first >= STATUS) =>
            {
                (bytes.iter().position(|&b| b == b'\n').unwrap_or(all), false)
            }
            _ => {
                self.step(byte);
                (1, matches!(self.state, State::Size(_, _, true)) && byte != b'\r')
            }
        }
    }

    fn message_ends(&mut self) -> State {
        self.messages += 1;
        State::First(false)
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
            (State::Trailer(0), b'\n') => self.message_ends(),
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
            (true, 100 | 102..=199 | 204 | 304) => return self.message_ends(),
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
            (false, _) => self.message_ends(),
        }
    }
}

#[cfg(test)]
mod tests;
