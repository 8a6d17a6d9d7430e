//! What operators may set, as the table `[fleet]` of their file.

use crate::audit::pages::Bounds;
use crate::clock::Lease;
use crate::version::Name;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use weldworks_config::{Bytes, Named, Table};

/// The most gateways of one fleet.
pub const MOST: usize = 1000;

/// What a gateway does that has no session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Alone {
    /// It serves, as without a fleet; what it does is booked as done alone.
    #[default]
    Serve,
    /// It takes no client and refuses.
    Refuse,
}

impl Named for Alone {
    const WORDS: &'static [(&'static str, Alone)] = &[("serve", Alone::Serve), ("refuse", Alone::Refuse)];
}

/// A gateway of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: Name,
    /// Where its link listens.
    pub address: SocketAddr,
    /// Whether it has a seat in the council.
    pub council: bool,
}

/// When a gateway that lags is shut out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stragglers {
    /// It is behind when its list is older by this many versions or more.
    pub versions: u64,
    /// One that stays behind for so long is shut out.
    pub time: Duration,
    /// At most this part of the sessions is shut out at once.
    pub most: f64,
}

/// The table.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// The fleet's name: gateways of another are turned away.
    pub name: String,
    /// This gateway's name.
    pub gateway: Name,
    /// Where its link listens; its own entry among the peers, unless said otherwise.
    pub listen: SocketAddr,
    /// All gateways of the fleet, this one among them.
    pub peers: Vec<Peer>,
    /// Whose numbers the indices of the list are; by default the address of discovery.
    pub lineage: Option<String>,
    /// Sessions.
    pub lease: Lease,
    /// What is done without one.
    pub alone: Alone,
    /// Those that lag.
    pub stragglers: Stragglers,
    /// How much of the audit's books is kept on the disk.
    pub books: Bounds,
    /// Where a council member keeps its vote and log, and each gateway the audit's books; without it a member that comes back is seated
    /// anew, and a process's books end with it.
    pub state: Option<PathBuf>,
}

impl FleetSettings {
    /// Reads the table; what is wrong is noted there.
    pub fn read(table: &Table<'_, '_>) -> FleetSettings {
        let long = Duration::from_secs(600);
        let name: String = table.need("name").unwrap_or_default();
        let gateway: String = table.need("gateway").unwrap_or_default();
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut peers = Vec::new();
        for entry in table.tables("peer") {
            let peer = Peer {
                name: entry.need("name").unwrap_or_default(),
                address: entry.need("address").unwrap_or(nowhere),
                council: entry.or("council", false),
            };
            if peers.iter().any(|p: &Peer| p.name == peer.name && !p.name.is_empty()) {
                entry.wrong("name", "is there twice: each gateway has one entry");
            }
            entry.finish();
            peers.push(peer);
        }
        let own = peers.iter().find(|p| p.name == gateway);
        if own.is_none() && !gateway.is_empty() {
            table.wrong("gateway", "is not among the peers: add a [[fleet.peer]] with this name");
        }
        let listen = table.get("listen").or(own.map(|p| p.address)).unwrap_or(nowhere);
        let council = peers.iter().filter(|p| p.council).count();
        if !matches!(council, 3 | 5) {
            table.wrong(
                "peer",
                format!("{council} of them have council = true: a council has 3 or 5, so that a majority is left when 1 or 2 are lost"),
            );
        }
        if peers.len() > MOST {
            table.wrong("peer", format!("{} gateways: a fleet has {MOST} at most", peers.len()));
        }
        if name.is_empty() || name.len() > 64 {
            table.wrong("name", "has 1 to 64 letters");
        }
        let books = Bounds::default();
        let settings = FleetSettings {
            listen,
            lineage: table.get("lineage"),
            lease: Lease {
                length: table.within("lease", Duration::from_millis(500)..=long, Duration::from_secs(3)),
                margin: table.within("margin", 0.001..=0.2, 0.02),
            },
            alone: table.or("alone", Alone::default()),
            stragglers: Stragglers {
                versions: table.within("behind", 1..=1_000_000, 3),
                time: table.within("behind_for", Duration::from_millis(500)..=long, Duration::from_secs(5)),
                most: table.within("shut_out_most", 0.0..=0.5, 0.2),
            },
            books: Bounds {
                size: table.within("audit_size", Bytes(1 << 20)..=Bytes(64 << 30), Bytes(books.size)).0,
                age: table.within(
                    "audit_age",
                    Duration::from_secs(60)..=Duration::from_secs(366 * 86_400),
                    books.age,
                ),
            },
            state: table.get::<String>("state").map(PathBuf::from),
            name,
            gateway,
            peers,
        };
        table.finish();
        settings
    }

    /// The peers with a seat, in the order of their names: what every gateway computes alike.
    pub fn council(&self) -> Vec<&Peer> {
        let mut council: Vec<&Peer> = self.peers.iter().filter(|p| p.council).collect();
        council.sort_by(|a, b| a.name.cmp(&b.name));
        council
    }

    /// A digest of what all gateways of the fleet have to agree on.
    pub fn digest(&self) -> u64 {
        let council: Vec<_> = self.council().iter().map(|p| p.name.as_str()).collect();
        crate::version::digest(
            format!("{} {council:?} {:?} {:?}", self.name, self.lease, self.stragglers).as_bytes(),
        )
    }
}
