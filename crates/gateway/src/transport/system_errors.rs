//! Classifies system errors: a temporary failure on this machine, exhausted resources of this process, or a fault of the peer.

use rustix::io::Errno;
use std::io;

/// Why an accept failed, by what the accept loop should do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// The accept call was interrupted, or the connection that it would have returned is broken: accept again at once.
    ConnectionFailed,
    /// This process or machine has no descriptor or memory for another connection: close idle connections.
    ResourcesExhausted,
    /// Any other failure, temporary or not: accept again after a delay.
    Other,
}

/// Classifies an error of accept(2), which also returns network errors of the new connection as its own.
pub fn accept_failure(error: &io::Error) -> AcceptFailure {
    match Errno::from_io_error(error) {
        Some(
            Errno::INTR
            | Errno::CONNABORTED
            | Errno::PROTO
            | Errno::NETDOWN
            | Errno::NETUNREACH
            | Errno::HOSTDOWN
            | Errno::HOSTUNREACH
            | Errno::NOPROTOOPT
            | Errno::OPNOTSUPP
            | Errno::NONET
            | Errno::TIMEDOUT,
        ) => AcceptFailure::ConnectionFailed,
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => AcceptFailure::ResourcesExhausted,
        _ => AcceptFailure::Other,
    }
}

/// Whether an error of socket(2) or connect(2) was caused by this machine and not by the endpoint: no descriptor, port, memory or route,
/// or a call that was interrupted or aborted here. Nothing has been sent in that case, and other endpoints would not fare better.
pub fn is_local_connect_failure(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(
            Errno::MFILE
                | Errno::NFILE
                | Errno::NOBUFS
                | Errno::NOMEM
                | Errno::ADDRNOTAVAIL
                | Errno::AGAIN
                | Errno::NETUNREACH
                | Errno::NETDOWN
                | Errno::CONNABORTED
                | Errno::INTR
        )
    )
}

#[cfg(test)]
mod tests;
