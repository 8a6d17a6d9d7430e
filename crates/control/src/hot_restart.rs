//! What a process writes for the one that takes over from it: a bounded text, checked as a whole. Whatever is wrong with it, the new
//! process starts without.

use std::fmt::Write as _;
use std::time::Duration;
use weldworks_balancer::{EndpointSnapshot, Snapshot};

/// The first line: whose it is, and its version. Another version is passed over.
const HEAD: &str = "ottervane-handover 2";
/// The longest text that is read.
pub const MAX_SNAPSHOT_BYTES: usize = 1 << 20;
/// The most hosts that are written.
const MOST: usize = 10_000;
/// What is older tells of other days. It is written once in [`EVERY`].
pub const MAX_SNAPSHOT_AGE: Duration = Duration::from_secs(5);
/// See [`OLDEST`].
pub const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);

/// Why a text is passed over.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// It is longer than any that this program writes.
    #[error("it is longer than {MAX_SNAPSHOT_BYTES} bytes")]
    TooLong,
    /// It is another program's, or another version's.
    #[error("its first line is not {HEAD:?}")]
    UnknownFormat,
    /// It was written too long ago, or is said to come from the future.
    #[error("it was written {0} ms before now; at most {max} ms count", max = MAX_SNAPSHOT_AGE.as_millis())]
    Expired(i128),
    /// Its end is missing, or a line of it.
    #[error("it is not whole")]
    Truncated,
    /// A line that says nothing, or a figure that can't be.
    #[error("line {0} does not hold")]
    InvalidLine(usize),
}

/// The text of a memory, written at this moment of the machine's monotonic clock, which a step of the wall clock does not move.
pub fn encode_snapshot(memory: &Snapshot, now: Duration) -> String {
    let mut text = format!("{HEAD}\nwritten {}\n", now.as_millis());
    let _ = writeln!(
        text,
        "traffic {} {} {} {}",
        memory.served_per_s,
        memory.first_attempts_per_s,
        memory.served_per_warm_endpoint_per_s,
        memory.mean_latency_s
    );
    let hosts = &memory.endpoints[..memory.endpoints.len().min(MOST)];
    for host in hosts {
        let _ = writeln!(text, "host {:016x} {}", host.name_hash, host.latency_estimate_s);
    }
    let _ = writeln!(text, "end {}", hosts.len());
    text
}

/// Reads such a text at this moment of the same clock.
///
/// # Errors
/// Why it is to be passed over.
pub fn decode_snapshot(text: &str, now: Duration) -> Result<Snapshot, SnapshotError> {
    if text.len() > MAX_SNAPSHOT_BYTES {
        return Err(SnapshotError::TooLong);
    }
    let mut lines = text.split_inclusive('\n').enumerate();
    let mut next = || match lines.next() {
        Some((n, line)) => line.strip_suffix('\n').map(|line| (n + 1, line)).ok_or(SnapshotError::Truncated),
        None => Err(SnapshotError::Truncated),
    };
    if !matches!(next(), Ok((_, HEAD))) {
        return Err(SnapshotError::UnknownFormat);
    }
    let (n, line) = next()?;
    let written: i128 =
        line.strip_prefix("written ").and_then(|ms| ms.parse().ok()).ok_or(SnapshotError::InvalidLine(n))?;
    let age = (now.as_millis() as i128).saturating_sub(written);
    if !(0..=MAX_SNAPSHOT_AGE.as_millis() as i128).contains(&age) {
        return Err(SnapshotError::Expired(age));
    }
    let (n, line) = next()?;
    let figures = line.strip_prefix("traffic ").map(|rest| rest.split(' ').map(str::parse::<f64>));
    let figures: Option<Vec<f64>> = figures.and_then(|f| f.collect::<Result<_, _>>().ok());
    let Some(&[served, asked, warm, latency]) = figures.as_deref() else {
        return Err(SnapshotError::InvalidLine(n));
    };
    let mut memory = Snapshot {
        endpoints: Vec::new(),
        served_per_s: served,
        first_attempts_per_s: asked,
        served_per_warm_endpoint_per_s: warm,
        mean_latency_s: latency,
    };
    if !memory.is_valid() {
        return Err(SnapshotError::InvalidLine(n));
    }
    loop {
        let (n, line) = next()?;
        if let Some(count) = line.strip_prefix("end ") {
            let whole =
                count.parse() == Ok(memory.endpoints.len()) && next() == Err(SnapshotError::Truncated);
            return if whole { Ok(memory) } else { Err(SnapshotError::Truncated) };
        }
        let host = line.strip_prefix("host ").and_then(|rest| rest.split_once(' ')).and_then(|(hash, e)| {
            Some(EndpointSnapshot {
                name_hash: u64::from_str_radix(hash, 16).ok()?,
                latency_estimate_s: e.parse().ok()?,
            })
        });
        let host = host.ok_or(SnapshotError::InvalidLine(n))?;
        if !(Snapshot { endpoints: vec![host], ..Snapshot::default() }).is_valid() {
            return Err(SnapshotError::InvalidLine(n));
        }
        memory.endpoints.push(host);
    }
}

/// A process that takes over from another waits so long for news of the hosts; its yes is due within 6 s.
const FIRST_NEWS: Duration = Duration::from_millis(2500);
/// With no host that takes work it waits so long for one; then clients are told that there is none.
const FIRST_HOST: Duration = Duration::from_secs(6);

/// What a process that does not serve yet waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupWait {
    /// Discovery's first word: what another process was told of drains binds this one too, so nobody is taken in on a list that
    /// may be old, unless there is no other to be had.
    Discovery,
    /// A host that takes work: without one it would only take clients from the process that serves.
    Endpoints,
}

/// How a process begins to serve.
#[derive(Clone, Copy, Debug)]
pub struct Startup {
    /// Another process may serve on the same listener.
    pub shared_listener: bool,
    /// When this one started.
    pub started_at: Duration,
}

impl Startup {
    /// What it waits for now, if anything. One with a listener of its own waits for nothing: there is nobody else to ask.
    pub fn waiting_for(&self, now: Duration, heard: bool, hosts_up: bool) -> Option<StartupWait> {
        let waited = now.saturating_sub(self.started_at);
        match (self.shared_listener, heard, hosts_up) {
            (true, false, _) if waited < FIRST_NEWS => Some(StartupWait::Discovery),
            (true, _, false) if waited < FIRST_HOST => Some(StartupWait::Endpoints),
            _ => None,
        }
    }
}

/// Two processes look for each other so often that the one that stays has all descriptors before the clients that the other sends
/// away come to it: those are answered goodbye within milliseconds. One that is alone has time.
pub fn peer_check_interval(other: bool) -> Duration {
    Duration::from_millis(if other { 10 } else { 250 })
}

/// How many descriptors a process has open, by what for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DescriptorUsage {
    /// Connections of clients.
    pub clients: usize,
    /// Those that are taken in only to be told that there is no room.
    pub overflow: usize,
    /// Connections to hosts.
    pub endpoints: usize,
}

impl DescriptorUsage {
    /// Its text: always as long, so that a newer one stands whole in the place of an older one.
    pub fn encode(self) -> String {
        let within = |count: usize| count.min(999_999);
        format!("{:06} {:06} {:06}\n", within(self.clients), within(self.overflow), within(self.endpoints))
    }

    /// Reads such a text; none where it is another, or not whole.
    pub fn decode(text: &str) -> Option<DescriptorUsage> {
        let mut counts = text
            .strip_suffix('\n')?
            .split(' ')
            .map(|count| (count.len() == 6).then_some(count)?.parse().ok());
        let held = DescriptorUsage {
            clients: counts.next()??,
            overflow: counts.next()??,
            endpoints: counts.next()??,
        };
        counts.next().is_none().then_some(held)
    }
}

/// What one process may have open of a limit that both keep: what the other one has not. A fixed half would refuse clients that hold
/// more than half at the one while the other has none yet.
pub fn remaining_descriptors(most: usize, other: usize) -> usize {
    most.saturating_sub(other)
}
