//! A client sends many commands at once on a new connection, while other clients' connections rest. What the gateway has taken has to get
//! an answer; what a close crosses is sent once more.

use crate::client::{keyed_request, new_id, Client};
use crate::discovery::Discovery;
use crate::host::{Hosts, Work};
use crate::net::{connect, Message, Reader};
use crate::record::Record;
use crate::site::{entries, start_gateways};
use crate::{CaseResult, Setting, Verdict};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const ROUNDS: usize = 4;
const COMMANDS: usize = 8;
const BODY_BYTES: usize = 4 << 10;
const TIMEOUT_MS: u64 = 600;
const HOST_WORK: Duration = Duration::from_millis(40);
/// Clients that have each sent a request and keep their connection: under a quarter of the gateway's 256 descriptors.
const RESTING_CLIENTS: usize = 60;

pub fn run(setting: &Setting) -> CaseResult {
    let record = &setting.record;
    let plan = Arc::new(|_: usize, _: &Message| Work::of(HOST_WORK));
    let hosts = Hosts::start(4, record, plan)?;
    let discovery = Discovery::start(1, entries(&hosts), record, "discovery", Arc::new(|_| false))?;
    let mut gateways = start_gateways(setting, 1, &discovery)?;
    let address = gateways[0].address;
    let mut resting = Vec::new();
    for _ in 0..if setting.trouble { RESTING_CLIENTS } else { 1 } {
        let id = new_id();
        let mut client = Client::new(address, record);
        client.send(&id, &keyed_request("enrol-pay", &id, TIMEOUT_MS, BODY_BYTES));
        resting.push(client);
    }
    let open = resting.iter().filter(|client| client.is_connected()).count();
    record.say(&format!("{open} connections of {} other clients rest", resting.len()));
    let mut lost = 0;
    for round in 0..ROUNDS {
        let ids: Vec<String> = (0..COMMANDS).map(|_| new_id()).collect();
        let first = send_at_once(address, &ids, record)?;
        // "The client sends the request once more on a new one."
        let again = if first < COMMANDS { send_at_once(address, &ids[first..], record)? } else { 0 };
        for id in &ids[first + again..] {
            record.line(&format!("LOST: {id} was sent twice and has no answer"));
        }
        lost += COMMANDS - first - again;
        record.say(&format!(
            "round {round}: of {COMMANDS} commands {first} were answered, and {again} when sent once more"
        ));
        thread::sleep(Duration::from_millis(300));
    }
    gateways[0].finish(record);
    record.say(&format!("commands with no answer: {lost} of {}", ROUNDS * COMMANDS));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Writes all commands on a new connection and reads the answers, which come in order. Returns how many were answered.
fn send_at_once(address: SocketAddr, ids: &[String], record: &Record) -> std::io::Result<usize> {
    let mut stream = connect(address, Duration::from_secs(4))?;
    let mut reader = Reader::new(stream.try_clone()?);
    let bytes: Vec<u8> =
        ids.iter().flat_map(|id| keyed_request("enrol-pay", id, TIMEOUT_MS, BODY_BYTES)).collect();
    stream.write_all(&bytes)?;
    let written_at = Instant::now();
    record.line(&format!("{} commands written at once, {} bytes: {ids:?}", ids.len(), bytes.len()));
    for (answered, id) in ids.iter().enumerate() {
        match reader.message() {
            Ok(Some(answer)) => {
                let after = answer.last_byte_at - written_at;
                let closes = answer.closes();
                record.line(&format!("{id} answered {} after {after:?}, closes {closes}", answer.status()));
            }
            ended => {
                let how = ended.map(|_| "closed");
                record.line(&format!("connection ended after {:?}: {how:?}", written_at.elapsed()));
                return Ok(answered);
            }
        }
    }
    Ok(ids.len())
}
