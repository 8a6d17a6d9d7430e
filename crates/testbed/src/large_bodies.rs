//! An endpoint and a client for bodies of any length, pace and framing, which neither of them holds in memory.
//! Endpoint and client generate bodies while they write and compute a digest of what they read.
//! A forwarded body must have the digest of the body that was sent, however it was split.

use crate::scripted::Observations;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By a `Content-Length`.
    Length,
    /// In chunks with chunk extensions, followed by a trailer.
    Chunked,
    /// By the end of the connection; for responses only.
    Close,
    /// By the end of the connection, from an endpoint that speaks HTTP/1.0.
    Http10,
}

/// The description of a body.
#[derive(Clone, Copy, Debug)]
pub struct LargeBody {
    /// The length of the body, in bytes.
    pub length: u64,
    /// How the end of the body is marked.
    pub form: Framing,
    /// The body is written in pieces of this many bytes with this pause after each; `None` for as fast as possible.
    pub pace: Option<(usize, Duration)>,
    /// Time between the message's head and the first byte of the body.
    pub delay: Duration,
    /// The body is truncated once this many bytes are written; `None` for a complete body.
    pub truncate_at: Option<u64>,
}

impl LargeBody {
    /// A complete body that is written as fast as possible.
    pub fn new(length: u64, form: Framing) -> LargeBody {
        LargeBody { length, form, pace: None, delay: Duration::ZERO, truncate_at: None }
    }

    /// The digest of the complete body.
    pub fn digest(&self) -> u64 {
        let mut digest = Digest::default();
        let mut offset = 0;
        while offset < self.length {
            let piece = generate(offset, (self.length - offset).min(PIECE_BYTES as u64) as usize);
            digest.update(&piece);
            offset += piece.len() as u64;
        }
        digest.0
    }

    fn header(&self) -> String {
        match self.form {
            Framing::Length => format!("Content-Length: {}\r\n", self.length),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::Close | Framing::Http10 => String::new(),
        }
    }

    /// Writes the body; false if it was truncated.
    fn write(&self, to: &mut impl Write) -> io::Result<bool> {
        sleep(self.delay);
        let (size, pause) = self.pace.unwrap_or((PIECE_BYTES, Duration::ZERO));
        let mut offset = 0;
        while offset < self.length {
            if self.truncate_at.is_some_and(|limit| offset >= limit) {
                return Ok(false);
            }
            let piece = generate(offset, (self.length - offset).min(size as u64) as usize);
            if self.form == Framing::Chunked {
                write!(to, "{:x};n={offset}\r\n", piece.len())?;
            }
            to.write_all(&piece)?;
            if self.form == Framing::Chunked {
                to.write_all(b"\r\n")?;
            }
            offset += piece.len() as u64;
            sleep(pause);
        }
        if self.form == Framing::Chunked {
            to.write_all(b"0\r\nX-Trailer: over\r\n\r\n")?;
        }
        Ok(true)
    }
}

/// Size of the pieces in which bodies are written and read by default, in bytes.
const PIECE_BYTES: usize = 16 << 10;

/// The bytes of every body from an offset on.
fn generate(offset: u64, length: usize) -> Vec<u8> {
    (offset..offset + length as u64)
        .map(|position| (position ^ (position >> 8).wrapping_mul(31) ^ (position >> 16)) as u8)
        .collect()
}

/// An FNV-1a hash of the bytes so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Digest(u64);

impl Default for Digest {
    fn default() -> Digest {
        Digest(0xcbf2_9ce4_8422_2325)
    }
}

impl Digest {
    fn update(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// A message that was read: its head, and the length and digest of its body.
#[derive(Clone, Debug)]
pub struct ReceivedMessage {
    /// The start line of the message.
    pub first: String,
    /// The header lines, as they were received.
    pub headers: Vec<String>,
    /// Number of body bytes received.
    pub length: u64,
    /// The digest of the received body.
    pub digest: u64,
    /// Whether the body was received to its end as the message marks it.
    pub whole: bool,
}

impl ReceivedMessage {
    /// The value of a header, by its name in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }

    /// What tells this message apart from others: its start line, request id, and the length and digest of its body.
    pub fn summary(&self) -> String {
        let request_id = self.header("x-request-id").unwrap_or("none");
        format!("{:?} id={request_id} length={} digest={}", self.first, self.length, self.digest)
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Reads a message; `None` if the connection ends before its head is complete.
    /// The body of a response without a length extends to the end of the connection. After each piece, reading pauses for `rest`.
    pub fn read(from: &mut impl BufRead, answer: bool, rest: Duration) -> Option<ReceivedMessage> {
        let mut first = String::new();
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            if from.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end().to_owned();
            match (first.is_empty(), line.is_empty()) {
                (true, _) => first = line,
                (false, false) => headers.push(line),
                // A 100 response has no body and is followed by the final response.
                (false, true) if first.contains(" 100 ") => first.clear(),
                (false, true) => break,
            }
        }
        let mut message = ReceivedMessage { first, headers, length: 0, digest: 0, whole: false };
        let mut digest = Digest::default();
        let chunked = message.header("transfer-encoding").is_some();
        let content_length: Option<u64> =
            message.header("content-length").and_then(|length| length.parse().ok());
        let mut remaining = match (chunked, content_length, answer) {
            (true, ..) => next_chunk(from).ok()?,
            (false, Some(content_length), _) => content_length,
            (false, None, true) => u64::MAX,
            (false, None, false) => 0,
        };
        let mut piece = vec![0; PIECE_BYTES];
        loop {
            if remaining == 0 {
                message.whole = true;
                break;
            }
            let piece_length = remaining.min(piece.len() as u64) as usize;
            let read = match from.read(&mut piece[..piece_length]) {
                Ok(0) => {
                    message.whole = remaining > u64::MAX / 2; // a body that extends to the end of the connection
                    break;
                }
                Ok(read) => read,
                Err(_) => break,
            };
            digest.update(&piece[..read]);
            message.length += read as u64;
            remaining -= read as u64;
            if chunked && remaining == 0 {
                let mut end = [0; 2];
                match from.read_exact(&mut end).and_then(|()| next_chunk(from)) {
                    Ok(next) => remaining = next,
                    Err(_) => break,
                }
            }
            sleep(rest);
        }
        message.digest = digest.0;
        Some(message)
    }
}

/// The size of the next chunk; 0 after the last chunk and its trailer.
fn next_chunk(from: &mut impl BufRead) -> io::Result<u64> {
    let mut line = String::new();
    from.read_line(&mut line)?;
    let digits: String = line.chars().take_while(char::is_ascii_hexdigit).collect();
    let size = u64::from_str_radix(&digits, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    // The last chunk is followed by the trailer, which ends with an empty line.
    let mut trailer_ended = size > 0;
    while !trailer_ended {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        trailer_ended = line.trim_end().is_empty();
    }
    Ok(size)
}

/// A stand-in endpoint that answers every request with the same generated body.
#[derive(Clone)]
pub struct LargeBodyEndpoint {
    /// The address at which the endpoint listens.
    pub address: SocketAddr,
    /// The requests that the endpoint received completely.
    pub seen: Arc<Mutex<Vec<ReceivedMessage>>>,
    /// How many requests ended before they were complete.
    pub broken: Arc<AtomicUsize>,
    /// How many answers could not be written completely, because the gateway had closed the connection.
    pub left: Arc<AtomicUsize>,
    /// How many answers have been written completely.
    pub done: Arc<AtomicUsize>,
}

impl LargeBodyEndpoint {
    /// Starts an endpoint that answers with this body.
    pub fn start(answer: LargeBody) -> LargeBodyEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binding a port failed");
        let address = listener.local_addr().expect("reading the local address failed");
        let (seen, broken, left, done) = Default::default();
        let endpoint = LargeBodyEndpoint { address, seen, broken, left, done };
        let (accepting, observations) = (endpoint.clone(), Observations::of_this_test());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (accepting, observations) = (accepting.clone(), observations.clone());
                spawn(move || accepting.serve(stream, answer, &observations));
            }
        });
        endpoint
    }

    fn serve(&self, stream: TcpStream, answer: LargeBody, observations: &Observations) {
        let mut reader = BufReader::new(stream.try_clone().expect("cloning the stream failed"));
        let mut stream = stream;
        while let Some(request) = ReceivedMessage::read(&mut reader, false, Duration::ZERO) {
            if !request.whole {
                self.broken.fetch_add(1, Ordering::SeqCst);
                return;
            }
            eprintln!("endpoint {}: received {}", self.address, request.summary());
            let attempt = observations.sent_whole(request.header("x-request-id"));
            self.seen.lock().expect("the lock is poisoned").push(request);
            let version = if answer.form == Framing::Http10 { "HTTP/1.0" } else { "HTTP/1.1" };
            let head = format!("{version} 200 Fine\r\n{}\r\n", answer.header());
            let written = stream.write_all(head.as_bytes()).and_then(|()| answer.write(&mut stream));
            let whole = matches!(written, Ok(true));
            observations.answered(attempt, whole);
            match written {
                Ok(true) => self.done.fetch_add(1, Ordering::SeqCst),
                Ok(false) => return,
                Err(_) => {
                    self.left.fetch_add(1, Ordering::SeqCst);
                    return;
                }
            };
            if matches!(answer.form, Framing::Close | Framing::Http10) {
                return;
            }
        }
    }

    /// The endpoint's entry in an endpoint list.
    pub fn entry(&self, name: &str) -> serde_json::Value {
        crate::scripted::entry(name, &self.address.to_string(), 1, "active")
    }
}

/// Sends a request with this body on a new connection and returns the answer; `None` if the connection ends before the answer's head is complete.
/// `head` is the text of a request, as [`crate::scripted::request`] makes it; its length and body are replaced.
pub fn send_request(
    gateway: &str,
    head: &str,
    body: Option<LargeBody>,
    rest: Duration,
) -> Option<ReceivedMessage> {
    let mut stream = TcpStream::connect(gateway).expect("connecting to the gateway failed");
    stream.set_read_timeout(Some(crate::scripted::LONG)).expect("setting the read timeout failed");
    let (head, _) = head.split_once("\r\n\r\n").expect("the request text has no complete head");
    let lines = head.lines().filter(|line| !line.to_ascii_lowercase().starts_with("content-length"));
    let mut text = lines.collect::<Vec<_>>().join("\r\n") + "\r\n";
    text += &body.map(|body| body.header()).unwrap_or_default();
    stream.write_all((text + "\r\n").as_bytes()).ok()?;
    let mut reader = BufReader::new(stream.try_clone().expect("cloning the stream failed"));
    let writing = body.map(|body| {
        let mut stream = stream.try_clone().expect("cloning the stream failed");
        spawn(move || {
            let whole = body.write(&mut stream);
            if !matches!(whole, Ok(true)) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        })
    });
    let answer = ReceivedMessage::read(&mut reader, true, rest);
    let _ = stream.shutdown(std::net::Shutdown::Both);
    if let Some(writing) = writing {
        let _ = writing.join();
    }
    answer
}
