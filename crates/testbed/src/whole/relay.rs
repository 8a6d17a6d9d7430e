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
pub struct Way {
    /// Number of active cuts. Above 0 nothing is forwarded: data waits in the relay and is not lost.
    pub cut: Cell<u32>,
    /// Ranges of an added delay, of which the last one applies; the delay of each piece of data is drawn from that range.
    pub slow: RefCell<Vec<(Duration, Duration)>>,
    /// Limit of the direction's throughput, in bytes a second; none for no limit.
    pub thin: Cell<Option<u64>>,
    draw: Cell<u64>,
    healed: Notify,
}

impl Way {
    /// The delay of the next piece of data, if the direction is delayed. Each direction has a random sequence of its own.
    fn delay(&self) -> Option<Duration> {
        let (least, most) = self.slow.borrow().last().copied()?;
        let draw = weldworks_balancer::mix(self.draw.get());
        self.draw.set(draw);
        Some(least + (most - least).mul_f64((draw >> 11) as f64 / (1u64 << 53) as f64))
    }

    /// Ends one of the active cuts.
    pub fn heal(&self) {
        self.cut.set(self.cut.get().saturating_sub(1));
        if self.cut.get() == 0 {
            self.healed.notify_waiters();
        }
    }

    async fn open(&self) {
        while self.cut.get() > 0 {
            // The timeout checks the number of cuts again even if the notification that a cut has ended was missed.
            let _ = tokio::time::timeout(Duration::from_millis(20), self.healed.notified()).await;
        }
    }
}

/// A relay, which forwards each connection made to it to the process that is its target at that moment.
pub struct Relay {
    /// Address at which the relay accepts connections.
    pub address: SocketAddr,
    /// The direction from the side that opens the connection to the side that accepts it.
    pub there: Rc<Way>,
    /// The direction from the side that accepts the connection back to the side that opens it.
    pub back: Rc<Way>,
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
            there: Rc::default(),
            back: Rc::default(),
            target: Rc::default(),
            resets: Rc::default(),
        };
        relay.there.draw.set(seed);
        relay.back.draw.set(!seed);
        let (there, back) = (relay.there.clone(), relay.back.clone());
        let (target, resets) = (relay.target.clone(), relay.resets.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let Some(to) = target.get() else { continue };
                let (there, back, resets) = (there.clone(), back.clone(), resets.clone());
                spawn_local(async move {
                    tokio::select! {
                        () = pass(stream, to, &there, &back) => {}
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

async fn pass(caller: TcpStream, to: SocketAddr, there: &Way, back: &Way) {
    let Ok(called) = TcpStream::connect(to).await else { return };
    let _ = (caller.set_nodelay(true), called.set_nodelay(true));
    let (from_caller, to_caller) = caller.into_split();
    let (from_called, to_called) = called.into_split();
    tokio::join!(pump(from_caller, to_called, there), pump(from_called, to_caller, back));
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, way: &Way) {
    let mut bytes = vec![0; 16 << 10];
    loop {
        // Under a throughput limit each read takes at most what may pass in 50 ms.
        let most = way.thin.get().map_or(bytes.len(), |rate| (rate as usize / 20).clamp(1, bytes.len()));
        let read = from.read(&mut bytes[..most]).await.unwrap_or(0);
        way.open().await; // a cut holds back the end of a connection too
        if read == 0 {
            let _ = to.shutdown().await;
            return;
        }
        if let Some(delay) = way.delay() {
            sleep(delay).await;
            way.open().await;
        }
        if let Some(rate) = way.thin.get() {
            sleep(Duration::from_secs_f64(read as f64 / rate as f64)).await;
        }
        if to.write_all(&bytes[..read]).await.is_err() {
            return;
        }
    }
}
