//! The logs of a fleet, one file a gateway, written with `[log] format = "json"` and `level = "debug"`.
//!
//! A line may begin with the time in seconds, as a bench that plays many gateways in step writes it; else its `timestamp` counts.

use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

/// Why a folder of logs can't be read.
#[derive(Debug, thiserror::Error)]
pub enum LogsError {
    /// The folder or a file in it can't be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// Which.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// No line in it is an event.
    #[error(
        "{0}: no line is a gateway's event; let the gateways log with [log] format = \"json\" and level = \"debug\""
    )]
    Nothing(PathBuf),
}

#[derive(Deserialize)]
struct Line<F> {
    timestamp: String,
    fields: F,
}

/// The seconds of a day in an RFC 3339 time; the day itself is not told apart from the next.
fn seconds(timestamp: &str) -> Option<f64> {
    let clock = timestamp.split('T').nth(1)?.trim_end_matches('Z');
    let mut parts = clock.splitn(3, ':').map(|p| p.parse::<f64>().ok());
    let (h, m, s) = (parts.next()??, parts.next()??, parts.next()??);
    Some(h * 3600.0 + m * 60.0 + s)
}

fn event<F: DeserializeOwned>(text: &str) -> Option<(f64, F)> {
    let (before, json) = text.split_at(text.find('{')?);
    let line: Line<F> = serde_json::from_str(json).ok()?;
    let at = match before.trim() {
        "" => seconds(&line.timestamp)?,
        prefix => prefix.parse().ok().filter(|at: &f64| at.is_finite() && *at >= 0.0)?,
    };
    Some((at, line.fields))
}

/// Gives all events of a folder, file by file, with the file's place and the time; gives how many lines were none.
///
/// # Errors
/// Where the folder or a file can't be read, or no line is an event.
pub fn read<F: DeserializeOwned>(
    folder: &Path,
    mut take: impl FnMut(usize, f64, F),
) -> Result<u64, LogsError> {
    let unreadable = |path: &Path| {
        let path = path.to_owned();
        move |source| LogsError::Unreadable { path, source }
    };
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(unreadable(folder))? {
        let path = entry.map_err(unreadable(folder))?.path();
        files.extend(path.is_file().then_some(path));
    }
    files.sort();
    let (mut events, mut passed_over) = (0u64, 0);
    for (n, path) in files.iter().enumerate() {
        let reader = BufReader::new(File::open(path).map_err(unreadable(path))?);
        for text in reader.split(b'\n') {
            let text = text.map_err(unreadable(path))?;
            match event(&String::from_utf8_lossy(&text)) {
                Some((at, fields)) => {
                    events += 1;
                    take(n, at, fields);
                }
                None => passed_over += u64::from(!text.trim_ascii().is_empty()),
            }
        }
    }
    if events == 0 {
        return Err(LogsError::Nothing(folder.to_owned()));
    }
    Ok(passed_over)
}
