//! HTTP/1.1 messages as the scripted stand-ins read them.

use std::collections::HashMap;
use std::io::{self, BufRead};

/// The line end of HTTP/1.1.
const LINE_END: &str = "\r\n";

/// An HTTP/1.1 message: a request or a response.
#[derive(Clone, Debug)]
pub struct HttpMessage {
    /// The start line of the message.
    pub first: String,
    /// The headers, with names in lower case.
    pub headers: HashMap<String, String>,
    /// The body of the message.
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// Reads one message; `None` if the connection ends first.
    pub fn read(from: &mut impl BufRead) -> Option<HttpMessage> {
        let mut line = || {
            let mut line = String::new();
            (from.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
        };
        let first = line()?;
        let mut headers = HashMap::new();
        loop {
            let line = line()?;
            let Some((name, value)) = line.split_once(':') else { break };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let length = headers
            .get("content-length")
            .map_or(0, |length| length.parse().expect("the content length should be a number"));
        let mut body = vec![0; length];
        from.read_exact(&mut body).ok()?;
        if headers.contains_key("transfer-encoding") {
            read_chunked_body(from, &mut body).ok()?;
        }
        Some(HttpMessage { first, headers, body })
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .expect("the response should have a status")
    }

    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// Reads a chunked body to its end; the chunks must have neither extensions nor a trailer.
fn read_chunked_body(from: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut size_line = String::new();
        from.read_line(&mut size_line)?;
        let size = usize::from_str_radix(size_line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let start = body.len();
        body.resize(start + size, 0);
        from.read_exact(&mut body[start..])?;
        from.read_exact(&mut [0; LINE_END.len()])?;
        if size == 0 {
            return Ok(());
        }
    }
}
