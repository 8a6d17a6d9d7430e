//! A relay in a link: it cuts, delays, limits, holds and resets what passes, each way by itself.

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

/// One direction.
#[derive(Default)]
pub struct Way {
    /// Nothing passes while this is above 0; it waits, as in a network that has lost its way.
    pub cut: Cell<u32>,
    /// What passes comes this much later, drawn for each piece.
    pub slow: RefCell<Vec<(Duration, Duration)>>,
    /// So many bytes pass in a second at most.
    pub thin: Cell<Option<u64>>,
    draw: Cell<u64>,
    healed: Notify,
}

impl Way {
    /// The delay of the next piece, where there is one: by a sequence of this direction's own.
    fn delay(&self) -> Option<Duration> {
        let (least, most) = self.slow.borrow().last().copied()?;
        let draw = weldworks_balancer::mix(self.draw.get());
        self.draw.set(draw);
        Some(least + (most - least).mul_f64((draw >> 11) as f64 / (1u64 << 53) as f64))
    }

    /// One cut fewer.
    pub fn heal(&self) {
        self.cut.set(self.cut.get().saturating_sub(1));
        if self.cut.get() == 0 {
            self.healed.notify_waiters();
        }
    }

    async fn open(&self) {
        while self.cut.get() > 0 {
            // Looked at again by itself too, so that no wake-up can be missed.
            let _ = tokio::time::timeout(Duration::from_millis(20), self.healed.notified()).await;
        }
    }
}

/// A relay: who calls it is passed on to whoever it stands for at that moment.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    /// From the caller to the one called.
    pub there: Rc<Way>,
    /// And back.
    pub back: Rc<Way>,
    /// Where it passes connections on to; to nobody where none.
    pub target: Rc<Cell<Option<SocketAddr>>>,
    resets: Rc<Notify>,
}

impl Relay {
    /// A relay that stands for nobody yet.
    ///
    /// # Errors
    /// Where no port is to be had.
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

    /// Ends all connections that pass at this moment.
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
        // A twentieth of a second's worth at a time.
        let most = way.thin.get().map_or(bytes.len(), |rate| (rate as usize / 20).clamp(1, bytes.len()));
        let read = from.read(&mut bytes[..most]).await.unwrap_or(0);
        way.open().await; // an end does not pass a cut either
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
