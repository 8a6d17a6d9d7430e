//! The hello, first frame of a link in each direction: it identifies the caller, which is then accepted or rejected.

use super::decode_frame;
use crate::encoding;
use crate::version::{GatewayName, Incarnation};
use serde::{Deserialize, Serialize};

/// Version of the protocol. The version is raised whenever a frame changes its meaning or its encoding.
pub const PROTOCOL_VERSION: u32 = 1;
/// First bytes of every hello, which distinguish a program of another kind from a gateway with another protocol version.
const MAGIC: [u8; 4] = *b"OVFL";

/// The sender of a hello.
///
/// The caller is sent with `postcard`: the order of variants and fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// The caller is a gateway of the fleet.
    Gateway {
        /// Name of the gateway.
        name: GatewayName,
        /// Process that the gateway runs as.
        process: Incarnation,
        /// Process whose vote the sender holds: its own, or that of the earlier process whose stored state the sender restored.
        voter: Incarnation,
        /// Digest of the settings that all gateways have to agree on.
        agreement_digest: u64,
    },
    /// The caller is the command line of an administrator.
    Administrator,
}

/// The hello, first frame of a link in each direction.
///
/// A hello is sent with `postcard`: the order of the fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    magic: [u8; 4],
    /// Protocol version of the sender.
    pub version: u32,
    /// Name of the sender's fleet.
    pub fleet: String,
    /// Sender of the hello.
    pub caller: Caller,
    /// Name of the gateway that the caller means to reach; empty if any gateway will do.
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
    /// The bytes are not a frame of this protocol; the text describes what is wrong with the bytes.
    #[error(
        "the received bytes are no frame of a fleet's link ({0}); check which program connects to this port"
    )]
    NotAFrame(String),
    /// The caller has another protocol version.
    #[error("the caller's protocol has version {0}, this gateway's has version {PROTOCOL_VERSION}; run builds with the same protocol version")]
    VersionMismatch(u32),
    /// The caller belongs to another fleet.
    #[error("the caller belongs to the fleet {0:?}; each fleet needs addresses of its own")]
    OtherFleet(String),
    /// The caller is not among the configured peers.
    #[error("no peer is named {0:?}; add a [[fleet.peer]] with this name to the file of every gateway")]
    UnknownPeer(String),
    /// The caller means to reach another gateway; the text is the name of that gateway.
    #[error("the caller means to reach {0:?}, but another gateway listens here; correct the peer's address at the caller")]
    WrongAddressee(String),
    /// Another process of the caller's name is linked and reachable.
    #[error("another process of {0:?} is linked and reachable; end one of the two processes, or give one of them another name")]
    DuplicatePeer(GatewayName),
    /// The caller's settings differ where all gateways have to agree, so that leases would be computed differently.
    #[error(
        "{0:?} has other settings of the fleet (council, lease, margin, behind, behind_for, shut_out_most); give all gateways the same values"
    )]
    SettingsMismatch(GatewayName),
}

/// The beginning of a hello, which is the same in all protocol versions.
#[derive(Deserialize)]
struct HelloPrefix {
    magic: [u8; 4],
    version: u32,
}

/// Decodes a hello and checks that the hello is addressed to the gateway `own_name` of this fleet.
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
    // The protocol version is decoded before the rest of the hello, whose encoding may differ from version to version.
    let HelloPrefix { magic, version } =
        encoding::decode_prefix(bytes).map_err(|error| ProtocolError::NotAFrame(error.to_string()))?;
    if magic != MAGIC {
        return Err(ProtocolError::NotAFrame(
            "the hello does not begin with the protocol's magic bytes".to_owned(),
        ));
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
