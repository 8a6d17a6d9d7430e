//! One HTTP/1.1 connection to an endpoint.

use super::UpstreamEndpoint;
use crate::body::RequestBody;
use crate::transport::descriptor_budget::DescriptorPermit;
use crate::transport::instrumented_stream::{InstrumentedStream, IoState};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use tokio::time::Instant;
use weldworks_balancer::EndpointId;

/// A connection to an endpoint.
///
/// The connection is driven by its owner and by no task of its own, so that dropping the connection closes the socket at once.
/// With a task of its own, the connection could stay open, and the endpoint could still process an attempt that has ended here.
pub(super) struct Connection {
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) sender: SendRequest<RequestBody>,
    pub(super) driver: Pin<Box<http1::Connection<TokioIo<InstrumentedStream>, RequestBody>>>,
    pub(super) io_state: Rc<IoState>,
    /// When the connection was put into the pool, or opened.
    pub(super) idle_since: Instant,
    pub(super) _permit: DescriptorPermit,
}

impl Connection {
    /// Whether the connection goes to the endpoint's current address.
    pub(super) fn matches_address(&self, endpoint: &UpstreamEndpoint) -> bool {
        Some(self.address) == endpoint.address.get()
    }

    /// Whether the endpoint has left the connection open and sent nothing beyond its responses, as far as the kernel knows now.
    pub(super) async fn is_open(&mut self) -> bool {
        self.io_state.is_idle.set(true);
        let is_closed = poll_fn(|cx| Poll::Ready(self.driver.as_mut().poll(cx).is_ready())).await;
        self.io_state.is_idle.set(false);
        !is_closed && self.sender.is_ready()
    }

    /// Whether nothing has been read since the connection was put into the pool.
    /// If so, a connection that has ended was closed by its endpoint, and did not end by stray bytes behind a response.
    pub(super) fn read_nothing_while_idle(&self) -> bool {
        self.io_state.last_read_at.get().is_none_or(|at| at <= self.idle_since)
    }
}
