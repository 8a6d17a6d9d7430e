//! What gateways say to each other, and how it is written: a hello each way, then frames. Encoded with `postcard`; the frame's length
//! goes before it (the link's codec). Names and lists are bounded when they are read, by the frame's own bound.

use crate::council::Word;
use crate::members::View;
use crate::register::{Cause, Entry, Register, SessionId};
use crate::version::{Incarnation, Name, Version};
use serde::{Deserialize, Serialize};

/// The link's version: raised when a frame changes its meaning or its form.
pub const VERSION: u32 = 1;
/// A longer frame ends the connection. A register of 1,000 sessions takes about 400 KB.
pub const LONGEST: usize = 8 << 20;
/// Begins every hello, so that a stranger's bytes are told from another version's.
const MAGIC: [u8; 4] = *b"OVFL";

/// Who calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// A gateway of the fleet.
    Gateway {
        /// Its name.
        name: Name,
        /// Its process.
        process: Incarnation,
        /// Who votes in it: the process, or the one before whose state it has.
        voter: Incarnation,
        /// A digest of what all gateways have to agree on.
        terms: u64,
    },
    /// Staff, with questions.
    Staff,
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
    pub to: Name,
}

impl Hello {
    /// A hello of this version.
    pub fn new(fleet: &str, caller: Caller, to: &str) -> Hello {
        Hello { magic: MAGIC, version: VERSION, fleet: fleet.to_owned(), caller, to: to.to_owned() }
    }
}

/// Why a hello or a frame is not taken; the connection ends with it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unfit {
    /// No frame of this link.
    #[error("what came is no frame of a fleet's link ({0}); see which program calls this port")]
    Foreign(String),
    /// Another version.
    #[error("the caller's link has version {0}, this one {VERSION}; run builds that share one")]
    Version(u32),
    /// Another fleet.
    #[error("the caller belongs to the fleet {0:?}; each fleet has its own addresses")]
    Fleet(String),
    /// Not among the peers.
    #[error("no peer is named {0:?}; add a [[fleet.peer]] at every gateway")]
    Unknown(String),
    /// It wanted another.
    #[error("it called {0:?}, which is not who listens here; the peer's address is wrong at the caller")]
    Misled(String),
    /// Another process has its name, and speaks.
    #[error("another process of {0:?} is linked and speaks; end one of them, or give it a name of its own")]
    Doubled(Name),
    /// They would not reckon alike.
    #[error(
        "{0:?} has other terms of the fleet (council, lease, margin, stragglers); give all gateways the same"
    )]
    Terms(Name),
}

/// Reads a frame.
///
/// # Errors
/// Where it is none, or has something after its end.
pub fn read<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, Unfit> {
    match postcard::take_from_bytes(bytes) {
        Ok((frame, [])) => Ok(frame),
        Ok((_, rest)) => Err(Unfit::Foreign(format!("{} bytes after its end", rest.len()))),
        Err(error) => Err(Unfit::Foreign(error.to_string())),
    }
}

/// Writes a frame; none where it would be too long for the link.
pub fn write<T: Serialize>(frame: &T) -> Option<Vec<u8>> {
    postcard::to_allocvec(frame).ok().filter(|bytes| bytes.len() <= LONGEST)
}

/// Reads a hello, and whether it is for this one.
///
/// # Errors
/// Where it is not.
pub fn greet(
    bytes: &[u8],
    fleet: &str,
    own: &str,
    terms: u64,
    known: &dyn Fn(&str) -> bool,
) -> Result<Caller, Unfit> {
    // What comes after the version may differ from version to version.
    let ([b'O', b'V', b'F', b'L'], version) = read_head(bytes)? else {
        return Err(Unfit::Foreign("it does not begin with the link's mark".to_owned()));
    };
    if version != VERSION {
        return Err(Unfit::Version(version));
    }
    let hello: Hello = read(bytes)?;
    if hello.fleet != fleet {
        return Err(Unfit::Fleet(hello.fleet));
    }
    if let Caller::Gateway { name, terms: theirs, .. } = &hello.caller {
        if !known(name) || name == own {
            return Err(Unfit::Unknown(name.clone()));
        }
        if *theirs != terms {
            return Err(Unfit::Terms(name.clone()));
        }
    }
    if !hello.to.is_empty() && hello.to != own {
        return Err(Unfit::Misled(hello.to));
    }
    Ok(hello.caller)
}

fn read_head(bytes: &[u8]) -> Result<([u8; 4], u32), Unfit> {
    let (head, _) = postcard::take_from_bytes(bytes).map_err(|e| Unfit::Foreign(e.to_string()))?;
    Ok(head)
}

/// A host that leaves or is gone, as one gateway tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gone {
    /// Its name: never its address, which may differ from one gateway to the next.
    pub host: String,
    /// Gone; otherwise it leaves.
    pub gone: bool,
    /// The index of the list that says so.
    pub index: u64,
    /// The gateway that was told.
    pub by: Name,
}

/// What the register says to one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// How far the register had come.
    pub position: u64,
    /// Why this gateway is shut out, where it is.
    pub out: Option<Cause>,
    /// The index that is current on its list's lineage.
    pub current: Option<u64>,
    /// The configuration that staff require.
    pub config: Option<u64>,
    /// What newer lists than its own say of hosts.
    pub gone: Vec<Gone>,
}

/// What staff ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Question {
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
        number: String,
    },
    /// Has this decided by the council.
    Decide(Box<Entry>),
}

/// A frame.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// I am here, and this is what I see of the others.
    Pulse {
        /// Whom and how.
        views: Vec<(Name, View)>,
    },
    /// Among the council.
    Council(Word),
    /// A gateway wants a session.
    Open {
        /// The number of its asking.
        ask: u64,
        /// What it acts on.
        version: Version,
    },
    /// A gateway wants its session to go on.
    Renew {
        /// Which.
        session: SessionId,
        /// The number of its asking.
        ask: u64,
        /// What it acts on.
        version: Version,
    },
    /// The session goes on, or has begun.
    Granted {
        /// Which.
        session: SessionId,
        /// The asking that this answers.
        ask: u64,
        /// What there is to know.
        news: News,
    },
    /// There is something to know before the next renewal.
    Told(News),
    /// There is no such session, or its name is another process's.
    NoSession {
        /// The asking that this answers.
        ask: u64,
        /// The process that has the name, where that is why.
        taken: Option<Incarnation>,
    },
    /// This member can't have anything decided now; ask another.
    NotNow {
        /// The asking that this answers.
        ask: u64,
    },
    /// Hosts that leave or are gone, by the sender's list.
    Departed {
        /// The sender's list.
        list: crate::version::Listed,
        /// The hosts, and whether each is gone.
        hosts: Vec<(String, bool)>,
    },
    /// A gateway ends its session.
    Close {
        /// Which.
        session: SessionId,
    },
    /// Staff ask.
    Ask(Question),
    /// An answer to staff, as JSON.
    Answer(String),
    /// The register as a whole; for staff.
    Whole(Box<Register>),
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn hello(fleet: &str, name: &str, terms: u64, to: &str) -> Vec<u8> {
        let caller =
            Caller::Gateway { name: name.to_owned(), process: Incarnation(1), voter: Incarnation(1), terms };
        write(&Hello::new(fleet, caller, to)).expect("short")
    }

    fn greeted(bytes: &[u8]) -> Result<Caller, Unfit> {
        greet(bytes, "f", "a", 7, &|name| name == "a" || name == "b")
    }

    #[test]
    fn whoever_is_not_of_the_fleet_is_told_why() {
        assert!(matches!(greeted(&hello("f", "b", 7, "a")), Ok(Caller::Gateway { .. })));
        assert_eq!(greeted(&hello("g", "b", 7, "a")), Err(Unfit::Fleet("g".into())));
        assert_eq!(greeted(&hello("f", "c", 7, "a")), Err(Unfit::Unknown("c".into())));
        assert_eq!(greeted(&hello("f", "a", 7, "a")), Err(Unfit::Unknown("a".into())), "this one itself");
        assert_eq!(greeted(&hello("f", "b", 8, "a")), Err(Unfit::Terms("b".into())));
        assert_eq!(greeted(&hello("f", "b", 7, "b")), Err(Unfit::Misled("b".into())));
        let mut newer = hello("f", "b", 7, "a");
        newer[4] = 9;
        assert_eq!(greeted(&newer), Err(Unfit::Version(9)));
        assert!(matches!(greeted(b"GET / HTTP/1.1\r\n\r\n"), Err(Unfit::Foreign(_))));
        assert!(matches!(greeted(&hello("f", "b", 7, "a")[..9]), Err(Unfit::Foreign(_))));
    }

    proptest! {
        #[test]
        fn no_bytes_are_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
            let _ = greeted(&bytes);
            let _ = read::<Frame>(&bytes);
        }

        /// A frame that was cut or prolonged is no frame.
        #[test]
        fn torn_frames_are_found_out(ask in any::<u64>(), index in any::<u64>(), cut in 1usize..12) {
            let mut version = Version::default();
            version.list.index = index;
            let bytes = write(&Frame::Renew { session: 3, ask, version }).expect("short");
            prop_assert!(read::<Frame>(&bytes).is_ok());
            prop_assert!(read::<Frame>(&bytes[..bytes.len() - cut.min(bytes.len())]).is_err());
            let longer = [&bytes[..], &[0]].concat();
            prop_assert!(read::<Frame>(&longer).is_err());
        }
    }
}
