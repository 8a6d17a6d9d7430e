//! The names behind the numbers by which the balancer knows tenants, zones and machine kinds.

/// How many zones, and how many machine kinds, get numbers of their own. A name beyond shares its number with no other endpoint's.
const MAX_INTERNED_NAMES: usize = 4096;

/// The names in the settings, and behind them those that endpoint lists have brought. A name's place is its number.
#[derive(Debug, Default)]
pub struct StringInterner {
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine kinds.
    pub kinds: Vec<String>,
}

impl StringInterner {
    /// Replaces the names. Zones and machine kinds keep their numbers, by which endpoints are known; new ones are appended.
    pub fn replace_keeping_numbers(&mut self, new: StringInterner) {
        append_missing(&mut self.zones, new.zones);
        append_missing(&mut self.kinds, new.kinds);
        self.tenants = new.tenants;
    }

    /// The number of an endpoint's zone.
    ///
    /// Two zones that the settings don't name get two numbers: endpoints of one zone may share idempotency keys. An endpoint without
    /// a zone shares one with nobody, unless there are no zones at all. `endpoint` is the number of the endpoint itself.
    pub fn zone(&mut self, name: &str, endpoint: u32) -> u32 {
        if name.is_empty() && !self.zones.is_empty() {
            return unshared_number(endpoint);
        }
        intern(&mut self.zones, name, endpoint)
    }

    /// The number of an endpoint's machine kind. `endpoint` is the number of the endpoint itself.
    pub fn kind(&mut self, name: &str, endpoint: u32) -> u32 {
        intern(&mut self.kinds, name, endpoint)
    }
}

fn append_missing(known: &mut Vec<String>, names: Vec<String>) {
    for name in names {
        if !known.contains(&name) {
            known.push(name);
        }
    }
}

/// A number that belongs to this endpoint alone.
fn unshared_number(endpoint: u32) -> u32 {
    u32::MAX - endpoint
}

/// The number of a name, which is appended where it is new and there is room.
fn intern(known: &mut Vec<String>, name: &str, endpoint: u32) -> u32 {
    if let Some(number) = known.iter().position(|other| other == name) {
        return number as u32;
    }
    if known.len() >= MAX_INTERNED_NAMES {
        return unshared_number(endpoint);
    }
    known.push(name.to_owned());
    known.len() as u32 - 1
}
