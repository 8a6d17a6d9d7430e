//! Case 3: a client reads a long answer at 96 kB a second. Does it get the whole answer that its host gives?

#[path = "../standin/common.rs"]
mod common;
#[path = "../standin/settings.rs"]
mod settings;

use common::*;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Length of the answer; the pages allow 32 MB.
const ANSWER_BYTES: usize = 9_600_000;
/// What the slow client reads in a second, in pieces of 4,800 bytes: half as much again as the 64 kB of the pages.
const BYTES_PER_S: f64 = 96e3;
const PIECE: usize = 4_800;

/// A host that writes the whole answer as fast as it is taken.
fn give(received: &Received, stream: &mut TcpStream) -> bool {
    let id = received.id().to_owned();
    record(&format!("host: ran {id}"));
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n");
    let answer = [head.into_bytes(), vec![b'x'; ANSWER_BYTES]].concat();
    let mut given = 0;
    while given < answer.len() {
        match stream.write(&answer[given..]) {
            Ok(taken) => given += taken,
            Err(error) => {
                record(&format!("host: {id}: {given} of {} bytes were taken, then {error}", answer.len()));
                return false;
            }
        }
    }
    record(&format!("host: {id}: gave the whole answer"));
    true
}

fn main() {
    begin();
    let host = start_host("n00", give);
    let list = list(1, &[entry("n00", host, "via-dante", 0, "active")]);
    let discovery = start_discovery(list.clone());
    let gateway = Gateway::start("g0", discovery, &list, &settings::settings(settings::TIMETABLE));
    let stream = TcpStream::connect(gateway.listen).expect("connect to the gateway");
    (&stream).write_all(&request("GET", "timetable", "r1", 1100, None, b"")).expect("send the request");
    record("client: r1 sent whole");
    stream.set_read_timeout(Some(ms(30_000))).expect("set a time-out");
    let mut reader = BufReader::with_capacity(PIECE, stream);
    let head = read_head(&mut reader).expect("read the answer's head");
    record(&format!("client: {} of {} bytes", head.start, head.get("content-length")));
    if head.status() != 200 {
        finish(NOT_RUN);
    }
    let begun = Instant::now();
    let mut piece = [0; PIECE];
    let mut taken = 0;
    let mut longest_wait = Duration::ZERO;
    let mut reported = 0;
    let end = loop {
        if taken == ANSWER_BYTES {
            break "the whole answer came".to_owned();
        }
        let asked = Instant::now();
        match reader.read(&mut piece) {
            Ok(0) => break "the connection ended".to_owned(),
            Ok(bytes) => taken += bytes,
            Err(error) => break format!("the connection broke: {error}"),
        }
        longest_wait = longest_wait.max(asked.elapsed());
        if with_trouble() {
            let due = begun + Duration::from_secs_f64(taken as f64 / BYTES_PER_S);
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        if taken / 500_000 > reported {
            reported = taken / 500_000;
            record(&format!("client: has read {taken} bytes, never waited longer than {longest_wait:?}"));
        }
    };
    let elapsed = begun.elapsed();
    record(&format!("client: {end} after {taken} of {ANSWER_BYTES} bytes, {elapsed:?} after the head"));
    gateway.record_log();
    finish(if taken == ANSWER_BYTES { HELD } else { BROKEN });
}
