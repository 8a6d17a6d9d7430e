//! Splits the byte stream of a watch into endpoint lists and keep-alives, however the stream is split into reads.
//!
//! A list may be written on a single line or indented over several lines, and one read may return several lists.

use super::endpoint_list::EndpointList;
use serde::de::Error as _;

/// Maximum length of an endpoint list, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Why the byte stream of a watch can't be read any further.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// The stream holds something other than an endpoint list.
    #[error("received data is not an endpoint list: {0}; check discovery, or the service that answers at its address")]
    Malformed(#[from] serde_json::Error),
    /// An endpoint list is longer than the maximum length of a list.
    #[error("received an endpoint list longer than {MAX_LIST_BYTES} bytes")]
    TooLong,
}

/// One message from discovery.
#[derive(Debug)]
pub enum WatchMessage {
    /// A snapshot or a delta of the endpoint list.
    List(EndpointList),
    /// An empty line: discovery is alive, and the endpoint list has not changed.
    KeepAlive,
}

/// Buffers received bytes and splits them into messages.
/// Each byte is scanned once, so that a long list costs no more in many reads than in a single read.
#[derive(Debug, Default)]
pub struct WatchMessageReader {
    buffer: Vec<u8>,
    /// The offset in the buffer at which the next message begins.
    message_start: usize,
    /// The number of bytes of the buffer that have been scanned.
    scanned: usize,
    /// The number of brackets and braces that are open in the current list; 0 between lists.
    depth: usize,
    in_string: bool,
    /// Whether the previous byte was a backslash in a string, which escapes the next byte.
    escaped: bool,
}

impl WatchMessageReader {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.message_start);
        self.scanned -= std::mem::take(&mut self.message_start);
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next message, or `None` if it is not complete yet.
    ///
    /// # Errors
    /// If the received data is not an endpoint list, or is too long for one. The messages after it can't be separated then.
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

    /// Scans a byte between two lists; returns true if the byte ends an empty line.
    fn scan_between_lists(&mut self, byte: u8) -> Result<bool, ListError> {
        match byte {
            // White space before a list, or the carriage return that ends the line of a list.
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

    /// Parses the list whose last byte has just been scanned.
    fn take_list(&mut self) -> Result<EndpointList, ListError> {
        let list = serde_json::from_slice(&self.buffer[self.message_start..self.scanned])?;
        // The line break that directly follows a list is skipped, since it is not an empty line and so not a keep-alive.
        if self.buffer.get(self.scanned) == Some(&b'\n') {
            self.scanned += 1;
        }
        self.message_start = self.scanned;
        Ok(list)
    }
}

#[cfg(test)]
mod tests;
