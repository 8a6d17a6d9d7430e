//! What the library keeps of one configuration, in memory, with a journal of what it changes. Where the journal goes to a disk, a
//! process that comes back reads it and votes on; where it does not, the process has forgotten, and has no vote when it comes back.

use crate::state_machine::Command;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{NoSnapshot, StopSign, Storage, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::rc::Rc;

/// A change, as it goes to the disk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StorageChange {
    /// The log is this from an index on.
    Log(usize, Vec<Command>),
    /// Nothing older is promised any more.
    Promise(Ballot),
    /// The round of what the log holds.
    Accepted(Ballot),
    /// So much of the log is decided.
    Decided(usize),
    /// The configuration's end.
    StopSign(Option<StopSign>),
}

/// What has been written and has not been passed on yet.
pub type ChangeJournal = Rc<RefCell<Vec<StorageChange>>>;

/// Log and promises.
#[derive(Debug, Default)]
pub struct LogStorage {
    journal: ChangeJournal,
    log: Vec<Command>,
    promise: Option<Ballot>,
    accepted: Option<Ballot>,
    decided: usize,
    trimmed: usize,
    compacted: usize,
    stop: Option<StopSign>,
}

impl LogStorage {
    /// Empty, with this journal.
    pub fn new(journal: ChangeJournal) -> LogStorage {
        LogStorage { journal, ..LogStorage::default() }
    }

    /// Takes in what was written before, which is on the disk already.
    pub fn restore(&mut self, write: StorageChange) {
        match write {
            StorageChange::Log(from, entries) => {
                let from = self.at(from);
                self.log.truncate(from);
                self.log.extend(entries);
            }
            StorageChange::Promise(ballot) => self.promise = Some(ballot),
            StorageChange::Accepted(ballot) => self.accepted = Some(ballot),
            StorageChange::Decided(index) => self.decided = index,
            StorageChange::StopSign(stop) => self.stop = stop,
        }
    }

    fn note(&self, write: StorageChange) {
        self.journal.borrow_mut().push(write);
    }

    fn at(&self, index: usize) -> usize {
        index.saturating_sub(self.trimmed).min(self.log.len())
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
                StorageOp::SetStopsign(stop) => self.set_stopsign(stop)?,
                StorageOp::SetSnapshot(snapshot) => self.set_snapshot(snapshot)?,
            }
        }
        Ok(())
    }

    fn append_entry(&mut self, entry: Command) -> StorageResult<()> {
        self.append_entries(vec![entry])
    }

    fn append_entries(&mut self, entries: Vec<Command>) -> StorageResult<()> {
        self.note(StorageChange::Log(self.trimmed + self.log.len(), entries.clone()));
        self.log.extend(entries);
        Ok(())
    }

    fn append_on_prefix(&mut self, from: usize, entries: Vec<Command>) -> StorageResult<()> {
        let from = self.at(from);
        self.log.truncate(from);
        self.append_entries(entries)
    }

    fn set_promise(&mut self, promise: Ballot) -> StorageResult<()> {
        self.note(StorageChange::Promise(promise));
        self.promise = Some(promise);
        Ok(())
    }

    fn set_decided_idx(&mut self, decided: usize) -> StorageResult<()> {
        self.note(StorageChange::Decided(decided));
        self.decided = decided;
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.decided)
    }

    fn set_accepted_round(&mut self, accepted: Ballot) -> StorageResult<()> {
        self.note(StorageChange::Accepted(accepted));
        self.accepted = Some(accepted);
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.accepted)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Command>> {
        Ok(self.log.get(self.at(from)..self.at(to)).map(<[Command]>::to_vec).unwrap_or_default())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.log.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Command>> {
        Ok(self.log[self.at(from)..].to_vec())
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.promise)
    }

    fn set_stopsign(&mut self, stop: Option<StopSign>) -> StorageResult<()> {
        self.note(StorageChange::StopSign(stop.clone()));
        self.stop = stop;
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.stop.clone())
    }

    fn trim(&mut self, index: usize) -> StorageResult<()> {
        let at = self.at(index);
        self.log.drain(..at);
        self.trimmed = index;
        Ok(())
    }

    fn set_compacted_idx(&mut self, index: usize) -> StorageResult<()> {
        self.compacted = index;
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(self.compacted)
    }

    fn set_snapshot(&mut self, _: Option<NoSnapshot>) -> StorageResult<()> {
        Ok(())
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}
