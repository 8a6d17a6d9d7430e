//! The watch on the changes of the list of hosts.

use super::list::List;
use crate::core::messages::{Handle, Message};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A call may wait its turn for so long before its first line comes.
const FIRST_LINE: Duration = Duration::from_secs(4);
/// An empty line comes every 2 s on a live watch; without any for so long it is dead. News count as told 6 s after
/// they were due, and the module lets up to 4 s pass before it asks again: there is no time to lose.
const SILENCE: Duration = Duration::from_millis(2700);
/// A line that is longer than this is none.
const LONGEST_LINE: usize = 4 << 20;

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
    #[error("a line that is no list: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("a line without end")]
    TooLong,
    #[error("ended")]
    Ended,
}

/// Tells the gateway that the watch is over, however it ends: also when its task panics, or the gateway would
/// wait for news that never come.
struct Ended {
    gateway: Handle,
    watch: u64,
    why: String,
}

impl Drop for Ended {
    fn drop(&mut self) {
        let why = std::mem::take(&mut self.why);
        self.gateway.tell(Message::DiscoveryFailed { watch: self.watch, why });
    }
}

/// Watches the list from version `since` on until that fails; the gateway counts its watches, and this is number
/// `watch`.
pub async fn watch(address: SocketAddr, since: u64, watch: u64, gateway: Handle) {
    let mut ended = Ended { gateway, watch, why: "its task has panicked".to_owned() };
    if let Err(error) = follow(address, since, watch, &ended.gateway).await {
        ended.why = error.to_string();
    }
}

async fn follow(address: SocketAddr, since: u64, watch: u64, gateway: &Handle) -> Result<(), WatchError> {
    let opening = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
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
    let (response, connection, _sender) = timeout(FIRST_LINE, opening).await??;
    if response.status() != StatusCode::OK {
        return Err(WatchError::Status(response.status()));
    }
    let reading = async {
        let mut body = response.into_body();
        let (mut text, mut first) = (Vec::new(), true);
        loop {
            // Keep-alive notices nothing where a machine has vanished: only the lines prove that discovery lives.
            let wait = if first { FIRST_LINE } else { SILENCE };
            let frame = timeout(wait, body.frame()).await?.ok_or(WatchError::Ended)??;
            let Ok(data) = frame.into_data() else { continue };
            text.extend_from_slice(&data);
            while let Some(end) = text.iter().position(|&b| b == b'\n') {
                let line: Vec<u8> = text.drain(..=end).collect();
                if !line.trim_ascii().is_empty() {
                    let list = serde_json::from_slice(&line)?;
                    gateway.tell(Message::Hosts { watch, list });
                } else if first {
                    // Each call is owed an answer, also where nothing has changed.
                    let list = List { index: since, ..List::default() };
                    gateway.tell(Message::Hosts { watch, list });
                }
                first = false;
            }
            if text.len() > LONGEST_LINE {
                return Err(WatchError::TooLong);
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
