//! The part of HTTP/1.1 that the platform's protocol needs, with the times of first and last bytes.
//! There is no HTTP library here, because a stand-in must observe irregularities that a library would hide.

use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest accepted head of a message, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Longest accepted body of a message, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Largest accepted number of headers in a message.
const MAX_HEADERS: usize = 64;

/// An HTTP message: a request or a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// The start line: method and path of a request, or status of a response.
    pub first: First,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body of the message.
    pub body: Vec<u8>,
}

/// The start line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum First {
    /// The start line of a request.
    Request {
        /// The method of the request.
        method: String,
        /// The path and query of the request.
        path: String,
    },
    /// The status of a response.
    Answer(u16),
}

impl Default for First {
    fn default() -> Self {
        First::Answer(0)
    }
}

impl Message {
    /// The value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 for a request.
    pub fn status(&self) -> u16 {
        match self.first {
            First::Answer(status) => status,
            First::Request { .. } => 0,
        }
    }
}

/// Why a message could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The connection ended or failed before the message was complete.
    #[error("the connection ended")]
    Ended {
        /// Whether a part of the message had been received.
        partly: bool,
    },
    /// The received bytes are not an HTTP message.
    #[error("not an HTTP message: {0}")]
    Malformed(String),
}

/// The kind of message to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request message.
    Request,
    /// A response message.
    Answer,
}

/// A connection with a buffer of the bytes that were received and not yet parsed.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Wraps a stream, and turns off Nagle's algorithm on it.
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    /// Whether bytes are buffered that belong to no expected message.
    pub fn has_surplus(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads what has been received, without waiting, and returns the number of buffered bytes; `None` if the connection has ended.
    pub fn read_available(&mut self) -> Option<usize> {
        let mut chunk = [0; 4096];
        loop {
            match self.stream.try_read(&mut chunk) {
                Ok(0) => return None,
                Ok(length) => self.buffer.extend_from_slice(&chunk[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Some(self.buffer.len()),
                Err(_) => return None,
            }
        }
    }

    /// Waits for more bytes; `false` if the connection has ended or the buffer is full.
    ///
    /// Cancel-safe: received bytes stay in the buffer.
    pub async fn read_more(&mut self) -> bool {
        if self.buffer.len() > MAX_HEAD_BYTES + MAX_BODY_BYTES {
            return false;
        }
        matches!(self.stream.read_buf(&mut self.buffer).await, Ok(length) if length > 0)
    }

    /// Reads a message. `now` gives the time; `on_head` is called with the head once it is complete and with the time of the first byte.
    ///
    /// # Errors
    /// If the connection ends before the last byte, or the bytes are not an HTTP message.
    pub async fn read(
        &mut self,
        kind: Kind,
        now: impl Fn() -> Duration,
        mut on_head: impl FnMut(&Message, Duration),
    ) -> Result<Message, ReadError> {
        let mut first_byte_at = (!self.buffer.is_empty()).then(&now);
        loop {
            if let Some((mut message, length)) = parse(kind, &self.buffer)? {
                on_head(&message, first_byte_at.unwrap_or_else(&now));
                let body_bytes = body_length(&message)?;
                while self.buffer.len() < length + body_bytes {
                    if !self.read_more().await {
                        return Err(ReadError::Ended { partly: true });
                    }
                }
                message.body = self.buffer[length..length + body_bytes].to_vec();
                self.buffer.drain(..length + body_bytes);
                return Ok(message);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(ReadError::Malformed("the head is too long".to_owned()));
            }
            if !self.read_more().await {
                return Err(ReadError::Ended { partly: !self.buffer.is_empty() });
            }
            first_byte_at = first_byte_at.or_else(|| Some(now()));
        }
    }

    /// Writes all bytes.
    ///
    /// # Errors
    /// If the connection has ended.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Makes the connection end with a reset when it is dropped.
    pub fn reset_on_drop(&self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// Parses the head of a message and returns it with its length in bytes; `None` if the head is not complete.
fn parse(kind: Kind, bytes: &[u8]) -> Result<Option<(Message, usize)>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let malformed = |error: httparse::Error| ReadError::Malformed(error.to_string());
    let (first, length, headers) = match kind {
        Kind::Request => {
            let mut request = httparse::Request::new(&mut headers);
            let httparse::Status::Complete(length) = request.parse(bytes).map_err(malformed)? else {
                return Ok(None);
            };
            let method = request.method.unwrap_or_default().to_owned();
            let path = request.path.unwrap_or_default().to_owned();
            (First::Request { method, path }, length, request.headers)
        }
        Kind::Answer => {
            let mut answer = httparse::Response::new(&mut headers);
            let httparse::Status::Complete(length) = answer.parse(bytes).map_err(malformed)? else {
                return Ok(None);
            };
            (First::Answer(answer.code.unwrap_or_default()), length, answer.headers)
        }
    };
    let to_pair = |header: &httparse::Header<'_>| {
        (header.name.to_ascii_lowercase(), String::from_utf8_lossy(header.value).trim().to_owned())
    };
    let headers = headers.iter().map(to_pair).collect();
    Ok(Some((Message { first, headers, body: Vec::new() }, length)))
}

fn body_length(message: &Message) -> Result<usize, ReadError> {
    let Some(length) = message.header("content-length") else { return Ok(0) };
    let length: Option<usize> = length.parse().ok().filter(|length| *length <= MAX_BODY_BYTES);
    length.ok_or_else(|| ReadError::Malformed("the content length is invalid or too large".to_owned()))
}
