//! As much of HTTP/1.1 as the platform's protocol needs, with the times of first and last bytes, and with nothing
//! done behind one's back: a stand-in has to see what a library would smooth over.

use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A head that is longer than this is none.
const LONGEST_HEAD: usize = 64 << 10;
/// Nor is a body.
const LONGEST_BODY: usize = 1 << 20;
const HEADERS: usize = 64;

/// A message: a request or an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// The method and the path, or the status.
    pub first: First,
    /// The headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// What a message begins with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum First {
    /// A request.
    Request {
        /// Its method.
        method: String,
        /// Its path and query.
        path: String,
    },
    /// An answer.
    Answer(u16),
}

impl Default for First {
    fn default() -> Self {
        First::Answer(0)
    }
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 for a request.
    pub fn status(&self) -> u16 {
        match self.first {
            First::Answer(status) => status,
            First::Request { .. } => 0,
        }
    }
}

/// Why no message could be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The connection ended or broke; whether anything of the message had come.
    #[error("the connection ended")]
    Ended {
        /// Some of it had.
        partly: bool,
    },
    /// What came is no message.
    #[error("no HTTP message: {0}")]
    Malformed(String),
}

/// Which message is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request.
    Request,
    /// An answer.
    Answer,
}

/// A connection with what has been read of it and not been used.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// A connection.
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    /// Whether anything waits that nobody has asked for.
    pub fn has_surplus(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Looks, without waiting, at what has come: `None` where the connection has ended.
    pub fn look(&mut self) -> Option<usize> {
        let mut some = [0; 4096];
        loop {
            match self.stream.try_read(&mut some) {
                Ok(0) => return None,
                Ok(n) => self.buffer.extend_from_slice(&some[..n]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Some(self.buffer.len()),
                Err(_) => return None,
            }
        }
    }

    /// Waits for more to come; `false` where the connection has ended.
    ///
    /// Cancel-safe: what has been read is kept.
    pub async fn more(&mut self) -> bool {
        if self.buffer.len() > LONGEST_HEAD + LONGEST_BODY {
            return false;
        }
        matches!(self.stream.read_buf(&mut self.buffer).await, Ok(n) if n > 0)
    }

    /// Reads a message; `now` tells the time, and `head` is called with the head once it has come and with the
    /// time of the first byte.
    ///
    /// # Errors
    /// Where the connection ends before the last byte, or what comes is no message.
    pub async fn read(
        &mut self,
        kind: Kind,
        now: impl Fn() -> Duration,
        mut head: impl FnMut(&Message, Duration),
    ) -> Result<Message, ReadError> {
        let mut first = (!self.buffer.is_empty()).then(&now);
        loop {
            if let Some((mut message, length)) = parse(kind, &self.buffer)? {
                head(&message, first.unwrap_or_else(&now));
                let body = body_length(&message)?;
                while self.buffer.len() < length + body {
                    if !self.more().await {
                        return Err(ReadError::Ended { partly: true });
                    }
                }
                message.body = self.buffer[length..length + body].to_vec();
                self.buffer.drain(..length + body);
                return Ok(message);
            }
            if self.buffer.len() > LONGEST_HEAD {
                return Err(ReadError::Malformed("a head without end".to_owned()));
            }
            if !self.more().await {
                return Err(ReadError::Ended { partly: !self.buffer.is_empty() });
            }
            first = first.or_else(|| Some(now()));
        }
    }

    /// Writes all of it.
    ///
    /// # Errors
    /// Where the connection has ended.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Has the connection end with a reset when it is dropped.
    pub fn reset_on_drop(&self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// Reads a head; none where it is not whole.
fn parse(kind: Kind, bytes: &[u8]) -> Result<Option<(Message, usize)>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
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
    let header = |h: &httparse::Header<'_>| {
        (h.name.to_ascii_lowercase(), String::from_utf8_lossy(h.value).trim().to_owned())
    };
    let headers = headers.iter().map(header).collect();
    Ok(Some((Message { first, headers, body: Vec::new() }, length)))
}

fn body_length(message: &Message) -> Result<usize, ReadError> {
    let Some(length) = message.header("content-length") else { return Ok(0) };
    let length: Option<usize> = length.parse().ok().filter(|n| *n <= LONGEST_BODY);
    length.ok_or_else(|| ReadError::Malformed("a length that is none".to_owned()))
}
