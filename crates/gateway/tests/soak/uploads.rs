//! Uploads of a run: bodies that are too long to be buffered, and endpoints that stop, pause or break off while they read one.

use crate::workload_history::{Effect, RunState, CLASSES};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Interval at which an endpoint that has stopped reading checks whether the run is over.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time for which an endpoint that has stopped reading keeps its connection: longer than any client waits.
const MAX_HOLD_TIME: Duration = Duration::from_secs(12);
/// Size of the pieces in which a client writes an upload, in bytes.
const WRITE_BYTES: usize = 16 << 10;
/// Number of affinity keys of uploads.
const KEY_COUNT: u64 = 3;

/// What an endpoint does in the middle of an upload.
#[derive(Clone, Copy, Debug)]
enum UploadFault {
    /// Writes this start of an answer and reads nothing more.
    Stop { answer_start: &'static str },
    /// Reads nothing for a while.
    Pause(Duration),
    /// Reads on slowly: with this pause before each read.
    Slow(Duration),
    /// Breaks the connection.
    Break,
}

/// Reads from a connection, and fails in the middle of a long request where the seed says so.
pub struct FaultyReader<'a> {
    state: &'a RunState,
    stream: TcpStream,
    fault: Option<UploadFault>,
    /// Number of bytes that are read until the fault begins.
    bytes_until_fault: usize,
    /// Since when the reads of the current request have lagged behind the arrival of its bytes.
    lagging_since: Option<Instant>,
}

impl<'a> FaultyReader<'a> {
    /// Reads this connection without a fault.
    pub fn new(state: &'a RunState, stream: TcpStream) -> FaultyReader<'a> {
        FaultyReader { state, stream, fault: None, bytes_until_fault: usize::MAX, lagging_since: None }
    }

    /// Draws the fault of the next request. It only begins behind more bytes than a short request has.
    pub fn draw_fault(&mut self, random: &mut fastrand::Rng) {
        self.lagging_since = None;
        self.bytes_until_fault = random.usize(2_000..60_000);
        self.fault = match random.u8(0..12) {
            0 | 1 => Some(UploadFault::Stop { answer_start: "" }),
            2 => Some(UploadFault::Stop { answer_start: "HTTP/1.1 2" }),
            3 => Some(UploadFault::Stop { answer_start: "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nabc" }),
            4 => Some(UploadFault::Pause(Duration::from_millis(random.u64(50..1500)))),
            5 => Some(UploadFault::Slow(Duration::from_millis(random.u64(1..40)))),
            6 => Some(UploadFault::Break),
            _ => None,
        };
    }

    /// The earliest time at which the last byte of the request that has just been read may have arrived.
    pub fn earliest_arrival(&self) -> Instant {
        self.lagging_since.unwrap_or_else(Instant::now)
    }

    /// Keeps the connection open and reads nothing.
    fn hold(&self) {
        let began_at = Instant::now();
        while began_at.elapsed() < MAX_HOLD_TIME && !self.state.is_over() {
            sleep(CHECK_INTERVAL);
        }
    }

    fn begin_fault(&mut self, fault: UploadFault) -> std::io::Result<()> {
        match fault {
            UploadFault::Stop { answer_start } => {
                self.stream.write_all(answer_start.as_bytes())?;
                self.hold();
                Err(std::io::ErrorKind::TimedOut.into())
            }
            UploadFault::Pause(pause) => {
                sleep(pause);
                self.fault = None;
                Ok(())
            }
            UploadFault::Slow(pause) => {
                sleep(pause);
                Ok(())
            }
            UploadFault::Break => Err(std::io::ErrorKind::ConnectionReset.into()),
        }
    }
}

impl Read for FaultyReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if let Some(fault) = self.fault.filter(|_| self.bytes_until_fault == 0) {
            self.lagging_since.get_or_insert_with(Instant::now);
            self.begin_fault(fault)?;
        }
        let limit = if self.fault.is_some() && self.bytes_until_fault > 0 {
            buffer.len().min(self.bytes_until_fault)
        } else {
            buffer.len()
        };
        let read = self.stream.read(&mut buffer[..limit])?;
        self.bytes_until_fault = self.bytes_until_fault.saturating_sub(read);
        Ok(read)
    }
}

/// An upload as its client writes it.
pub struct Upload {
    head: String,
    length: usize,
    is_chunked: bool,
    /// The pause between two pieces.
    pause: Duration,
}

impl Upload {
    /// Draws an upload of a class that may carry a body.
    pub fn draw(id: u64, class: usize, client_timeout: Duration, random: &mut fastrand::Rng) -> Upload {
        let (name, effect) = CLASSES[class];
        assert_ne!(effect, Effect::Safe, "a request of a safe class has no body");
        // The longest ones are longer than the kernel's buffers towards an endpoint.
        let is_very_long = random.u8(0..5) == 0;
        let length =
            if is_very_long { random.usize(4_000_000..6_000_000) } else { random.usize(70_000..400_000) };
        let is_chunked = random.bool();
        let is_slow = !is_very_long && random.u8(0..5) == 0;
        let key = match effect {
            Effect::Keyed => format!("Idempotency-Key: key-{id}\r\n"),
            Effect::Safe | Effect::Unsafe => String::new(),
        };
        let framing = if is_chunked {
            "Transfer-Encoding: chunked".to_owned()
        } else {
            format!("Content-Length: {length}")
        };
        let head = format!(
            "POST /{name} HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {id:016x}\r\nX-Priority-Class: {name}\r\n\
             X-Tenant-Id: acme\r\nX-Timeout: {}u\r\nCookie: k=key-{}\r\n{key}{framing}\r\n\r\n",
            client_timeout.as_micros(),
            random.u64(0..KEY_COUNT)
        );
        let pause = Duration::from_millis(if is_slow { random.u64(20..200) } else { 0 });
        Upload { head, length, is_chunked, pause }
    }

    /// Writes the whole upload.
    pub fn write(&self, stream: &mut impl Write) -> std::io::Result<()> {
        stream.write_all(self.head.as_bytes())?;
        let body = vec![b'b'; self.length];
        for (index, piece) in body.chunks(WRITE_BYTES).enumerate() {
            if index > 0 {
                sleep(self.pause);
            }
            if self.is_chunked {
                let chunk = [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat();
                stream.write_all(&chunk)?;
            } else {
                stream.write_all(piece)?;
            }
        }
        if self.is_chunked {
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    }
}
