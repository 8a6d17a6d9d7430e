//! The keys of the platform's file that the gateway itself reads, under the platform's names. The balancer parses its settings separately.

use crate::discovery::endpoint_list::EndpointList;
use crate::limits::Limits;
use serde::Deserialize;
use serde_json::value::RawValue;

/// The top-level keys of the platform's file.
#[derive(Deserialize)]
pub(super) struct PlatformKeys {
    pub(super) listen: String,
    pub(super) discovery: String,
    #[serde(default, rename = "management")]
    pub(super) admin: Option<String>,
    #[serde(default)]
    pub(super) seed: String,
    #[serde(default)]
    pub(super) limits: Limits,
    #[serde(default, rename = "known")]
    pub(super) known_endpoints: EndpointList,
    pub(super) settings: Box<RawValue>,
}

/// The keys of the object `settings` that concern connections and names. The balancer reads the other keys of that object.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct SettingsKeys {
    pub(super) classes: Vec<NamedKeys>,
    #[serde(rename = "accounts")]
    pub(super) tenants: Vec<NamedKeys>,
    #[serde(rename = "azs")]
    pub(super) zones: Vec<String>,
    #[serde(rename = "flavors")]
    pub(super) machine_kinds: Vec<String>,
    #[serde(rename = "policy_limits")]
    pub(super) connection_limits: ConnectionLimitKeys,
}

/// An entry of a list of named things, such as request classes or tenants, to which requests refer by name or index.
#[derive(Deserialize)]
pub(super) struct NamedKeys {
    name: String,
}

/// The timeouts of connections to endpoints, in seconds.
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct ConnectionLimitKeys {
    #[serde(rename = "dial_timeout_s")]
    pub(super) connect_timeout_s: f64,
    #[serde(rename = "keepalive_s")]
    pub(super) keep_alive_s: f64,
}

impl Default for ConnectionLimitKeys {
    fn default() -> Self {
        ConnectionLimitKeys { connect_timeout_s: 1.0, keep_alive_s: 10.0 }
    }
}

/// The names of the entries of a list, in the order of the list.
pub(super) fn names(entries: Vec<NamedKeys>) -> Vec<String> {
    entries.into_iter().map(|entry| entry.name).collect()
}
