//! What the gateway is told at its start: the file that `ROUTER_CONFIG` names, and the variables beside it.

use crate::config::reconciliation;
use crate::discovery::endpoint_list::EndpointList;
use crate::limits::Limits;
use crate::string_interner::StringInterner;
use crate::upstream::ConnectionSettings;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;
use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use weldworks_balancer::load_report::LoadReportFields;
use weldworks_balancer::parse_settings;
use weldworks_balancer::{stable_hash, RequestClass, Settings};
use weldworks_fleet::version::digest;

/// The least memory in which a few clients fit.
const LEAST_MEMORY_MB: usize = 16;
/// The fewest descriptors that leave room for clients and hosts beside the program's own.
const LEAST_SOCKETS: usize = 48;

/// Why the gateway cannot start.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The variable that names the file is missing.
    #[error("ROUTER_CONFIG is not set")]
    NotSet,
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// The file is not what it should be.
    #[error("{path}: {source}")]
    Malformed {
        /// The file.
        path: String,
        /// What the parser says.
        source: serde_json::Error,
    },
    /// An address that is none.
    #[error("{name}: {value:?} is not an address and a port")]
    Address {
        /// The key or variable.
        name: &'static str,
        /// Its value.
        value: String,
    },
    /// Settings with which no request can be served.
    #[error("{0}")]
    Unusable(String),
    /// A file that can be read and does not hold; all that is wrong is told.
    #[error("{path}: {}", faults.join("; "))]
    Wrong {
        /// The file.
        path: String,
        /// What is wrong.
        faults: Vec<String>,
    },
}

#[derive(Deserialize)]
struct RawConfig {
    listen: String,
    discovery: String,
    #[serde(default)]
    management: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: EndpointList,
    settings: Box<RawValue>,
}

/// A name in the settings, by whose place a request or host refers to it.
#[derive(Deserialize)]
struct Named {
    name: String,
}

/// What the settings hold for the sockets alone, beside what the module reads.
#[derive(Deserialize)]
#[serde(default)]
struct RawNames {
    classes: Vec<Named>,
    accounts: Vec<Named>,
    azs: Vec<String>,
    flavors: Vec<String>,
    policy_limits: RawLimits,
}

impl Default for RawNames {
    fn default() -> Self {
        let (classes, accounts, azs, flavors) = Default::default();
        RawNames { classes, accounts, azs, flavors, policy_limits: RawLimits::default() }
    }
}

#[derive(Deserialize)]
#[serde(default)]
struct RawLimits {
    dial_timeout_s: f64,
    keepalive_s: f64,
}

impl Default for RawLimits {
    fn default() -> Self {
        RawLimits { dial_timeout_s: 1.0, keepalive_s: 10.0 }
    }
}

/// The text of an address, where there is one.
type Chosen = Option<String>;

/// All that the gateway is told.
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where staff call, if anywhere.
    pub management: Option<SocketAddr>,
    /// The seed of the decisions.
    pub seed: u64,
    /// What the process may use.
    pub limits: Limits,
    /// The hosts as last known.
    pub known: EndpointList,
    /// The module's settings.
    pub settings: Settings,
    /// The names of the settings' classes, by number.
    pub classes: Vec<String>,
    /// The names behind the settings' other numbers.
    pub names: StringInterner,
    /// The file as it stands, to compare the next one with.
    pub document: Value,
    /// What holds for connections to hosts.
    pub connections: ConnectionSettings,
}

impl Config {
    /// The classes with their names.
    pub fn named_classes(&self) -> impl Iterator<Item = (String, RequestClass)> + '_ {
        self.classes.iter().cloned().zip(self.settings.classes.iter().cloned())
    }

    /// A digest of what the file says of the whole site: what differs from gateway to gateway is left out.
    pub fn site_digest(&self) -> u64 {
        let mut settings = self.document["settings"].clone();
        if let Some(settings) = settings.as_object_mut() {
            settings.remove("locality");
            settings.remove("rank");
        }
        digest(settings.to_string().as_bytes())
    }

    /// Goes by what the system gives this process, where that is less than the file says: what is opened beyond it fails, also a call to
    /// discovery or a host.
    ///
    /// # Errors
    /// Where nothing fits into it.
    pub fn limit_descriptors(&mut self, system: usize) -> Result<(), ConfigError> {
        let said = self.limits.sockets;
        if system >= said {
            return Ok(());
        }
        if system < LEAST_SOCKETS {
            return Err(ConfigError::Unusable(format!(
                "the system gives this process {system} descriptors (ulimit -n), at least {LEAST_SOCKETS} needed; limits.sockets in \
                 the file is {said}"
            )));
        }
        tracing::warn!(
            system,
            said,
            "the system gives this process fewer descriptors (ulimit -n) than limits.sockets says: going by the system's; raise the one \
             or lower the other"
        );
        self.limits.sockets = system;
        Ok(())
    }

    /// Leaves so many descriptors to another part of the program.
    ///
    /// # Errors
    /// Where too few would be left for clients and hosts.
    pub fn reserve_descriptors(&mut self, descriptors: usize) -> Result<(), ConfigError> {
        let left = self.limits.sockets.saturating_sub(descriptors);
        if descriptors > 0 && left < LEAST_SOCKETS {
            let few = format!(
                "limits.sockets is {}, and the fleet's links take {descriptors}: at least {} needed",
                self.limits.sockets,
                descriptors + LEAST_SOCKETS
            );
            return Err(ConfigError::Unusable(few));
        }
        self.limits.sockets = left;
        Ok(())
    }
}

impl Config {
    /// Reads the configuration at the start: the variables win over the file.
    pub fn at_start() -> Result<Config, ConfigError> {
        Config::read(None, |key, from_file| {
            let variable = match key {
                "listen" => "ROUTER_LISTEN",
                "management" => "ROUTER_MANAGEMENT",
                _ => "ROUTER_DISCOVERY",
            };
            env::var(variable).map_or((key, from_file), |value| (variable, Some(value)))
        })
    }

    /// Reads the file once more. The variables are as old as the process, so the file's new word holds.
    ///
    /// # Errors
    /// What is wrong with it, or lacks that the running one has.
    pub fn reload(running: &Value) -> Result<Config, ConfigError> {
        Config::read(Some(running), |key, from_file| (key, from_file))
    }

    /// Reads a file and starts nothing.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn check(file: &Path) -> Result<Config, ConfigError> {
        let path = file.display().to_string();
        let text = fs::read_to_string(file)
            .map_err(|source| ConfigError::Unreadable { path: path.clone(), source })?;
        Config::parse(&path, &text, None, |key, from_file| (key, from_file))
    }

    /// Reads the file; `choose` gives the name and the text that hold for the address with a key.
    fn read(
        running: Option<&Value>,
        choose: impl Fn(&'static str, Chosen) -> (&'static str, Chosen),
    ) -> Result<Config, ConfigError> {
        let path = env::var("ROUTER_CONFIG").map_err(|_| ConfigError::NotSet)?;
        let text = fs::read_to_string(&path)
            .map_err(|source| ConfigError::Unreadable { path: path.clone(), source })?;
        Config::parse(&path, &text, running, choose)
    }

    fn parse(
        path: &str,
        text: &str,
        running: Option<&Value>,
        choose: impl Fn(&'static str, Chosen) -> (&'static str, Chosen),
    ) -> Result<Config, ConfigError> {
        let address = |key, from_file| {
            let (name, value) = choose(key, from_file);
            let Some(value) = value else { return Ok(None) };
            value.parse().map(Some).map_err(|_| ConfigError::Address { name, value })
        };
        let needed = |key, from_file| {
            let nowhere = || ConfigError::Unusable(format!("{path}: {key} is missing"));
            address(key, Some(from_file))?.ok_or_else(nowhere)
        };
        let malformed = |source| ConfigError::Malformed { path: path.to_owned(), source };
        let mut document: Value = serde_json::from_str(text).map_err(malformed)?;
        let faults = reconciliation::faults(running, &document);
        if !faults.is_empty() {
            return Err(ConfigError::Wrong { path: path.to_owned(), faults });
        }
        if let Some(document) = document.as_object_mut() {
            document.remove("known"); // as long as a list, and read once
        }
        for name in running.map(|running| reconciliation::left(running, &document)).unwrap_or_default() {
            tracing::warn!("{path}: {name} differs; it holds from the next start on");
        }
        let raw: RawConfig = serde_json::from_str(text).map_err(malformed)?;
        let settings = parse_settings(raw.settings.get()).map_err(malformed)?;
        let reports = LoadReportFields::parse(raw.settings.get()).map_err(malformed)?;
        let names: RawNames = serde_json::from_str(raw.settings.get()).map_err(malformed)?;
        if raw.limits.sockets < LEAST_SOCKETS {
            let few = format!("{path}: {} descriptors, at least {LEAST_SOCKETS} needed", raw.limits.sockets);
            return Err(ConfigError::Unusable(few));
        }
        if raw.limits.memory_mb < LEAST_MEMORY_MB {
            let little = format!("{path}: {} MB, at least {LEAST_MEMORY_MB} needed", raw.limits.memory_mb);
            return Err(ConfigError::Unusable(little));
        }
        let plain = |list: Vec<Named>| list.into_iter().map(|n| n.name).collect();
        Ok(Config {
            listen: needed("listen", raw.listen)?,
            discovery: needed("discovery", raw.discovery)?,
            management: address("management", raw.management)?,
            seed: stable_hash(&raw.seed),
            limits: raw.limits,
            known: raw.known,
            settings,
            connections: ConnectionSettings {
                dial_timeout: seconds("dial_timeout_s", names.policy_limits.dial_timeout_s)?,
                keep_alive: seconds("keepalive_s", names.policy_limits.keepalive_s)?,
                load_report_fields: reports,
            },
            classes: plain(names.classes),
            document,
            names: StringInterner { tenants: plain(names.accounts), zones: names.azs, kinds: names.flavors },
        })
    }
}

fn seconds(name: &str, value: f64) -> Result<Duration, ConfigError> {
    match Duration::try_from_secs_f64(value) {
        Ok(time) if !time.is_zero() => Ok(time),
        _ => Err(ConfigError::Unusable(format!("{name}: {value} is not a time"))),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn the_shipped_example_is_as_it_should_be() {
        let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/platform.example.json");
        let config = Config::check(Path::new(file)).expect("the shipped example");
        assert_eq!(config.classes, ["timetable", "room-status", "enrol-pay", "book-room"]);
        assert_eq!(config.known.endpoints.len(), 2);
    }

    proptest! {
        /// Whatever becomes of a file's bytes, it is taken whole, with figures that can serve, or not at all.
        #[test]
        fn a_spoilt_file_is_taken_whole_or_not_at_all(
            changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0usize..4), 1..6),
        ) {
            let good = include_str!("../../../../deploy/platform.example.json");
            let running = Config::parse("good", good, None, |key, value| (key, value)).expect("the example").document;
            let mut bytes = good.as_bytes().to_vec();
            for (at, byte, how) in changes {
                let at = at.index(bytes.len());
                match how {
                    0 => bytes[at] = byte,
                    1 if bytes.len() > 1 => drop(bytes.remove(at)),
                    1 | 2 => bytes.truncate(at.max(1)),
                    _ => bytes.insert(at, b"-0.e19"[usize::from(byte) % 6]),
                }
            }
            let text = String::from_utf8_lossy(&bytes);
            match Config::parse("spoilt", &text, Some(&running), |key, value| (key, value)) {
                Ok(config) => {
                    let classes: Vec<_> = config.named_classes().collect();
                    prop_assert!(!classes.is_empty() && config.settings.max_attempts > 0);
                    prop_assert!(classes.iter().all(|(name, c)| !name.is_empty() && !c.deadline.is_zero()), "{:?}", classes);
                }
                Err(error) => prop_assert!(error.to_string().len() < 4000, "{}", error),
            }
        }
    }
}
