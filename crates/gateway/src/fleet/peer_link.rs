//! The links to the other gateways: TCP connections that carry frames encoded with `postcard`. They are neither authenticated nor
//! encrypted.

use super::link_codec::{
    not_a_frame, read_hello, FrameReader, FrameWriter, FramedConnection, LinkError, HELLO_TIMEOUT,
};
use super::send_queue::{PeerRole, SendQueue};
use super::{admin, Fleet};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};
use tracing::info;
use weldworks_fleet::membership::LinkFailure;
use weldworks_fleet::node::PeerProcess;
use weldworks_fleet::protocol::{self, Caller, Hello, ProtocolError};
use weldworks_fleet::settings::Peer;

/// Maximum number of simultaneous connections of administrators.
pub(super) const MAX_ADMIN_CONNECTIONS: usize = 8;
/// Initial delay before a reconnect. Each failed dial, including the first, doubles the delay, and jitter takes off up to half of the
/// result: a reconnect comes 50 to 100 ms after the end of a link that was up, and 100 to 200 ms after the first failed dial.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay before a reconnect.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(1600);
/// Interval between attempts to bind the listening address while another process uses it, and delay after a failed accept.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Length of the kernel's accept queue, in connections.
const LINK_BACKLOG: u32 = 1024;

/// Why a link to a peer could not be established.
struct DialError {
    failure: LinkFailure,
    /// Why the peer's hello was not accepted, if one was received.
    error: Option<LinkError>,
}

impl From<LinkFailure> for DialError {
    fn from(failure: LinkFailure) -> DialError {
        DialError { failure, error: None }
    }
}

/// Binds the link's address and listens on it.
pub(super) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LINK_BACKLOG)
}

/// Accepts links once the predecessor process has released the listening address, until the future is dropped. Any other error of binding
/// is retried as well, and not logged.
pub(super) async fn bind_and_accept(fleet: Rc<Fleet>) {
    info!(address = %fleet.settings.listen, "fleet: link address in use by another process, waiting for it");
    loop {
        sleep(BIND_RETRY_INTERVAL).await;
        if let Ok(listener) = bind(fleet.settings.listen) {
            return accept(fleet, listener).await;
        }
    }
}

impl Fleet {
    /// Encodes the hello that this gateway sends to `addressee`.
    fn own_hello(&self, addressee: &str) -> Option<Bytes> {
        let caller = Caller::Gateway {
            name: self.settings.gateway.clone(),
            process: self.node.borrow().process(),
            voter: self.voter,
            agreement_digest: self.agreement_digest,
        };
        protocol::encode_frame(&Hello::new(&self.settings.name, caller, addressee)).map(Bytes::from)
    }

    /// Checks the hello of another gateway or of an administrator, and returns the caller.
    fn check_hello(&self, bytes: &[u8], is_known: &dyn Fn(&str) -> bool) -> Result<Caller, ProtocolError> {
        let own_name = &self.settings.gateway;
        protocol::accept_hello(bytes, &self.settings.name, own_name, self.agreement_digest, is_known)
    }

    fn log_link_failure(&self, peer: &str, error: &str) {
        self.links.borrow_mut().log_failure(peer, error);
    }

    fn role_of(&self, peer: &str) -> PeerRole {
        if self.settings.peers.iter().any(|other| other.is_voter && other.name == peer) {
            PeerRole::Voter
        } else {
            PeerRole::Other
        }
    }
}

/// Accepts connections of gateways and administrators until the future is dropped.
pub(super) async fn accept(fleet: Rc<Fleet>, listener: TcpListener) {
    if let Ok(address) = listener.local_addr() {
        info!(%address, "fleet: the link listens");
    }
    let open_connections = Rc::new(Cell::new(0_usize));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(BIND_RETRY_INTERVAL).await;
            continue;
        };
        // Connections beyond this limit come from unknown callers, or from one that reconnects endlessly. Closing them bounds the number of
        // file descriptors that the link uses.
        if open_connections.get() >= fleet.settings.peers.len() + MAX_ADMIN_CONNECTIONS {
            let error = "more connections to the link than peers and administrators, closing the newest";
            fleet.log_link_failure("unknown", error);
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let fleet = fleet.clone();
        let open_connections = open_connections.clone();
        spawn_local(async move {
            if let Err(error) = serve_caller(&fleet, stream).await {
                fleet.log_link_failure(&from.ip().to_string(), &error.to_string());
            }
            open_connections.set(open_connections.get() - 1);
        });
    }
}

/// Serves an accepted connection of a gateway or an administrator until the connection ends.
async fn serve_caller(fleet: &Rc<Fleet>, stream: TcpStream) -> Result<(), LinkError> {
    let FramedConnection { mut reader, mut writer } = FramedConnection::new(stream);
    let hello = read_hello(&mut reader).await?;
    let is_known = |name: &str| fleet.settings.peers.iter().any(|peer| peer.name == name);
    let caller = fleet.check_hello(&hello, &is_known)?;
    let addressee = match &caller {
        Caller::Gateway { name, process, .. } => {
            if !fleet.node.borrow().admits_peer(fleet.now(), name, *process) {
                return Err(ProtocolError::DuplicatePeer(name.clone()).into());
            }
            name.clone()
        }
        Caller::Administrator => String::new(),
    };
    let own_hello = fleet.own_hello(&addressee).unwrap_or_default();
    let sent = timeout(HELLO_TIMEOUT, writer.send(own_hello)).await;
    sent.map_err(|_| LinkError::HelloNotAnswered)??;
    match caller {
        Caller::Gateway { name, process, voter, .. } => {
            run_link(fleet, &name, PeerProcess { process, voter }, reader, writer).await
        }
        Caller::Administrator => admin::serve(fleet, reader, writer).await,
    }
}

/// Connects to a peer, and reconnects whenever the link ends, until the future is dropped.
pub(super) async fn keep_connected(fleet: Rc<Fleet>, peer: Peer) {
    let mut delay = MIN_RECONNECT_DELAY;
    let mut jitter = fastrand::Rng::new();
    loop {
        let started = Instant::now();
        if let Err(DialError { failure, error }) = dial(&fleet, &peer).await {
            if let Some(error) = error {
                fleet.log_link_failure(&peer.name, &error.to_string());
            }
            fleet.step(|node, now, actions| node.link_down(now, &peer.name, failure, actions));
        }
        // A link that was up for longer than the maximum delay resets the backoff.
        let was_up = started.elapsed() > MAX_RECONNECT_DELAY;
        delay = if was_up { MIN_RECONNECT_DELAY } else { (delay * 2).min(MAX_RECONNECT_DELAY) };
        sleep(delay.mul_f64(0.5 + 0.5 * jitter.f64())).await;
    }
}

/// Connects to a peer and runs the link until the connection ends. A refused or timed-out dial is reported to the node and not logged
/// here.
async fn dial(fleet: &Rc<Fleet>, peer: &Peer) -> Result<(), DialError> {
    let stream = match timeout(HELLO_TIMEOUT, TcpStream::connect(peer.address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            return Err(LinkFailure::Refused.into());
        }
        Ok(Err(_)) | Err(_) => return Err(LinkFailure::Broken.into()),
    };
    let FramedConnection { mut reader, mut writer } = FramedConnection::new(stream);
    let own_hello = fleet.own_hello(&peer.name).unwrap_or_default();
    let Ok(Ok(())) = timeout(HELLO_TIMEOUT, writer.send(own_hello)).await else {
        return Err(LinkFailure::Broken.into());
    };
    // A peer that rejects this process closes the connection without a hello, and logs the reason itself.
    let Ok(hello) = read_hello(&mut reader).await else {
        return Err(LinkFailure::Broken.into());
    };
    let caller = fleet
        .check_hello(&hello, &|name| name == peer.name)
        .map_err(|error| DialError { failure: LinkFailure::Broken, error: Some(error.into()) })?;
    let Caller::Gateway { process, voter, .. } = caller else {
        return Err(LinkFailure::Broken.into());
    };
    // The result is ignored, because `run_link` has already reported the end of the link to the node.
    let _ = run_link(fleet, &peer.name, PeerProcess { process, voter }, reader, writer).await;
    Ok(())
}

/// Carries frames in both directions until the connection ends or the link is closed.
async fn run_link(
    fleet: &Rc<Fleet>,
    peer: &str,
    remote: PeerProcess,
    mut reader: FrameReader,
    mut writer: FrameWriter,
) -> Result<(), LinkError> {
    let queue = Rc::new(SendQueue::new(fleet.role_of(peer)));
    fleet.links.borrow_mut().insert(peer, queue.clone());
    fleet.step(|node, now, actions| node.link_up(now, peer, remote, actions));
    let result = tokio::select! {
        () = write_frames(&queue, &mut writer) => Ok(()),
        result = receive_frames(fleet, peer, &queue, &mut reader) => result,
        () = queue.wait_until_closed() => Ok(()),
    };
    let was_current = fleet.links.borrow_mut().remove(peer, &queue);
    // If this link was not the current one, another connection to the peer has replaced it and the peer is still linked.
    if was_current {
        fleet.step(|node, now, actions| node.link_down(now, peer, LinkFailure::Broken, actions));
    }
    result
}

/// Writes queued frames to the connection until the connection fails. All frames that are queued at a time share one flush.
async fn write_frames(queue: &SendQueue, writer: &mut FrameWriter) {
    loop {
        let frame = queue.next().await;
        if writer.feed(frame).await.is_err() {
            return;
        }
        while let Some(frame) = queue.try_next() {
            if writer.feed(frame).await.is_err() {
                return;
            }
        }
        if SinkExt::<Bytes>::flush(writer).await.is_err() {
            return;
        }
    }
}

/// Passes received frames to the node until the connection ends or the link is closed.
async fn receive_frames(
    fleet: &Rc<Fleet>,
    peer: &str,
    queue: &SendQueue,
    reader: &mut FrameReader,
) -> Result<(), LinkError> {
    while let Some(bytes) = reader.next().await {
        let bytes = match bytes {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::InvalidData => return Err(not_a_frame(&error)),
            Err(_) => return Ok(()),
        };
        let frame = protocol::decode_frame(&bytes)?;
        if queue.is_closed() {
            return Ok(());
        }
        fleet.step(|node, now, actions| node.receive(now, peer, frame, actions));
    }
    Ok(())
}
