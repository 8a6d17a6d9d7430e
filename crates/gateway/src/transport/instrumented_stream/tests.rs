//! Tests of tracking requests as they are written: a request is complete with its last byte, in whatever pieces it is written.

use super::*;
use proptest::prelude::*;
use std::future::poll_fn;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use weldworks_control::execution::{classify_attempt, AttemptEnd, ResponseVerdict};

/// Requests as they are written to an endpoint: without a body, with a `Content-Length`, chunked, with `Content-Length: 0`.
const REQUESTS: [&str; 4] = [
    "GET /look HTTP/1.1\r\nhost: a\r\n\r\n",
    "POST /once HTTP/1.1\r\nhost: a\r\ncontent-length: 11\r\n\r\n\r\n0\r\n\r\nbody",
    "POST /once HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\nb\r\n0\r\n\r\n world\r\n0\r\n\r\n",
    "POST /once HTTP/1.1\r\ncontent-length: 0\r\nhost: a\r\n\r\n",
];

async fn connected_stream() -> (InstrumentedStream, Rc<IoState>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a port");
    let address = listener.local_addr().expect("failed to get the listener's address");
    let (client, server) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (stream, io_state) = InstrumentedStream::new(client.expect("failed to connect"));
    (stream.tracking_requests(), io_state, server.expect("failed to accept a connection").0)
}

/// Writes `piece` with one call, split into the given number of buffers.
async fn write(stream: &mut InstrumentedStream, piece: &[u8], buffers: usize) -> io::Result<usize> {
    poll_fn(|cx| {
        if buffers < 2 {
            return Pin::new(&mut *stream).poll_write(cx, piece);
        }
        let slices: Vec<IoSlice<'_>> =
            piece.chunks(piece.len().div_ceil(buffers).max(1)).map(IoSlice::new).collect();
        Pin::new(&mut *stream).poll_write_vectored(cx, &slices)
    })
    .await
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// A request that is retried although the endpoint has received it completely may be processed twice. At each step of writing a
    /// request, however the attempt ends at that step, the attempt counts as not processed only while the last byte is unwritten, or if
    /// the endpoint reports that it has not processed the request.
    #[test]
    fn a_request_that_was_written_completely_never_counts_as_not_processed(
        kinds in prop::collection::vec(0usize..4, 1..5),
        cuts in prop::collection::vec((1usize..60, 0usize..4), 1..12),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("failed to build a runtime");
        runtime.block_on(async {
            let (mut stream, io_state, _server) = connected_stream().await;
            let mut cuts = cuts.iter().cycle();
            for kind in kinds {
                let text = REQUESTS[kind].as_bytes();
                io_state.begin_request(None);
                let mut written = 0;
                while written < text.len() {
                    let expected = match written {
                        0 => WriteProgress::Nothing,
                        _ => WriteProgress::Partial,
                    };
                    prop_assert_eq!(io_state.write_progress.get(), expected, "{} of {:?}", written, REQUESTS[kind]);
                    for ended in [AttemptEnd::Withheld, AttemptEnd::ConnectionFailed, AttemptEnd::TimedOut, AttemptEnd::Answered(ResponseVerdict::Served)] {
                        prop_assert!(classify_attempt(io_state.write_progress.get(), ended).proves_not_processed());
                    }
                    let (cut, buffers) = *cuts.next().expect("cuts is empty");
                    let piece = &text[written..text.len().min(written + cut)];
                    written += write(&mut stream, piece, buffers).await.expect("failed to write the request");
                }
                prop_assert_eq!(io_state.write_progress.get(), WriteProgress::Complete, "{:?}", REQUESTS[kind]);
                prop_assert!(io_state.written_at.get().is_some());
                for ended in [
                    AttemptEnd::Withheld, AttemptEnd::ConnectionFailed, AttemptEnd::TimedOut, AttemptEnd::Cancelled,
                    AttemptEnd::Answered(ResponseVerdict::Served), AttemptEnd::Answered(ResponseVerdict::Error),
                ] {
                    prop_assert!(!classify_attempt(io_state.write_progress.get(), ended).proves_not_processed(), "{:?}", ended);
                }
            }
            Ok(())
        })?;
    }
}

/// After the write deadline no byte of an incomplete request is written, and a completely written request is not affected.
#[tokio::test]
async fn nothing_is_written_after_the_write_deadline() {
    let text = REQUESTS[1].as_bytes();
    for written_in_time in [0, 20, text.len() - 1] {
        let (mut stream, io_state, mut server) = connected_stream().await;
        io_state.begin_request(Some(Instant::now() + Duration::from_secs(3600)));
        let mut written = 0;
        while written < written_in_time {
            written += write(&mut stream, &text[written..written_in_time], 1)
                .await
                .expect("failed to write before the deadline");
        }
        io_state.write_by.set(Some(Instant::now()));
        assert!(io_state.is_past_write_deadline());
        let late = write(&mut stream, &text[written_in_time..], 1 + written_in_time % 2).await;
        assert_eq!(
            late.map_err(|error| error.kind()),
            Err(io::ErrorKind::TimedOut),
            "after {written_in_time} bytes"
        );
        assert!(classify_attempt(io_state.write_progress.get(), AttemptEnd::Withheld).proves_not_processed());
        drop(stream);
        let mut received = Vec::new();
        server.read_to_end(&mut received).await.expect("failed to read to the end of the stream");
        assert_eq!(received, &text[..written_in_time]);
    }
    let (mut stream, io_state, _server) = connected_stream().await;
    io_state.begin_request(Some(Instant::now() + Duration::from_secs(3600)));
    assert_eq!(write(&mut stream, text, 1).await.expect("failed to write before the deadline"), text.len());
    io_state.write_by.set(Some(Instant::now()));
    assert!(!io_state.is_past_write_deadline(), "a completely written request is past its write deadline");
}
