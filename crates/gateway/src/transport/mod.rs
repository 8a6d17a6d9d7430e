//! Sockets below HTTP: the instrumented stream, message framing, descriptor quotas, and the meaning of system errors.

pub mod client_liveness;
pub mod descriptor_budget;
pub mod instrumented_stream;
pub mod message_framing;
pub mod stream;
pub mod system_errors;
