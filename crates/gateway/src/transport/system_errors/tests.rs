//! Tests of the classification of system errors.

use super::*;

fn error(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno.raw_os_error())
}

#[test]
fn only_exhausted_resources_close_idle_connections_after_a_failed_accept() {
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM] {
        assert_eq!(accept_failure(&error(errno)), AcceptFailure::ResourcesExhausted, "{errno}");
    }
    for errno in [Errno::CONNABORTED, Errno::INTR, Errno::PROTO, Errno::HOSTUNREACH, Errno::TIMEDOUT] {
        assert_eq!(accept_failure(&error(errno)), AcceptFailure::ConnectionFailed, "{errno}");
    }
    assert_eq!(accept_failure(&error(Errno::PERM)), AcceptFailure::Other);
    assert_eq!(accept_failure(&io::Error::other("no errno")), AcceptFailure::Other);
}

#[test]
fn only_failures_caused_by_the_endpoint_count_against_it() {
    for errno in [Errno::CONNREFUSED, Errno::CONNRESET, Errno::TIMEDOUT, Errno::HOSTUNREACH] {
        assert!(!is_local_connect_failure(&error(errno)), "{errno}");
    }
    for errno in [Errno::NETUNREACH, Errno::ADDRNOTAVAIL, Errno::NFILE, Errno::NOBUFS, Errno::CONNABORTED] {
        assert!(is_local_connect_failure(&error(errno)), "{errno}");
    }
}
