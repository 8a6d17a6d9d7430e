//! A TCP relay in the link between two gateways. It cuts, delays, limits and resets the traffic, each direction independently.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// One direction of a relayed link.
#[derive(Default)]
pub struct LinkDirection {
    /// Number of active cuts. Above 0 nothing is forwarded: data waits in the relay and is not lost.
    pub active_cuts: Cell<u32>,
    /// Ranges of an added delay, of which the last one applies; the delay of each piece of data is drawn from that range.
    pub delay_ranges: RefCell<Vec<(Duration, Duration)>>,
    /// Limit of the direction's throughput, in bytes a second; none for no limit.
    pub max_bytes_per_s: Cell<Option<u64>>,
    random_state: Cell<u64>,
    cut_ended: Notify,
}

impl LinkDirection {
    /// The delay of the next piece of data, if the direction is delayed. Each direction has a random sequence of its own.
    fn delay(&self) -> Option<Duration> {
        let (min_delay, max_delay) = self.delay_ranges.borrow().last().copied()?;
        let random_state = weldworks_balancer::mix(self.random_state.get());
        self.random_state.set(random_state);
        Some(min_delay + (max_delay - min_delay).mul_f64((random_state >> 11) as f64 / (1u64 << 53) as f64))
    }

    /// Ends one of the active cuts of this direction of the link.
    pub fn end_cut(&self) {
        self.active_cuts.set(self.active_cuts.get().saturating_sub(1));
        if self.active_cuts.get() == 0 {
            self.cut_ended.notify_waiters();
        }
    }

    async fn wait_for_cuts_to_end(&self) {
        while self.active_cuts.get() > 0 {
            // The timeout checks the number of cuts again even if the notification that a cut has ended was missed.
            let _ = tokio::time::timeout(Duration::from_millis(20), self.cut_ended.notified()).await;
        }
    }
}

/// A relay, which forwards each connection made to it to the process that is its target at that moment.
pub struct Relay {
    /// Address at which the relay accepts connections.
    pub address: SocketAddr,
    /// The direction from the side that opens the connection to the side that accepts it.
    pub forward: Rc<LinkDirection>,
    /// The direction from the side that accepts the connection back to the side that opens it.
    pub reverse: Rc<LinkDirection>,
    /// Address to which the relay forwards connections; while there is none, it closes them at once.
    pub target: Rc<Cell<Option<SocketAddr>>>,
    resets: Rc<Notify>,
}

impl Relay {
    /// Starts a relay that has no target yet.
    ///
    /// # Errors
    /// If no port is available.
    pub async fn start(seed: u64) -> io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let relay = Relay {
            address,
            forward: Rc::default(),
            reverse: Rc::default(),
            target: Rc::default(),
            resets: Rc::default(),
        };
        relay.forward.random_state.set(seed);
        relay.reverse.random_state.set(!seed);
        let (forward, reverse) = (relay.forward.clone(), relay.reverse.clone());
        let (target, resets) = (relay.target.clone(), relay.resets.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let Some(destination) = target.get() else { continue };
                let (forward, reverse, resets) = (forward.clone(), reverse.clone(), resets.clone());
                spawn_local(async move {
                    tokio::select! {
                        () = forward_connection(stream, destination, &forward, &reverse) => {}
                        () = resets.notified() => {}
                    }
                });
            }
        });
        Ok(relay)
    }

    /// Closes all connections that the relay is forwarding at this moment.
    pub fn reset(&self) {
        self.resets.notify_waiters();
    }
}

async fn forward_connection(
    caller: TcpStream,
    to: SocketAddr,
    forward: &LinkDirection,
    reverse: &LinkDirection,
) {
    let Ok(callee) = TcpStream::connect(to).await else { return };
    let _ = (caller.set_nodelay(true), callee.set_nodelay(true));
    let (from_caller, to_caller) = caller.into_split();
    let (from_callee, to_callee) = callee.into_split();
    tokio::join!(
        forward_bytes(from_caller, to_callee, forward),
        forward_bytes(from_callee, to_caller, reverse)
    );
}

async fn forward_bytes(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, direction: &LinkDirection) {
    let mut bytes = vec![0; 16 << 10];
    loop {
        // Under a throughput limit each read takes at most what may pass in 50 ms.
        let max_read = direction
            .max_bytes_per_s
            .get()
            .map_or(bytes.len(), |rate| (rate as usize / 20).clamp(1, bytes.len()));
        let read = from.read(&mut bytes[..max_read]).await.unwrap_or(0);
        direction.wait_for_cuts_to_end().await; // a cut holds back the end of a connection too
        if read == 0 {
            let _ = to.shutdown().await;
            return;
        }
        if let Some(delay) = direction.delay() {
            sleep(delay).await;
            direction.wait_for_cuts_to_end().await;
        }
        if let Some(rate) = direction.max_bytes_per_s.get() {
            sleep(Duration::from_secs_f64(read as f64 / rate as f64)).await;
        }
        if to.write_all(&bytes[..read]).await.is_err() {
            return;
        }
    }
}
