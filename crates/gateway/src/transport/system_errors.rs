//! The meaning of system errors: a moment's failure on this machine, a lack of resources of this process, or a fault of the peer.

use rustix::io::Errno;
use std::io;

/// The kind of a failed accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// The call was interrupted, or the one connection that it would have returned is broken: accept again at once.
    ConnectionFailed,
    /// This process or machine has no descriptor or memory for another connection: close idle ones.
    ResourcesExhausted,
    /// Any other failure, temporary or not: accept again a little later.
    Other,
}

/// Classifies an error of accept. accept(2) also returns errors of the new connection's network as its own.
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

/// Whether an error of socket or connect is this machine's and not the endpoint's: no descriptor, port, memory or route. Nothing
/// has been sent then, and connects to all endpoints would fail alike.
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
