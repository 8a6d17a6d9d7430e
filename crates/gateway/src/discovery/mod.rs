//! News of the hosts: the list, and the watch on its changes.

pub mod list;
pub mod stream;
pub mod watch;
