//! The names behind the numbers that the module knows.

/// So many zones or machine kinds have numbers of their own. What a list names beyond is only known to be no other's.
const NUMBERED: usize = 4096;

/// The names in the settings, and behind them those that lists of hosts have brought; a place here is what the module knows.
#[derive(Debug, Default)]
pub struct StringInterner {
    /// The tenants.
    pub tenants: Vec<String>,
    /// The zones.
    pub zones: Vec<String>,
    /// The machine kinds.
    pub kinds: Vec<String>,
}

impl StringInterner {
    /// Turns to other names. Zones and machine kinds keep their places, as hosts are known by them; new ones come behind.
    pub fn replace_keeping_numbers(&mut self, new: StringInterner) {
        let add = |known: &mut Vec<String>, new: Vec<String>| {
            for name in new {
                if !known.contains(&name) {
                    known.push(name);
                }
            }
        };
        add(&mut self.zones, new.zones);
        add(&mut self.kinds, new.kinds);
        self.tenants = new.tenants;
    }

    /// The number of a host's zone. Two that the settings do not name are two: hosts of one zone may know each other's requests. A host
    /// that names none is in nobody's, unless there are no zones at all; `alone` is its own number.
    pub fn zone(&mut self, name: &str, alone: u32) -> u32 {
        if name.is_empty() && !self.zones.is_empty() {
            return u32::MAX - alone;
        }
        number(&mut self.zones, name, alone)
    }

    /// The number of a host's machine kind.
    pub fn kind(&mut self, name: &str, alone: u32) -> u32 {
        number(&mut self.kinds, name, alone)
    }
}

fn number(known: &mut Vec<String>, name: &str, alone: u32) -> u32 {
    let at = known.iter().position(|n| n == name).or_else(|| {
        let room = known.len() < NUMBERED;
        room.then(|| {
            known.push(name.to_owned());
            known.len() - 1
        })
    });
    at.map_or(u32::MAX - alone, |at| at as u32)
}
