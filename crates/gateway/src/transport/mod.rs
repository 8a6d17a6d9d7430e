//! The socket layer below HTTP: streams that record their I/O, message framing, descriptor quotas, and classes of system errors.

mod arrival_time;
mod blocked_write;
pub mod client_liveness;
pub mod descriptor_budget;
pub mod instrumented_stream;
mod io_state;
pub mod message_framing;
pub mod request_arrival;
mod socket_probe;
pub mod stream;
pub mod system_errors;
