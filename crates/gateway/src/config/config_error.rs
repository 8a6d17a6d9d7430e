//! Why a platform's file cannot be used.

use std::path::PathBuf;

/// Why the platform's file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The variable that names the file is missing.
    #[error("ROUTER_CONFIG is not set")]
    FileNotNamed,
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file cannot be parsed.
    #[error("{path}: {source}")]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The file can be parsed, but its values or keys are not valid.
    #[error("{path}: {}", faults.join("; "))]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// All that is wrong with it.
        faults: Vec<String>,
    },
    /// A value is not an address.
    #[error("{name}: {value:?} is not an address and a port")]
    InvalidAddress {
        /// The key or variable.
        name: &'static str,
        /// The value that is not valid.
        value: String,
    },
    /// A value is not a duration.
    #[error("{key}: {seconds} is not a time")]
    InvalidDuration {
        /// Name of the key.
        key: &'static str,
        /// Its value, in seconds.
        seconds: f64,
    },
    /// The file allows fewer descriptors than the gateway needs.
    #[error("{path}: {descriptors} descriptors, at least {needed} needed")]
    TooFewDescriptors {
        /// Path of the file.
        path: PathBuf,
        /// What it allows.
        descriptors: usize,
        /// What the gateway needs.
        needed: usize,
    },
    /// The file allows less memory than the gateway needs.
    #[error("{path}: {memory_mb} MB, at least {needed_mb} needed")]
    TooLittleMemory {
        /// Path of the file.
        path: PathBuf,
        /// What it allows, in MB.
        memory_mb: usize,
        /// What the gateway needs, in MB.
        needed_mb: usize,
    },
    /// The system allows this process fewer descriptors than it needs.
    #[error(
        "the system gives this process {system} descriptors (ulimit -n), at least {needed} needed; limits.sockets in the file is \
         {configured}"
    )]
    SystemLimitTooLow {
        /// What the system allows.
        system: usize,
        /// What the gateway needs.
        needed: usize,
        /// What the file allows.
        configured: usize,
    },
    /// The fleet's links leave too few descriptors to clients and endpoints.
    #[error(
        "limits.sockets is {configured}, and the fleet's links take {reserved}: at least {needed} needed"
    )]
    TooFewDescriptorsBesideFleet {
        /// What the file or the system allows.
        configured: usize,
        /// What the fleet's links need.
        reserved: usize,
        /// What both need together.
        needed: usize,
    },
}
