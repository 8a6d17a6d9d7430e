//! Reads the logs of a fleet: one file for each gateway, written with `[log] format = "json"` and `level = "debug"`.
//!
//! A line may begin with its time in seconds, as the simulation of a fleet writes it; otherwise its `timestamp` counts.

use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

/// Reason why a folder of logs can't be read.
#[derive(Debug, thiserror::Error)]
pub enum LogsError {
    /// The folder or a file in it can't be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// Path of the folder or file.
        path: PathBuf,
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// No line in the folder is an event.
    #[error(
        "{0}: no line is a gateway's event; let the gateways log with [log] format = \"json\" and level = \"debug\""
    )]
    NoEvents(PathBuf),
}

impl LogsError {
    fn unreadable(path: &Path) -> impl FnOnce(std::io::Error) -> LogsError + '_ {
        move |source| LogsError::Unreadable { path: path.to_owned(), source }
    }
}

/// An event of a gateway's log.
#[derive(Clone, Copy, Debug)]
pub struct LogEvent<F> {
    /// Index of its file among the files of the folder, which are sorted by name.
    pub file: usize,
    /// Time of the event, in seconds.
    pub time_s: f64,
    /// Fields of the event.
    pub fields: F,
}

/// Reads all events of a folder, file by file, and returns the number of non-empty lines that are no event.
///
/// # Errors
/// The folder or a file can't be read, or no line is an event.
pub fn read_events<F: DeserializeOwned>(
    folder: &Path,
    mut handle: impl FnMut(LogEvent<F>),
) -> Result<u64, LogsError> {
    let mut event_count = 0u64;
    let mut skipped_lines = 0u64;
    for (file, path) in log_files(folder)?.iter().enumerate() {
        let reader = BufReader::new(File::open(path).map_err(LogsError::unreadable(path))?);
        for line in reader.split(b'\n') {
            let line = line.map_err(LogsError::unreadable(path))?;
            if let Some((time_s, fields)) = parse_line(&String::from_utf8_lossy(&line)) {
                event_count += 1;
                handle(LogEvent { file, time_s, fields });
            } else if !line.trim_ascii().is_empty() {
                skipped_lines += 1;
            }
        }
    }
    if event_count == 0 {
        return Err(LogsError::NoEvents(folder.to_owned()));
    }
    Ok(skipped_lines)
}

/// The files of a folder, sorted by name.
fn log_files(folder: &Path) -> Result<Vec<PathBuf>, LogsError> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(LogsError::unreadable(folder))? {
        let path = entry.map_err(LogsError::unreadable(folder))?.path();
        if path.is_file() {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

/// The JSON object of a line.
#[derive(Deserialize)]
struct JsonEvent<F> {
    timestamp: String,
    fields: F,
}

/// The time in seconds and the fields of a line; `None` where it is no event.
fn parse_line<F: DeserializeOwned>(line: &str) -> Option<(f64, F)> {
    let (prefix, json) = line.split_at(line.find('{')?);
    let event: JsonEvent<F> = serde_json::from_str(json).ok()?;
    let time_s = match prefix.trim() {
        "" => second_of_day(&event.timestamp)?,
        prefix => prefix.parse().ok().filter(|time_s: &f64| time_s.is_finite() && *time_s >= 0.0)?,
    };
    Some((time_s, event.fields))
}

/// The second of the day in an RFC 3339 time. The date is ignored.
fn second_of_day(timestamp: &str) -> Option<f64> {
    let clock = timestamp.split('T').nth(1)?.trim_end_matches('Z');
    let mut parts = clock.splitn(3, ':').map(|part| part.parse::<f64>().ok());
    let hours = parts.next()??;
    let minutes = parts.next()??;
    let seconds = parts.next()??;
    Some(hours * 3600.0 + minutes * 60.0 + seconds)
}
