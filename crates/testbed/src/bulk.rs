//! Bodies of any length, pace and form, that nobody holds: a node and a client that make them up as they write and keep a
//! digest of what they read. What is passed on must have the digest of what was sent, however it was cut.

use crate::scripted::Book;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// How a body says where it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// By its length.
    Length,
    /// In chunks, with extensions, and a trailer.
    Chunked,
    /// By the end of the connection; answers only.
    Close,
    /// The same, from a node that speaks HTTP/1.0.
    Old,
}

/// A body.
#[derive(Clone, Copy, Debug)]
pub struct Bulk {
    /// Its length.
    pub length: u64,
    /// How it ends.
    pub form: Form,
    /// It is written in pieces of so many bytes, with so long a rest after each; nothing for as fast as it goes.
    pub pace: Option<(usize, Duration)>,
    /// It breaks off after so much.
    pub breaks: Option<u64>,
}

impl Bulk {
    /// One that is written as fast as it goes.
    pub fn new(length: u64, form: Form) -> Bulk {
        Bulk { length, form, pace: None, breaks: None }
    }

    /// The digest of the whole.
    pub fn digest(&self) -> u64 {
        let mut digest = Digest::default();
        let mut at = 0;
        while at < self.length {
            let piece = made_up(at, (self.length - at).min(PIECE as u64) as usize);
            digest.take(&piece);
            at += piece.len() as u64;
        }
        digest.0
    }

    fn header(&self) -> String {
        match self.form {
            Form::Length => format!("Content-Length: {}\r\n", self.length),
            Form::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Form::Close | Form::Old => String::new(),
        }
    }

    /// Writes it. Whether it is whole.
    fn write(&self, to: &mut impl Write) -> io::Result<bool> {
        let (size, rest) = self.pace.unwrap_or((PIECE, Duration::ZERO));
        let mut at = 0;
        while at < self.length {
            if self.breaks.is_some_and(|breaks| at >= breaks) {
                return Ok(false);
            }
            let piece = made_up(at, (self.length - at).min(size as u64) as usize);
            if self.form == Form::Chunked {
                write!(to, "{:x};n={at}\r\n", piece.len())?;
            }
            to.write_all(&piece)?;
            if self.form == Form::Chunked {
                to.write_all(b"\r\n")?;
            }
            at += piece.len() as u64;
            sleep(rest);
        }
        if self.form == Form::Chunked {
            to.write_all(b"0\r\nX-Trailer: over\r\n\r\n")?;
        }
        Ok(true)
    }
}

/// What is written at a time where nothing else is asked for.
const PIECE: usize = 16 << 10;

/// The bytes of every body from a place on.
fn made_up(at: u64, length: usize) -> Vec<u8> {
    (at..at + length as u64).map(|n| (n ^ (n >> 8).wrapping_mul(31) ^ (n >> 16)) as u8).collect()
}

/// FNV-1a over what has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Digest(u64);

impl Default for Digest {
    fn default() -> Digest {
        Digest(0xcbf2_9ce4_8422_2325)
    }
}

impl Digest {
    fn take(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// A message that was read: its head, and what is known of its body.
#[derive(Clone, Debug)]
pub struct Passed {
    /// Its first line.
    pub first: String,
    /// Its header lines, as they came.
    pub headers: Vec<String>,
    /// How much body came.
    pub length: u64,
    /// Its digest.
    pub digest: u64,
    /// Whether its end came, as the message said it would.
    pub whole: bool,
}

impl Passed {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Reads a message; none where the connection ends first. An answer that says no length goes to the connection's end. After
    /// each piece `rest` is taken.
    pub fn read(from: &mut impl BufRead, answer: bool, rest: Duration) -> Option<Passed> {
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
                // A 1xx has no body, and the answer follows.
                (false, true) if first.contains(" 100 ") => first.clear(),
                (false, true) => break,
            }
        }
        let mut passed = Passed { first, headers, length: 0, digest: 0, whole: false };
        let mut digest = Digest::default();
        let chunked = passed.header("transfer-encoding").is_some();
        let said: Option<u64> = passed.header("content-length").and_then(|n| n.parse().ok());
        let mut left = match (chunked, said, answer) {
            (true, ..) => next_chunk(from).ok()?,
            (false, Some(said), _) => said,
            (false, None, true) => u64::MAX,
            (false, None, false) => 0,
        };
        let mut piece = vec![0; PIECE];
        loop {
            if left == 0 {
                passed.whole = true;
                break;
            }
            let most = left.min(piece.len() as u64) as usize;
            let read = match from.read(&mut piece[..most]) {
                Ok(0) => {
                    passed.whole = left > u64::MAX / 2; // to the end of the connection
                    break;
                }
                Ok(read) => read,
                Err(_) => break,
            };
            digest.take(&piece[..read]);
            passed.length += read as u64;
            left -= read as u64;
            if chunked && left == 0 {
                let mut end = [0; 2];
                match from.read_exact(&mut end).and_then(|()| next_chunk(from)) {
                    Ok(next) => left = next,
                    Err(_) => break,
                }
            }
            sleep(rest);
        }
        passed.digest = digest.0;
        Some(passed)
    }
}

/// The size of the next chunk; 0 behind the last one and its trailer.
fn next_chunk(from: &mut impl BufRead) -> io::Result<u64> {
    let mut line = String::new();
    from.read_line(&mut line)?;
    let digits: String = line.chars().take_while(char::is_ascii_hexdigit).collect();
    let size = u64::from_str_radix(&digits, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    // Behind the last one comes the trailer, to an empty line.
    let mut over = size > 0;
    while !over {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        over = line.trim_end().is_empty();
    }
    Ok(size)
}

/// A node that answers every request with a body of its own.
#[derive(Clone)]
pub struct BulkNode {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it was sent whole.
    pub seen: Arc<Mutex<Vec<Passed>>>,
    /// How many requests broke off on their way.
    pub broken: Arc<AtomicUsize>,
    /// How many answers it could not end, for the other side had gone.
    pub left: Arc<AtomicUsize>,
    /// How many answers it has written whole.
    pub done: Arc<AtomicUsize>,
}

impl BulkNode {
    /// Starts one.
    pub fn start(answer: Bulk) -> BulkNode {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (seen, broken, left, done) = Default::default();
        let node = BulkNode { address, seen, broken, left, done };
        let (me, book) = (node.clone(), Book::of_this_test());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (me, book) = (me.clone(), book.clone());
                spawn(move || me.serve(stream, answer, &book));
            }
        });
        node
    }

    fn serve(&self, stream: TcpStream, answer: Bulk, book: &Book) {
        let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
        let mut stream = stream;
        while let Some(request) = Passed::read(&mut reader, false, Duration::ZERO) {
            if !request.whole {
                self.broken.fetch_add(1, Ordering::SeqCst);
                return;
            }
            let attempt = book.sent_whole(request.header("x-request-id"));
            self.seen.lock().expect("lock").push(request);
            let version = if answer.form == Form::Old { "HTTP/1.0" } else { "HTTP/1.1" };
            let head = format!("{version} 200 Fine\r\n{}\r\n", answer.header());
            let written = stream.write_all(head.as_bytes()).and_then(|()| answer.write(&mut stream));
            let whole = matches!(written, Ok(true));
            book.answered(attempt, whole);
            match written {
                Ok(true) => self.done.fetch_add(1, Ordering::SeqCst),
                Ok(false) => return,
                Err(_) => {
                    self.left.fetch_add(1, Ordering::SeqCst);
                    return;
                }
            };
            if matches!(answer.form, Form::Close | Form::Old) {
                return;
            }
        }
    }

    /// Its entry in a list.
    pub fn entry(&self, name: &str) -> serde_json::Value {
        crate::scripted::entry(name, &self.address.to_string(), 1, "active")
    }
}

/// Sends a request with a body of this kind on a connection of its own. `head` is its text without framing, as
/// [`crate::scripted::request`] words it. Gives what came back; none where nothing whole did.
pub fn ask(gateway: &str, head: &str, body: Option<Bulk>, rest: Duration) -> Option<Passed> {
    let mut stream = TcpStream::connect(gateway).expect("a connection");
    stream.set_read_timeout(Some(crate::scripted::LONG)).expect("a time-out");
    let (head, _) = head.split_once("\r\n\r\n").expect("a head");
    let lines = head.lines().filter(|line| !line.to_ascii_lowercase().starts_with("content-length"));
    let mut text = lines.collect::<Vec<_>>().join("\r\n") + "\r\n";
    text += &body.map(|body| body.header()).unwrap_or_default();
    stream.write_all((text + "\r\n").as_bytes()).ok()?;
    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
    let writing = body.map(|body| {
        let mut stream = stream.try_clone().expect("a clone");
        spawn(move || {
            let whole = body.write(&mut stream);
            if !matches!(whole, Ok(true)) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        })
    });
    let answer = Passed::read(&mut reader, true, rest);
    let _ = stream.shutdown(std::net::Shutdown::Both);
    if let Some(writing) = writing {
        let _ = writing.join();
    }
    answer
}
