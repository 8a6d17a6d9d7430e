//! The watch on the changes of the list of hosts.

use super::endpoint_list::EndpointList;
use super::line_reader::{LineReader, WatchMessage};
use crate::engine::message::{EngineHandle, Message};
use crate::transport::stream::Stream;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};
use weldworks_control::watch_backoff::{
    POLL_FIRST_LIST_TIMEOUT, PUSH_FIRST_LIST_TIMEOUT, WATCH_SILENCE_TIMEOUT,
};

/// How lists come from discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListDelivery {
    /// Discovery pushes them to an open watch at no cost, the first at once.
    Push,
    /// Discovery answers a poll once something has changed, and each poll has a price.
    Poll,
}

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("silent for too long")]
    Silent(#[from] tokio::time::error::Elapsed),
    #[error("{0}")]
    Malformed(#[from] super::line_reader::ListError),
    #[error("ended")]
    Ended,
}

/// Tells the gateway that the watch is over, however it ends: also when its task panics, or the gateway would
/// wait for news that never come.
struct Ended {
    gateway: EngineHandle,
    watch: u64,
    why: String,
    /// When the last word came, or the call was made.
    heard: Cell<Instant>,
}

impl Drop for Ended {
    fn drop(&mut self) {
        let why = std::mem::take(&mut self.why);
        let quiet = self.heard.get().elapsed();
        self.gateway.send(Message::DiscoveryFailed { watch: self.watch, reason: why, silent_for: quiet });
    }
}

/// Watches the list from version `since` on until that fails; the gateway counts its watches, and this is number
/// `watch`. Where lists are `pushed` the first word comes at once.
pub async fn watch(
    address: SocketAddr,
    since: u64,
    watch: u64,
    delivery: ListDelivery,
    gateway: EngineHandle,
) {
    let heard = Cell::new(Instant::now());
    let mut ended = Ended { gateway, watch, why: "its task has panicked".to_owned(), heard };
    let first = match delivery {
        ListDelivery::Push => PUSH_FIRST_LIST_TIMEOUT,
        ListDelivery::Poll => POLL_FIRST_LIST_TIMEOUT,
    };
    if let Err(error) = follow(address, since, watch, first, &ended).await {
        ended.why = error.to_string();
    }
}

async fn follow(
    address: SocketAddr,
    since: u64,
    watch: u64,
    first: Duration,
    Ended { gateway, heard, .. }: &Ended,
) -> Result<(), WatchError> {
    // One time for all that comes before the first word: a call that is heard and not answered is as silent as one that is not.
    let mut due = Instant::now() + first;
    let opening = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(Stream::new(stream))).await?;
        let request = Request::get(format!("/registry/instances?follow=1&since={since}"))
            .header("Host", address.to_string())
            .body(Empty::<Bytes>::new())
            .unwrap_or_default();
        let mut connection = Box::pin(connection);
        let response = tokio::select! {
            response = sender.send_request(request) => response?,
            ended = &mut connection => { ended?; return Err(WatchError::Ended) }
        };
        Ok::<_, WatchError>((response, connection, sender))
    };
    let (response, connection, _sender) = timeout_at(due, opening).await??;
    if response.status() != StatusCode::OK {
        return Err(WatchError::Status(response.status()));
    }
    let reading = async {
        let mut body = response.into_body();
        let (mut lists, mut first) = (LineReader::default(), true);
        loop {
            // Keep-alive notices nothing where a machine has vanished: only whole lists and empty lines prove that discovery lives. A
            // list that does not come to its end is none, however it trickles.
            let frame = timeout_at(due, body.frame()).await?.ok_or(WatchError::Ended)??;
            let Ok(data) = frame.into_data() else { continue };
            lists.push(&data);
            while let Some(word) = lists.next_message()? {
                heard.set(Instant::now());
                due = heard.get() + WATCH_SILENCE_TIMEOUT;
                let heard_before = gateway.record_discovery_message();
                match word {
                    WatchMessage::List(list) => gateway.send(Message::EndpointListReceived {
                        watch,
                        list,
                        previous_message_at: heard_before,
                    }),
                    // Each call is owed an answer, also where nothing has changed.
                    WatchMessage::KeepAlive if first => {
                        let list = EndpointList { index: since, ..EndpointList::default() };
                        gateway.send(Message::EndpointListReceived {
                            watch,
                            list,
                            previous_message_at: heard_before,
                        });
                    }
                    WatchMessage::KeepAlive => {}
                }
                first = false;
            }
        }
    };
    tokio::pin!(reading);
    tokio::select! {
        biased;
        read = &mut reading => read,
        // What came before the end is read still.
        _ = connection => reading.await,
    }
}
