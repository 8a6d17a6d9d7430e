//! The consensus library's log and promises of one configuration: in memory, with a journal of the changes for stable storage.
//!
//! A process that finds the journal of an earlier process restores that journal and continues to vote. A process without a journal has lost
//! its promises, so it has no vote when it restarts.

use crate::state_machine::Command;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{NoSnapshot, StopSign, Storage, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::rc::Rc;

/// A change of a replica's log or promises, as written to disk.
///
/// Changes are stored with `postcard`: the order of the variants must not change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StorageChange {
    /// The log from this index on was replaced by the commands.
    Log(usize, Vec<Command>),
    /// The replica promised not to accept any older ballot.
    Promise(Ballot),
    /// The ballot in which the log was accepted has changed.
    Accepted(Ballot),
    /// The number of decided log entries has changed.
    Decided(usize),
    /// The stop sign, the log entry that ends the configuration, has changed.
    StopSign(Option<StopSign>),
}

/// Changes that have been made and have not yet been passed to stable storage.
pub type ChangeJournal = Rc<RefCell<Vec<StorageChange>>>;

/// Log and promises of one replica.
#[derive(Debug, Default)]
pub struct LogStorage {
    journal: ChangeJournal,
    log: Vec<Command>,
    promise: Option<Ballot>,
    accepted_round: Option<Ballot>,
    decided_index: usize,
    /// Number of log entries that were removed from the front of the log.
    trimmed_entries: usize,
    compacted_index: usize,
    stop_sign: Option<StopSign>,
}

impl LogStorage {
    /// Creates an empty storage that writes its changes to `journal`.
    pub fn new(journal: ChangeJournal) -> LogStorage {
        LogStorage { journal, ..LogStorage::default() }
    }

    /// Restores a change that is on stable storage already, without writing the change to the journal again.
    pub fn restore(&mut self, change: StorageChange) {
        match change {
            StorageChange::Log(from, commands) => {
                self.truncate(from);
                self.log.extend(commands);
            }
            StorageChange::Promise(ballot) => self.promise = Some(ballot),
            StorageChange::Accepted(ballot) => self.accepted_round = Some(ballot),
            StorageChange::Decided(index) => self.decided_index = index,
            StorageChange::StopSign(stop_sign) => self.stop_sign = stop_sign,
        }
    }

    fn journal_change(&self, change: StorageChange) {
        self.journal.borrow_mut().push(change);
    }

    /// Position of a log index in the retained log, at most the length of the retained log.
    fn position(&self, index: usize) -> usize {
        index.saturating_sub(self.trimmed_entries).min(self.log.len())
    }

    fn truncate(&mut self, from: usize) {
        let position = self.position(from);
        self.log.truncate(position);
    }
}

impl Storage<Command> for LogStorage {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Command>>) -> StorageResult<()> {
        for op in ops {
            match op {
                StorageOp::AppendEntry(entry) => self.append_entry(entry)?,
                StorageOp::AppendEntries(entries) => self.append_entries(entries)?,
                StorageOp::AppendOnPrefix(from, entries) => self.append_on_prefix(from, entries)?,
                StorageOp::SetPromise(ballot) => self.set_promise(ballot)?,
                StorageOp::SetDecidedIndex(index) => self.set_decided_idx(index)?,
                StorageOp::SetAcceptedRound(ballot) => self.set_accepted_round(ballot)?,
                StorageOp::SetCompactedIdx(index) => self.set_compacted_idx(index)?,
                StorageOp::Trim(index) => self.trim(index)?,
                StorageOp::SetStopsign(stop_sign) => self.set_stopsign(stop_sign)?,
                StorageOp::SetSnapshot(snapshot) => self.set_snapshot(snapshot)?,
            }
        }
        Ok(())
    }

    fn append_entry(&mut self, entry: Command) -> StorageResult<()> {
        self.append_entries(vec![entry])
    }

    fn append_entries(&mut self, commands: Vec<Command>) -> StorageResult<()> {
        self.journal_change(StorageChange::Log(self.trimmed_entries + self.log.len(), commands.clone()));
        self.log.extend(commands);
        Ok(())
    }

    fn append_on_prefix(&mut self, from: usize, commands: Vec<Command>) -> StorageResult<()> {
        self.truncate(from);
        self.append_entries(commands)
    }

    fn set_promise(&mut self, promise: Ballot) -> StorageResult<()> {
        self.journal_change(StorageChange::Promise(promise));
        self.promise = Some(promise);
        Ok(())
    }

    fn set_decided_idx(&mut self, decided: usize) -> StorageResult<()> {
        self.journal_change(StorageChange::Decided(decided));
        self.decided_index = decided;
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.decided_index)
    }

    fn set_accepted_round(&mut self, accepted: Ballot) -> StorageResult<()> {
        self.journal_change(StorageChange::Accepted(accepted));
        self.accepted_round = Some(accepted);
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.accepted_round)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Command>> {
        Ok(self.log.get(self.position(from)..self.position(to)).map(<[Command]>::to_vec).unwrap_or_default())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.log.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Command>> {
        Ok(self.log[self.position(from)..].to_vec())
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.promise)
    }

    fn set_stopsign(&mut self, stop_sign: Option<StopSign>) -> StorageResult<()> {
        self.journal_change(StorageChange::StopSign(stop_sign.clone()));
        self.stop_sign = stop_sign;
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.stop_sign.clone())
    }

    // The library's `trim` is never called, because only a new configuration shortens a log, so trimming is not journaled.
    fn trim(&mut self, index: usize) -> StorageResult<()> {
        let position = self.position(index);
        self.log.drain(..position);
        self.trimmed_entries = index;
        Ok(())
    }

    fn set_compacted_idx(&mut self, index: usize) -> StorageResult<()> {
        self.compacted_index = index;
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(self.compacted_index)
    }

    fn set_snapshot(&mut self, _: Option<NoSnapshot>) -> StorageResult<()> {
        Ok(())
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}
