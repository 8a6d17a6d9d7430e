//! The names behind the numbers that the module knows.

/// The names in the settings; a place in these lists is what the module knows.
#[derive(Debug)]
pub struct Names {
    /// The tenants.
    pub tenants: Vec<String>,
    /// The zones.
    pub zones: Vec<String>,
    /// The machine kinds.
    pub kinds: Vec<String>,
}

impl Names {
    /// Turns to other names. Zones and machine kinds keep their places, as hosts are known by them; new ones come behind.
    pub fn go_on_as(&mut self, new: Names) {
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
}
