//! Discovery, one service for all gateways. Each gateway has an address of its own, so that the record can name the gateway of a call.

use crate::net::{respond, Reader};
use crate::record::Record;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub group: u32,
    pub status: &'static str,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"type\":\"std-2c\",\"group\":{},\
             \"status\":\"{}\",\"weight\":1.0,\"since_ms\":0}}",
            self.name, self.address, self.zone, self.group, self.status
        )
    }
}

pub fn list_json(index: u64, snapshot: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"index\":{index},\"snapshot\":{snapshot},\"endpoints\":[{}]}}", entries.join(","))
}

/// A version of the list, and what changed with it.
struct State {
    index: u64,
    entries: Vec<Entry>,
    changes: Vec<(u64, Entry)>,
    /// Counts up when all open watches are ended.
    era: u64,
}

/// Whether a call is turned away; called once a call, with the number of the gateway.
pub type TurnAway = Arc<dyn Fn(usize) -> bool + Send + Sync>;

#[derive(Clone)]
pub struct Discovery {
    pub addresses: Vec<SocketAddr>,
    state: Arc<(Mutex<State>, Condvar)>,
    /// When the current list was last written to each gateway, with its version.
    pub told: Arc<Mutex<Vec<Vec<(Instant, u64)>>>>,
}

impl Discovery {
    pub fn start(
        gateways: usize,
        entries: Vec<Entry>,
        record: &Record,
        label: &'static str,
        turn_away: TurnAway,
    ) -> std::io::Result<Discovery> {
        let state = State { index: 41, entries, changes: Vec::new(), era: 0 };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let told = Arc::new(Mutex::new(vec![Vec::new(); gateways]));
        let mut addresses = Vec::new();
        for gateway in 0..gateways {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?);
            let (state, told, record, turn_away) =
                (state.clone(), told.clone(), record.clone(), turn_away.clone());
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (state, told) = (state.clone(), told.clone());
                    let (record, turn_away) = (record.clone(), turn_away.clone());
                    thread::spawn(move || {
                        let ended = answer(gateway, stream, &state, &told, &record, label, &turn_away);
                        record.line(&format!("{label}: call of g{gateway} ended: {ended:?}"));
                    });
                }
            });
        }
        Ok(Discovery { addresses, state, told })
    }

    /// Changes the status of an entry and tells all open watches.
    pub fn set_status(&self, name: &str, status: &'static str) {
        let (state, changed) = &*self.state;
        if let Ok(mut state) = state.lock() {
            state.index += 1;
            let index = state.index;
            if let Some(at) = state.entries.iter().position(|entry| entry.name == name) {
                state.entries[at].status = status;
                let entry = state.entries[at].clone();
                state.changes.push((index, entry));
            }
        }
        changed.notify_all();
    }

    /// Ends all open watches.
    pub fn end_watches(&self) {
        let (state, changed) = &*self.state;
        if let Ok(mut state) = state.lock() {
            state.era += 1;
        }
        changed.notify_all();
    }

    pub fn known(&self) -> String {
        self.state.0.lock().map(|state| list_json(state.index, true, &state.entries)).unwrap_or_default()
    }
}

fn chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

fn answer(
    gateway: usize,
    mut stream: TcpStream,
    state: &(Mutex<State>, Condvar),
    told: &Mutex<Vec<Vec<(Instant, u64)>>>,
    record: &Record,
    label: &str,
    turn_away: &TurnAway,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let mut reader = Reader::new(stream.try_clone()?);
    let Some(call) = reader.message()? else { return Ok(()) };
    if turn_away(gateway) {
        record.line(&format!("{label}: call of g{gateway} turned away with 503: {}", call.first));
        respond(&mut stream, "503 Service Unavailable", "Connection: close\r\n", b"")?;
        return stream.shutdown(Shutdown::Both);
    }
    let write_told = |index: u64| {
        record.line(&format!("{label}: wrote version {index} to g{gateway}"));
        if let Ok(mut told) = told.lock() {
            told[gateway].push((Instant::now(), index));
        }
    };
    let (lock, changed) = state;
    let poisoned = || std::io::Error::other("poisoned");
    if !call.first.contains("follow=1") {
        let (index, list) = {
            let state = lock.lock().map_err(|_| poisoned())?;
            (state.index, list_json(state.index, true, &state.entries))
        };
        respond(&mut stream, "200 OK", "Content-Type: application/json\r\n", list.as_bytes())?;
        write_told(index);
        return Ok(());
    }
    stream.write_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
    )?;
    let (mut sent, era, first) = {
        let state = lock.lock().map_err(|_| poisoned())?;
        (state.index, state.era, list_json(state.index, true, &state.entries))
    };
    chunk(&mut stream, &format!("{first}\n"))?;
    write_told(sent);
    let mut next_empty_line = Instant::now() + Duration::from_secs(2);
    loop {
        let (news, is_over) = {
            let mut state = lock.lock().map_err(|_| poisoned())?;
            while state.index == sent && state.era == era && Instant::now() < next_empty_line {
                let wait = next_empty_line.saturating_duration_since(Instant::now());
                state = changed.wait_timeout(state, wait).map_err(|_| poisoned())?.0;
            }
            let entries: Vec<Entry> = state
                .changes
                .iter()
                .filter(|(index, _)| *index > sent)
                .map(|(_, entry)| entry.clone())
                .collect();
            ((state.index, list_json(state.index, false, &entries)), state.era != era)
        };
        if is_over {
            return stream.shutdown(Shutdown::Both);
        }
        if news.0 > sent {
            chunk(&mut stream, &format!("{}\n", news.1))?;
            sent = news.0;
            write_told(sent);
        } else {
            chunk(&mut stream, "\n")?;
        }
        next_empty_line = Instant::now() + Duration::from_secs(2);
    }
}
