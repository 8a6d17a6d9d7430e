//! The open watches end two seconds before a host drains, and discovery, which has too many callers for a while, turns three of four calls
//! away.
//! The change counts as told 6 s later at the latest; 2 s after that the host may get nothing new.

use crate::client::{new_id, safe_request, Client};
use crate::discovery::Discovery;
use crate::host::{Hosts, Work};
use crate::net::Message;
use crate::site::{entries, host_name, start_gateways};
use crate::{CaseResult, Setting, Verdict};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 24;
const HOSTS: usize = 6;
const DRAINING: usize = 1;
/// While discovery has too many callers, it answers one call of four.
const ANSWERED_ONE_IN: u64 = 4;
/// It has too many callers from the end of the watches until so long after the drain.
const CROWDED_FOR: Duration = Duration::from_secs(12);
/// "All open watches are reset some seconds before hosts begin to drain."
const WATCHES_END_BEFORE: Duration = Duration::from_secs(2);
/// "A change counts as told at the latest 6 s after discovery had it and could be reached."
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// `safety.stop_sending_within_s`, and "each time limit is 50 ms longer".
const GRACE: Duration = Duration::from_millis(2000 + 50);

pub fn run(setting: &Setting) -> CaseResult {
    let record = &setting.record;
    let plan = Arc::new(|_: usize, _: &Message| Work::of(Duration::from_millis(40)));
    let hosts = Hosts::start(HOSTS, record, plan)?;
    let is_crowded = Arc::new(AtomicBool::new(false));
    let calls = Arc::new(AtomicU64::new(0));
    let (crowded, counted) = (is_crowded.clone(), calls.clone());
    let turn_away = Arc::new(move |_| {
        crowded.load(Ordering::SeqCst)
            && !(counted.fetch_add(1, Ordering::SeqCst) + 1).is_multiple_of(ANSWERED_ONE_IN)
    });
    let discovery = Discovery::start(GATEWAYS, entries(&hosts), record, "discovery", turn_away)?;
    let mut gateways = start_gateways(setting, GATEWAYS, &discovery)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = gateways
        .iter()
        .map(|gateway| {
            let (is_over, address, record) = (is_over.clone(), gateway.address, record.clone());
            thread::spawn(move || {
                let mut client = Client::new(address, &record);
                while !is_over.load(Ordering::SeqCst) {
                    let id = new_id();
                    client.send(&id, &safe_request("timetable", &id, 600));
                    thread::sleep(Duration::from_millis(30));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(10));
    if setting.trouble {
        is_crowded.store(true, Ordering::SeqCst);
        discovery.end_watches();
        record.say("all open watches end, discovery has too many callers");
    }
    thread::sleep(WATCHES_END_BEFORE);
    discovery.set_status(&host_name(DRAINING), "leaving");
    let draining_at = Instant::now();
    record.say("s-1 drains");
    thread::sleep(CROWDED_FOR);
    is_crowded.store(false, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(4));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    for gateway in &mut gateways {
        gateway.finish(record);
    }
    let told = discovery.told.lock().map(|told| told.clone()).unwrap_or_default();
    for (rank, told) in told.iter().enumerate() {
        let first = told.iter().find(|(at, _)| *at > draining_at).map(|(at, _)| *at - draining_at);
        record.say(&format!("n{rank}: a list with the change was written {first:?} after it"));
    }
    let late = hosts.begun_after(DRAINING, draining_at + TOLD_AFTER + GRACE);
    record.say(&format!(
        "{} calls while discovery had too many callers; requests to s-1 later than {:?} after its drain: {}, the last {:?} after it",
        calls.load(Ordering::SeqCst),
        TOLD_AFTER + GRACE,
        late.len(),
        late.last().map(|at| *at - draining_at)
    ));
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}
