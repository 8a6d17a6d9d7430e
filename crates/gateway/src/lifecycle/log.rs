//! The log: one line for each event on standard error, as text or JSON.

use std::io;
use tracing::level_filters::LevelFilter;
use weldworks_config::{Choice, Table};

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Time, level, message, and the event's fields as `name=value`.
    #[default]
    Text,
    /// An object with `timestamp`, `level` and `fields`, among them `message`.
    Json,
}

impl Choice for LogFormat {
    const CHOICES: &'static [(&'static str, LogFormat)] =
        &[("text", LogFormat::Text), ("json", LogFormat::Json)];
}

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// Events that an operator should know of.
    #[default]
    Info,
    /// Also each request, attempt and endpoint list, for finding causes and for `weldworks-testbed count`.
    Debug,
}

impl Choice for LogLevel {
    const CHOICES: &'static [(&'static str, LogLevel)] =
        &[("info", LogLevel::Info), ("debug", LogLevel::Debug)];
}

/// The table `[log]` of the operator's file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// The format of log lines; text by default.
    pub format: LogFormat,
    /// The least severe level that is logged; info by default.
    pub level: LogLevel,
}

impl LogSettings {
    /// The text that the operator file's digest is taken of, in the names of version 0.2.0: gateways of other builds compare it.
    pub fn digest_text(&self) -> String {
        format!("Log {{ format: {:?}, level: {:?} }}", self.format, self.level)
    }

    /// Reads the table.
    pub fn read(table: &Table<'_, '_>) -> LogSettings {
        let log = LogSettings {
            format: table.get_or("format", LogFormat::default()),
            level: table.get_or("level", LogLevel::default()),
        };
        table.finish();
        log
    }

    /// Sends all events of this process to standard error from now on. A second call has no effect.
    pub fn install(self) {
        let level = match self.level {
            LogLevel::Info => LevelFilter::INFO,
            LogLevel::Debug => LevelFilter::DEBUG,
        };
        let lines = tracing_subscriber::fmt()
            .with_writer(io::stderr)
            .with_ansi(false)
            .with_target(false)
            .with_max_level(level);
        let _ = match self.format {
            LogFormat::Text => lines.try_init(),
            LogFormat::Json => lines.json().try_init(),
        };
    }
}
