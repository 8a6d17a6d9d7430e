//! What gateways say to each other, and how it is written: a hello each way, then frames. Encoded with `postcard`; the frame's length
//! goes before it (the link's codec). Names and lists are bounded when they are read, by the frame's own bound.

use crate::consensus::ConsensusMessage;
use crate::membership::PeerView;
use crate::state_machine::{Command, FenceReason, SessionId, StateMachine};

use crate::version::{GatewayName, Incarnation, Version};
use serde::{Deserialize, Serialize};

pub use crate::state_machine::DepartedEndpoint;

/// The link's version: raised when a frame changes its meaning or its form.
pub const PROTOCOL_VERSION: u32 = 1;
/// A longer frame ends the connection. A register of 1,000 sessions takes about 400 KB.
pub const MAX_FRAME_BYTES: usize = 8 << 20;
/// Begins every hello, so that a stranger's bytes are told from another version's.
const MAGIC: [u8; 4] = *b"OVFL";

/// Who calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// A gateway of the fleet.
    Gateway {
        /// Its name.
        name: GatewayName,
        /// Its process.
        process: Incarnation,
        /// Who votes in it: the process, or the one before whose state it has.
        voter: Incarnation,
        /// A digest of what all gateways have to agree on.
        agreement_digest: u64,
    },
    /// Staff, with questions.
    Administrator,
}

/// The first frame each way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    magic: [u8; 4],
    /// The link's version.
    pub version: u32,
    /// The fleet's name.
    pub fleet: String,
    /// Who calls, or who answers.
    pub caller: Caller,
    /// Who is called; in an answer, who called.
    pub addressee: GatewayName,
}

impl Hello {
    /// A hello of this version.
    pub fn new(fleet: &str, caller: Caller, to: &str) -> Hello {
        Hello {
            magic: MAGIC,
            version: PROTOCOL_VERSION,
            fleet: fleet.to_owned(),
            caller,
            addressee: to.to_owned(),
        }
    }
}

/// Why a hello or a frame is not taken; the connection ends with it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// No frame of this link.
    #[error("what came is no frame of a fleet's link ({0}); see which program calls this port")]
    NotAFrame(String),
    /// Another version.
    #[error("the caller's link has version {0}, this one {PROTOCOL_VERSION}; run builds that share one")]
    VersionMismatch(u32),
    /// Another fleet.
    #[error("the caller belongs to the fleet {0:?}; each fleet has its own addresses")]
    OtherFleet(String),
    /// Not among the peers.
    #[error("no peer is named {0:?}; add a [[fleet.peer]] at every gateway")]
    UnknownPeer(String),
    /// It wanted another.
    #[error("it called {0:?}, which is not who listens here; the peer's address is wrong at the caller")]
    WrongAddressee(String),
    /// Another process has its name, and speaks.
    #[error("another process of {0:?} is linked and speaks; end one of them, or give it a name of its own")]
    DuplicatePeer(GatewayName),
    /// They would not reckon alike.
    #[error(
        "{0:?} has other terms of the fleet (council, lease, margin, stragglers); give all gateways the same"
    )]
    SettingsMismatch(GatewayName),
}

/// Reads a frame.
///
/// # Errors
/// Where it is none, or has something after its end.
pub fn decode_frame<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, ProtocolError> {
    match postcard::take_from_bytes(bytes) {
        Ok((frame, [])) => Ok(frame),
        Ok((_, rest)) => Err(ProtocolError::NotAFrame(format!("{} bytes after its end", rest.len()))),
        Err(error) => Err(ProtocolError::NotAFrame(error.to_string())),
    }
}

/// Writes a frame; none where it would be too long for the link.
pub fn encode_frame<T: Serialize>(frame: &T) -> Option<Vec<u8>> {
    postcard::to_allocvec(frame).ok().filter(|bytes| bytes.len() <= MAX_FRAME_BYTES)
}

/// Reads a hello, and whether it is for this one.
///
/// # Errors
/// Where it is not.
pub fn accept_hello(
    bytes: &[u8],
    fleet: &str,
    own: &str,
    terms: u64,
    known: &dyn Fn(&str) -> bool,
) -> Result<Caller, ProtocolError> {
    // What comes after the version may differ from version to version.
    let ([b'O', b'V', b'F', b'L'], version) = read_head(bytes)? else {
        return Err(ProtocolError::NotAFrame("it does not begin with the link's mark".to_owned()));
    };
    if version != PROTOCOL_VERSION {
        return Err(ProtocolError::VersionMismatch(version));
    }
    let hello: Hello = decode_frame(bytes)?;
    if hello.fleet != fleet {
        return Err(ProtocolError::OtherFleet(hello.fleet));
    }
    if let Caller::Gateway { name, agreement_digest: theirs, .. } = &hello.caller {
        if !known(name) || name == own {
            return Err(ProtocolError::UnknownPeer(name.clone()));
        }
        if *theirs != terms {
            return Err(ProtocolError::SettingsMismatch(name.clone()));
        }
    }
    if !hello.addressee.is_empty() && hello.addressee != own {
        return Err(ProtocolError::WrongAddressee(hello.addressee));
    }
    Ok(hello.caller)
}

fn read_head(bytes: &[u8]) -> Result<([u8; 4], u32), ProtocolError> {
    let (head, _) = postcard::take_from_bytes(bytes).map_err(|e| ProtocolError::NotAFrame(e.to_string()))?;
    Ok(head)
}

/// What the register says to one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// How far the register had come.
    pub log_index: u64,
    /// Why this gateway is shut out, where it is.
    pub fence_reason: Option<FenceReason>,
    /// The index that is current on its list's lineage.
    pub current_list_index: Option<u64>,
    /// The configuration that staff require.
    pub required_config: Option<u64>,
    /// What newer lists than its own say of hosts.
    pub departures: Vec<DepartedEndpoint>,
}

/// What staff ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminQuery {
    /// How it stands.
    Status,
    /// What it did, all of it or under lists of one index, from this index on.
    Audit {
        /// Lists of at least this index.
        from_index: u64,
        /// And at most this one.
        to_index: u64,
    },
    /// What a request met.
    Request {
        /// Its number, as the client wrote it.
        request_id: String,
    },
    /// Has this decided by the council.
    Propose(Box<Command>),
}

/// A frame.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// I am here, and this is what I see of the others.
    Heartbeat {
        /// Whom and how.
        views: Vec<(GatewayName, PeerView)>,
    },
    /// Among the council.
    Consensus(ConsensusMessage),
    /// A gateway wants a session.
    OpenSession {
        /// The number of its asking.
        request: u64,
        /// What it acts on.
        version: Version,
    },
    /// A gateway wants its session to go on.
    RenewSession {
        /// Which.
        session: SessionId,
        /// The number of its asking.
        request: u64,
        /// What it acts on.
        version: Version,
    },
    /// The session goes on, or has begun.
    SessionGranted {
        /// Which.
        session: SessionId,
        /// The asking that this answers.
        request: u64,
        /// What there is to know.
        update: StateUpdate,
    },
    /// There is something to know before the next renewal.
    StateUpdate(StateUpdate),
    /// There is no such session, or its name is another process's.
    NoSession {
        /// The asking that this answers.
        request: u64,
        /// The process that has the name, where that is why.
        holder: Option<Incarnation>,
    },
    /// This member can't have anything decided now; ask another.
    Unavailable {
        /// The asking that this answers.
        request: u64,
    },
    /// Hosts that leave or are gone, by the sender's list.
    Departures {
        /// The sender's list.
        list: crate::version::ListVersion,
        /// The hosts, and whether each is gone.
        endpoints: Vec<(String, bool)>,
    },
    /// A gateway ends its session.
    CloseSession {
        /// Which.
        session: SessionId,
    },
    /// Staff ask.
    AdminQuery(AdminQuery),
    /// An answer to staff, as JSON.
    AdminAnswer(String),
    /// The register as a whole; for staff.
    StateSnapshot(Box<StateMachine>),
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn hello(fleet: &str, name: &str, terms: u64, to: &str) -> Vec<u8> {
        let caller = Caller::Gateway {
            name: name.to_owned(),
            process: Incarnation(1),
            voter: Incarnation(1),
            agreement_digest: terms,
        };
        encode_frame(&Hello::new(fleet, caller, to)).expect("short")
    }

    fn greeted(bytes: &[u8]) -> Result<Caller, ProtocolError> {
        accept_hello(bytes, "f", "a", 7, &|name| name == "a" || name == "b")
    }

    #[test]
    fn whoever_is_not_of_the_fleet_is_told_why() {
        assert!(matches!(greeted(&hello("f", "b", 7, "a")), Ok(Caller::Gateway { .. })));
        assert_eq!(greeted(&hello("g", "b", 7, "a")), Err(ProtocolError::OtherFleet("g".into())));
        assert_eq!(greeted(&hello("f", "c", 7, "a")), Err(ProtocolError::UnknownPeer("c".into())));
        assert_eq!(
            greeted(&hello("f", "a", 7, "a")),
            Err(ProtocolError::UnknownPeer("a".into())),
            "this one itself"
        );
        assert_eq!(greeted(&hello("f", "b", 8, "a")), Err(ProtocolError::SettingsMismatch("b".into())));
        assert_eq!(greeted(&hello("f", "b", 7, "b")), Err(ProtocolError::WrongAddressee("b".into())));
        let mut newer = hello("f", "b", 7, "a");
        newer[4] = 9;
        assert_eq!(greeted(&newer), Err(ProtocolError::VersionMismatch(9)));
        assert!(matches!(greeted(b"GET / HTTP/1.1\r\n\r\n"), Err(ProtocolError::NotAFrame(_))));
        assert!(matches!(greeted(&hello("f", "b", 7, "a")[..9]), Err(ProtocolError::NotAFrame(_))));
    }

    proptest! {
        #[test]
        fn no_bytes_are_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
            let _ = greeted(&bytes);
            let _ = decode_frame::<Frame>(&bytes);
        }

        /// A frame that was cut or prolonged is no frame.
        #[test]
        fn torn_frames_are_found_out(ask in any::<u64>(), index in any::<u64>(), cut in 1usize..12) {
            let mut version = Version::default();
            version.list.index = index;
            let bytes = encode_frame(&Frame::RenewSession { session: 3, request: ask, version }).expect("short");
            prop_assert!(decode_frame::<Frame>(&bytes).is_ok());
            prop_assert!(decode_frame::<Frame>(&bytes[..bytes.len() - cut.min(bytes.len())]).is_err());
            let longer = [&bytes[..], &[0]].concat();
            prop_assert!(decode_frame::<Frame>(&longer).is_err());
        }
    }
}
