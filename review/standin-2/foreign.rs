//! A part of the answers of hosts is spoilt: a second answer follows some milliseconds after the first. No client may get an answer that
//! was made for another request.

use crate::client::{new_id, request, Client};
use crate::discovery::Discovery;
use crate::host::{body_of, Hosts, Work};
use crate::net::Message;
use crate::site::{entries, start_gateways, SOCKETS};
use crate::{CaseResult, Setting, Verdict};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: u64 = 6;
const PLAYED_FOR: Duration = Duration::from_secs(40);
/// One answer in ten is spoilt.
const SPOILT_ONE_IN: u64 = 10;
/// "A second answer may come some milliseconds late": 3 to 10 ms.
const SECOND_ANSWER_MS: [u64; 8] = [3, 4, 5, 6, 7, 8, 9, 10];
const HOST_WORK: Duration = Duration::from_millis(30);

pub fn run(setting: &Setting) -> CaseResult {
    let record = &setting.record;
    let trouble = setting.trouble;
    let count = AtomicU64::new(0);
    let plan = Arc::new(move |_: usize, _: &Message| {
        let number = count.fetch_add(1, Ordering::SeqCst);
        let is_spoilt = trouble && number.is_multiple_of(SPOILT_ONE_IN);
        let late_ms = SECOND_ANSWER_MS[(number / SPOILT_ONE_IN) as usize % SECOND_ANSWER_MS.len()];
        Work { takes: HOST_WORK, second_answer_after: is_spoilt.then(|| Duration::from_millis(late_ms)) }
    });
    let hosts = Hosts::start(4, record, plan)?;
    let discovery = Discovery::start(1, entries(&hosts), record, "discovery", Arc::new(|_| false))?;
    let mut gateways = start_gateways(setting, 1, &discovery, SOCKETS)?;
    let address = gateways[0].address;
    let until = Instant::now() + PLAYED_FOR;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let mut client = Client::new(address, &record);
                let (mut sent, mut served, mut foreign) = (0, 0, 0);
                while Instant::now() < until {
                    let id = new_id();
                    let answer = client.send(&id, &request("timetable", false, &id, 600, 0));
                    sent += 1;
                    if let Some(answer) = answer.filter(|answer| answer.status() == 200) {
                        served += 1;
                        if answer.body != body_of(&id) {
                            foreign += 1;
                            let text = String::from_utf8_lossy(&answer.body).into_owned();
                            record.line(&format!("FOREIGN: {id} was answered {text}"));
                        }
                    }
                    thread::sleep(Duration::from_millis(20 + 7 * number));
                }
                (sent, served, foreign)
            })
        })
        .collect();
    let (mut sent, mut served, mut foreign) = (0, 0, 0);
    for client in clients {
        let counts = client.join().map_err(|_| "a client panicked")?;
        sent += counts.0;
        served += counts.1;
        foreign += counts.2;
    }
    gateways[0].finish(record);
    record.say(&format!(
        "{sent} requests, {served} served, {foreign} of them with the answer to another request"
    ));
    Ok(if foreign > 0 { Verdict::Broken } else { Verdict::Held })
}
