//! Finds where each HTTP message on a connection begins and ends, from the connection's bytes alone.
//!
//! The HTTP library frames messages itself, but silently drops a `Content-Length` that follows a `Transfer-Encoding`. Such a request
//! may hide another one: a peer that uses the length reads different requests than this gateway does (request smuggling). Therefore
//! each head is scanned for both headers while it arrives. The scan buffers a few dozen bytes and skips over bodies.
//!
//! The HTTP library also rejects a body whose chunks carry 16 KiB of extensions in total.
//! The scan strips chunk extensions from the bytes that are read, since nothing here uses them.

const CONTENT_LENGTH: &[u8] = b"content-length";
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding";

/// Length of a response's status line up to the end of the status code, in bytes.
const STATUS_END: usize = "HTTP/1.1 200".len();

/// Length of the status code in a response's status line, in bytes.
const STATUS_DIGITS: usize = 3;

/// Maximum number of hexadecimal digits in a chunk size; a message with a longer chunk size is no longer tracked.
const MAX_CHUNK_SIZE_DIGITS: u32 = 15;

/// Length of the line break after a chunk's data, in bytes.
const CHUNK_LINE_END_BYTES: u64 = 2;

/// Whether the messages on the connection are requests or responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum MessageKind {
    #[default]
    Requests,
    /// Responses, which may also end because of their status code, or with the end of the connection.
    Responses,
}

/// The position of the scan within a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Before the first line of a message. Empty lines before a message are skipped.
    BetweenMessages,
    StartLine,
    HeaderName {
        length: usize,
    },
    HeaderValue(Header),
    /// In a body with a `Content-Length`, of which `remaining` bytes have not arrived yet.
    Body {
        remaining: u64,
    },
    ChunkSize {
        size: u64,
        digits: u32,
    },
    /// After the digits of a chunk size, up to the end of the chunk size's line.
    ChunkExtension {
        size: u64,
    },
    /// In the data of a chunk, of which `remaining` bytes have not arrived yet, including the line break after the data.
    Chunk {
        remaining: u64,
    },
    /// At the start of a line of the trailer section.
    TrailerLineStart,
    /// In a non-empty line of the trailer section.
    TrailerLine,
    /// The boundaries of messages on this connection can't be determined any more.
    Untracked,
}

const HEADER_START: State = State::HeaderName { length: 0 };
const CHUNK_SIZE_START: State = State::ChunkSize { size: 0, digits: 0 };

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Header {
    ContentLength,
    TransferEncoding,
    Other,
}

/// The bytes that one step of the scan has consumed.
struct Step {
    bytes: usize,
    /// Whether the consumed bytes belong to a chunk extension.
    is_extension: bool,
}

/// Tracks the framing of the messages in one direction of a connection, in the order in which the messages arrive.
#[derive(Debug)]
pub struct MessageFraming {
    state: State,
    kind: MessageKind,
    /// The number of bytes of a response's status line that are in `line_buffer`.
    start_line_length: usize,
    /// The status code of the current response; 0 if it can't be parsed.
    status: u16,
    /// The start of a response's status line, or of a header's name in lower case.
    line_buffer: [u8; TRANSFER_ENCODING.len()],
    content_length: Option<u64>,
    has_transfer_encoding: bool,
    complete_heads: u64,
    complete_messages: u64,
    /// The number of the message, counted from 1, that has both `Content-Length` and `Transfer-Encoding`.
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
    /// Creates a tracker for the responses of an endpoint. The default tracks requests.
    pub fn for_responses() -> MessageFraming {
        MessageFraming { kind: MessageKind::Responses, ..MessageFraming::default() }
    }

    /// Whether the head of the request with this number, counted from 1, was received completely
    /// and has at most one of the headers `Content-Length` and `Transfer-Encoding`.
    pub fn is_unambiguous(&self, number: u64) -> bool {
        self.complete_heads >= number && self.ambiguous_request.is_none_or(|ambiguous| number < ambiguous)
    }

    /// The number of messages that have ended; `None` if message boundaries can't be determined any more.
    pub fn complete_messages(&self) -> Option<u64> {
        (self.state != State::Untracked).then_some(self.complete_messages)
    }

    /// Whether a message has begun and not ended; false if message boundaries can't be determined any more.
    pub fn is_inside_message(&self) -> bool {
        !matches!(self.state, State::BetweenMessages | State::Untracked)
    }

    /// Whether a complete message has arrived after the message with this number, counted from 1.
    pub fn has_message_after(&self, number: u64) -> bool {
        self.complete_messages().is_some_and(|messages| messages > number)
    }

    /// Scans bytes that have been read and removes chunk extensions from them; returns how many bytes are left.
    pub fn strip_chunk_extensions(&mut self, bytes: &mut [u8]) -> usize {
        let mut retained = 0;
        let mut position = 0;
        while let Some(rest) = bytes.get(position..).filter(|rest| !rest.is_empty()) {
            let step = self.advance(rest);
            if !step.is_extension {
                if retained < position {
                    bytes.copy_within(position..position + step.bytes, retained);
                }
                retained += step.bytes;
            }
            position += step.bytes;
        }
        retained
    }

    /// Scans bytes that have been written.
    pub fn scan(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let step = self.advance(bytes);
            bytes = bytes.get(step.bytes..).unwrap_or_default();
        }
    }

    /// Consumes one or more bytes from the start of `bytes`, which must not be empty.
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
                self.state = if remaining == 0 { CHUNK_SIZE_START } else { State::Chunk { remaining } };
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

    /// Whether the rest of the current line, which begins with this byte, is irrelevant to the framing and may be skipped.
    fn may_skip_line(&self, byte: u8) -> bool {
        let is_status_pending = self.kind == MessageKind::Responses && self.start_line_length < STATUS_END;
        byte != b'\n' && !is_status_pending
    }

    fn end_message(&mut self) -> State {
        self.complete_messages += 1;
        State::BetweenMessages
    }

    /// The state of the scan after this byte.
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
            return HEADER_START;
        }
        if self.kind == MessageKind::Responses && self.start_line_length < STATUS_END {
            self.line_buffer[self.start_line_length] = byte;
            self.start_line_length += 1;
        }
        State::StartLine
    }

    /// Parses the status code in the status line of a response.
    fn read_status(&self) -> Option<u16> {
        let digits = self.line_buffer.get(STATUS_END - STATUS_DIGITS..self.start_line_length)?;
        std::str::from_utf8(digits).ok()?.parse().ok()
    }

    fn scan_header_name(&mut self, byte: u8, length: usize) -> State {
        match byte {
            b'\r' if length == 0 => HEADER_START,
            b'\n' if length == 0 => self.end_head(),
            b'\n' => HEADER_START,
            b':' => State::HeaderValue(self.recognize_header(length)),
            byte => {
                if let Some(slot) = self.line_buffer.get_mut(length) {
                    *slot = byte.to_ascii_lowercase();
                }
                State::HeaderName { length: (length + 1).min(self.line_buffer.len() + 1) }
            }
        }
    }

    fn scan_header_value(&mut self, byte: u8, header: Header) -> State {
        if byte == b'\n' {
            return HEADER_START;
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

    /// The state of the scan after the empty line that ends a head.
    fn end_head(&mut self) -> State {
        self.complete_heads += 1;
        if self.kind == MessageKind::Responses {
            match self.status {
                // After an informational response another response follows; a 204 or 304 response has no body.
                100 | 102..=199 | 204 | 304 => return self.end_message(),
                // The response's body extends to the end of the connection, or the bytes are not an HTTP response.
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
            (true, None) => CHUNK_SIZE_START,
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

/// The state of the scan after the line with a chunk size. A chunk of size 0 is the last one of its message.
fn end_chunk_size(size: u64) -> State {
    match size {
        0 => State::TrailerLineStart,
        _ => State::Chunk { remaining: size + CHUNK_LINE_END_BYTES },
    }
}

#[cfg(test)]
mod tests;
