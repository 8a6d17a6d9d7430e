//! A watch on discovery: a connection over which snapshots, deltas and keep-alives arrive until the connection fails.

use super::endpoint_list::EndpointList;
use super::message_reader::{ListError, WatchMessage, WatchMessageReader};
use crate::engine::message::{EngineHandle, Message, WatchEnd};
use crate::transport::stream::Stream;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};
use weldworks_balancer::PollFailure;
use weldworks_control::watch_backoff::{
    POLL_FIRST_LIST_TIMEOUT, PUSH_FIRST_LIST_TIMEOUT, WATCH_SILENCE_TIMEOUT,
};

/// How discovery delivers endpoint lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListDelivery {
    /// Discovery pushes lists to an open watch at no cost, and the first list at once.
    Push,
    /// Discovery answers a poll once the endpoint list has changed, and each poll has a cost.
    Poll,
}

impl ListDelivery {
    /// Timeout for the first message from discovery, from the start of the call.
    fn first_message_timeout(self) -> Duration {
        match self {
            ListDelivery::Push => PUSH_FIRST_LIST_TIMEOUT,
            ListDelivery::Poll => POLL_FIRST_LIST_TIMEOUT,
        }
    }
}

/// A watch that is to be opened.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    /// The address of discovery.
    pub address: SocketAddr,
    /// The index of the endpoint list in force; 0 if there is none.
    pub since_index: u64,
    /// The number of this watch, counted from 1. The engine ignores messages of any watch but the current one.
    pub id: u64,
    /// How discovery delivers lists to this watch.
    pub delivery: ListDelivery,
}

/// Why a watch has ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("{0}")]
    Connect(#[source] std::io::Error),
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("answered with status {0}")]
    Status(StatusCode),
    #[error("no message within the timeout")]
    TimedOut(#[from] tokio::time::error::Elapsed),
    #[error("{0}")]
    Malformed(#[from] ListError),
    #[error("connection closed")]
    Closed,
}

impl WatchError {
    /// Why the poll that opened the watch failed, where the watch ended with this error before its first message.
    /// Discovery ends a poll with an error status or a reset where it has too many callers.
    fn poll_failure(&self) -> PollFailure {
        match self {
            WatchError::Connect(_) | WatchError::TimedOut(_) => PollFailure::Unreachable,
            WatchError::Io(_)
            | WatchError::Http(_)
            | WatchError::Status(_)
            | WatchError::Malformed(_)
            | WatchError::Closed => PollFailure::TurnedAway,
        }
    }
}

/// Reports the end of a watch to the engine when it is dropped.
///
/// The report is sent on drop so that the engine is notified also if the watch's task panics.
/// Without the report the engine would wait for endpoint lists that never arrive.
struct WatchEndReporter {
    engine: EngineHandle,
    watch: u64,
    reason: String,
    cause: PollFailure,
    /// When the last message arrived; before the first message, when the call to discovery started.
    last_message_at: Cell<Instant>,
}

impl Drop for WatchEndReporter {
    fn drop(&mut self) {
        let reason = std::mem::take(&mut self.reason);
        let silent_for = self.last_message_at.get().elapsed();
        let end = WatchEnd { reason, cause: self.cause, silent_for };
        self.engine.send(Message::DiscoveryFailed { watch: self.watch, end });
    }
}

impl Watch {
    /// Sends the engine all lists after the one in force, until the watch fails; then reports the end of the watch with its reason.
    pub async fn run(self, engine: EngineHandle) {
        let mut reporter = WatchEndReporter {
            engine,
            watch: self.id,
            reason: "watch task panicked".to_owned(),
            cause: PollFailure::Unreachable,
            last_message_at: Cell::new(Instant::now()),
        };
        if let Err(error) = self.receive_until_error(&reporter).await {
            reporter.reason = error.to_string();
            reporter.cause = error.poll_failure();
        }
    }

    async fn receive_until_error(&self, reporter: &WatchEndReporter) -> Result<(), WatchError> {
        // A single deadline covers all steps up to the first message: a call that discovery accepts but never answers times out as early
        // as a call that discovery does not accept.
        let deadline = Instant::now() + self.delivery.first_message_timeout();
        let call = timeout_at(deadline, self.open()).await??;
        if call.response.status() != StatusCode::OK {
            return Err(WatchError::Status(call.response.status()));
        }
        // The HTTP library closes the connection when its sender is dropped, so the sender is held until the watch ends.
        let WatchCall { response, connection, sender: _sender } = call;
        let reading = self.read_messages(response, deadline, reporter);
        tokio::pin!(reading);
        tokio::select! {
            biased;
            read = &mut reading => read,
            // Messages that arrived before the connection ended are still read.
            _ = connection => reading.await,
        }
    }

    /// Connects to discovery, sends the request, and waits for the head of the response.
    async fn open(&self) -> Result<WatchCall, WatchError> {
        let stream = TcpStream::connect(self.address).await.map_err(WatchError::Connect)?;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(Stream::new(stream))).await?;
        let request = Request::get(format!("/registry/instances?follow=1&since={}", self.since_index))
            .header("Host", self.address.to_string())
            .body(Empty::<Bytes>::new())
            .unwrap_or_default();
        let mut connection = Box::pin(connection);
        let response = sender.send_request(request);
        tokio::pin!(response);
        tokio::select! {
            response = &mut response => Ok(WatchCall { response: response?, connection, sender }),
            ended = &mut connection => {
                ended?;
                // The connection may end together with the answer that turns the poll away.
                match response.await?.status() {
                    StatusCode::OK => Err(WatchError::Closed),
                    status => Err(WatchError::Status(status)),
                }
            }
        }
    }

    /// Reads messages and sends their lists to the engine, until no complete message arrives within the timeout.
    ///
    /// TCP keep-alive does not notice that discovery's machine has vanished: only complete lists and empty lines prove that it is alive.
    /// A list that never ends does not prove that discovery is alive, even if further bytes of the list keep arriving.
    async fn read_messages(
        &self,
        response: Response<Incoming>,
        first_deadline: Instant,
        reporter: &WatchEndReporter,
    ) -> Result<(), WatchError> {
        let mut body = response.into_body();
        let mut reader = WatchMessageReader::default();
        let mut deadline = first_deadline;
        let mut is_first = true;
        loop {
            let frame = timeout_at(deadline, body.frame()).await?.ok_or(WatchError::Closed)??;
            let Ok(data) = frame.into_data() else { continue };
            reader.push(&data);
            while let Some(message) = reader.next_message()? {
                let received_at = Instant::now();
                reporter.last_message_at.set(received_at);
                deadline = received_at + WATCH_SILENCE_TIMEOUT;
                let previous_message_at = reporter.engine.record_discovery_message();
                let list = match message {
                    WatchMessage::List(list) => Some(list),
                    // The engine needs an answer to each poll, also if the endpoint list has not changed.
                    WatchMessage::KeepAlive if is_first => Some(self.unchanged_list()),
                    WatchMessage::KeepAlive => None,
                };
                if let Some(list) = list {
                    let watch = self.id;
                    let message = Message::EndpointListReceived { watch, list, previous_message_at };
                    reporter.engine.send(message);
                }
                is_first = false;
            }
        }
    }

    /// A delta without changes, which stands for an unchanged endpoint list.
    fn unchanged_list(&self) -> EndpointList {
        EndpointList { index: self.since_index, ..EndpointList::default() }
    }
}

/// An HTTP connection to discovery on which the response head has been received.
struct WatchCall {
    response: Response<Incoming>,
    connection: Pin<Box<http1::Connection<TokioIo<Stream>, Empty<Bytes>>>>,
    sender: SendRequest<Empty<Bytes>>,
}
