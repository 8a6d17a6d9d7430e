//! The first frame in each direction: who calls, and whether the caller is accepted.

use super::decode_frame;
use crate::encoding;
use crate::version::{GatewayName, Incarnation};
use serde::{Deserialize, Serialize};

/// Version of the protocol; it is raised whenever a frame changes its meaning or its encoding.
pub const PROTOCOL_VERSION: u32 = 1;
/// First bytes of every hello. They distinguish a stranger from a gateway with another version.
const MAGIC: [u8; 4] = *b"OVFL";

/// The sender of a hello.
///
/// It is sent with `postcard`: the order of variants and fields stays as it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// A gateway of the fleet.
    Gateway {
        /// Its name.
        name: GatewayName,
        /// Its process.
        process: Incarnation,
        /// Process whose vote it holds: its own, or the earlier one whose stored state it restored.
        voter: Incarnation,
        /// Digest of the settings that all gateways have to agree on.
        agreement_digest: u64,
    },
    /// An administrator's command line.
    Administrator,
}

/// The first frame in each direction.
///
/// It is sent with `postcard`: the order of the fields stays as it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    magic: [u8; 4],
    /// Protocol version of the sender.
    pub version: u32,
    /// Name of the sender's fleet.
    pub fleet: String,
    /// The sender.
    pub caller: Caller,
    /// Name of the gateway that is addressed; empty if any will do.
    pub addressee: GatewayName,
}

impl Hello {
    /// Creates a hello of this build's protocol version.
    pub fn new(fleet: &str, caller: Caller, addressee: &str) -> Hello {
        Hello {
            magic: MAGIC,
            version: PROTOCOL_VERSION,
            fleet: fleet.to_owned(),
            caller,
            addressee: addressee.to_owned(),
        }
    }
}

/// Why a hello or a frame is rejected. The connection is closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The bytes are no frame of this protocol, with the description of what is wrong with them.
    #[error("what came is no frame of a fleet's link ({0}); see which program calls this port")]
    NotAFrame(String),
    /// The caller has another protocol version.
    #[error("the caller's link has version {0}, this one {PROTOCOL_VERSION}; run builds that share one")]
    VersionMismatch(u32),
    /// The caller belongs to another fleet.
    #[error("the caller belongs to the fleet {0:?}; each fleet has its own addresses")]
    OtherFleet(String),
    /// The caller is not among the configured peers.
    #[error("no peer is named {0:?}; add a [[fleet.peer]] at every gateway")]
    UnknownPeer(String),
    /// The caller meant another gateway.
    #[error("it called {0:?}, which is not who listens here; the peer's address is wrong at the caller")]
    WrongAddressee(String),
    /// Another process of the caller's name is linked and reachable.
    #[error("another process of {0:?} is linked and speaks; end one of them, or give it a name of its own")]
    DuplicatePeer(GatewayName),
    /// The caller's settings differ where all gateways have to agree, so that leases would be computed differently.
    #[error(
        "{0:?} has other terms of the fleet (council, lease, margin, stragglers); give all gateways the same"
    )]
    SettingsMismatch(GatewayName),
}

/// Magic bytes and version: the part of a hello that is the same in all versions.
type HelloPrefix = ([u8; 4], u32);

/// Decodes a hello and checks that it is addressed to the gateway `own_name` of this fleet.
///
/// `is_peer` tells whether a name is among the configured peers.
///
/// # Errors
/// [`ProtocolError`] with the reason for which the caller is rejected.
pub fn accept_hello(
    bytes: &[u8],
    fleet: &str,
    own_name: &str,
    agreement_digest: u64,
    is_peer: &dyn Fn(&str) -> bool,
) -> Result<Caller, ProtocolError> {
    // The version is read first, because what follows it may differ from version to version.
    let (magic, version): HelloPrefix =
        encoding::decode_prefix(bytes).map_err(|error| ProtocolError::NotAFrame(error.to_string()))?;
    if magic != MAGIC {
        return Err(ProtocolError::NotAFrame("it does not begin with the link's mark".to_owned()));
    }
    if version != PROTOCOL_VERSION {
        return Err(ProtocolError::VersionMismatch(version));
    }
    let hello: Hello = decode_frame(bytes)?;
    if hello.fleet != fleet {
        return Err(ProtocolError::OtherFleet(hello.fleet));
    }
    if let Caller::Gateway { name, agreement_digest: callers_digest, .. } = &hello.caller {
        if !is_peer(name) || name == own_name {
            return Err(ProtocolError::UnknownPeer(name.clone()));
        }
        if *callers_digest != agreement_digest {
            return Err(ProtocolError::SettingsMismatch(name.clone()));
        }
    }
    if !hello.addressee.is_empty() && hello.addressee != own_name {
        return Err(ProtocolError::WrongAddressee(hello.addressee));
    }
    Ok(hello.caller)
}
