//! Sockets below HTTP: streams with a record of their I/O, message framing, descriptor quotas, and the meaning of system errors.

pub mod client_liveness;
pub mod descriptor_budget;
pub mod instrumented_stream;
mod io_state;
pub mod message_framing;
mod socket_probe;
pub mod stream;
pub mod system_errors;
