//! The `[fleet]` table of the operator's file.

use crate::audit::RetentionLimits;
use crate::lease::Lease;
use crate::version::{digest, GatewayName};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;
use weldworks_config::{Bytes, Choice, Table};

/// Maximum number of gateways in a fleet.
pub const MAX_PEERS: usize = 1000;
/// Maximum length of a fleet's name, in bytes.
const MAX_FLEET_NAME_BYTES: usize = 64;

/// Permitted lengths of the lease.
const LEASE_LENGTH_RANGE: RangeInclusive<Duration> = Duration::from_millis(500)..=Duration::from_secs(600);
/// Permitted clock margins, as fractions of the lease length.
const LEASE_MARGIN_RANGE: RangeInclusive<f64> = 0.001..=0.2;
/// Permitted values of [`LagPolicy::max_list_lag`], in versions.
const LIST_LAG_RANGE: RangeInclusive<u64> = 1..=1_000_000;
/// Permitted values of [`LagPolicy::max_lag_duration`].
const LAG_DURATION_RANGE: RangeInclusive<Duration> = Duration::from_millis(500)..=Duration::from_secs(600);
/// Permitted values of [`LagPolicy::max_fenced_fraction`].
const FENCED_FRACTION_RANGE: RangeInclusive<f64> = 0.0..=0.5;
/// Permitted limits on the size of the audit log on disk, in bytes.
const AUDIT_SIZE_RANGE: RangeInclusive<Bytes> = Bytes(1 << 20)..=Bytes(64 << 30);
/// Permitted limits on the age of a segment of the audit log.
const AUDIT_AGE_RANGE: RangeInclusive<Duration> = Duration::from_secs(60)..=Duration::from_secs(366 * 86_400);

/// Default lease, for settings without one.
const DEFAULT_LEASE: Lease = Lease { length: Duration::from_secs(3), margin: 0.02 };
/// Default lag policy, for settings without one.
const DEFAULT_LAG_POLICY: LagPolicy =
    LagPolicy { max_list_lag: 3, max_lag_duration: Duration::from_secs(5), max_fenced_fraction: 0.2 };

/// What a gateway without a session does with client requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WithoutSessionPolicy {
    /// The gateway serves client requests, and the audit log records that it acted without a session. This is the default.
    #[default]
    Serve,
    /// The gateway rejects client requests.
    Reject,
}

impl Choice for WithoutSessionPolicy {
    const CHOICES: &'static [(&'static str, WithoutSessionPolicy)] =
        &[("serve", WithoutSessionPolicy::Serve), ("refuse", WithoutSessionPolicy::Reject)];
}

/// A gateway of the fleet, as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the gateway.
    pub name: GatewayName,
    /// Address on which the gateway's link listens.
    pub address: SocketAddr,
    /// Whether the gateway is a member of the consensus group.
    pub is_voter: bool,
}

/// Conditions under which a lagging gateway is fenced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LagPolicy {
    /// Number of versions by which a gateway's endpoint list has to be older than the current one for the gateway to lag; 3 by default.
    pub max_list_lag: u64,
    /// Time for which a gateway has to lag before the gateway is fenced; 5 s by default.
    pub max_lag_duration: Duration,
    /// Maximum fraction of the sessions that may be fenced at the same time; 0.2 by default.
    pub max_fenced_fraction: f64,
}

impl LagPolicy {
    /// The lag policy's part of the text that [`FleetSettings::digest`] is taken of. Gateways of other builds compare that digest, so the
    /// digested text keeps the field names of version 0.2.0, whatever the fields are called now.
    fn digest_text(&self) -> String {
        format!(
            "Stragglers {{ versions: {:?}, time: {:?}, most: {:?} }}",
            self.max_list_lag, self.max_lag_duration, self.max_fenced_fraction
        )
    }
}

/// Settings of one gateway in a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Name of the fleet. Links to gateways of another fleet are rejected.
    pub name: String,
    /// Name of this gateway.
    pub gateway: GatewayName,
    /// Address on which this gateway's link listens; by default, the address in this gateway's entry among the peers.
    pub listen: SocketAddr,
    /// All gateways of the fleet, including this one.
    pub peers: Vec<Peer>,
    /// Lineage of this gateway's endpoint list; by default, the address of discovery.
    pub lineage: Option<String>,
    /// Lease of the sessions; by default 3 s long, with a clock margin of 0.02.
    pub lease: Lease,
    /// Whether this gateway serves or rejects client requests while it has no session.
    pub without_session: WithoutSessionPolicy,
    /// Conditions under which a lagging gateway is fenced.
    pub lag_policy: LagPolicy,
    /// Limits of the audit log on disk.
    pub audit_retention: RetentionLimits,
    /// Folder of the consensus store and the audit store. Without a folder, a replica that restarts has no vote until the other members add
    /// its new process, and the audit log is lost when the process ends.
    pub state_folder: Option<PathBuf>,
}

impl FleetSettings {
    /// Reads the `[fleet]` table. Errors are reported to the document that the table belongs to.
    pub fn read(table: &Table<'_, '_>) -> FleetSettings {
        let unset_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let name: String = table.require("name").unwrap_or_default();
        let gateway: String = table.require("gateway").unwrap_or_default();
        let peers = read_peers(table, unset_address);
        let own_entry = peers.iter().find(|peer| peer.name == gateway);
        if own_entry.is_none() && !gateway.is_empty() {
            table.report("gateway", "is not the name of any peer: add a [[fleet.peer]] with this name");
        }
        let listen = table.get("listen").or(own_entry.map(|peer| peer.address)).unwrap_or(unset_address);
        check_peer_counts(table, &peers);
        if name.is_empty() || name.len() > MAX_FLEET_NAME_BYTES {
            table.report("name", "must be 1 to 64 bytes long");
        }
        let settings = FleetSettings {
            listen,
            lineage: table.get("lineage"),
            lease: Lease {
                length: table.get_in_range("lease", LEASE_LENGTH_RANGE, DEFAULT_LEASE.length),
                margin: table.get_in_range("margin", LEASE_MARGIN_RANGE, DEFAULT_LEASE.margin),
            },
            without_session: table.get_or("alone", WithoutSessionPolicy::default()),
            lag_policy: read_lag_policy(table),
            audit_retention: read_retention(table),
            state_folder: table.get::<String>("state").map(PathBuf::from),
            name,
            gateway,
            peers,
        };
        table.finish();
        settings
    }

    /// Members of the consensus group, ordered by name, so that every gateway computes the same list.
    pub fn voters(&self) -> Vec<&Peer> {
        let mut voters: Vec<&Peer> = self.peers.iter().filter(|peer| peer.is_voter).collect();
        voters.sort_by(|left, right| left.name.cmp(&right.name));
        voters
    }

    /// Digest of the settings that all gateways of the fleet have to agree on.
    pub fn digest(&self) -> u64 {
        let voter_names: Vec<&str> = self.voters().iter().map(|peer| peer.name.as_str()).collect();
        let lag_policy = self.lag_policy.digest_text();
        digest(format!("{} {voter_names:?} {:?} {lag_policy}", self.name, self.lease).as_bytes())
    }
}

fn read_peers(table: &Table<'_, '_>, unset_address: SocketAddr) -> Vec<Peer> {
    let mut peers: Vec<Peer> = Vec::new();
    for entry in table.tables("peer") {
        let peer = Peer {
            name: entry.require("name").unwrap_or_default(),
            address: entry.require("address").unwrap_or(unset_address),
            is_voter: entry.get_or("council", false),
        };
        let is_duplicate = peers.iter().any(|known| known.name == peer.name);
        if is_duplicate && !peer.name.is_empty() {
            entry.report("name", "is used by two entries: each gateway must have exactly one");
        }
        entry.finish();
        peers.push(peer);
    }
    peers
}

fn check_peer_counts(table: &Table<'_, '_>, peers: &[Peer]) {
    let voter_count = peers.iter().filter(|peer| peer.is_voter).count();
    if !matches!(voter_count, 3 | 5) {
        let message = format!(
            "{voter_count} peers have council = true: the consensus group must have 3 or 5 members, to keep a majority when 1 or 2 of them fail"
        );
        table.report("peer", message);
    }
    if peers.len() > MAX_PEERS {
        table.report(
            "peer",
            format!("{} gateways are configured: a fleet has at most {MAX_PEERS}", peers.len()),
        );
    }
}

fn read_lag_policy(table: &Table<'_, '_>) -> LagPolicy {
    let default = DEFAULT_LAG_POLICY;
    LagPolicy {
        max_list_lag: table.get_in_range("behind", LIST_LAG_RANGE, default.max_list_lag),
        max_lag_duration: table.get_in_range("behind_for", LAG_DURATION_RANGE, default.max_lag_duration),
        max_fenced_fraction: table.get_in_range(
            "shut_out_most",
            FENCED_FRACTION_RANGE,
            default.max_fenced_fraction,
        ),
    }
}

fn read_retention(table: &Table<'_, '_>) -> RetentionLimits {
    let default = RetentionLimits::default();
    let max_size = table.get_in_range("audit_size", AUDIT_SIZE_RANGE, Bytes(default.max_bytes));
    RetentionLimits {
        max_bytes: max_size.0,
        max_age: table.get_in_range("audit_age", AUDIT_AGE_RANGE, default.max_age),
    }
}
