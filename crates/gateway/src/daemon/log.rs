//! The log: one line an event on standard error, as text or as JSON.

use ottervane_settings::{Named, Table};
use std::io;

/// How a line is worded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Time, level, message, and the event's figures as `name=value`.
    #[default]
    Text,
    /// An object with `timestamp`, `level` and `fields`, among them `message`.
    Json,
}

impl Named for Format {
    const WORDS: &'static [(&'static str, Format)] = &[("text", Format::Text), ("json", Format::Json)];
}

impl Format {
    /// The table `[log]` of the operator's file.
    pub fn read(table: &Table<'_, '_>) -> Format {
        let format = table.or("format", Format::default());
        table.finish();
        format
    }

    /// Sends all events of this process to standard error from now on. A second call changes nothing.
    pub fn begin(self) {
        let lines = tracing_subscriber::fmt().with_writer(io::stderr).with_ansi(false).with_target(false);
        let _ = match self {
            Format::Text => lines.try_init(),
            Format::Json => lines.json().try_init(),
        };
    }
}
