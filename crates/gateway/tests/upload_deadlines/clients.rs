//! A client that uploads a body and measures how long after its time the final answer comes.

use crate::endpoints::body_byte;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time after its time for which a client still waits for the answer.
const PATIENCE: Duration = Duration::from_millis(3600);
/// Size of the pieces in which a client writes, in bytes.
const WRITE_BYTES: usize = 16 << 10;
/// Size of the chunks of a chunked body, in bytes.
const CHUNK_BYTES: usize = 5000;

/// How the end of an upload's body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunked,
}

/// An upload.
#[derive(Clone, Copy, Debug)]
pub struct Upload {
    pub class: &'static str,
    pub body_bytes: usize,
    pub framing: Framing,
    /// The client's time, `X-Timeout`.
    pub timeout: Duration,
    /// The affinity key, the cookie `k`.
    pub key: Option<u32>,
    /// The pause between two pieces that the client writes.
    pub pause: Duration,
    /// The number of bytes after which the client pauses for [`Upload::stall`].
    pub stall_at: usize,
    /// A single pause within the upload.
    pub stall: Duration,
}

impl Upload {
    /// An unsafe upload of this length that is written as fast as possible.
    pub fn new(body_bytes: usize, framing: Framing, timeout: Duration) -> Upload {
        Upload {
            class: "once",
            body_bytes,
            framing,
            timeout,
            key: None,
            pause: Duration::ZERO,
            stall_at: 0,
            stall: Duration::ZERO,
        }
    }

    fn head(&self, request_id: &str) -> String {
        let idempotency_key = match self.class {
            "pay" => format!("Idempotency-Key: {request_id}\r\n"),
            _ => String::new(),
        };
        let cookie = self.key.map(|key| format!("Cookie: k=key-{key}\r\n")).unwrap_or_default();
        let framing = match self.framing {
            Framing::Length => format!("Content-Length: {}\r\n", self.body_bytes),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
        };
        format!(
            "POST /{class} HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {request_id}\r\nX-Priority-Class: {class}\r\n\
             X-Tenant-Id: acme\r\nX-Timeout: {timeout}m\r\nX-Attrs: length={length}\r\n{idempotency_key}{cookie}{framing}\r\n",
            class = self.class,
            timeout = self.timeout.as_millis(),
            length = self.body_bytes,
        )
    }

    fn message(&self, request_id: &str) -> Vec<u8> {
        let body: Vec<u8> = (0..self.body_bytes).map(body_byte).collect();
        let mut message = self.head(request_id).into_bytes();
        match self.framing {
            Framing::Length => message.extend_from_slice(&body),
            Framing::Chunked => {
                for chunk in body.chunks(CHUNK_BYTES) {
                    message.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                    message.extend_from_slice(chunk);
                    message.extend_from_slice(b"\r\n");
                }
                message.extend_from_slice(b"0\r\n\r\n");
            }
        }
        message
    }

    fn write(&self, stream: &mut TcpStream, message: &[u8]) -> std::io::Result<()> {
        let mut has_stalled = false;
        for (index, piece) in message.chunks(WRITE_BYTES).enumerate() {
            if !has_stalled && index * WRITE_BYTES >= self.stall_at {
                sleep(self.stall);
                has_stalled = true;
            }
            if index > 0 {
                sleep(self.pause);
            }
            stream.write_all(piece)?;
        }
        Ok(())
    }

    /// Sends the upload to the gateway on a new connection and waits for its answer.
    pub fn send(&self, gateway: &str, request_id: &str) -> UploadResult {
        let message = self.message(request_id);
        let mut stream = TcpStream::connect(gateway).expect("connect failed");
        stream.set_nodelay(true).expect("set_nodelay failed");
        let write = self.write(&mut stream, &message);
        let due = Instant::now() + self.timeout;
        stream.set_read_timeout(Some(self.timeout + PATIENCE)).expect("set_read_timeout failed");
        let status = read_status(&stream);
        let late = Instant::now().saturating_duration_since(due);
        UploadResult { status, late, was_written: write.is_ok() }
    }
}

/// How an upload ended, as its client saw it.
#[derive(Clone, Copy, Debug)]
pub struct UploadResult {
    /// The status of the answer; `None` where no whole answer came.
    pub status: Option<u16>,
    /// How long after the client's time the answer came, or the wait for it ended.
    pub late: Duration,
    /// Whether the client could write the whole request.
    pub was_written: bool,
}

/// Reads an answer to its end and returns its status.
fn read_status(stream: &TcpStream) -> Option<u16> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let mut length = 0;
    loop {
        line.clear();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim().split_once(": ") else { break };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.parse().ok()?;
        }
    }
    reader.read_exact(&mut vec![0; length]).ok()?;
    Some(status)
}
