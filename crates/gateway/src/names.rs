//! The names behind the numbers that the module knows.

/// The names in the settings; a place in these lists is what the module knows.
#[derive(Debug)]
pub struct Names {
    /// The request classes.
    pub classes: Vec<String>,
    /// The tenants.
    pub tenants: Vec<String>,
    /// The zones.
    pub zones: Vec<String>,
    /// The machine kinds.
    pub kinds: Vec<String>,
}
