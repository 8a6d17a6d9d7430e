//! What a wire says of the requests that are written to it: whole with their last byte, in whatever pieces they go.

use super::*;
use proptest::prelude::*;
use std::future::poll_fn;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use weldworks_control::execution::{classify_attempt, AttemptEnd, ResponseVerdict};

/// Heads and bodies as they go to a host: none, with a length, in chunks, with a length of nothing.
const REQUESTS: [&str; 4] = [
    "GET /look HTTP/1.1\r\nhost: a\r\n\r\n",
    "POST /once HTTP/1.1\r\nhost: a\r\ncontent-length: 11\r\n\r\n\r\n0\r\n\r\nbody",
    "POST /once HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\nb\r\n0\r\n\r\n world\r\n0\r\n\r\n",
    "POST /once HTTP/1.1\r\ncontent-length: 0\r\nhost: a\r\n\r\n",
];

async fn wire() -> (InstrumentedStream, Rc<IoTimestamps>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (near, far) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (wire, marks) = InstrumentedStream::new(near.expect("a connection"));
    (wire.tracking_requests(), marks, far.expect("a connection").0)
}

/// Writes a piece, at once or as several buffers.
async fn put(wire: &mut InstrumentedStream, piece: &[u8], buffers: usize) -> io::Result<usize> {
    poll_fn(|cx| {
        if buffers < 2 {
            return Pin::new(&mut *wire).poll_write(cx, piece);
        }
        let slices: Vec<IoSlice<'_>> =
            piece.chunks(piece.len().div_ceil(buffers).max(1)).map(IoSlice::new).collect();
        Pin::new(&mut *wire).poll_write_vectored(cx, &slices)
    })
    .await
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// At each step of each request, and however it ends there: only what lacks its last byte, or of which the host says so, has
    /// surely never run.
    #[test]
    fn nothing_is_taken_for_never_run_that_has_gone_whole(
        kinds in prop::collection::vec(0usize..4, 1..5),
        cuts in prop::collection::vec((1usize..60, 0usize..4), 1..12),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let (mut wire, marks, _far) = wire().await;
            let mut cuts = cuts.iter().cycle();
            for kind in kinds {
                let text = REQUESTS[kind].as_bytes();
                marks.begin(None);
                let mut gone = 0;
                while gone < text.len() {
                    let wanted = match gone {
                        0 => WriteProgress::Nothing,
                        _ => WriteProgress::Partial,
                    };
                    prop_assert_eq!(marks.written.get(), wanted, "{} of {:?}", gone, REQUESTS[kind]);
                    for ended in [AttemptEnd::Withheld, AttemptEnd::ConnectionFailed, AttemptEnd::TimedOut, AttemptEnd::Answered(ResponseVerdict::Served)] {
                        prop_assert!(classify_attempt(marks.written.get(), ended).proves_not_processed());
                    }
                    let (cut, buffers) = *cuts.next().expect("endless");
                    let piece = &text[gone..text.len().min(gone + cut)];
                    gone += put(&mut wire, piece, buffers).await.expect("written");
                }
                prop_assert_eq!(marks.written.get(), WriteProgress::Complete, "{:?}", REQUESTS[kind]);
                prop_assert!(marks.written_at.get().is_some());
                for ended in [
                    AttemptEnd::Withheld, AttemptEnd::ConnectionFailed, AttemptEnd::TimedOut, AttemptEnd::Cancelled,
                    AttemptEnd::Answered(ResponseVerdict::Served), AttemptEnd::Answered(ResponseVerdict::Error),
                ] {
                    prop_assert!(!classify_attempt(marks.written.get(), ended).proves_not_processed(), "{:?}", ended);
                }
            }
            Ok(())
        })?;
    }
}

/// From its latest moment on not a byte of a request is written that is not whole, and what is whole is not disturbed.
#[tokio::test]
async fn nothing_is_written_after_its_latest_moment() {
    let text = REQUESTS[1].as_bytes();
    for already in [0, 20, text.len() - 1] {
        let (mut wire, marks, mut far) = wire().await;
        marks.begin(Some(Instant::now() + Duration::from_secs(3600)));
        let mut gone = 0;
        while gone < already {
            gone += put(&mut wire, &text[gone..already], 1).await.expect("in time");
        }
        marks.write_by.set(Some(Instant::now()));
        assert!(marks.is_late());
        let late = put(&mut wire, &text[already..], 1 + already % 2).await;
        assert_eq!(late.map_err(|error| error.kind()), Err(io::ErrorKind::TimedOut), "after {already}");
        assert!(classify_attempt(marks.written.get(), AttemptEnd::Withheld).proves_not_processed());
        drop(wire);
        let mut came = Vec::new();
        far.read_to_end(&mut came).await.expect("its end");
        assert_eq!(came, &text[..already]);
    }
    let (mut wire, marks, _far) = wire().await;
    marks.begin(Some(Instant::now() + Duration::from_secs(3600)));
    assert_eq!(put(&mut wire, text, 1).await.expect("in time"), text.len());
    marks.write_by.set(Some(Instant::now()));
    assert!(!marks.is_late(), "it has gone");
}
