//! The errors of reading and checking the platform's file.

use std::path::PathBuf;

/// Why the platform's file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment variable that names the platform's file is not set.
    #[error("ROUTER_CONFIG is not set")]
    FileNotNamed,
    /// The platform's file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The platform's file cannot be parsed.
    #[error("{path}: {source}")]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The platform's file can be parsed, but its values or keys are not valid.
    #[error("{path}: {}", faults.join("; "))]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// What is wrong with the file, one text per fault.
        faults: Vec<String>,
    },
    /// A value is not an IP address with a port.
    #[error("{name}: {value:?} is not an address and a port")]
    InvalidAddress {
        /// Name of the key or environment variable.
        name: &'static str,
        /// The value that is not valid.
        value: String,
    },
    /// A value is not a positive duration.
    #[error("{key}: {seconds} is not a valid time in seconds")]
    InvalidDuration {
        /// Name of the key.
        key: &'static str,
        /// Value of the key, in seconds.
        seconds: f64,
    },
    /// The platform's file allows fewer file descriptors than the gateway needs.
    #[error("{path}: limits.sockets is {descriptors}, at least {needed} needed")]
    TooFewDescriptors {
        /// Path of the file.
        path: PathBuf,
        /// Number of descriptors that the file allows.
        descriptors: usize,
        /// Least number of descriptors that the gateway needs.
        needed: usize,
    },
    /// The platform's file allows less memory than the gateway needs.
    #[error("{path}: limits.memory_mb is {memory_mb}, at least {needed_mb} needed")]
    TooLittleMemory {
        /// Path of the file.
        path: PathBuf,
        /// Memory that the file allows, in MiB.
        memory_mb: usize,
        /// Least memory that the gateway needs, in MiB.
        needed_mb: usize,
    },
    /// The operating system allows this process fewer file descriptors than the gateway needs.
    #[error(
        "the system allows this process {system} descriptors (ulimit -n), at least {needed} needed; limits.sockets in the file is \
         {configured}"
    )]
    SystemLimitTooLow {
        /// Number of descriptors that the operating system allows.
        system: usize,
        /// Least number of descriptors that the gateway needs.
        needed: usize,
        /// Number of descriptors that the file allows.
        configured: usize,
    },
    /// The fleet's links leave too few file descriptors for clients and endpoints.
    #[error(
        "limits.sockets is {configured}, of which the fleet's links reserve {reserved}: at least {needed} needed"
    )]
    TooFewDescriptorsBesideFleet {
        /// Number of descriptors that the file or the operating system allows.
        configured: usize,
        /// Number of descriptors that the fleet's links need.
        reserved: usize,
        /// Least number of descriptors for the fleet's links, clients and endpoints together.
        needed: usize,
    },
}
