//! The in-memory raft log since the last snapshot, with its stable, commit and applied indexes and
//! its membership history.

use std::collections::VecDeque;

use crate::error::RaftError;
use crate::message::{ConfState, Entry, EntryKind};
use crate::ready::{Snapshot, SnapshotMeta};

/// Bytes counted for an entry in addition to its command: an estimate of the encoding overhead.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// Size of an entry as counted against message and log limits.
#[must_use]
pub fn entry_bytes(entry: &Entry) -> usize {
    match &entry.kind {
        EntryKind::Command(command) => ENTRY_OVERHEAD_BYTES + command.len(),
        EntryKind::Noop | EntryKind::ConfChange(_) => ENTRY_OVERHEAD_BYTES,
    }
}

/// Members that are in effect from an index on.
#[derive(Debug, Clone)]
struct ConfAt {
    index: u64,
    conf: ConfState,
}

/// The log of one replica.
///
/// Invariants: `base.index <= commit <= last_index`, `stable <= last_index`, `applied <= commit`,
/// entries are contiguous from `base.index + 1`, and no entry at or below `commit` is replaced.
#[derive(Debug, Clone)]
pub struct RaftLog {
    base: SnapshotMeta,
    entries: VecDeque<Entry>,
    confs: Vec<ConfAt>,
    stable: u64,
    commit: u64,
    applied: u64,
    pending_snapshot: Option<Snapshot>,
}

impl RaftLog {
    /// Creates a log from persistent state. All entries are stable; none after the snapshot is
    /// applied.
    ///
    /// # Errors
    /// [`RaftError::NonContiguousLog`] if the entries don't follow the snapshot without a gap.
    pub fn new(base: SnapshotMeta, entries: Vec<Entry>) -> Result<Self, RaftError> {
        let mut log = Self {
            confs: vec![ConfAt { index: base.index, conf: base.conf.clone() }],
            stable: base.index,
            commit: base.index,
            applied: base.index,
            entries: VecDeque::with_capacity(entries.len()),
            pending_snapshot: None,
            base,
        };
        for entry in entries {
            let expected = log.last_index() + 1;
            if entry.index != expected {
                return Err(RaftError::NonContiguousLog { expected, found: entry.index });
            }
            log.push(entry);
        }
        log.stable = log.last_index();
        Ok(log)
    }

    /// Index of the first entry that is not compacted.
    #[must_use]
    pub fn first_index(&self) -> u64 {
        self.base.index + 1
    }

    /// Index of the last entry, or of the snapshot if no entry follows it.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.base.index + self.entries.len() as u64
    }

    /// Term of the last entry.
    #[must_use]
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base.term, |entry| entry.term)
    }

    /// Highest index that is synced.
    #[must_use]
    pub fn stable(&self) -> u64 {
        self.stable
    }

    /// Highest index known to be committed.
    #[must_use]
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Highest index that the driver has applied.
    #[must_use]
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Whether the replica has no members yet: it is joining a group and needs a snapshot first.
    #[must_use]
    pub fn is_uninitialized(&self) -> bool {
        self.base.index == 0 && self.base.conf.voters.is_empty()
    }

    /// Term of the entry at an index; `None` if it is compacted or beyond the end.
    #[must_use]
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Entry at an index; `None` if it is compacted or beyond the end.
    #[must_use]
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.first_index())?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries from an index on, limited to a number of bytes but at least one entry.
    #[must_use]
    pub fn entries_from(&self, index: u64, max_bytes: usize) -> Vec<Entry> {
        let Some(offset) = index.checked_sub(self.first_index()) else { return Vec::new() };
        let offset = usize::try_from(offset).unwrap_or(usize::MAX).min(self.entries.len());
        let mut bytes = 0;
        let mut selected = Vec::new();
        for entry in self.entries.range(offset..) {
            bytes += entry_bytes(entry);
            if bytes > max_bytes && !selected.is_empty() {
                break;
            }
            selected.push(entry.clone());
        }
        selected
    }

    /// Entries that are not stable yet.
    #[must_use]
    pub fn unstable_entries(&self) -> Vec<Entry> {
        self.entries_from(self.stable + 1, usize::MAX)
    }

    /// Committed entries that are not applied yet; at most `max`.
    #[must_use]
    pub fn committed_entries(&self, max: usize) -> Vec<Entry> {
        if !self.has_committed_entries() {
            return Vec::new();
        }
        let end = self.commit.min(self.applied.saturating_add(max as u64));
        (self.applied + 1..=end).filter_map(|index| self.entry(index).cloned()).collect()
    }

    /// Whether there are committed entries to apply; false while a snapshot waits to be installed.
    #[must_use]
    pub fn has_committed_entries(&self) -> bool {
        self.applied >= self.base.index && self.commit > self.applied
    }

    /// Whether a log with the given end is at least as up to date as this one (Raft, section
    /// 5.4.1).
    #[must_use]
    pub fn is_up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index) >= (self.last_term(), self.last_index())
    }

    /// Appends an entry created by this leader and returns its index.
    pub fn append(&mut self, term: u64, kind: EntryKind) -> u64 {
        let index = self.last_index() + 1;
        self.push(Entry { term, index, kind });
        index
    }

    /// Appends a leader's entries after `prev_index`, which must match. Entries already present are
    /// retained; from the first conflict on they are replaced. Returns the last index that now
    /// matches, or `None` if the entries are malformed or would replace a committed one.
    pub fn append_matched(&mut self, prev_index: u64, entries: Vec<Entry>) -> Option<u64> {
        let contiguous = entries.iter().zip(prev_index + 1..).all(|(entry, i)| entry.index == i);
        if !contiguous {
            return None;
        }
        let last_new = prev_index + entries.len() as u64;
        let conflict = entries
            .iter()
            .find(|entry| self.term_at(entry.index) != Some(entry.term))
            .map(|entry| entry.index);
        let Some(conflict) = conflict else { return Some(last_new) };
        if conflict <= self.commit {
            return None;
        }
        self.truncate_from(conflict);
        for entry in entries.into_iter().filter(|entry| entry.index >= conflict) {
            self.push(entry);
        }
        Some(last_new)
    }

    /// Highest index up to `index` whose term does not exceed `term`: the last position at which
    /// this log may agree with one that has `term` there. Lets a probe skip entire terms.
    #[must_use]
    pub fn find_conflict_by_term(&self, index: u64, term: u64) -> u64 {
        let mut index = index.min(self.last_index());
        while index > self.base.index && self.term_at(index).is_some_and(|found| found > term) {
            index -= 1;
        }
        index
    }

    /// Advances the commit index, at most to the last index.
    pub fn commit_to(&mut self, index: u64) {
        self.commit = self.commit.max(index.min(self.last_index()));
    }

    /// Marks entries up to an index as synced, if the entry there still has the given term.
    pub fn stable_to(&mut self, index: u64, term: u64) {
        if index > self.stable && self.term_at(index) == Some(term) {
            self.stable = index;
        }
    }

    /// Advances the applied index, at most to the commit index.
    pub fn applied_to(&mut self, index: u64) {
        self.applied = self.applied.max(index.min(self.commit));
    }

    /// Replaces the entire log with a snapshot, which the driver has yet to install.
    pub fn restore(&mut self, snapshot: Snapshot) {
        self.base = snapshot.meta.clone();
        self.entries.clear();
        self.confs = vec![ConfAt { index: self.base.index, conf: self.base.conf.clone() }];
        self.stable = self.base.index;
        self.commit = self.base.index;
        self.pending_snapshot = Some(snapshot);
    }

    /// Whether a received snapshot waits to be passed to the driver.
    #[must_use]
    pub fn has_pending_snapshot(&self) -> bool {
        self.pending_snapshot.is_some()
    }

    /// Takes the received snapshot, if any.
    pub fn take_pending_snapshot(&mut self) -> Option<Snapshot> {
        self.pending_snapshot.take()
    }

    /// Removes entries up to an index, at which the driver must hold a snapshot.
    ///
    /// # Errors
    /// [`RaftError::NotApplied`] if the index is beyond the applied index.
    pub fn compact(&mut self, index: u64) -> Result<SnapshotMeta, RaftError> {
        if index > self.applied {
            return Err(RaftError::NotApplied { index, applied: self.applied });
        }
        if index <= self.base.index {
            return Ok(self.base.clone());
        }
        let base = self.meta_at(index);
        let dropped = usize::try_from(index - self.base.index).unwrap_or(usize::MAX);
        self.entries.drain(..dropped.min(self.entries.len()));
        self.confs.retain(|at| at.index > index);
        self.confs.insert(0, ConfAt { index, conf: base.conf.clone() });
        self.base = base.clone();
        Ok(base)
    }

    /// Total size of the entries in memory, see [`entry_bytes`].
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.entries.iter().map(entry_bytes).sum()
    }

    /// Index to compact to so that the last entries up to `index` remain, as many as both limits
    /// allow.
    #[must_use]
    pub fn trailing_start(&self, index: u64, max_entries: u64, max_bytes: usize) -> u64 {
        let lowest = index.saturating_sub(max_entries);
        let (mut start, mut bytes) = (index, 0);
        while start > lowest
            && let Some(entry) = self.entry(start)
        {
            bytes += entry_bytes(entry);
            if bytes > max_bytes {
                break;
            }
            start -= 1;
        }
        start
    }

    /// Metadata of a snapshot at an index; for a compacted index, that of the log's base snapshot.
    #[must_use]
    pub fn meta_at(&self, index: u64) -> SnapshotMeta {
        match self.term_at(index) {
            Some(term) if index > self.base.index => {
                SnapshotMeta { index, term, conf: self.conf_at(index).clone() }
            }
            _ => self.base.clone(),
        }
    }

    /// Newest members, committed or not.
    #[must_use]
    pub fn conf(&self) -> &ConfState {
        self.confs.last().map_or(&self.base.conf, |at| &at.conf)
    }

    /// Members as of an index.
    #[must_use]
    pub fn conf_at(&self, index: u64) -> &ConfState {
        let at = self.confs.iter().rev().find(|at| at.index <= index);
        at.map_or(&self.base.conf, |at| &at.conf)
    }

    /// Whether the newest membership change is not committed yet.
    #[must_use]
    pub fn conf_change_pending(&self) -> bool {
        self.confs.last().is_some_and(|at| at.index > self.commit)
    }

    fn push(&mut self, entry: Entry) {
        if let EntryKind::ConfChange(change) = entry.kind {
            let conf = self.conf().with(change);
            self.confs.push(ConfAt { index: entry.index, conf });
        }
        self.entries.push_back(entry);
    }

    fn truncate_from(&mut self, index: u64) {
        let retained = index.saturating_sub(self.first_index());
        self.entries.truncate(usize::try_from(retained).unwrap_or(usize::MAX));
        self.stable = self.stable.min(self.last_index());
        let last_index = self.last_index();
        self.confs.retain(|at| at.index <= last_index);
    }
}
