//! A replica's disk: writes last only once they are synced; a crash keeps any prefix of the rest.

use std::collections::VecDeque;

use super::broken_rule::BrokenRule;
use crate::config::Restored;
use crate::message::{ConfState, Entry, HardState};
use crate::ready::{Snapshot, SnapshotMeta};

/// One write, in the order of writing.
#[derive(Debug, Clone)]
pub(crate) enum Write {
    HardState(HardState),
    /// One entry; drops what is there from its index on.
    Entry(Entry),
    /// A snapshot; drops entries up to its index, and all if they don't fit.
    Snapshot(Snapshot),
}

/// What is on a disk.
#[derive(Debug, Clone)]
struct Image {
    hard_state: HardState,
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
}

/// A disk with its unsynced writes.
#[derive(Debug, Clone)]
pub(crate) struct Disk {
    synced: Image,
    unsynced: VecDeque<Write>,
}

impl Disk {
    /// A disk that holds nothing but a group's first members.
    pub(crate) fn empty(conf: ConfState) -> Self {
        let meta = SnapshotMeta { index: 0, term: 0, conf };
        let snapshot = Snapshot { meta, data: Vec::new() };
        let synced = Image { hard_state: HardState::default(), snapshot, entries: VecDeque::new() };
        Self { synced, unsynced: VecDeque::new() }
    }

    pub(crate) fn write(&mut self, write: Write) {
        self.unsynced.push_back(write);
    }

    /// Makes all writes last. A broken rule leaves the last write of its kind unsynced.
    pub(crate) fn sync(&mut self, broken: Option<BrokenRule>) {
        let left_out = match broken {
            Some(BrokenRule::VoteNotSynced) => {
                self.unsynced.iter().rposition(|w| matches!(w, Write::HardState(_)))
            }
            Some(BrokenRule::EntriesNotSynced) => {
                self.unsynced.iter().rposition(|w| matches!(w, Write::Entry(_)))
            }
            _ => None,
        };
        let mut kept = VecDeque::new();
        for (place, write) in std::mem::take(&mut self.unsynced).into_iter().enumerate() {
            if Some(place) == left_out {
                kept.push_back(write);
            } else {
                self.synced.apply(write);
            }
        }
        self.unsynced = kept;
    }

    /// How many writes are not synced.
    pub(crate) fn unsynced(&self) -> usize {
        self.unsynced.len()
    }

    /// A crash after which only the first `kept` of the unsynced writes are there.
    pub(crate) fn crash(&mut self, kept: usize) {
        for write in std::mem::take(&mut self.unsynced).into_iter().take(kept) {
            self.synced.apply(write);
        }
    }

    /// What a start finds.
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

    /// An entry that would leave a gap is dropped: it followed one that was not kept.
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
