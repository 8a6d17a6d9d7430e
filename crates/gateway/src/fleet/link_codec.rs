//! Length-delimited frames on a connection between two gateways, or between a gateway and an administrator.

use crate::transport::stream::Stream;
use bytes::Bytes;
use futures_util::StreamExt;
use std::io;
use std::time::Duration;
use tokio::io::{split, ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use weldworks_fleet::protocol::{ProtocolError, MAX_FRAME_BYTES};

/// Time for a connection to be established, and for each side to send its hello.
pub(super) const HELLO_TIMEOUT: Duration = Duration::from_millis(1000);

/// Reads length-delimited frames.
pub(super) type FrameReader = FramedRead<ReadHalf<Stream>, LengthDelimitedCodec>;
/// Writes length-delimited frames.
pub(super) type FrameWriter = FramedWrite<WriteHalf<Stream>, LengthDelimitedCodec>;

/// Both directions of a connection: a reader and a writer of frames.
pub(super) struct FramedConnection {
    pub(super) reader: FrameReader,
    pub(super) writer: FrameWriter,
}

impl FramedConnection {
    pub(super) fn new(stream: TcpStream) -> FramedConnection {
        let _ = stream.set_nodelay(true);
        let (read, write) = split(Stream::new(stream));
        let codec = || LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        FramedConnection { reader: FramedRead::new(read, codec()), writer: FramedWrite::new(write, codec()) }
    }
}

/// Why a connection between two gateways, or with an administrator, was ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum LinkError {
    /// The other side's hello or frame is invalid or not accepted.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    #[error("the connection was closed before the hello")]
    ClosedBeforeHello,
    #[error("no hello within {HELLO_TIMEOUT:?}")]
    HelloTimeout,
    #[error("the reply to the hello could not be sent in time")]
    HelloNotAnswered,
    #[error("administrators may only send queries")]
    NotAnAdminQuery,
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Converts an error of the frame codec, for bytes that are not a valid frame.
pub(super) fn not_a_frame(error: &io::Error) -> LinkError {
    ProtocolError::NotAFrame(error.to_string()).into()
}

/// Reads the other side's hello.
pub(super) async fn read_hello(reader: &mut FrameReader) -> Result<Bytes, LinkError> {
    match timeout(HELLO_TIMEOUT, reader.next()).await {
        Ok(Some(Ok(bytes))) => Ok(bytes.freeze()),
        Ok(Some(Err(error))) => Err(not_a_frame(&error)),
        Ok(None) => Err(LinkError::ClosedBeforeHello),
        Err(_) => Err(LinkError::HelloTimeout),
    }
}
