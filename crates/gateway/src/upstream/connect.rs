//! Opens connections to endpoints. Waits for a descriptor, and retries connects that fail for a reason on this machine.

use super::connection::Connection;
use super::pool::ConnectionPool;
use super::UpstreamEndpoint;
use crate::limits::MAX_READ_AHEAD_BYTES;
use crate::transport::descriptor_budget::DescriptorPermit;
use crate::transport::instrumented_stream::InstrumentedStream;
use crate::transport::message_framing::MessageFraming;
use crate::transport::system_errors::is_local_connect_failure;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout_at, Instant};
use weldworks_control::execution::AttemptEnd;

/// Delay before the next try where a connection can't be opened for a reason on this machine, such as a lack of resources.
const LOCAL_FAILURE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Connects by `deadline`, and retries a connect that failed for a reason on this machine. Nothing has been sent by then.
/// If such failures counted against the endpoint, they would use up all attempts of a request within a moment.
///
/// # Errors
/// [`AttemptEnd::Withheld`] where `deadline` passed after a connect had failed for a reason on this machine.
/// [`AttemptEnd::ConnectionFailed`] where the endpoint refused the connection or did not answer by `deadline`.
async fn connect_with_retry<S, C>(mut connect: impl FnMut() -> C, deadline: Instant) -> Result<S, AttemptEnd>
where
    C: Future<Output = io::Result<S>>,
{
    let mut failed_locally = false;
    let connecting = async {
        loop {
            match connect().await {
                Ok(stream) => return Ok(stream),
                Err(error) if is_local_connect_failure(&error) => failed_locally = true,
                Err(_) => return Err(AttemptEnd::ConnectionFailed),
            }
            sleep(LOCAL_FAILURE_RETRY_DELAY).await;
        }
    };
    match timeout_at(deadline, connecting).await {
        Ok(connected) => connected,
        Err(_) if failed_locally => Err(AttemptEnd::Withheld),
        Err(_) => Err(AttemptEnd::ConnectionFailed),
    }
}

impl ConnectionPool {
    /// Opens a connection to the endpoint by `deadline`.
    ///
    /// # Errors
    /// [`AttemptEnd::Withheld`] where the endpoint has no address, no descriptor has become free, or this machine can't connect.
    /// [`AttemptEnd::ConnectionFailed`] where the failure to connect is the endpoint's.
    pub(super) async fn dial(
        &self,
        endpoint: &UpstreamEndpoint,
        deadline: Instant,
    ) -> Result<Connection, AttemptEnd> {
        let address = endpoint.address.get().ok_or(AttemptEnd::Withheld)?;
        let deadline = deadline.min(Instant::now() + self.settings.borrow().dial_timeout);
        let permit = self.wait_for_descriptor(deadline).await?;
        tracing::debug!(endpoint = %address, "connecting to endpoint");
        let stream = connect_with_retry(|| TcpStream::connect(address), deadline).await?;
        let _ = stream.set_nodelay(true);
        let (stream, io_state) = InstrumentedStream::new(stream);
        let (stream, _) = stream.tracking_requests().with_framing(MessageFraming::for_responses());
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_READ_AHEAD_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(|_| AttemptEnd::ConnectionFailed)?;
        Ok(Connection {
            endpoint: endpoint.id,
            address,
            sender,
            driver: Box::pin(driver),
            io_state,
            idle_since: Instant::now(),
            _permit: permit,
        })
    }

    /// Waits until a descriptor for a new connection is free. During a hot restart the other process may have all of them open. If a
    /// lack of descriptors ended an attempt at once, it would use up all attempts of a request within a moment.
    ///
    /// # Errors
    /// [`AttemptEnd::Withheld`] where no descriptor is free by `deadline`.
    async fn wait_for_descriptor(&self, deadline: Instant) -> Result<DescriptorPermit, AttemptEnd> {
        let acquiring = async {
            loop {
                if let Some(permit) = self.acquire_descriptor() {
                    return permit;
                }
                sleep(LOCAL_FAILURE_RETRY_DELAY).await;
            }
        };
        timeout_at(deadline, acquiring).await.map_err(|_| AttemptEnd::Withheld)
    }
}

#[cfg(test)]
mod tests;
