//! The log of the process: one line per event on standard error, as text or JSON.

use std::io;
use tracing::level_filters::LevelFilter;
use weldworks_config::{Choice, Table};

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Text: time, level, message, and the event's fields as `name=value`.
    #[default]
    Text,
    /// JSON: an object with `timestamp`, `level` and `fields`; the message is the field `message`.
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
    /// In addition each request, attempt and endpoint list, for troubleshooting and for `weldworks-testbed count`.
    Debug,
}

impl Choice for LogLevel {
    const CHOICES: &'static [(&'static str, LogLevel)] =
        &[("info", LogLevel::Info), ("debug", LogLevel::Debug)];
}

/// The settings of the table `[log]` in the operator's file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// The format of log lines; text by default.
    pub format: LogFormat,
    /// The least severe level that is logged; info by default.
    pub level: LogLevel,
}

impl LogSettings {
    /// The log settings as text for the digest of the operator's file.
    /// The text keeps the names of version 0.2.0, since gateways of different builds compare digests.
    pub fn digest_text(&self) -> String {
        format!("Log {{ format: {:?}, level: {:?} }}", self.format, self.level)
    }

    /// Reads the settings from the table `[log]`.
    pub fn read(table: &Table<'_, '_>) -> LogSettings {
        let log = LogSettings {
            format: table.get_or("format", LogFormat::default()),
            level: table.get_or("level", LogLevel::default()),
        };
        table.finish();
        log
    }

    /// Writes all events of this process to standard error from now on. A second call has no effect.
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
