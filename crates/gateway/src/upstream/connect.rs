//! Opens a connection to a host, through moments in which this machine can't.

use crate::transport::system_errors::is_own_connect_failure;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::time::{sleep, timeout_at, Instant};
use weldworks_control::execution::AttemptEnd;

/// A call that failed for want of something here is made again after this.
const AGAIN: Duration = Duration::from_millis(5);

/// What `connect` opens by then. Where it fails for reasons of this machine's it is called again: nothing has been sent, and to take
/// such a moment for an answer would spend all attempts of a request in it.
///
/// # Errors
/// [`Ended::Withheld`] where this machine could not to the end, [`Ended::Broken`] where the host did not let it.
pub async fn open<S, C>(mut connect: impl FnMut() -> C, until: Instant) -> Result<S, AttemptEnd>
where
    C: Future<Output = io::Result<S>>,
{
    let mut own = false;
    let opening = async {
        loop {
            match connect().await {
                Ok(stream) => return Ok(stream),
                Err(error) if is_own_connect_failure(&error) => own = true,
                Err(_) => return Err(AttemptEnd::ConnectionFailed),
            }
            sleep(AGAIN).await;
            // From here on it may be the host that does not answer.
        }
    };
    match timeout_at(until, opening).await {
        Ok(opened) => opened,
        Err(_) if own => Err(AttemptEnd::Withheld),
        Err(_) => Err(AttemptEnd::ConnectionFailed),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rustix::io::Errno;
    use std::cell::Cell;

    async fn opened(errnos: &[Errno], most: Duration) -> (Result<usize, AttemptEnd>, usize) {
        let calls = Cell::new(0);
        let connect = || {
            let call = calls.replace(calls.get() + 1);
            let errno = errnos.get(call).copied();
            async move { errno.map_or(Ok(call), |e| Err(io::Error::from_raw_os_error(e.raw_os_error()))) }
        };
        let result = open(connect, Instant::now() + most).await;
        (result, calls.get())
    }

    #[tokio::test(start_paused = true)]
    async fn a_moment_without_means_is_waited_out() {
        let moment = [Errno::NETUNREACH, Errno::NFILE, Errno::ADDRNOTAVAIL, Errno::NOBUFS, Errno::INTR];
        assert_eq!(opened(&moment, Duration::from_millis(100)).await, (Ok(5), 6));
    }

    #[tokio::test(start_paused = true)]
    async fn a_longer_one_is_held_against_no_host() {
        let (result, calls) = opened(&[Errno::NETUNREACH; 1000], Duration::from_millis(100)).await;
        assert_eq!(result, Err(AttemptEnd::Withheld));
        assert!((15..=21).contains(&calls), "{calls} calls in 100 ms");
    }

    #[tokio::test(start_paused = true)]
    async fn a_host_that_refuses_is_asked_once() {
        for errno in [Errno::CONNREFUSED, Errno::HOSTUNREACH, Errno::TIMEDOUT] {
            let (result, calls) = opened(&[errno], Duration::from_millis(100)).await;
            assert_eq!((result, calls), (Err(AttemptEnd::ConnectionFailed), 1), "{errno}");
        }
    }
}
