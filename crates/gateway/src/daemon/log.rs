//! The log: one line an event on standard error, as text or as JSON.

use std::io;
use tracing::level_filters::LevelFilter;
use weldworks_config::{Named, Table};

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

/// How much is told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Level {
    /// What an operator should know of.
    #[default]
    Info,
    /// Also each request, attempt and list: for finding causes, and for `weldworks-testbed count`.
    Debug,
}

impl Named for Level {
    const WORDS: &'static [(&'static str, Level)] = &[("info", Level::Info), ("debug", Level::Debug)];
}

/// The table `[log]` of the operator's file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Log {
    /// How a line is worded.
    pub format: Format,
    /// How much is told.
    pub level: Level,
}

impl Log {
    /// Reads the table.
    pub fn read(table: &Table<'_, '_>) -> Log {
        let log =
            Log { format: table.or("format", Format::default()), level: table.or("level", Level::default()) };
        table.finish();
        log
    }

    /// Sends all events of this process to standard error from now on. A second call changes nothing.
    pub fn begin(self) {
        let level = match self.level {
            Level::Info => LevelFilter::INFO,
            Level::Debug => LevelFilter::DEBUG,
        };
        let lines = tracing_subscriber::fmt()
            .with_writer(io::stderr)
            .with_ansi(false)
            .with_target(false)
            .with_max_level(level);
        let _ = match self.format {
            Format::Text => lines.try_init(),
            Format::Json => lines.json().try_init(),
        };
    }
}
