//! Whether a request still has somebody to answer: asked before each step that can't be taken back.

use crate::transport::instrumented_stream::SocketProbe;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// No attempt may begin more than 0.1 s after its client has left. Who wrote the request half of that ago is there.
const THERE: Duration = Duration::from_millis(50);

/// A client as one of its requests knows it.
#[derive(Debug)]
pub struct ClientLiveness {
    wanted: Cell<bool>,
    /// When its request was read.
    since: Instant,
    /// Its connection; none where there is none to look at.
    line: Option<SocketProbe>,
}

impl ClientLiveness {
    /// The client behind this connection, who wants an answer.
    pub fn new(line: SocketProbe) -> ClientLiveness {
        ClientLiveness { wanted: Cell::new(true), since: Instant::now(), line: Some(line) }
    }

    /// Somebody who stays until told otherwise.
    #[cfg(test)]
    pub fn unobserved() -> ClientLiveness {
        ClientLiveness { wanted: Cell::new(true), since: Instant::now(), line: None }
    }

    /// No answer is wanted any more. Whether one was until now.
    pub fn end(&self) -> bool {
        self.wanted.replace(false)
    }

    /// Whether an answer is wanted, as far as anybody has noted.
    pub fn is_wanted(&self) -> bool {
        self.wanted.get()
    }

    /// Whether an attempt may begin: an answer is wanted, and the client's end would be seen if it had come. Behind much that is
    /// unread it stands on the client's own machine still.
    pub fn may_begin(&self) -> bool {
        let hides = || self.line.as_ref().is_some_and(SocketProbe::may_hide_an_end);
        self.is_wanted() && (self.since.elapsed() < THERE || !hides())
    }

    /// Whether the client is there, now that all it had to say of its request has been read.
    pub fn has_stayed(&self) -> bool {
        self.is_wanted() && !self.line.as_ref().is_some_and(SocketProbe::has_ended)
    }
}
