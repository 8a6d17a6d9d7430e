//! What an error of a system call says: of this machine for a moment, of this process's means, or of the other side.

use rustix::io::Errno;
use std::io;

/// What is to be done after an accept that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// Accept again at once: the call was interrupted, or the one connection that it would have given is broken.
    OneConnection,
    /// There is no room for another connection here: what rests gives way.
    NoRoom,
    /// Something else, for a while: accept again a little later.
    Passing,
}

/// Tells what an error of accept means. accept(2) passes errors of the new connection's network on as its own.
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
        ) => AcceptFailure::OneConnection,
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => AcceptFailure::NoRoom,
        _ => AcceptFailure::Passing,
    }
}

/// Whether an error of socket or connect tells of this machine and not of the host: no descriptor, port, memory or route. Nothing
/// has been sent, and all hosts would show it.
pub fn is_own_connect_failure(error: &io::Error) -> bool {
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
mod tests {
    use super::*;

    fn error(errno: Errno) -> io::Error {
        io::Error::from_raw_os_error(errno.raw_os_error())
    }

    #[test]
    fn only_a_shortage_has_others_give_way_after_an_accept() {
        for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM] {
            assert_eq!(accept_failure(&error(errno)), AcceptFailure::NoRoom, "{errno}");
        }
        for errno in [Errno::CONNABORTED, Errno::INTR, Errno::PROTO, Errno::HOSTUNREACH, Errno::TIMEDOUT] {
            assert_eq!(accept_failure(&error(errno)), AcceptFailure::OneConnection, "{errno}");
        }
        assert_eq!(accept_failure(&error(Errno::PERM)), AcceptFailure::Passing);
        assert_eq!(accept_failure(&io::Error::other("no number")), AcceptFailure::Passing);
    }

    #[test]
    fn a_host_answers_for_its_own_failures_alone() {
        for errno in [Errno::CONNREFUSED, Errno::CONNRESET, Errno::TIMEDOUT, Errno::HOSTUNREACH] {
            assert!(!is_own_connect_failure(&error(errno)), "{errno}");
        }
        for errno in [Errno::NETUNREACH, Errno::ADDRNOTAVAIL, Errno::NFILE, Errno::NOBUFS, Errno::CONNABORTED]
        {
            assert!(is_own_connect_failure(&error(errno)), "{errno}");
        }
    }
}
