//! The operator's file, with one table for each optional subsystem. A subsystem without a table is disabled and uses no resources.

use crate::lifecycle::log::LogSettings;
use std::path::Path;
use weldworks_config::{Document, Problems};
use weldworks_control::retry_storm::StormSettings;
use weldworks_fleet::settings::FleetSettings;
use weldworks_fleet::version::digest;

/// Why the operator's file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The operator's file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// Path of the operator's file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The operator's file is not valid. All problems are listed.
    #[error(transparent)]
    Invalid(#[from] Problems),
}

/// The content of a valid operator's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorFile {
    /// Settings of the retry-storm control, if it is enabled.
    pub storm: Option<StormSettings>,
    /// The fleet that this gateway belongs to, if it runs with `--fleet`.
    pub fleet: Option<FleetSettings>,
    /// Format and level of the log.
    pub log: LogSettings,
}

impl OperatorFile {
    /// Reads and parses the operator's file.
    ///
    /// # Errors
    /// If the file cannot be read, or anything in the file is not valid.
    pub fn read(path: &Path) -> Result<OperatorFile, OperatorError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| OperatorError::Unreadable { path: name.clone(), source })?;
        Ok(OperatorFile::parse(&name, &text)?)
    }

    /// A digest of the settings that all gateways of a fleet share, without a gateway's own name and address.
    pub fn digest(&self) -> u64 {
        // Gateways of different builds compare this digest, so its input text must keep the names of version 0.2.0.
        let storm = match &self.storm {
            Some(settings) => format!("Some({})", settings.digest_text()),
            None => "None".to_owned(),
        };
        let log = self.log.digest_text();
        let fleet = self.fleet.as_ref().map(FleetSettings::digest);
        digest(format!("{storm} {log} {fleet:?}").as_bytes())
    }

    /// Parses the text of an operator's file. Errors refer to the file by the name `file`.
    ///
    /// # Errors
    /// All problems in the text, each with its line and key.
    pub fn parse(file: &str, text: &str) -> Result<OperatorFile, Problems> {
        let document = Document::parse(file, text)?;
        let root = document.root();
        let storm = root.table("storm").map(|table| StormSettings::read(&table));
        let log = root.table("log").map(|table| LogSettings::read(&table)).unwrap_or_default();
        let fleet = root.table("fleet").map(|table| FleetSettings::read(&table));
        root.finish();
        document.check(OperatorFile { storm, fleet, log })
    }
}

#[cfg(test)]
mod tests;
