//! The connections to the other gateways. TCP, each frame behind its length (`tokio-util`'s codec), written with `postcard`. The link is
//! neither signed nor encrypted.
//!
//! A peer that does not take what is for it costs a bounded queue: beyond it the connection ends, and what it missed it gets from the
//! council's log or as a whole when it is back.

use super::Fleet;
use crate::transport::stream::Stream;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{split, ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tracing::{info, warn};
use weldworks_fleet::membership::LinkFailure;
use weldworks_fleet::node::PeerProcess;
use weldworks_fleet::protocol::{self, Caller, Frame, Hello, ProtocolError, MAX_FRAME_BYTES};
use weldworks_fleet::settings::Peer;
use weldworks_fleet::version::GatewayName;

/// Connections of staff at a time.
pub(super) const STAFF: usize = 8;
/// A connection that is not up, or has not said hello, by then is given up.
const HELLO: Duration = Duration::from_millis(1000);
/// The wait before the first new try, and the longest.
const AGAIN: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(1600));
/// The most that waits for one peer.
const QUEUE_FRAMES: usize = 4096;
/// The same in bytes, for a member of the council: a whole register and what comes behind it.
const MEMBER_BYTES: usize = MAX_FRAME_BYTES + (4 << 20);
/// And for any other gateway, which gets news alone: hundreds of them may be slow at once.
const OTHER_BYTES: usize = 256 << 10;
/// The same fault of the same caller is told so often.
const TELL_AGAIN: Duration = Duration::from_secs(10);
/// While the address is another process's, it is tried this often.
const BIND_AGAIN: Duration = Duration::from_millis(200);

pub(super) type Reader = FramedRead<ReadHalf<Stream>, LengthDelimitedCodec>;
pub(super) type Writer = FramedWrite<WriteHalf<Stream>, LengthDelimitedCodec>;

/// What waits for one peer.
#[derive(Default)]
struct Queue {
    most: usize,
    frames: RefCell<VecDeque<Bytes>>,
    bytes: Cell<usize>,
    more: Notify,
    end: Notify,
    over: Cell<bool>,
}

impl Queue {
    fn push(&self, bytes: Vec<u8>) {
        let waiting = self.bytes.get() + bytes.len();
        let mut frames = self.frames.borrow_mut();
        if waiting > self.most || frames.len() >= QUEUE_FRAMES {
            return self.close();
        }
        self.bytes.set(waiting);
        frames.push_back(bytes.into());
        self.more.notify_one();
    }

    fn close(&self) {
        self.over.set(true);
        self.end.notify_one();
    }

    async fn next(&self) -> Bytes {
        loop {
            if let Some(frame) = self.frames.borrow_mut().pop_front() {
                self.bytes.set(self.bytes.get() - frame.len());
                return frame;
            }
            self.more.notified().await;
        }
    }
}

/// The links that are up, one a peer.
#[derive(Default)]
pub(super) struct Links {
    up: BTreeMap<GatewayName, Rc<Queue>>,
    /// When what was last told of whom.
    told: BTreeMap<String, (String, Instant)>,
}

impl Links {
    /// Puts a frame behind what waits for a peer.
    pub(super) fn send(&mut self, to: &str, frame: &Frame) {
        let Some(queue) = self.up.get(to) else { return };
        match protocol::encode_frame(frame) {
            Some(bytes) => queue.push(bytes),
            None => warn!(peer = to, "fleet: a frame is longer than the link allows and was not sent"),
        }
    }

    /// Ends the link to a peer.
    pub(super) fn end(&mut self, peer: &str) {
        if let Some(queue) = self.up.get(peer) {
            queue.close();
        }
    }

    /// Tells of a fault, once in a while.
    fn fault(&mut self, whose: &str, what: &str) {
        let now = Instant::now();
        let known = self.told.get(whose).is_some_and(|(told, at)| told == what && now - *at < TELL_AGAIN);
        if known {
            return;
        }
        if self.told.len() > 256 {
            self.told.clear();
        }
        self.told.insert(whose.to_owned(), (what.to_owned(), now));
        warn!(peer = whose, "fleet: {what}");
    }
}

/// Listens on the link's address.
pub(super) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}

/// Listens as soon as the process that is replaced has let go of the address.
pub(super) async fn listen_later(fleet: Rc<Fleet>) {
    info!(address = %fleet.settings.listen, "fleet: another process has the link's address still; waiting for it");
    loop {
        sleep(BIND_AGAIN).await;
        if let Ok(listener) = bind(fleet.settings.listen) {
            return answer(fleet, listener).await;
        }
    }
}

fn framed(stream: TcpStream) -> (Reader, Writer) {
    let _ = stream.set_nodelay(true);
    let (read, write) = split(Stream::new(stream));
    let codec = || LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    (FramedRead::new(read, codec()), FramedWrite::new(write, codec()))
}

async fn hello(reader: &mut Reader) -> Result<Bytes, String> {
    match timeout(HELLO, reader.next()).await {
        Ok(Some(Ok(bytes))) => Ok(bytes.freeze()),
        Ok(Some(Err(error))) => Err(ProtocolError::NotAFrame(error.to_string()).to_string()),
        Ok(None) => Err("the connection ended before it said hello".to_owned()),
        Err(_) => Err(format!("no hello within {HELLO:?}")),
    }
}

impl Fleet {
    fn own_hello(&self, to: &str) -> Option<Bytes> {
        let (name, terms) = (self.settings.gateway.clone(), self.terms);
        let caller = Caller::Gateway {
            name,
            process: self.agent.borrow().process(),
            voter: self.voter,
            agreement_digest: terms,
        };
        protocol::encode_frame(&Hello::new(&self.settings.name, caller, to)).map(Bytes::from)
    }

    fn greet(&self, bytes: &[u8], known: &dyn Fn(&str) -> bool) -> Result<Caller, ProtocolError> {
        protocol::accept_hello(bytes, &self.settings.name, &self.settings.gateway, self.terms, known)
    }

    fn fault(&self, whose: &str, what: &str) {
        self.links.borrow_mut().fault(whose, what);
    }
}

/// Accepts the others' connections for as long as it runs.
pub(super) async fn answer(fleet: Rc<Fleet>, listener: TcpListener) {
    if let Ok(address) = listener.local_addr() {
        info!(%address, "fleet: the link listens");
    }
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(BIND_AGAIN).await;
            continue;
        };
        // Beyond that many there is somebody who should not be there, or comes again and again.
        if open.get() >= fleet.settings.peers.len() + STAFF {
            fleet.fault("anyone", "more connections to the link than there are peers; the newest is closed");
            continue;
        }
        open.set(open.get() + 1);
        let (fleet, open) = (fleet.clone(), open.clone());
        spawn_local(async move {
            if let Err(why) = welcome(&fleet, stream).await {
                fleet.fault(&from.ip().to_string(), &why);
            }
            open.set(open.get() - 1);
        });
    }
}

/// Takes a connection in.
async fn welcome(fleet: &Rc<Fleet>, stream: TcpStream) -> Result<(), String> {
    let (mut reader, mut writer) = framed(stream);
    let said = hello(&mut reader).await?;
    let known = |name: &str| fleet.settings.peers.iter().any(|p| p.name == name);
    let caller = fleet.greet(&said, &known).map_err(|e| e.to_string())?;
    let to = match &caller {
        Caller::Gateway { name, process, .. } => {
            if !fleet.agent.borrow().admits_peer(fleet.now(), name, *process) {
                return Err(ProtocolError::DuplicatePeer(name.clone()).to_string());
            }
            name.clone()
        }
        Caller::Administrator => String::new(),
    };
    let answer = fleet.own_hello(&to).unwrap_or_default();
    let sent = timeout(HELLO, writer.send(answer)).await;
    sent.map_err(|_| "its hello can't be answered".to_owned())?.map_err(|e| e.to_string())?;
    match caller {
        Caller::Gateway { name, process, voter, .. } => {
            link(fleet, &name, PeerProcess { process, voter }, reader, writer).await
        }
        Caller::Administrator => super::admin::serve(fleet, reader, writer).await,
    }
}

/// Calls a peer for as long as it runs.
pub(super) async fn call(fleet: Rc<Fleet>, peer: Peer) {
    let mut wait = AGAIN.0;
    let mut draw = fastrand::Rng::new();
    loop {
        let began = Instant::now();
        if let Err((down, why)) = dial(&fleet, &peer).await {
            if let Some(why) = why {
                fleet.fault(&peer.name, &why);
            }
            fleet.step(|agent, now, out| agent.link_down(now, &peer.name, down, out));
        }
        // One that held for a while is no reason for patience.
        wait = if began.elapsed() > AGAIN.1 { AGAIN.0 } else { (wait * 2).min(AGAIN.1) };
        sleep(wait.mul_f64(0.5 + 0.5 * draw.f64())).await;
    }
}

type Failed = (LinkFailure, Option<String>);

async fn dial(fleet: &Rc<Fleet>, peer: &Peer) -> Result<(), Failed> {
    let broken = |why: String| (LinkFailure::Broken, Some(why));
    let stream = match timeout(HELLO, TcpStream::connect(peer.address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            return Err((LinkFailure::Refused, None))
        }
        Ok(Err(_)) | Err(_) => return Err((LinkFailure::Broken, None)),
    };
    let (mut reader, mut writer) = framed(stream);
    let own = fleet.own_hello(&peer.name).unwrap_or_default();
    match timeout(HELLO, writer.send(own)).await {
        Ok(Ok(())) => {}
        _ => return Err((LinkFailure::Broken, None)),
    }
    // One that turns this process away says nothing and closes; its own log says why.
    let Ok(said) = hello(&mut reader).await else { return Err((LinkFailure::Broken, None)) };
    let caller = fleet.greet(&said, &|name| name == peer.name).map_err(|e| broken(e.to_string()))?;
    let Caller::Gateway { process, voter, .. } = caller else { return Err((LinkFailure::Broken, None)) };
    // A link that was up tells of its end by itself.
    let _ = link(fleet, &peer.name, PeerProcess { process, voter }, reader, writer).await;
    Ok(())
}

/// Carries frames both ways until the connection ends.
async fn link(
    fleet: &Rc<Fleet>,
    name: &str,
    process: PeerProcess,
    mut reader: Reader,
    mut writer: Writer,
) -> Result<(), String> {
    let member = fleet.settings.peers.iter().any(|p| p.is_voter && p.name == name);
    let most = if member { MEMBER_BYTES } else { OTHER_BYTES };
    let queue = Rc::new(Queue { most, ..Queue::default() });
    if let Some(before) = fleet.links.borrow_mut().up.insert(name.to_owned(), queue.clone()) {
        before.close();
    }
    fleet.step(|agent, now, out| agent.link_up(now, name, process, out));
    let writing = async {
        loop {
            let frame = queue.next().await;
            if writer.feed(frame).await.is_err() {
                return;
            }
            while let Some(frame) = next_now(&queue) {
                if writer.feed(frame).await.is_err() {
                    return;
                }
            }
            if SinkExt::<Bytes>::flush(&mut writer).await.is_err() {
                return;
            }
        }
    };
    let reading = async {
        while let Some(bytes) = reader.next().await {
            let bytes = match bytes {
                Ok(bytes) => bytes,
                Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                    return Err(ProtocolError::NotAFrame(error.to_string()).to_string());
                }
                Err(_) => return Ok(()),
            };
            let frame = protocol::decode_frame(&bytes).map_err(|e| e.to_string())?;
            if queue.over.get() {
                return Ok(());
            }
            fleet.step(|agent, now, out| agent.receive(now, name, frame, out));
        }
        Ok(())
    };
    let ended = tokio::select! {
        () = writing => Ok(()),
        read = reading => read,
        () = queue.end.notified() => Ok(()),
    };
    let current = {
        let mut links = fleet.links.borrow_mut();
        let current = links.up.get(name).is_some_and(|up| Rc::ptr_eq(up, &queue));
        if current {
            links.up.remove(name);
        }
        current
    };
    // Another connection may have taken its place, and is up.
    if current {
        fleet.step(|agent, now, out| agent.link_down(now, name, LinkFailure::Broken, out));
    }
    ended
}

fn next_now(queue: &Queue) -> Option<Bytes> {
    let frame = queue.frames.borrow_mut().pop_front()?;
    queue.bytes.set(queue.bytes.get() - frame.len());
    Some(frame)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A peer that takes nothing costs what may wait for it, and its link.
    #[test]
    fn a_queue_is_bounded_in_bytes_and_frames_and_ends_beyond() {
        let queue = Queue { most: 1000, ..Queue::default() };
        for _ in 0..10 {
            queue.push(vec![0; 100]);
        }
        assert!(!queue.over.get() && queue.bytes.get() == 1000);
        queue.push(vec![0; 1]);
        assert!(queue.over.get() && queue.bytes.get() == 1000, "nothing more is held");
        assert_eq!(next_now(&queue).map(|f| f.len()), Some(100));
        assert_eq!(queue.bytes.get(), 900);
        let queue = Queue { most: usize::MAX, ..Queue::default() };
        for _ in 0..=QUEUE_FRAMES {
            queue.push(Vec::new());
        }
        assert!(queue.over.get() && queue.frames.borrow().len() == QUEUE_FRAMES);
    }
}
