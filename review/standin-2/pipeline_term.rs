//! A client sends many commands at once on one connection. A moment later the gateway gets SIGTERM. What it had taken by then has to get an
//! answer.

use crate::client::{new_id, request, Client};
use crate::discovery::Discovery;
use crate::host::{Hosts, Work};
use crate::net::{connect, Message, Reader};
use crate::site::{entries, start_gateways, SOCKETS};
use crate::{CaseResult, Setting, Verdict};
use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const ROUNDS: usize = 4;
const COMMANDS: usize = 12;
const BODY_BYTES: usize = 4 << 10;
const TIMEOUT_MS: u64 = 600;
const HOST_WORK: Duration = Duration::from_millis(40);
/// From the last byte of the commands to SIGTERM, so that no command crosses what the gateway does at SIGTERM.
const BEFORE_SIGTERM: Duration = Duration::from_millis(100);

pub fn run(setting: &Setting) -> CaseResult {
    let record = &setting.record;
    let plan = Arc::new(|_: usize, _: &Message| Work { takes: HOST_WORK, second_answer_after: None });
    let hosts = Hosts::start(4, record, plan)?;
    let discovery = Discovery::start(1, entries(&hosts), record, "discovery", Arc::new(|_| false))?;
    let mut lost = Vec::new();
    for round in 0..ROUNDS {
        let mut gateways = start_gateways(setting, 1, &discovery, SOCKETS)?;
        let address = gateways[0].address;
        let mut usual = Client::new(address, record);
        for _ in 0..10 {
            let id = new_id();
            usual.send(&id, &request("enrol-pay", true, &id, TIMEOUT_MS, BODY_BYTES));
        }
        drop(usual);
        let mut stream = connect(address, Duration::from_secs(4))?;
        let mut reader = Reader::new(stream.try_clone()?);
        let ids: Vec<String> = (0..COMMANDS).map(|_| new_id()).collect();
        let bytes: Vec<u8> =
            ids.iter().flat_map(|id| request("enrol-pay", true, id, TIMEOUT_MS, BODY_BYTES)).collect();
        stream.write_all(&bytes)?;
        let written_at = Instant::now();
        record.line(&format!("round {round}: {COMMANDS} commands written, {} bytes", bytes.len()));
        thread::sleep(BEFORE_SIGTERM);
        if setting.trouble {
            gateways[0].terminate();
            record.line(&format!("round {round}: SIGTERM"));
        }
        let mut answered = 0;
        for id in &ids {
            match reader.message() {
                Ok(Some(answer)) => {
                    answered += 1;
                    let after = answer.last_byte_at - written_at;
                    let closes = answer.closes();
                    record
                        .line(&format!("{id} answered {} after {after:?}, closes {closes}", answer.status()));
                }
                ended => {
                    let how = ended.map(|_| "closed");
                    record.line(&format!("connection ended after {:?}: {how:?}", written_at.elapsed()));
                    break;
                }
            }
        }
        record.say(&format!("round {round}: {answered} of {COMMANDS} commands answered"));
        for id in &ids[answered..] {
            record.line(&format!("LOST: {id}, written {BEFORE_SIGTERM:?} before SIGTERM, has no answer"));
            lost.push(id.clone());
        }
        gateways[0].finish(record);
    }
    record.say(&format!("commands with no answer: {} of {}", lost.len(), ROUNDS * COMMANDS));
    Ok(if lost.is_empty() { Verdict::Held } else { Verdict::Broken })
}
