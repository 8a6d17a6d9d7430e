//! The command line beyond `run`: questions to a running fleet.

pub mod fleet;
