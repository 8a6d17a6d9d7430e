//! What passes through: a request on its way to a host, and its answer on the way back.

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};

/// A client's request, as it goes on to a host.
#[derive(Debug)]
pub struct Forward {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// A host's whole answer with status 200.
#[derive(Debug)]
pub struct Answer {
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}
