//! Tests of connects that fail for a reason on this machine.

use super::*;
use rustix::io::Errno;
use std::cell::Cell;

/// Connects within `limit` while each call fails with the next of these errors; returns the result and the number of calls.
async fn connect_through(errnos: &[Errno], limit: Duration) -> (Result<usize, AttemptEnd>, usize) {
    let calls = Cell::new(0);
    let connect = || {
        let call = calls.replace(calls.get() + 1);
        let errno = errnos.get(call).copied();
        async move { errno.map_or(Ok(call), |e| Err(io::Error::from_raw_os_error(e.raw_os_error()))) }
    };
    let result = connect_with_retry(connect, Instant::now() + limit).await;
    (result, calls.get())
}

#[tokio::test(start_paused = true)]
async fn a_short_lack_of_local_resources_is_waited_out() {
    let errnos = [Errno::NETUNREACH, Errno::NFILE, Errno::ADDRNOTAVAIL, Errno::NOBUFS, Errno::INTR];
    assert_eq!(connect_through(&errnos, Duration::from_millis(100)).await, (Ok(5), 6));
}

#[tokio::test(start_paused = true)]
async fn a_longer_lack_of_local_resources_does_not_count_against_the_endpoint() {
    let (result, calls) = connect_through(&[Errno::NETUNREACH; 1000], Duration::from_millis(100)).await;
    assert_eq!(result, Err(AttemptEnd::Withheld));
    assert!((15..=21).contains(&calls), "{calls} calls in 100 ms");
}

#[tokio::test(start_paused = true)]
async fn a_refused_connection_is_not_retried() {
    for errno in [Errno::CONNREFUSED, Errno::HOSTUNREACH, Errno::TIMEDOUT] {
        let (result, calls) = connect_through(&[errno], Duration::from_millis(100)).await;
        assert_eq!((result, calls), (Err(AttemptEnd::ConnectionFailed), 1), "{errno}");
    }
}
