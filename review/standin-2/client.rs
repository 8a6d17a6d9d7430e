//! What the clients of the cases have in common.

use crate::net::{connect, Message, Reader};
use crate::record::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

static NEXT_ID: AtomicU64 = AtomicU64::new(0x9b1f_03aa_0000_0001);

/// A new `X-Request-ID`.
pub fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// A keyed request of a class, with a key of its own and this many bytes of body.
pub fn keyed_request(class: &str, id: &str, timeout_ms: u64, body_bytes: usize) -> Vec<u8> {
    keyed(class, &format!("5c0f6e1a{id}"), id, timeout_ms, body_bytes)
}

/// A keyed request of a class with this key, which a client's retry shares with its first try.
pub fn request_with_key(class: &str, key: &str, id: &str, timeout_ms: u64) -> Vec<u8> {
    keyed(class, key, id, timeout_ms, 212)
}

fn keyed(class: &str, key: &str, id: &str, timeout_ms: u64, body_bytes: usize) -> Vec<u8> {
    let fields = format!("Idempotency-Key: {key}\r\nContent-Length: {body_bytes}\r\n");
    let mut bytes = head("POST", class, id, timeout_ms, &fields);
    bytes.extend(std::iter::repeat_n(b'b', body_bytes));
    bytes
}

/// A request of a class that is safe to repeat.
pub fn safe_request(class: &str, id: &str, timeout_ms: u64) -> Vec<u8> {
    head("GET", class, id, timeout_ms, "")
}

fn head(method: &str, class: &str, id: &str, timeout_ms: u64, fields: &str) -> Vec<u8> {
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: {class}\r\nX-Tenant-Id: civica-centro\r\nCookie: k=7f3a{id}\r\n\
         X-Timeout: {timeout_ms}m\r\n{fields}\r\n"
    )
    .into_bytes()
}

/// A client that sends one request at a time, keeps its connection, and sends a request once more on a new connection where the
/// gateway closed the old one between requests.
pub struct Client {
    address: SocketAddr,
    record: Record,
    connection: Option<(TcpStream, Reader)>,
}

impl Client {
    pub fn new(address: SocketAddr, record: &Record) -> Client {
        Client { address, record: record.clone(), connection: None }
    }

    /// Whether the connection is kept after the last answer.
    pub fn is_connected(&self) -> bool {
        self.connection.is_some()
    }

    fn send_on_kept(&mut self, bytes: &[u8]) -> std::io::Result<Option<Message>> {
        if self.connection.is_none() {
            let stream = connect(self.address, Duration::from_secs(4))?;
            let reader = Reader::new(stream.try_clone()?);
            self.connection = Some((stream, reader));
        }
        let Some((stream, reader)) = &mut self.connection else { return Ok(None) };
        stream.write_all(bytes)?;
        let answer = reader.message()?;
        if answer.as_ref().is_none_or(Message::closes) {
            self.connection = None;
        }
        Ok(answer)
    }

    /// Sends a request and returns its answer; `None` if the connection ended with none.
    pub fn send(&mut self, id: &str, bytes: &[u8]) -> Option<Message> {
        let answer = self.send_and_resend(bytes);
        let status = answer.as_ref().map_or(0, Message::status);
        self.record.line(&format!("client of {}: {id} answered {status}", self.address));
        answer
    }

    fn send_and_resend(&mut self, bytes: &[u8]) -> Option<Message> {
        let was_kept = self.connection.is_some();
        let answer = self.send_on_kept(bytes).ok().flatten();
        if answer.is_some() {
            return answer;
        }
        self.connection = None;
        if was_kept {
            return self.send_on_kept(bytes).ok().flatten();
        }
        None
    }
}
