//! A host hangs in the middle of a keyed request that it has run. The gateway refuses the request after the time in which hosts drop a
//! repeat. A refusal says that trying again is harmless, so the client tries again, and the request runs twice.

use crate::client::{new_id, request_with_key, Client};
use crate::discovery::Discovery;
use crate::host::{Hosts, Work};
use crate::net::Message;
use crate::record::Record;
use crate::site::{entries, start_gateways_with};
use crate::{CaseResult, Setting, Verdict};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// All hosts drop a repeat for this long, counted from when the first attempt came.
const WINDOW: Duration = Duration::from_millis(250);
/// "A try is given up after 50 to 60% of the class's give-up time", 1.2 s.
const TIMEOUT_MS: u64 = 700;
/// "Clients retry by themselves up to 3 times."
const TRIES: usize = 4;
/// "Total time a client waits, across every one of its tries."
const GIVES_UP_AFTER: Duration = Duration::from_millis(1200);
const CLIENTS: usize = 6;
const HOSTS: usize = 4;
const HOST_WORK: Duration = Duration::from_millis(60);
const PLAYED_FOR: Duration = Duration::from_secs(20);
/// From so long after the start on one of the hosts hangs, another one every four seconds.
const HANGS_FROM: Duration = Duration::from_secs(4);
const HANGS_FOR: Duration = Duration::from_secs(4);

/// What the hosts remember together: when each key was last run, and how often it has run.
type Memory = Mutex<HashMap<String, (Instant, usize)>>;

/// Runs a request, unless it repeats one that the hosts remember. Returns whether it was run.
fn run_once(memory: &Memory, key: &str) -> bool {
    let Ok(mut memory) = memory.lock() else { return false };
    let now = Instant::now();
    let (run_at, runs) = memory.entry(key.to_owned()).or_insert((now, 0));
    if *runs > 0 && now - *run_at < WINDOW {
        return false;
    }
    *run_at = now;
    *runs += 1;
    true
}

pub fn run(setting: &Setting) -> CaseResult {
    let record = &setting.record;
    let memory = Arc::new(Memory::default());
    let (trouble, start) = (setting.trouble, Instant::now());
    let (shared, noted) = (memory.clone(), record.clone());
    let plan = Arc::new(move |host: usize, request: &Message| {
        let key = request.header("idempotency-key").unwrap_or_default();
        let is_run = run_once(&shared, key);
        noted
            .line(&format!("host{host}: key {key} {}", if is_run { "RUNS" } else { "is a repeat, dropped" }));
        let hanging_for = start.elapsed().checked_sub(HANGS_FROM);
        let hanging = hanging_for.map(|at| (at.as_millis() / HANGS_FOR.as_millis()) as usize % HOSTS);
        Work { takes: HOST_WORK, hangs: trouble && hanging == Some(host) }
    });
    let hosts = Hosts::start(HOSTS, record, plan)?;
    let discovery = Discovery::start(1, entries(&hosts), record, "discovery", Arc::new(|_| false))?;
    let mut gateways = start_gateways_with(setting, 1, &discovery, WINDOW.as_secs_f64())?;
    let address = gateways[0].address;
    let until = Instant::now() + PLAYED_FOR;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let record = record.clone();
            thread::spawn(move || play_client(address, &record, until))
        })
        .collect();
    let (mut booked, mut tries) = (0, 0);
    for client in clients {
        let counts = client.join().map_err(|_| "a client panicked")?;
        booked += counts.0;
        tries += counts.1;
    }
    gateways[0].finish(record);
    let memory = memory.lock().map_err(|_| "poisoned")?;
    let mut twice: Vec<&String> =
        memory.iter().filter(|(_, (_, runs))| *runs > 1).map(|(key, _)| key).collect();
    twice.sort();
    for key in &twice {
        record.line(&format!("TWICE: key {key}"));
    }
    record.say(&format!("{booked} bookings in {tries} tries; run more than once: {}", twice.len()));
    Ok(if twice.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Books one room after another. After a refusal it tries again at once, with a new id and the same key. After a failure, or no answer,
/// it tries again only while hosts drop a repeat of its first try.
fn play_client(address: SocketAddr, record: &Record, until: Instant) -> (usize, usize) {
    let mut client = Client::new(address, record);
    let (mut bookings, mut tries) = (0, 0);
    while Instant::now() < until {
        let key = format!("5c0f6e1a{}", new_id());
        let first_at = Instant::now();
        bookings += 1;
        for _ in 0..TRIES {
            let id = new_id();
            tries += 1;
            let answer = client.send(&id, &request_with_key("enrol-pay", &key, &id, TIMEOUT_MS));
            let status = answer.as_ref().map_or(0, Message::status);
            let after = first_at.elapsed();
            record.line(&format!("key {key} try {id}: {status} {after:?} after the first try"));
            let may_try_again = matches!(status, 429 | 503) || (status != 200 && after < WINDOW);
            if !may_try_again || after >= GIVES_UP_AFTER {
                break;
            }
        }
        thread::sleep(Duration::from_millis(30));
    }
    (bookings, tries)
}
