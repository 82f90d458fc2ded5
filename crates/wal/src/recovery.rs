//! From records back to each group's persistent state.

use std::collections::BTreeMap;

use hooklug_raft::{Entry, HardState, SnapshotMeta};
use hooklug_types::GroupId;

use crate::{GroupRecord, Record};

/// All groups that the log holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovered {
    /// By group; removed replicas too, for their hard state.
    pub groups: BTreeMap<GroupId, RecoveredGroup>,
}

/// One group's persistent state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveredGroup {
    /// Newest term, vote and commit index.
    pub hard_state: HardState,
    /// The snapshot that covers the log's start; `None` for a replica that never had one.
    pub snapshot: Option<SnapshotMeta>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
    /// Whether the replica was removed.
    pub removed: bool,
}

impl RecoveredGroup {
    /// Index that the snapshot covers; 0 without one.
    #[must_use]
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |meta| meta.index)
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::Append(entries) => self.append(entries),
            Record::HardState(state) => self.hard_state = state,
            Record::Snapshot(meta) => self.cover(meta),
            Record::Removed => {
                *self = Self { hard_state: self.hard_state, removed: true, ..Self::default() };
            }
        }
    }

    fn append(&mut self, entries: Vec<Entry>) {
        let Some(first) = entries.first().map(|e| e.index) else { return };
        self.removed = false;
        // A gap is filled by a later snapshot, or found by `check`.
        let follows = self.entries.last().is_none_or(|last| first <= last.index + 1);
        if follows {
            self.entries.retain(|e| e.index < first);
        } else {
            self.entries.clear();
        }
        self.entries.extend(entries);
    }

    /// A snapshot replaces a log that it goes beyond or contradicts; else it only cuts the log's start.
    fn cover(&mut self, meta: SnapshotMeta) {
        self.removed = false;
        let beyond = self.entries.last().is_none_or(|last| last.index < meta.index);
        let contradicts = |e: &Entry| e.index == meta.index && e.term != meta.term;
        if beyond || self.entries.iter().any(contradicts) {
            self.entries.clear();
        } else {
            self.entries.retain(|e| e.index > meta.index);
        }
        self.snapshot = Some(meta);
    }

    /// The first index that is missing or out of place, if any.
    fn gap(&self) -> Option<u64> {
        let expected = self.snapshot_index() + 1..;
        let mut places = expected.zip(&self.entries);
        places.find(|(index, entry)| entry.index != *index).map(|(index, _)| index)
    }
}

impl Recovered {
    /// Replays one record.
    pub(crate) fn apply(&mut self, record: GroupRecord) {
        self.groups.entry(record.group).or_default().apply(record.record);
    }

    /// A group whose log has a gap, and where.
    pub(crate) fn gap(&self) -> Option<(GroupId, u64)> {
        self.groups.iter().find_map(|(group, state)| Some((*group, state.gap()?)))
    }

    /// What a new segment starts with, so that older ones are only needed for entries.
    pub(crate) fn checkpoint(heads: &BTreeMap<GroupId, GroupHead>) -> Vec<GroupRecord> {
        heads.iter().flat_map(|(group, head)| head.records(*group)).collect()
    }
}

/// A group's persistent state without its entries.
#[derive(Debug, Clone, Default)]
pub(crate) struct GroupHead {
    hard_state: HardState,
    snapshot: Option<SnapshotMeta>,
    removed: bool,
}

impl GroupHead {
    pub(crate) fn of(state: &RecoveredGroup) -> Self {
        let (hard_state, removed) = (state.hard_state, state.removed);
        Self { hard_state, snapshot: state.snapshot.clone(), removed }
    }

    pub(crate) fn note(&mut self, record: &Record) {
        match record {
            Record::Append(_) => self.removed = false,
            Record::HardState(state) => self.hard_state = *state,
            Record::Snapshot(meta) => {
                self.removed = false;
                self.snapshot = Some(meta.clone());
            }
            Record::Removed => {
                self.removed = true;
                self.snapshot = None;
            }
        }
    }

    /// Entries up to this index are not needed.
    pub(crate) fn covered(&self) -> u64 {
        if self.removed { u64::MAX } else { self.snapshot.as_ref().map_or(0, |s| s.index) }
    }

    fn records(&self, group: GroupId) -> Vec<GroupRecord> {
        let mut records = vec![Record::HardState(self.hard_state)];
        records.extend(self.snapshot.clone().map(Record::Snapshot));
        if self.removed {
            records.push(Record::Removed);
        }
        records.into_iter().map(|record| GroupRecord { group, record }).collect()
    }
}
