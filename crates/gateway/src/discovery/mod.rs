//! News of the hosts: the list, and the watch on its changes.

pub mod endpoint_list;
pub mod line_reader;
pub mod watch;
