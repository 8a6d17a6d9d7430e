//! Stand-ins of a run: endpoints that misbehave by the seed, and a discovery service that tells changes at once.

use crate::world::{Attempt, World};
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use weldworks_testbed::scripted::HttpMessage;

/// This often a peer that waits looks whether its wait is over.
const LOOK: Duration = Duration::from_millis(2);
/// Discovery says that it lives this often.
const ALIVE: Duration = Duration::from_millis(500);

/// What a host answers to the request with this id.
pub fn made_for(id: u64) -> String {
    format!("made for {id:016x}")
}

/// Starts host `host`; where it listens.
pub fn start_host(world: &Arc<World>, host: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let world = world.clone();
    spawn(move || {
        for (connection, stream) in listener.incoming().flatten().enumerate() {
            let world = world.clone();
            spawn(move || serve(&world, host, connection as u64, stream));
        }
    });
    address
}

fn serve(world: &World, host: usize, connection: u64, mut stream: TcpStream) {
    let mut draw = world.draws(1 << 40 | (host as u64) << 32 | connection);
    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
    let _ = stream.set_nodelay(true);
    loop {
        // The first byte is waited for apart, so that an attempt has a beginning.
        if !matches!(stream.peek(&mut [0]), Ok(1..)) {
            return;
        }
        let first = Instant::now();
        let Some(request) = HttpMessage::read(&mut reader) else { return };
        let Some(id) = request.header("x-request-id").and_then(|id| u64::from_str_radix(id, 16).ok()) else {
            return;
        };
        let told = request.header("x-timeout").and_then(|text| text.strip_suffix('u')?.parse().ok());
        let told = told.map_or(Duration::MAX, Duration::from_micros);
        let whole = Instant::now();
        let number = {
            let mut attempts = world.attempts.lock().expect("lock");
            let tries = attempts.entry(id).or_default();
            tries.push(Attempt { host, first, whole, told, ended: None, never_ran: false });
            tries.len() - 1
        };
        let keeps = answer(world, host, id, number, &mut stream, &mut draw);
        if !keeps {
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Ends the attempt in the history, and with it what it proves. To be called ahead of the answer's last byte.
fn end(world: &World, id: u64, number: usize, never_ran: bool) {
    let mut attempts = world.attempts.lock().expect("lock");
    let attempt = &mut attempts.get_mut(&id).expect("a request")[number];
    (attempt.ended, attempt.never_ran) = (Some(Instant::now()), never_ran);
}

/// Treats one attempt; whether the connection goes on.
fn answer(
    world: &World,
    host: usize,
    id: u64,
    number: usize,
    stream: &mut TcpStream,
    draw: &mut fastrand::Rng,
) -> bool {
    let body = made_for(id);
    let length = body.len();
    let takes = Duration::from_millis(if draw.u8(0..10) == 0 { draw.u64(50..400) } else { draw.u64(0..25) });
    let begun = Instant::now();
    while begun.elapsed() < takes || world.hanging[host].load(Ordering::SeqCst) {
        if has_left(stream) {
            end(world, id, number, false);
            return false;
        }
        if world.is_over() && begun.elapsed() > Duration::from_secs(3) {
            break;
        }
        sleep(LOOK);
    }
    let (never_ran, text, keeps) = match draw.u8(0..100) {
        0..=3 => (false, format!("HTTP/1.1 500 Oops\r\nContent-Length: {length}\r\n\r\n{body}"), true),
        4..=8 => {
            (true, "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n".to_owned(), true)
        }
        9..=12 => {
            (false, format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{}", &body[..5]), false)
        }
        13..=15 => (false, String::new(), false),
        16..=18 => (false, format!("HTTP/1.1 200 OK\r\n\r\n{body}"), false),
        _ => (false, format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"), true),
    };
    end(world, id, number, never_ran);
    stream.write_all(text.as_bytes()).is_ok() && keeps
}

fn has_left(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("no waiting");
    let left = match stream.peek(&mut [0]) {
        Ok(unread) => unread == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).expect("waiting");
    left
}

/// The endpoints as discovery lists them.
pub struct Listed {
    pub hosts: Vec<SocketAddr>,
    pub leaving: Vec<bool>,
    pub version: u64,
}

impl Listed {
    pub fn entries(&self) -> Vec<Value> {
        let entry = |(n, address): (usize, &SocketAddr)| {
            let status = if self.leaving[n] { "leaving" } else { "active" };
            weldworks_testbed::scripted::entry(&format!("s-{n}"), &address.to_string(), n as u32 % 2, status)
        };
        self.hosts.iter().enumerate().map(entry).collect()
    }

    fn line(&self) -> String {
        json!({ "index": self.version, "snapshot": true, "endpoints": self.entries() }).to_string() + "\n"
    }
}

/// Starts a discovery service; where it listens. Each call gets the whole list, and again what changes.
pub fn start_discovery(listed: &Arc<Mutex<Listed>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let listed = listed.clone();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let listed = listed.clone();
            spawn(move || watch(&listed, stream));
        }
    });
    address
}

fn watch(listed: &Mutex<Listed>, mut stream: TcpStream) {
    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
    if HttpMessage::read(&mut reader).is_none()
        || stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err()
    {
        return;
    }
    let (mut said, mut alive) = (0, Instant::now());
    loop {
        let line = {
            let listed = listed.lock().expect("lock");
            let news = listed.version > said;
            said = listed.version;
            news.then(|| listed.line())
        };
        let line = match line {
            Some(line) => line,
            None if alive.elapsed() >= ALIVE => "\n".to_owned(),
            None => {
                sleep(LOOK);
                continue;
            }
        };
        alive = Instant::now();
        if stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_err() {
            return;
        }
    }
}
