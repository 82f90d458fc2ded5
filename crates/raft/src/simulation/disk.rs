//! Simulated disk: synced writes are durable; a crash keeps an arbitrary prefix of the unsynced
//! ones.

use std::collections::VecDeque;

use super::broken_rule::BrokenRule;
use crate::config::Restored;
use crate::message::{ConfState, Entry, HardState};
use crate::ready::{Snapshot, SnapshotMeta};

/// A single write.
#[derive(Debug, Clone)]
pub(crate) enum Write {
    HardState(HardState),
    /// Appends an entry and removes existing entries from its index on.
    Entry(Entry),
    /// Stores a snapshot and removes the entries up to its index, or all if they conflict with it.
    Snapshot(Snapshot),
}

/// Contents of a disk.
#[derive(Debug, Clone)]
struct Image {
    hard_state: HardState,
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
}

/// A disk and its unsynced writes.
#[derive(Debug, Clone)]
pub(crate) struct Disk {
    synced: Image,
    unsynced: VecDeque<Write>,
}

impl Disk {
    /// Creates a disk that holds only the initial members of a group.
    pub(crate) fn empty(conf: ConfState) -> Self {
        let meta = SnapshotMeta { index: 0, term: 0, conf };
        let snapshot = Snapshot { meta, data: Vec::new() };
        let synced = Image { hard_state: HardState::default(), snapshot, entries: VecDeque::new() };
        Self { synced, unsynced: VecDeque::new() }
    }

    pub(crate) fn write(&mut self, write: Write) {
        self.unsynced.push_back(write);
    }

    /// Makes all writes durable. With a broken sync rule, the last write of the affected kind stays
    /// unsynced.
    pub(crate) fn sync(&mut self, broken: Option<BrokenRule>) {
        let skipped = match broken {
            Some(BrokenRule::VoteNotSynced) => {
                self.unsynced.iter().rposition(|w| matches!(w, Write::HardState(_)))
            }
            Some(BrokenRule::EntriesNotSynced) => {
                self.unsynced.iter().rposition(|w| matches!(w, Write::Entry(_)))
            }
            _ => None,
        };
        let mut remaining = VecDeque::new();
        for (position, write) in std::mem::take(&mut self.unsynced).into_iter().enumerate() {
            if Some(position) == skipped {
                remaining.push_back(write);
            } else {
                self.synced.apply(write);
            }
        }
        self.unsynced = remaining;
    }

    /// Number of unsynced writes.
    pub(crate) fn unsynced(&self) -> usize {
        self.unsynced.len()
    }

    /// Simulates a crash that keeps only the first `count` unsynced writes.
    pub(crate) fn crash(&mut self, count: usize) {
        for write in std::mem::take(&mut self.unsynced).into_iter().take(count) {
            self.synced.apply(write);
        }
    }

    /// Returns the persistent state and the snapshot data as found at startup.
    pub(crate) fn restore(&self) -> (Restored, Vec<u8>) {
        let image = &self.synced;
        let restored = Restored {
            hard_state: image.hard_state,
            snapshot: image.snapshot.meta.clone(),
            entries: image.entries.iter().cloned().collect(),
        };
        (restored, image.snapshot.data.clone())
    }
}

impl Image {
    fn apply(&mut self, write: Write) {
        match write {
            Write::HardState(state) => self.hard_state = state,
            Write::Entry(entry) => self.append(entry),
            Write::Snapshot(snapshot) => self.install(snapshot),
        }
    }

    /// Appends an entry. An entry that would leave a gap is ignored: it follows one that was lost
    /// in a crash.
    fn append(&mut self, entry: Entry) {
        let first = self.snapshot.meta.index + 1;
        let next = first + self.entries.len() as u64;
        if entry.index >= first && entry.index <= next {
            self.entries.truncate(usize::try_from(entry.index - first).unwrap_or(usize::MAX));
            self.entries.push_back(entry);
        }
    }

    fn install(&mut self, snapshot: Snapshot) {
        let meta = &snapshot.meta;
        let old = &self.snapshot.meta;
        let is_same = (meta.index, meta.term) == (old.index, old.term);
        let fits = self.entries.iter().any(|e| e.index == meta.index && e.term == meta.term);
        if fits || is_same {
            self.entries.retain(|entry| entry.index > meta.index);
        } else {
            self.entries.clear();
        }
        self.snapshot = snapshot;
    }
}
