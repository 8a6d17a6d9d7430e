//! Text format of the snapshot that a process writes for its successor.
//!
//! ```text
//! ottervane-handover 2
//! written MILLISECONDS
//! traffic SERVED_PER_S FIRST_ATTEMPTS_PER_S SERVED_PER_WARM_ENDPOINT_PER_S MEAN_LATENCY_S
//! host NAME_HASH LATENCY_ESTIMATE_S
//! end NUMBER_OF_ENDPOINTS
//! ```
//!
//! There is one `host` line for each endpoint. The text is accepted as a whole or not at all; without a valid snapshot
//! the successor starts with no learned state.

use std::fmt::Write as _;
use std::time::Duration;
use weldworks_balancer::{EndpointSnapshot, Snapshot};

/// First line of the text: the format and its version. The line keeps a former name of this program, because processes
/// before and after the renaming read each other's snapshots during a hot restart.
const FORMAT_LINE: &str = "ottervane-handover 2";
/// Longest snapshot text that is decoded, in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 1 << 20;
/// Largest number of endpoints that are encoded in a snapshot.
const MAX_SNAPSHOT_ENDPOINTS: usize = 10_000;
/// Greatest age of a snapshot that is accepted: an older snapshot was not written by a process that is still active.
pub const MAX_SNAPSHOT_AGE: Duration = Duration::from_secs(5);
/// Interval at which the active process writes its snapshot.
pub const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);

/// Reason why a snapshot is rejected.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The text is longer than [`MAX_SNAPSHOT_BYTES`].
    #[error("the snapshot is longer than {MAX_SNAPSHOT_BYTES} bytes")]
    TooLong,
    /// The first line names another format or another version.
    #[error("the first line of the snapshot is not {FORMAT_LINE:?}")]
    UnknownFormat,
    /// The snapshot is older than [`MAX_SNAPSHOT_AGE`], or its time
    /// lies in the future. The value is the age in milliseconds.
    #[error("the snapshot was written {0} ms before now; at most {max} ms are accepted", max = MAX_SNAPSHOT_AGE.as_millis())]
    Expired(i128),
    /// A line or the end of the text is missing.
    #[error("the snapshot is truncated")]
    Truncated,
    /// A line can't be parsed or has a value out of range. The value is the number of the line, counted from 1.
    #[error("line {0} of the snapshot is invalid")]
    InvalidLine(usize),
}

/// Encodes a snapshot written at `now` on the machine's monotonic clock, which both processes share.
pub fn encode_snapshot(snapshot: &Snapshot, now: Duration) -> String {
    let mut text = format!("{FORMAT_LINE}\nwritten {}\n", now.as_millis());
    // Writing to a `String` never fails.
    let _ = writeln!(
        text,
        "traffic {} {} {} {}",
        snapshot.served_per_s,
        snapshot.first_attempts_per_s,
        snapshot.served_per_warm_endpoint_per_s,
        snapshot.mean_latency_s
    );
    let encoded_count = snapshot.endpoints.len().min(MAX_SNAPSHOT_ENDPOINTS);
    for endpoint in &snapshot.endpoints[..encoded_count] {
        let _ = writeln!(text, "host {:016x} {}", endpoint.name_hash, endpoint.latency_estimate_s);
    }
    let _ = writeln!(text, "end {encoded_count}");
    text
}

/// Decodes a snapshot at `now` on the machine's monotonic clock.
///
/// # Errors
/// The text is too long, of another format, too old, truncated or has an invalid line.
pub fn decode_snapshot(text: &str, now: Duration) -> Result<Snapshot, SnapshotError> {
    if text.len() > MAX_SNAPSHOT_BYTES {
        return Err(SnapshotError::TooLong);
    }
    let mut lines = Lines::new(text);
    if !lines.next_line().is_ok_and(|line| line.text == FORMAT_LINE) {
        return Err(SnapshotError::UnknownFormat);
    }
    check_age(lines.next_line()?, now)?;
    let mut snapshot = decode_traffic(lines.next_line()?)?;
    loop {
        let line = lines.next_line()?;
        if let Some(count) = line.text.strip_prefix("end ") {
            let is_complete = count.parse() == Ok(snapshot.endpoints.len()) && lines.next_line().is_err();
            return if is_complete { Ok(snapshot) } else { Err(SnapshotError::Truncated) };
        }
        snapshot.endpoints.push(decode_endpoint(line)?);
    }
}

/// One line of a snapshot text.
#[derive(Clone, Copy)]
struct Line<'a> {
    /// Number of the line, counted from 1.
    number: usize,
    /// The line without its line break.
    text: &'a str,
}

impl Line<'_> {
    fn invalid(self) -> SnapshotError {
        SnapshotError::InvalidLine(self.number)
    }
}

/// The lines of a snapshot text that have not been read yet.
struct Lines<'a> {
    remaining: std::str::SplitInclusive<'a, char>,
    read_count: usize,
}

impl<'a> Lines<'a> {
    fn new(text: &'a str) -> Lines<'a> {
        Lines { remaining: text.split_inclusive('\n'), read_count: 0 }
    }

    /// The next line of the snapshot. A line without a line break was cut off in the middle of a write.
    fn next_line(&mut self) -> Result<Line<'a>, SnapshotError> {
        let line = self.remaining.next().ok_or(SnapshotError::Truncated)?;
        let text = line.strip_suffix('\n').ok_or(SnapshotError::Truncated)?;
        self.read_count += 1;
        Ok(Line { number: self.read_count, text })
    }
}

/// Checks the `written` line: the age of the snapshot must be from 0 to [`MAX_SNAPSHOT_AGE`].
fn check_age(line: Line<'_>, now: Duration) -> Result<(), SnapshotError> {
    let written_ms: Option<i128> = line.text.strip_prefix("written ").and_then(|ms| ms.parse().ok());
    let written_ms = written_ms.ok_or(line.invalid())?;
    let age_ms = (now.as_millis() as i128).saturating_sub(written_ms);
    if !(0..=MAX_SNAPSHOT_AGE.as_millis() as i128).contains(&age_ms) {
        return Err(SnapshotError::Expired(age_ms));
    }
    Ok(())
}

/// Decodes the `traffic` line into a snapshot without endpoints.
fn decode_traffic(line: Line<'_>) -> Result<Snapshot, SnapshotError> {
    let values = line.text.strip_prefix("traffic ").ok_or(line.invalid())?;
    let values: Result<Vec<f64>, _> = values.split(' ').map(str::parse).collect();
    let values = values.map_err(|_| line.invalid())?;
    let &[served_per_s, first_attempts_per_s, served_per_warm_endpoint_per_s, mean_latency_s] =
        values.as_slice()
    else {
        return Err(line.invalid());
    };
    let snapshot = Snapshot {
        endpoints: Vec::new(),
        served_per_s,
        first_attempts_per_s,
        served_per_warm_endpoint_per_s,
        mean_latency_s,
    };
    if !snapshot.is_valid() {
        return Err(line.invalid());
    }
    Ok(snapshot)
}

/// Decodes a `host` line, which describes one endpoint.
fn decode_endpoint(line: Line<'_>) -> Result<EndpointSnapshot, SnapshotError> {
    let values = line.text.strip_prefix("host ").and_then(|values| values.split_once(' '));
    let (name_hash, latency_estimate_s) = values.ok_or(line.invalid())?;
    let endpoint = EndpointSnapshot {
        name_hash: u64::from_str_radix(name_hash, 16).map_err(|_| line.invalid())?,
        latency_estimate_s: latency_estimate_s.parse().map_err(|_| line.invalid())?,
    };
    let is_valid = Snapshot { endpoints: vec![endpoint], ..Snapshot::default() }.is_valid();
    if !is_valid {
        return Err(line.invalid());
    }
    Ok(endpoint)
}
