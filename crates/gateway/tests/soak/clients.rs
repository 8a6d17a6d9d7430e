//! Clients of a run. They use the connections that they have for as long as these stay open, and leave now and then.

use crate::peers::made_for;
use crate::world::{Ask, Effect, Outcome, World, CLASSES};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};
use weldworks_testbed::scripted::HttpMessage;

/// The front goes on sending new connections to a process for so long after that was told to end.
const NOTICED: Duration = Duration::from_millis(300);
/// A final answer that comes later than this after its time is lost; one that comes later still is taken for none.
const GIVEN_UP: Duration = Duration::from_millis(1500);

/// The gateways as the front knows them: where each one's process listens, its number, and since when it is to end.
#[derive(Clone, Debug, Default)]
pub struct Behind {
    pub address: String,
    pub process: u64,
    pub ends_since: Option<Instant>,
    pub up: bool,
}

pub type Front = Arc<Mutex<Vec<Behind>>>;

struct Connection {
    reader: BufReader<TcpStream>,
    process: u64,
    used: bool,
}

fn connect(front: &Front, draw: &mut fastrand::Rng) -> Option<Connection> {
    let behind = {
        let front = front.lock().expect("lock");
        let takes = |b: &&Behind| b.up && b.ends_since.is_none_or(|since| since.elapsed() < NOTICED);
        let all: Vec<&Behind> = front.iter().filter(takes).collect();
        all.get(draw.usize(0..all.len().max(1)))?.to_owned().clone()
    };
    let stream = TcpStream::connect(&behind.address).ok()?;
    let _ = stream.set_nodelay(true);
    Some(Connection { reader: BufReader::new(stream), process: behind.process, used: false })
}

/// One client, until the run is over.
pub fn run(world: &World, front: &Front, number: u64) {
    let mut draw = world.draws(2 << 40 | number);
    let mut connection: Option<Connection> = None;
    while !world.is_over() {
        sleep(Duration::from_millis(draw.u64(0..30)));
        let Some(mut open) = connection.take().or_else(|| connect(front, &mut draw)) else { continue };
        if ask(world, &mut open, &mut draw) {
            connection = Some(open);
        }
    }
}

/// Sends a request and books what becomes of it; whether the connection goes on.
fn ask(world: &World, connection: &mut Connection, draw: &mut fastrand::Rng) -> bool {
    let id = world.next_id();
    let class = draw.usize(0..CLASSES.len());
    let patience = world.longest.mul_f64(0.2 + 0.8 * draw.f64());
    let (reused, process) = (std::mem::replace(&mut connection.used, true), connection.process);
    let sent = connection.reader.get_mut().write_all(text(id, class, patience).as_bytes());
    let written = Instant::now();
    let leaves = draw.u8(0..12) == 0;
    let outcome = if sent.is_err() {
        Outcome::Closed { reused, partly: false }
    } else if leaves {
        sleep(world.longest.mul_f64(0.5 * draw.f64()));
        Outcome::Left
    } else {
        read(connection, id, reused, patience + GIVEN_UP)
    };
    let goes_on = matches!(&outcome, Outcome::Answered { .. }) && connection.used;
    if leaves {
        let _ = connection.reader.get_ref().shutdown(std::net::Shutdown::Both);
    }
    let ask = Ask { class, written, patience, ended: Instant::now(), outcome, process, reused };
    world.asks.lock().expect("lock").insert(id, ask);
    goes_on
}

fn read(connection: &mut Connection, id: u64, reused: bool, most: Duration) -> Outcome {
    connection.reader.get_ref().set_read_timeout(Some(most)).expect("a time-out");
    let begun = Instant::now();
    // What has come of an answer that breaks off is an answer begun.
    let partly = std::io::BufRead::fill_buf(&mut connection.reader).is_ok_and(|bytes| !bytes.is_empty());
    match HttpMessage::read(&mut connection.reader) {
        Some(answer) => {
            let closes = answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
            connection.used = !closes;
            let own = answer.status() != 200 || answer.body == made_for(id).as_bytes();
            Outcome::Answered { status: answer.status(), own }
        }
        None if begun.elapsed() >= most => Outcome::Silent,
        None => Outcome::Closed { reused, partly },
    }
}

fn text(id: u64, class: usize, patience: Duration) -> String {
    let (name, effect) = CLASSES[class];
    let common = format!(
        "Host: backend.local\r\nX-Request-ID: {id:016x}\r\nX-Priority-Class: {name}\r\nX-Tenant-Id: acme\r\n\
         X-Timeout: {}u\r\n",
        patience.as_micros()
    );
    match effect {
        Effect::Safe => format!("GET /{name} HTTP/1.1\r\n{common}\r\n"),
        Effect::Keyed => format!(
            "POST /{name} HTTP/1.1\r\n{common}Idempotency-Key: key-{id}\r\nContent-Length: 4\r\n\r\nbody"
        ),
        Effect::Unsafe => format!("POST /{name} HTTP/1.1\r\n{common}Content-Length: 4\r\n\r\nbody"),
    }
}
