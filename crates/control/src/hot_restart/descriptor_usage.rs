//! How two processes of one gateway share one limit of open file descriptors.

use std::time::Duration;

/// Interval between checks for the gateway's other process while there is one. Clients
/// that an ending process disconnects reconnect to the remaining process within a few
/// milliseconds, and the remaining process must have all descriptors before that.
const PEER_PRESENT_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between checks for another process of the gateway while there is none.
const PEER_ABSENT_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval after which a process checks again for the gateway's other process. `peer` is the descriptor usage of the
/// other process, `None` where there is no other process.
pub fn peer_check_interval(peer: Option<DescriptorUsage>) -> Duration {
    match peer {
        Some(_) => PEER_PRESENT_CHECK_INTERVAL,
        None => PEER_ABSENT_CHECK_INTERVAL,
    }
}

/// Number of digits of each count in the text of a [`DescriptorUsage`].
const COUNT_DIGITS: usize = 6;
/// Largest count that the text of a [`DescriptorUsage`] can hold.
const MAX_ENCODED_COUNT: usize = 999_999;

/// Number of open file descriptors of one process, by purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DescriptorUsage {
    /// Client connections.
    pub clients: usize,
    /// Client connections that are accepted only to be rejected for lack of capacity.
    pub overflow: usize,
    /// Connections from the gateway to endpoints.
    pub endpoints: usize,
}

impl DescriptorUsage {
    /// Encodes the counts as text of fixed length.
    ///
    /// The writer overwrites the previous text in place. With texts of different
    /// lengths a reader could see a new text followed by the end of an old text.
    pub fn encode(self) -> String {
        let clients = self.clients.min(MAX_ENCODED_COUNT);
        let overflow = self.overflow.min(MAX_ENCODED_COUNT);
        let endpoints = self.endpoints.min(MAX_ENCODED_COUNT);
        format!("{clients:0COUNT_DIGITS$} {overflow:0COUNT_DIGITS$} {endpoints:0COUNT_DIGITS$}\n")
    }

    /// Decodes the text of [`Self::encode`]; `None` if the text is incomplete or has another format.
    pub fn decode(text: &str) -> Option<DescriptorUsage> {
        let mut counts = text.strip_suffix('\n')?.split(' ');
        let usage = DescriptorUsage {
            clients: decode_count(counts.next()?)?,
            overflow: decode_count(counts.next()?)?,
            endpoints: decode_count(counts.next()?)?,
        };
        counts.next().is_none().then_some(usage)
    }
}

fn decode_count(text: &str) -> Option<usize> {
    if text.len() != COUNT_DIGITS {
        return None;
    }
    text.parse().ok()
}

/// Number of descriptors that one process may open under a limit shared with another process that uses `peer_usage`.
///
/// The limit is not split in fixed halves, with which one process
/// would reject clients while the other has unused descriptors.
pub fn remaining_descriptors(limit: usize, peer_usage: usize) -> usize {
    limit.saturating_sub(peer_usage)
}
