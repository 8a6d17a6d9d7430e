//! HTTP/1.1 messages on plain sockets, as far as the stand-ins need them.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message head and its body: a request (`first` is the request line) or a response (`first` is the status line).
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When the message's first byte was read.
    pub first_byte_at: Instant,
    /// When the message's last byte was read.
    pub last_byte_at: Instant,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Whether the sender ends the connection with this message.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads messages from one connection and keeps what was read beyond them.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

fn unexpected(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, text.to_owned())
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads one message; `None` if the connection ends before a first byte.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        while self.buffer.is_empty() {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        let first_byte_at = Instant::now();
        let head_end = loop {
            if let Some(at) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return Err(unexpected("the connection ended within a head"));
            }
        };
        let head: Vec<u8> = self.buffer.drain(..head_end + 4).collect();
        let text = String::from_utf8_lossy(&head[..head_end]).into_owned();
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
            .collect();
        let mut message =
            Message { first, headers, body: Vec::new(), first_byte_at, last_byte_at: first_byte_at };
        if message.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
            message.body = self.chunked()?;
        } else {
            let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            message.body = self.exactly(length)?;
        }
        message.last_byte_at = Instant::now();
        Ok(Some(message))
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(unexpected("the connection ended within a body"));
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(unexpected("the connection ended within a line"));
            }
        }
    }

    fn chunked(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.line()?;
            let digits = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(digits, 16).map_err(|_| unexpected("no chunk size"))?;
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.exactly(size)?);
            self.line()?;
        }
    }
}

/// Opens a connection without delayed small writes.
pub fn connect(address: SocketAddr, read_timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(read_timeout))?;
    Ok(stream)
}

/// Writes a response with a body of known length.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut bytes =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
