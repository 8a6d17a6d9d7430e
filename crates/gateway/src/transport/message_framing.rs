//! Finds where each message on a connection begins and ends, from its bytes alone.
//!
//! The HTTP library frames messages itself, but silently drops a `Content-Length` that stands behind a `Transfer-Encoding`. Such a
//! request may hide another: a peer that goes by the length reads different requests than this gateway does (request smuggling). So
//! each head is scanned for both headers while it arrives. The scan keeps a few dozen bytes and skips over bodies.
//!
//! The library also gives up a body whose chunks carry 16 KiB of extensions in total. Nobody reads them, so the scan strips them.

const CONTENT_LENGTH: &[u8] = b"content-length";
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding";

/// Length of a response's first line up to the end of its status, in bytes.
const STATUS_END: usize = "HTTP/1.1 200".len();

/// Length of the status in a response's first line, in bytes.
const STATUS_DIGITS: usize = 3;

/// Longest chunk size that is followed, in hexadecimal digits.
const MAX_CHUNK_SIZE_DIGITS: u32 = 15;

/// Length of the line end behind a chunk's data, in bytes.
const CHUNK_LINE_END_BYTES: u64 = 2;

/// Whose messages are followed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum MessageKind {
    #[default]
    Requests,
    /// A response also ends by its status, or by the connection's end.
    Responses,
}

/// Where in a message the scan stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Ahead of a message. Empty lines there are skipped.
    BetweenMessages,
    StartLine,
    HeaderName {
        length: usize,
    },
    HeaderValue(Header),
    /// In a body of which this many bytes are to come.
    Body {
        remaining: u64,
    },
    ChunkSize {
        size: u64,
        digits: u32,
    },
    /// Behind the digits of a chunk's size, up to the end of the line.
    ChunkExtension {
        size: u64,
    },
    /// In a chunk of which this many bytes are to come, its line end included.
    Chunk {
        remaining: u64,
    },
    /// At the start of a line of the trailer section.
    TrailerLineStart,
    /// In a line of the trailer section that is not empty.
    TrailerLine,
    /// The messages can't be followed from here on.
    Untracked,
}

const START_OF_HEADER: State = State::HeaderName { length: 0 };
const START_OF_CHUNK_SIZE: State = State::ChunkSize { size: 0, digits: 0 };

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Header {
    ContentLength,
    TransferEncoding,
    Other,
}

/// How far one step of the scan has gone.
struct Step {
    bytes: usize,
    /// Whether these bytes are a chunk's extension.
    is_extension: bool,
}

/// The messages on one connection, in the order in which they arrive.
#[derive(Debug)]
pub struct MessageFraming {
    state: State,
    kind: MessageKind,
    /// How many bytes of a response's first line are in `line_buffer`.
    start_line_length: usize,
    /// The status of the current response.
    status: u16,
    /// The start of a response's first line, or of a header's name in lower case.
    line_buffer: [u8; TRANSFER_ENCODING.len()],
    content_length: Option<u64>,
    has_transfer_encoding: bool,
    complete_heads: u64,
    complete_messages: u64,
    /// The number of the request that has both headers.
    ambiguous_request: Option<u64>,
}

impl Default for MessageFraming {
    fn default() -> MessageFraming {
        MessageFraming {
            state: State::BetweenMessages,
            kind: MessageKind::Requests,
            start_line_length: 0,
            status: 0,
            line_buffer: [0; TRANSFER_ENCODING.len()],
            content_length: None,
            has_transfer_encoding: false,
            complete_heads: 0,
            complete_messages: 0,
            ambiguous_request: None,
        }
    }
}

impl MessageFraming {
    /// Follows the responses of an endpoint. The default follows requests.
    pub fn for_responses() -> MessageFraming {
        MessageFraming { kind: MessageKind::Responses, ..MessageFraming::default() }
    }

    /// Whether the head of the request with this number, counted from 1, was seen completely and has at most one of `Content-Length`
    /// and `Transfer-Encoding`.
    pub fn is_unambiguous(&self, number: u64) -> bool {
        self.complete_heads >= number && self.ambiguous_request.is_none_or(|ambiguous| number < ambiguous)
    }

    /// How many messages have ended; none where they can't be followed any more.
    pub fn complete_messages(&self) -> Option<u64> {
        (self.state != State::Untracked).then_some(self.complete_messages)
    }

    /// Whether a message has begun and not ended, as far as messages can be followed.
    pub fn is_inside(&self) -> bool {
        !matches!(self.state, State::BetweenMessages | State::Untracked)
    }

    /// Whether a complete message has arrived behind the one with this number, counted from 1.
    pub fn has_message_after(&self, number: u64) -> bool {
        self.complete_messages().is_some_and(|messages| messages > number)
    }

    /// Follows bytes that have been read, and removes the extensions of chunks from them; returns how many bytes are left.
    pub fn strip_chunk_extensions(&mut self, bytes: &mut [u8]) -> usize {
        let mut kept = 0;
        let mut position = 0;
        while let Some(rest) = bytes.get(position..).filter(|rest| !rest.is_empty()) {
            let step = self.advance(rest);
            if !step.is_extension {
                if kept < position {
                    bytes.copy_within(position..position + step.bytes, kept);
                }
                kept += step.bytes;
            }
            position += step.bytes;
        }
        kept
    }

    /// Follows bytes that have been written.
    pub fn follow(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let step = self.advance(bytes);
            bytes = bytes.get(step.bytes..).unwrap_or_default();
        }
    }

    /// Goes over the first of these bytes, of which there is at least one.
    fn advance(&mut self, bytes: &[u8]) -> Step {
        let byte = bytes.first().copied().unwrap_or_default();
        match self.state {
            State::Untracked => Step { bytes: bytes.len(), is_extension: false },
            State::Body { remaining } => {
                let skipped = remaining.min(bytes.len() as u64);
                let remaining = remaining - skipped;
                self.state = if remaining == 0 { self.end_message() } else { State::Body { remaining } };
                Step { bytes: skipped as usize, is_extension: false }
            }
            State::Chunk { remaining } => {
                let skipped = remaining.min(bytes.len() as u64);
                let remaining = remaining - skipped;
                self.state = if remaining == 0 { START_OF_CHUNK_SIZE } else { State::Chunk { remaining } };
                Step { bytes: skipped as usize, is_extension: false }
            }
            State::HeaderValue(Header::Other) | State::StartLine if self.may_skip_line(byte) => {
                let line_end = bytes.iter().position(|&byte| byte == b'\n');
                Step { bytes: line_end.unwrap_or(bytes.len()), is_extension: false }
            }
            _ => {
                self.state = self.next_state(byte);
                let in_extension = matches!(self.state, State::ChunkExtension { .. });
                Step { bytes: 1, is_extension: in_extension && byte != b'\r' }
            }
        }
    }

    /// Whether the rest of a line that begins with this byte says nothing.
    fn may_skip_line(&self, byte: u8) -> bool {
        let is_read = self.kind == MessageKind::Responses && self.start_line_length < STATUS_END;
        byte != b'\n' && !is_read
    }

    fn end_message(&mut self) -> State {
        self.complete_messages += 1;
        State::BetweenMessages
    }

    /// The state behind this byte.
    fn next_state(&mut self, byte: u8) -> State {
        match self.state {
            State::BetweenMessages if matches!(byte, b'\r' | b'\n') => State::BetweenMessages,
            State::BetweenMessages | State::StartLine => self.scan_start_line(byte),
            State::HeaderName { length } => self.scan_header_name(byte, length),
            State::HeaderValue(header) => self.scan_header_value(byte, header),
            State::ChunkSize { size, digits } => scan_chunk_size(byte, size, digits),
            State::ChunkExtension { size } if byte == b'\n' => end_chunk_size(size),
            State::ChunkExtension { size } => State::ChunkExtension { size },
            State::TrailerLineStart if byte == b'\n' => self.end_message(),
            State::TrailerLineStart if byte == b'\r' => State::TrailerLineStart,
            State::TrailerLine if byte == b'\n' => State::TrailerLineStart,
            State::TrailerLineStart | State::TrailerLine => State::TrailerLine,
            State::Body { .. } | State::Chunk { .. } | State::Untracked => State::Untracked,
        }
    }

    fn scan_start_line(&mut self, byte: u8) -> State {
        if byte == b'\n' {
            self.content_length = None;
            self.has_transfer_encoding = false;
            self.status = self.read_status().unwrap_or(0);
            self.start_line_length = 0;
            return START_OF_HEADER;
        }
        if self.kind == MessageKind::Responses && self.start_line_length < STATUS_END {
            self.line_buffer[self.start_line_length] = byte;
            self.start_line_length += 1;
        }
        State::StartLine
    }

    /// The status in the first line of a response.
    fn read_status(&self) -> Option<u16> {
        let digits = self.line_buffer.get(STATUS_END - STATUS_DIGITS..self.start_line_length)?;
        std::str::from_utf8(digits).ok()?.parse().ok()
    }

    fn scan_header_name(&mut self, byte: u8, length: usize) -> State {
        match byte {
            b'\r' if length == 0 => START_OF_HEADER,
            b'\n' if length == 0 => self.end_head(),
            b'\n' => START_OF_HEADER,
            b':' => State::HeaderValue(self.recognize_header(length)),
            byte => {
                if let Some(place) = self.line_buffer.get_mut(length) {
                    *place = byte.to_ascii_lowercase();
                }
                State::HeaderName { length: (length + 1).min(self.line_buffer.len() + 1) }
            }
        }
    }

    fn scan_header_value(&mut self, byte: u8, header: Header) -> State {
        if byte == b'\n' {
            return START_OF_HEADER;
        }
        if header == Header::ContentLength {
            if let Some(digit) = (byte as char).to_digit(10) {
                let length = self.content_length.unwrap_or(0);
                self.content_length = Some(length.saturating_mul(10).saturating_add(u64::from(digit)));
            }
        }
        State::HeaderValue(header)
    }

    fn recognize_header(&mut self, name_length: usize) -> Header {
        match self.line_buffer.get(..name_length) {
            Some(CONTENT_LENGTH) => {
                self.content_length.get_or_insert(0);
                Header::ContentLength
            }
            Some(TRANSFER_ENCODING) => {
                self.has_transfer_encoding = true;
                Header::TransferEncoding
            }
            _ => Header::Other,
        }
    }

    /// The state behind the empty line that ends a head.
    fn end_head(&mut self) -> State {
        self.complete_heads += 1;
        if self.kind == MessageKind::Responses {
            match self.status {
                // Another response follows, or this one has no body.
                100 | 102..=199 | 204 | 304 => return self.end_message(),
                // The body goes on to the connection's end, or this is no response at all.
                _ if !self.has_transfer_encoding && self.content_length.is_none() => return State::Untracked,
                200..=599 => {}
                _ => return State::Untracked,
            }
        }
        match (self.has_transfer_encoding, self.content_length) {
            (true, Some(_)) => {
                self.ambiguous_request = Some(self.complete_heads);
                State::Untracked
            }
            (true, None) => START_OF_CHUNK_SIZE,
            (false, Some(length)) if length > 0 => State::Body { remaining: length },
            (false, _) => self.end_message(),
        }
    }
}

fn scan_chunk_size(byte: u8, size: u64, digits: u32) -> State {
    if byte == b'\n' && digits > 0 {
        return end_chunk_size(size);
    }
    match (byte as char).to_digit(16) {
        Some(digit) if digits < MAX_CHUNK_SIZE_DIGITS => {
            State::ChunkSize { size: size * 16 + u64::from(digit), digits: digits + 1 }
        }
        None if digits > 0 && matches!(byte, b'\r' | b';' | b' ' | b'\t') => State::ChunkExtension { size },
        _ => State::Untracked,
    }
}

/// The state behind the line with a chunk's size. A chunk of size 0 is the last.
fn end_chunk_size(size: u64) -> State {
    match size {
        0 => State::TrailerLineStart,
        _ => State::Chunk { remaining: size + CHUNK_LINE_END_BYTES },
    }
}

#[cfg(test)]
mod tests;
