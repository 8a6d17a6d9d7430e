//! The platform's file, which `ROUTER_CONFIG` names, and the environment variables that override its addresses when the process starts.

use super::config_error::ConfigError;
use super::platform_keys::{names, ConnectionLimitKeys, PlatformKeys, SettingsKeys};
use super::reconciliation;
use crate::discovery::endpoint_list::EndpointList;
use crate::limits::Limits;
use crate::string_interner::StringInterner;
use crate::upstream::ConnectionSettings;
use serde_json::Value;
use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tracing::warn;
use weldworks_balancer::load_report::LoadReportFields;
use weldworks_balancer::parse_settings;
use weldworks_balancer::{stable_hash, RequestClass, Settings};
use weldworks_fleet::version::digest;

/// Minimum memory in MiB, which is enough for a few clients.
const MIN_MEMORY_MB: usize = 16;
/// Minimum number of file descriptors: those of the program itself, and some for clients and endpoints.
const MIN_DESCRIPTORS: usize = 48;

/// The content of a valid platform's file.
pub struct PlatformConfig {
    /// Address on which the gateway listens for clients.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address on which the admin API listens, if the admin API is enabled.
    pub admin: Option<SocketAddr>,
    /// Seed of the balancer's random generator.
    pub seed: u64,
    /// Limits on the memory and the file descriptors of the process.
    pub limits: Limits,
    /// The endpoints that the file lists as last known.
    pub known_endpoints: EndpointList,
    /// Settings of the balancer.
    pub settings: Settings,
    /// Names of the request classes, indexed by class number.
    pub classes: Vec<String>,
    /// Names of tenants, zones and machine kinds, indexed by their number.
    pub names: StringInterner,
    /// The document without its known endpoints, for comparison with the next one at a reload.
    pub document: Value,
    /// Settings of connections to endpoints.
    pub connections: ConnectionSettings,
}

/// The source from which addresses are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AddressSource {
    /// Addresses are read from environment variables, or from the file if the variable is not set.
    EnvironmentFirst,
    /// Addresses are read from the file alone. At a reload the environment variables are as old as the process, and the file is newer.
    File,
}

impl AddressSource {
    /// Resolves the address of a mandatory key of the file, with `variable` as the environment variable that may override the key.
    fn resolve(
        self,
        key: &'static str,
        variable: &'static str,
        from_file: String,
    ) -> Result<SocketAddr, ConfigError> {
        match self.read_environment(variable) {
            Some(value) => parse_address(variable, value),
            None => parse_address(key, from_file),
        }
    }

    /// Resolves the address of an optional key of the file, with `variable` as the environment variable that may override the key.
    fn resolve_optional(
        self,
        key: &'static str,
        variable: &'static str,
        from_file: Option<String>,
    ) -> Result<Option<SocketAddr>, ConfigError> {
        match self.read_environment(variable) {
            Some(value) => parse_address(variable, value).map(Some),
            None => from_file.map(|value| parse_address(key, value)).transpose(),
        }
    }

    fn read_environment(self, variable: &str) -> Option<String> {
        match self {
            AddressSource::EnvironmentFirst => env::var(variable).ok(),
            AddressSource::File => None,
        }
    }
}

fn parse_address(name: &'static str, value: String) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|_| ConfigError::InvalidAddress { name, value })
}

impl PlatformConfig {
    /// Reads the platform's file at the start of the process. Addresses in environment variables override those in the file.
    ///
    /// # Errors
    /// If the file cannot be read or is not valid.
    pub fn at_start() -> Result<PlatformConfig, ConfigError> {
        PlatformConfig::read_named_file(None, AddressSource::EnvironmentFirst)
    }

    /// Reads the platform's file again, to replace the `running` document.
    ///
    /// # Errors
    /// If the file cannot be read, is not valid, or lacks keys that the running document has.
    pub fn reload(running: &Value) -> Result<PlatformConfig, ConfigError> {
        PlatformConfig::read_named_file(Some(running), AddressSource::File)
    }

    /// Reads a platform's file to check whether it is valid.
    ///
    /// # Errors
    /// If the file cannot be read or is not valid.
    pub fn check(path: &Path) -> Result<PlatformConfig, ConfigError> {
        let text = read_text(path)?;
        PlatformConfig::parse(path, &text, None, AddressSource::File)
    }

    /// Reads the file that `ROUTER_CONFIG` names.
    fn read_named_file(
        running: Option<&Value>,
        addresses: AddressSource,
    ) -> Result<PlatformConfig, ConfigError> {
        let path = env::var("ROUTER_CONFIG").map_err(|_| ConfigError::FileNotNamed)?;
        let path = PathBuf::from(path);
        let text = read_text(&path)?;
        PlatformConfig::parse(&path, &text, running, addresses)
    }

    fn parse(
        path: &Path,
        text: &str,
        running: Option<&Value>,
        addresses: AddressSource,
    ) -> Result<PlatformConfig, ConfigError> {
        let malformed = |source| ConfigError::Malformed { path: path.to_owned(), source };
        let document = parse_document(path, text, running)?;
        let keys: PlatformKeys = serde_json::from_str(text).map_err(malformed)?;
        let settings = parse_settings(keys.settings.get()).map_err(malformed)?;
        let load_report_fields = LoadReportFields::parse(keys.settings.get()).map_err(malformed)?;
        let settings_keys: SettingsKeys = serde_json::from_str(keys.settings.get()).map_err(malformed)?;
        check_limits(path, &keys.limits)?;
        Ok(PlatformConfig {
            listen: addresses.resolve("listen", "ROUTER_LISTEN", keys.listen)?,
            discovery: addresses.resolve("discovery", "ROUTER_DISCOVERY", keys.discovery)?,
            admin: addresses.resolve_optional("management", "ROUTER_MANAGEMENT", keys.admin)?,
            seed: stable_hash(&keys.seed),
            limits: keys.limits,
            known_endpoints: keys.known_endpoints,
            settings,
            connections: connection_settings(&settings_keys.connection_limits, load_report_fields)?,
            classes: names(settings_keys.classes),
            document,
            names: StringInterner {
                tenants: names(settings_keys.tenants),
                zones: settings_keys.zones,
                kinds: settings_keys.machine_kinds,
            },
        })
    }

    /// The request classes of the balancer, each with its name.
    pub fn named_classes(&self) -> impl Iterator<Item = (String, RequestClass)> + '_ {
        self.classes.iter().cloned().zip(self.settings.classes.iter().cloned())
    }

    /// A digest of the file's settings, without those that differ between the gateways of a site.
    pub fn site_digest(&self) -> u64 {
        let mut settings = self.document["settings"].clone();
        if let Some(settings) = settings.as_object_mut() {
            settings.remove("locality");
            settings.remove("rank");
        }
        digest(settings.to_string().as_bytes())
    }

    /// Lowers the descriptor limit to the operating system's limit, beyond which every connect and accept would fail.
    ///
    /// # Errors
    /// If the operating system allows fewer descriptors than the gateway needs.
    pub fn limit_descriptors(&mut self, system: usize) -> Result<(), ConfigError> {
        let configured = self.limits.sockets;
        if system >= configured {
            return Ok(());
        }
        if system < MIN_DESCRIPTORS {
            return Err(ConfigError::SystemLimitTooLow { system, needed: MIN_DESCRIPTORS, configured });
        }
        warn!(
            system,
            configured, "system's descriptor limit (ulimit -n) is below limits.sockets, using the system's"
        );
        self.limits.sockets = system;
        Ok(())
    }

    /// Subtracts the descriptors that are reserved for the fleet's links from the descriptor limit.
    ///
    /// # Errors
    /// If too few descriptors would remain for clients and endpoints.
    pub fn reserve_descriptors(&mut self, reserved: usize) -> Result<(), ConfigError> {
        let configured = self.limits.sockets;
        let remaining = configured.saturating_sub(reserved);
        if reserved > 0 && remaining < MIN_DESCRIPTORS {
            let needed = reserved + MIN_DESCRIPTORS;
            return Err(ConfigError::TooFewDescriptorsBesideFleet { configured, reserved, needed });
        }
        self.limits.sockets = remaining;
        Ok(())
    }
}

fn read_text(path: &Path) -> Result<String, ConfigError> {
    fs::read_to_string(path).map_err(|source| ConfigError::Unreadable { path: path.to_owned(), source })
}

/// Parses the platform's file, checks its values, and checks that it has all keys of the running document. The known endpoints are removed
/// from the returned document, because there may be many and they are read only once.
fn parse_document(path: &Path, text: &str, running: Option<&Value>) -> Result<Value, ConfigError> {
    let mut document: Value = serde_json::from_str(text)
        .map_err(|source| ConfigError::Malformed { path: path.to_owned(), source })?;
    let faults = reconciliation::find_faults(running, &document);
    if !faults.is_empty() {
        return Err(ConfigError::Invalid { path: path.to_owned(), faults });
    }
    if let Some(document) = document.as_object_mut() {
        document.remove("known");
    }
    if let Some(running) = running {
        for key in reconciliation::changes_needing_restart(running, &document) {
            warn!(path = %path.display(), key, "changed key takes effect at the next start");
        }
    }
    Ok(document)
}

fn check_limits(path: &Path, limits: &Limits) -> Result<(), ConfigError> {
    if limits.sockets < MIN_DESCRIPTORS {
        return Err(ConfigError::TooFewDescriptors {
            path: path.to_owned(),
            descriptors: limits.sockets,
            needed: MIN_DESCRIPTORS,
        });
    }
    if limits.memory_mb < MIN_MEMORY_MB {
        return Err(ConfigError::TooLittleMemory {
            path: path.to_owned(),
            memory_mb: limits.memory_mb,
            needed_mb: MIN_MEMORY_MB,
        });
    }
    Ok(())
}

fn connection_settings(
    limits: &ConnectionLimitKeys,
    load_report_fields: LoadReportFields,
) -> Result<ConnectionSettings, ConfigError> {
    Ok(ConnectionSettings {
        dial_timeout: positive_duration("dial_timeout_s", limits.connect_timeout_s)?,
        keep_alive: positive_duration("keepalive_s", limits.keep_alive_s)?,
        load_report_fields,
    })
}

fn positive_duration(key: &'static str, seconds: f64) -> Result<Duration, ConfigError> {
    match Duration::try_from_secs_f64(seconds) {
        Ok(duration) if !duration.is_zero() => Ok(duration),
        _ => Err(ConfigError::InvalidDuration { key, seconds }),
    }
}

#[cfg(test)]
mod tests;
