//! Recovery: replays records into each group's persistent state.

use std::collections::BTreeMap;

use hooklug_raft::{Entry, HardState, SnapshotMeta};
use hooklug_types::GroupId;

use crate::{GroupRecord, Record};

/// Persistent state of all groups in the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovered {
    /// State by group; includes removed replicas, for their hard state.
    pub groups: BTreeMap<GroupId, RecoveredGroup>,
}

/// Persistent state of a group.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveredGroup {
    /// Latest term, vote and commit index.
    pub hard_state: HardState,
    /// The snapshot that precedes the entries; `None` if the replica never had one.
    pub snapshot: Option<SnapshotMeta>,
    /// Contiguous entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Whether the replica was removed.
    pub removed: bool,
}

impl RecoveredGroup {
    /// Last index that the snapshot covers; 0 without a snapshot.
    #[must_use]
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |meta| meta.index)
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::Append(entries) => self.append(entries),
            Record::HardState(state) => self.hard_state = state,
            Record::Snapshot(meta) => self.apply_snapshot(meta),
            Record::Removed => {
                *self = Self { hard_state: self.hard_state, removed: true, ..Self::default() };
            }
        }
    }

    fn append(&mut self, entries: Vec<Entry>) {
        let Some(first) = entries.first().map(|e| e.index) else { return };
        self.removed = false;
        // A gap is either covered by a later snapshot or reported when the log is opened.
        let follows = self.entries.last().is_none_or(|last| first <= last.index + 1);
        if follows {
            self.entries.retain(|e| e.index < first);
        } else {
            self.entries.clear();
        }
        self.entries.extend(entries);
    }

    /// Applies a snapshot. It replaces the entries if it extends beyond them or conflicts with
    /// them; otherwise it only removes the entries that it covers.
    fn apply_snapshot(&mut self, meta: SnapshotMeta) {
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

    /// First index at which the entries are not contiguous, if any.
    fn gap(&self) -> Option<u64> {
        let expected = self.snapshot_index() + 1..;
        let mut positions = expected.zip(&self.entries);
        positions.find(|(index, entry)| entry.index != *index).map(|(index, _)| index)
    }
}

impl Recovered {
    /// Replays one record.
    pub(crate) fn apply(&mut self, record: GroupRecord) {
        self.groups.entry(record.group).or_default().apply(record.record);
    }

    /// A group whose log has a gap, and the missing index.
    pub(crate) fn gap(&self) -> Option<(GroupId, u64)> {
        self.groups.iter().find_map(|(group, state)| Some((*group, state.gap()?)))
    }

    /// The records at the start of a new segment, so that older segments are only needed for their
    /// entries.
    pub(crate) fn checkpoint(group_metas: &BTreeMap<GroupId, GroupMeta>) -> Vec<GroupRecord> {
        group_metas.iter().flat_map(|(group, meta)| meta.records(*group)).collect()
    }
}

/// Persistent state of a group without its entries.
#[derive(Debug, Clone, Default)]
pub(crate) struct GroupMeta {
    hard_state: HardState,
    snapshot: Option<SnapshotMeta>,
    removed: bool,
}

impl GroupMeta {
    pub(crate) fn from_recovered(state: &RecoveredGroup) -> Self {
        let (hard_state, removed) = (state.hard_state, state.removed);
        Self { hard_state, snapshot: state.snapshot.clone(), removed }
    }

    pub(crate) fn apply(&mut self, record: &Record) {
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

    /// Index up to which entries are not needed.
    pub(crate) fn covered_index(&self) -> u64 {
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
