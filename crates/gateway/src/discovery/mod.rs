//! Service discovery: the endpoint lists that discovery sends, and the watch that receives them.

pub mod endpoint_list;
pub mod message_reader;
pub mod watch;
