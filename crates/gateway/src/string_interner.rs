//! The names behind the numbers by which the balancer knows tenants, zones and machine kinds.

/// Largest number of zones, and of machine kinds, that are numbered by name.
/// An endpoint whose zone or machine kind exceeds this limit gets a number that no other endpoint has.
const MAX_INTERNED_NAMES: usize = 4096;

/// The names from the settings, followed by the names from endpoint lists. The number of a name is its index.
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
    /// Replaces the names. Zones and machine kinds keep their numbers, which endpoints refer to; new names are appended.
    pub fn replace_keeping_numbers(&mut self, new: StringInterner) {
        append_missing(&mut self.zones, new.zones);
        append_missing(&mut self.kinds, new.kinds);
        self.tenants = new.tenants;
    }

    /// The number of an endpoint's zone.
    ///
    /// Zones that the settings don't name get different numbers too, because endpoints of one zone may share idempotency keys.
    /// An endpoint without a zone shares its zone number with no other endpoint, unless there are no zones at all.
    /// The parameter `endpoint` is the endpoint's id.
    pub fn zone(&mut self, name: &str, endpoint: u32) -> u32 {
        if name.is_empty() && !self.zones.is_empty() {
            return unshared_number(endpoint);
        }
        intern(&mut self.zones, name, endpoint)
    }

    /// The number of an endpoint's machine kind. The parameter `endpoint` is the endpoint's id.
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

/// A number that belongs to the endpoint with this id alone.
fn unshared_number(endpoint: u32) -> u32 {
    u32::MAX - endpoint
}

/// The number of a name. A new name is appended, unless there are [`MAX_INTERNED_NAMES`] names already.
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
