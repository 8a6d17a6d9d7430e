//! What operators may set, as the table `[fleet]` of their file.

use crate::audit::RetentionLimits;
use crate::lease::Lease;
use crate::version::GatewayName;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use weldworks_config::{Bytes, Choice, Table};

/// The most gateways of one fleet.
pub const MAX_PEERS: usize = 1000;

/// What a gateway does that has no session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WithoutSessionPolicy {
    /// It serves, as without a fleet; what it does is booked as done alone.
    #[default]
    Serve,
    /// It takes no client and refuses.
    Reject,
}

impl Choice for WithoutSessionPolicy {
    const CHOICES: &'static [(&'static str, WithoutSessionPolicy)] =
        &[("serve", WithoutSessionPolicy::Serve), ("refuse", WithoutSessionPolicy::Reject)];
}

/// A gateway of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: GatewayName,
    /// Where its link listens.
    pub address: SocketAddr,
    /// Whether it has a seat in the council.
    pub is_voter: bool,
}

/// When a gateway that lags is shut out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LagPolicy {
    /// It is behind when its list is older by this many versions or more.
    pub max_list_lag: u64,
    /// One that stays behind for so long is shut out.
    pub max_lag_duration: Duration,
    /// At most this part of the sessions is shut out at once.
    pub max_fenced_fraction: f64,
}

impl LagPolicy {
    /// The text that the fleet's digest is taken of. Gateways of other builds compare that digest, so the text keeps the names of
    /// version 0.2.0 whatever the fields are called here.
    fn digest_text(&self) -> String {
        format!(
            "Stragglers {{ versions: {:?}, time: {:?}, most: {:?} }}",
            self.max_list_lag, self.max_lag_duration, self.max_fenced_fraction
        )
    }
}

/// The table.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// The fleet's name: gateways of another are turned away.
    pub name: String,
    /// This gateway's name.
    pub gateway: GatewayName,
    /// Where its link listens; its own entry among the peers, unless said otherwise.
    pub listen: SocketAddr,
    /// All gateways of the fleet, this one among them.
    pub peers: Vec<Peer>,
    /// Whose numbers the indices of the list are; by default the address of discovery.
    pub lineage: Option<String>,
    /// Sessions.
    pub lease: Lease,
    /// What is done without one.
    pub without_session: WithoutSessionPolicy,
    /// Those that lag.
    pub lag_policy: LagPolicy,
    /// How much of the audit's books is kept on the disk.
    pub audit_retention: RetentionLimits,
    /// Where a council member keeps its vote and log, and each gateway the audit's books; without it a member that comes back is seated
    /// anew, and a process's books end with it.
    pub state_folder: Option<PathBuf>,
}

impl FleetSettings {
    /// Reads the table; what is wrong is noted there.
    pub fn read(table: &Table<'_, '_>) -> FleetSettings {
        let long = Duration::from_secs(600);
        let name: String = table.require("name").unwrap_or_default();
        let gateway: String = table.require("gateway").unwrap_or_default();
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut peers = Vec::new();
        for entry in table.tables("peer") {
            let peer = Peer {
                name: entry.require("name").unwrap_or_default(),
                address: entry.require("address").unwrap_or(nowhere),
                is_voter: entry.get_or("council", false),
            };
            if peers.iter().any(|p: &Peer| p.name == peer.name && !p.name.is_empty()) {
                entry.report("name", "is there twice: each gateway has one entry");
            }
            entry.finish();
            peers.push(peer);
        }
        let own = peers.iter().find(|p| p.name == gateway);
        if own.is_none() && !gateway.is_empty() {
            table.report("gateway", "is not among the peers: add a [[fleet.peer]] with this name");
        }
        let listen = table.get("listen").or(own.map(|p| p.address)).unwrap_or(nowhere);
        let council = peers.iter().filter(|p| p.is_voter).count();
        if !matches!(council, 3 | 5) {
            table.report(
                "peer",
                format!("{council} of them have council = true: a council has 3 or 5, so that a majority is left when 1 or 2 are lost"),
            );
        }
        if peers.len() > MAX_PEERS {
            table.report("peer", format!("{} gateways: a fleet has {MAX_PEERS} at most", peers.len()));
        }
        if name.is_empty() || name.len() > 64 {
            table.report("name", "has 1 to 64 letters");
        }
        let books = RetentionLimits::default();
        let settings = FleetSettings {
            listen,
            lineage: table.get("lineage"),
            lease: Lease {
                length: table.get_in_range(
                    "lease",
                    Duration::from_millis(500)..=long,
                    Duration::from_secs(3),
                ),
                margin: table.get_in_range("margin", 0.001..=0.2, 0.02),
            },
            without_session: table.get_or("alone", WithoutSessionPolicy::default()),
            lag_policy: LagPolicy {
                max_list_lag: table.get_in_range("behind", 1..=1_000_000, 3),
                max_lag_duration: table.get_in_range(
                    "behind_for",
                    Duration::from_millis(500)..=long,
                    Duration::from_secs(5),
                ),
                max_fenced_fraction: table.get_in_range("shut_out_most", 0.0..=0.5, 0.2),
            },
            audit_retention: RetentionLimits {
                max_bytes: table
                    .get_in_range("audit_size", Bytes(1 << 20)..=Bytes(64 << 30), Bytes(books.max_bytes))
                    .0,
                max_age: table.get_in_range(
                    "audit_age",
                    Duration::from_secs(60)..=Duration::from_secs(366 * 86_400),
                    books.max_age,
                ),
            },
            state_folder: table.get::<String>("state").map(PathBuf::from),
            name,
            gateway,
            peers,
        };
        table.finish();
        settings
    }

    /// The peers with a seat, in the order of their names: what every gateway computes alike.
    pub fn voters(&self) -> Vec<&Peer> {
        let mut council: Vec<&Peer> = self.peers.iter().filter(|p| p.is_voter).collect();
        council.sort_by(|a, b| a.name.cmp(&b.name));
        council
    }

    /// A digest of what all gateways of the fleet have to agree on.
    pub fn digest(&self) -> u64 {
        let council: Vec<_> = self.voters().iter().map(|p| p.name.as_str()).collect();
        crate::version::digest(
            format!("{} {council:?} {:?} {}", self.name, self.lease, self.lag_policy.digest_text())
                .as_bytes(),
        )
    }
}
