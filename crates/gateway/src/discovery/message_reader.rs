//! Splits the byte stream of a watch into endpoint lists and keep-alives, wherever the stream is cut.
//!
//! A list may stand on one line or be indented over several, and several may come in one piece.

use super::endpoint_list::EndpointList;
use serde::de::Error as _;

/// Longest endpoint list that is read, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Why the stream can't be read any further.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// It holds something other than a list.
    #[error("received data is no list of endpoints: {0}; check the registry, or what answers in its place")]
    Malformed(#[from] serde_json::Error),
    /// A list is longer than any may be.
    #[error("a list longer than {MAX_LIST_BYTES} bytes")]
    TooLong,
}

/// One message of discovery.
#[derive(Debug)]
pub enum WatchMessage {
    /// A list or a delta.
    List(EndpointList),
    /// An empty line: discovery is alive, and nothing has changed.
    KeepAlive,
}

/// Collects bytes and splits them into messages. Each byte is looked at once, so that a long list in many pieces costs no more than
/// in one.
#[derive(Debug, Default)]
pub struct WatchMessageReader {
    buffer: Vec<u8>,
    /// Where the next message begins in the buffer.
    message_start: usize,
    /// How much of the buffer has been looked at.
    scanned: usize,
    /// How many brackets of the current list are open; 0 between lists.
    depth: usize,
    in_string: bool,
    /// Whether the next byte stands behind a backslash.
    escaped: bool,
}

impl WatchMessageReader {
    /// Appends bytes that have been received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.message_start);
        self.scanned -= std::mem::take(&mut self.message_start);
        self.buffer.extend_from_slice(bytes);
    }

    /// The next message; none where it is not complete yet.
    ///
    /// # Errors
    /// Where what has come is not a list, or is too long to be one. The messages that follow can't be separated then.
    pub fn next_message(&mut self) -> Result<Option<WatchMessage>, ListError> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            self.scanned += 1;
            if self.depth == 0 {
                if self.scan_between_lists(byte)? {
                    self.message_start = self.scanned;
                    return Ok(Some(WatchMessage::KeepAlive));
                }
                continue;
            }
            self.scan_in_list(byte);
            if self.depth == 0 {
                return Ok(Some(WatchMessage::List(self.take_list()?)));
            }
        }
        if self.buffer.len() - self.message_start > MAX_LIST_BYTES {
            return Err(ListError::TooLong);
        }
        Ok(None)
    }

    /// Scans a byte outside of any list; true where it ends an empty line.
    fn scan_between_lists(&mut self, byte: u8) -> Result<bool, ListError> {
        match byte {
            // Blanks ahead of a list, and the end of a list's own line.
            b' ' | b'\t' | b'\r' => Ok(false),
            b'\n' => Ok(true),
            b'{' => {
                self.depth = 1;
                Ok(false)
            }
            _ => Err(serde_json::Error::custom(format!(
                "expected a JSON object or an empty line, got byte {byte:#04x}"
            ))
            .into()),
        }
    }

    fn scan_in_list(&mut self, byte: u8) {
        match byte {
            _ if std::mem::take(&mut self.escaped) => {}
            b'\\' => self.escaped = self.in_string,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            _ => {}
        }
    }

    /// Parses the list that has just been scanned to its end.
    fn take_list(&mut self) -> Result<EndpointList, ListError> {
        let list = serde_json::from_slice(&self.buffer[self.message_start..self.scanned])?;
        // The end of the list's own line is no empty line.
        if self.buffer.get(self.scanned) == Some(&b'\n') {
            self.scanned += 1;
        }
        self.message_start = self.scanned;
        Ok(list)
    }
}

#[cfg(test)]
mod tests;
