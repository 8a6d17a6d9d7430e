//! Sends queries to the gateways of a fleet over their links.

use crate::transport::stream::Stream;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde_json::Value;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use weldworks_fleet::protocol::{self, AdminQuery, Caller, Frame, Hello, ProtocolError, MAX_FRAME_BYTES};
use weldworks_fleet::settings::{FleetSettings, Peer};

/// Timeout for one gateway's answer, including the time to connect.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// One gateway's answer, or why there is none.
pub(super) struct GatewayAnswer {
    pub(super) gateway: String,
    pub(super) answer: Result<Value, QueryError>,
}

/// Why a query to a gateway has no usable answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum QueryError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("the question is too long")]
    QueryTooLong,
    #[error("it ended the connection: its log says why")]
    Closed,
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    #[error("it answered with something else")]
    UnexpectedFrame,
    #[error(transparent)]
    InvalidAnswer(#[from] serde_json::Error),
    #[error("no answer within {ANSWER_TIMEOUT:?}")]
    Timeout,
    /// The gateway answered with an error instead of a report.
    #[error("{0}")]
    Rejected(String),
}

/// Queries one gateway.
pub(super) async fn query_gateway(fleet: &str, peer: &Peer, query: &AdminQuery) -> GatewayAnswer {
    let answer = timeout(ANSWER_TIMEOUT, query_over_link(fleet, peer, query)).await;
    let answer = answer.unwrap_or(Err(QueryError::Timeout));
    GatewayAnswer { gateway: peer.name.clone(), answer }
}

/// Queries all gateways of a fleet concurrently. An answer that is an error counts as a missing answer.
pub(super) async fn query_gateways(settings: &FleetSettings, query: &AdminQuery) -> Vec<GatewayAnswer> {
    let queries = settings.peers.iter().map(|peer| query_gateway(&settings.name, peer, query));
    let mut answers = futures_util::future::join_all(queries).await;
    for GatewayAnswer { answer, .. } in &mut answers {
        let error = answer.as_ref().ok().and_then(|answer| answer["error"].as_str()).map(str::to_owned);
        if let Some(error) = error {
            *answer = Err(QueryError::Rejected(error));
        }
    }
    answers
}

async fn query_over_link(fleet: &str, peer: &Peer, query: &AdminQuery) -> Result<Value, QueryError> {
    let stream = TcpStream::connect(peer.address).await?;
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    let mut link = Framed::new(Stream::new(stream), codec);
    let hello = Hello::new(fleet, Caller::Administrator, &peer.name);
    let hello = protocol::encode_frame(&hello).unwrap_or_default();
    let query = protocol::encode_frame(&Frame::AdminQuery(query.clone())).ok_or(QueryError::QueryTooLong)?;
    link.send(Bytes::from(hello)).await?;
    link.send(Bytes::from(query)).await?;
    let _peer_hello = link.next().await.ok_or(QueryError::Closed)??;
    let answer = link.next().await.ok_or(QueryError::Closed)??;
    match protocol::decode_frame(&answer)? {
        Frame::AdminAnswer(text) => Ok(serde_json::from_str(&text)?),
        _ => Err(QueryError::UnexpectedFrame),
    }
}
