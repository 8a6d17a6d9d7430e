//! The operator's file: a table for each subsystem. One with no table is off and costs nothing.

use crate::lifecycle::log::LogSettings;
use std::path::Path;
use weldworks_config::{Document, Problems};
use weldworks_control::retry_storm::StormSettings;
use weldworks_fleet::settings::FleetSettings;
use weldworks_fleet::version::digest;

/// Why the operator's file does not hold.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// It cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// It is not what it should be; all that is wrong is told.
    #[error(transparent)]
    Wrong(#[from] Problems),
}

/// What the operators want.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorFile {
    /// Storm control, where it is on.
    pub storm: Option<StormSettings>,
    /// The fleet that this gateway belongs to, where `run` has the flag `--fleet` too.
    pub fleet: Option<FleetSettings>,
    /// How the log is worded, and how much it tells.
    pub log: LogSettings,
}

impl OperatorFile {
    /// Reads the file.
    ///
    /// # Errors
    /// Where it can't be read, or anything in it is wrong.
    pub fn read(path: &Path) -> Result<OperatorFile, OperatorError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| OperatorError::Unreadable { path: name.clone(), source })?;
        Ok(OperatorFile::parse(&name, &text)?)
    }

    /// A digest of what it says of the whole fleet: a gateway's own name and address are left out.
    pub fn digest(&self) -> u64 {
        // Gateways of other builds compare this digest: the text keeps the names of version 0.2.0.
        let storm = match &self.storm {
            Some(settings) => format!("Some({})", settings.digest_text()),
            None => "None".to_owned(),
        };
        let log = self.log.digest_text();
        let fleet = self.fleet.as_ref().map(FleetSettings::digest);
        digest(format!("{storm} {log} {fleet:?}").as_bytes())
    }

    /// The same for its text; `file` is its name in errors.
    ///
    /// # Errors
    /// All that is wrong with it, each with its line and key.
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
mod tests {
    use super::*;
    use crate::lifecycle::log::{LogFormat, LogLevel};

    #[test]
    fn the_shipped_file_is_as_it_should_be_and_unknown_tables_are_told() {
        let shipped = include_str!("../../../../deploy/gateway.toml");
        assert_eq!(
            OperatorFile::parse("gateway.toml", shipped).expect("the shipped file"),
            OperatorFile::default()
        );
        let on = OperatorFile::parse("g.toml", "[storm]\nbudget = 0.2\n").expect("a table for storms");
        assert_eq!(
            on.storm,
            Some(StormSettings { retries_per_first_attempt: 0.2, ..StormSettings::default() })
        );
        let json = OperatorFile::parse("g.toml", "[log]\nformat = \"json\"\n").expect("a table for the log");
        assert_eq!(json.log, LogSettings { format: LogFormat::Json, level: LogLevel::Info });
        let all = OperatorFile::parse("g.toml", "[log]\nlevel = \"debug\"\n").expect("a table for the log");
        assert_eq!(all.log.level, LogLevel::Debug);
        assert!(OperatorFile::parse("g.toml", "[log]\nformat = \"xml\"\n").is_err());
        let problems =
            OperatorFile::parse("g.toml", "x = 1\n\n[tsl]\n").expect_err("two keys that nobody knows");
        let places: Vec<_> = problems.list.iter().map(|p| (p.line, p.key.as_str())).collect();
        assert_eq!(places, [(1, "x"), (3, "tsl")]);
    }

    const EVERY_KEY: &str = include_str!("../../tests/fixtures/operator-every-key.toml");

    /// An operator's file of version 0.2.0 is read as it was: each key counts, and a misspelt one is told with its line.
    #[test]
    fn every_key_of_version_0_2_0_is_read() {
        let operator = OperatorFile::parse("g.toml", EVERY_KEY).expect("every key, with its unit");
        assert!(operator.storm.is_some() && operator.fleet.is_some());
        for (n, line) in EVERY_KEY.lines().enumerate() {
            let Some((key, value)) = line.split_once(" = ") else { continue };
            let misspelt = format!("{key}_ = {value}");
            let lines = EVERY_KEY.lines().enumerate();
            let text: String =
                lines.map(|(m, line)| format!("{}\n", if m == n { &misspelt } else { line })).collect();
            let problems = OperatorFile::parse("g.toml", &text).expect_err("a key that nobody knows");
            let told = |p: &weldworks_config::Problem| p.line == n + 1 && p.key.ends_with(&format!("{key}_"));
            assert!(problems.list.iter().any(told), "{key}: {problems}");
            // A value of another kind is turned down as well: the key was looked at.
            let text = EVERY_KEY.replacen(line, &format!("{key} = [1]"), 1);
            assert!(OperatorFile::parse("g.toml", &text).is_err(), "{key}");
        }
    }

    /// Gateways of two builds compare it by the version that they act on: it stays what it was, whatever the types are called.
    #[test]
    fn digests_are_those_of_version_0_2_0() {
        let digest =
            |text: &str| format!("{:016x}", OperatorFile::parse("g.toml", text).expect("a file").digest());
        assert_eq!(digest(""), "333ee037bd6566bd");
        assert_eq!(digest(EVERY_KEY), "f542ce8e946b42aa");
    }
}
