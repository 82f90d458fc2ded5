//! Helpers for the tests of the write-ahead log.

#![allow(dead_code, reason = "each test binary uses only some of the helpers")]

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::channel;

use hooklug_raft::{ConfState, Entry, EntryKind, HardState, SnapshotMeta};
use hooklug_types::{GroupId, NodeId};
use hooklug_wal::{
    Files, GroupRecord, OsFiles, Record, Recovered, RecoveredGroup, Wal, WalError, WalOptions,
};

pub fn entry(index: u64, term: u64) -> Entry {
    Entry { term, index, kind: EntryKind::Command(format!("{term}.{index}").into_bytes().into()) }
}

pub fn append(group: u32, indexes: std::ops::RangeInclusive<u64>, term: u64) -> GroupRecord {
    record(group, Record::Append(indexes.map(|index| entry(index, term)).collect()))
}

pub fn hard_state(group: u32, term: u64, commit: u64) -> GroupRecord {
    record(group, Record::HardState(HardState { term, vote: Some(NodeId(term)), commit }))
}

pub fn snapshot(group: u32, index: u64, term: u64) -> GroupRecord {
    let conf = ConfState { voters: [NodeId(1), NodeId(2)].into(), learners: [].into() };
    record(group, Record::Snapshot(SnapshotMeta { index, term, conf }))
}

pub fn record(group: u32, record: Record) -> GroupRecord {
    GroupRecord { group: GroupId(group), record }
}

pub fn open(folder: &Path, segment_bytes: u64) -> Result<(Wal, Recovered), WalError> {
    open_with(Arc::new(OsFiles), folder, segment_bytes)
}

pub fn open_with(
    files: Arc<dyn Files>,
    folder: &Path,
    segment_bytes: u64,
) -> Result<(Wal, Recovered), WalError> {
    Wal::open(files, folder, WalOptions { segment_bytes })
}

/// Appends records and waits until they are durable or rejected.
pub fn write(wal: &Wal, records: Vec<GroupRecord>) -> Result<(), WalError> {
    let (done, result) = channel();
    wal.append(records, true, Box::new(move |outcome| drop(done.send(outcome))));
    result.recv().expect("the writer calls the callback")
}

/// The state that must be recovered from a log with these records.
pub fn replayed(records: &[GroupRecord]) -> BTreeMap<GroupId, RecoveredGroup> {
    let mut groups: BTreeMap<GroupId, RecoveredGroup> = BTreeMap::new();
    for GroupRecord { group, record } in records {
        let state = groups.entry(*group).or_default();
        match record {
            Record::HardState(hard_state) => state.hard_state = *hard_state,
            Record::Append(entries) => {
                state.removed = false;
                state.entries.retain(|e| e.index < entries[0].index);
                state.entries.extend(entries.iter().cloned());
            }
            Record::Snapshot(meta) => {
                state.removed = false;
                let last = state.entries.last().map_or(state.snapshot_index(), |e| e.index);
                state.entries.retain(|e| last >= meta.index && e.index > meta.index);
                state.snapshot = Some(meta.clone());
            }
            Record::Removed => {
                let hard_state = state.hard_state;
                *state = RecoveredGroup { hard_state, removed: true, ..RecoveredGroup::default() };
            }
        }
    }
    groups
}
