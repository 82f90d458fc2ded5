//! The recovered content does not depend on how records are distributed over segments.

mod support;

use hooklug_types::GroupId;
use hooklug_wal::{Block, GroupRecord, OsFiles, Record, SnapshotStore, WalError};
use proptest::prelude::*;
use std::sync::Arc;
use support::{append, hard_state, open, record, replayed, snapshot, write};

/// An operation of a group that follows raft's rules: indexes are contiguous, and a compaction
/// covers existing entries only.
#[derive(Debug, Clone)]
enum Step {
    Append { count: u64 },
    Overwrite { back: u64, count: u64 },
    Compact { keep: u64 },
    Install { ahead: u64 },
    HardState,
    Remove,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1..5_u64).prop_map(|count| Step::Append { count }),
        2 => (1..4_u64, 1..5_u64).prop_map(|(back, count)| Step::Overwrite { back, count }),
        3 => (0..4_u64).prop_map(|keep| Step::Compact { keep }),
        1 => (1..9_u64).prop_map(|ahead| Step::Install { ahead }),
        2 => Just(Step::HardState),
        1 => Just(Step::Remove),
    ]
}

/// Log position of a group while records are generated.
#[derive(Debug, Clone, Copy, Default)]
struct Cursor {
    first: u64,
    last: u64,
    term: u64,
    term_start: u64,
}

impl Cursor {
    fn record(&mut self, group: u32, step: &Step) -> GroupRecord {
        match *step {
            Step::Append { count } => self.append(group, self.last + 1, count),
            Step::Overwrite { back, count } => {
                let from = (self.last + 1).saturating_sub(back).max(self.first + 1);
                (self.term, self.term_start) = (self.term + 1, from);
                self.append(group, from, count)
            }
            Step::Compact { keep } => {
                let index = self.last.saturating_sub(keep).max(self.first);
                if index < self.term_start.max(1) {
                    return hard_state(group, self.term, self.first);
                }
                self.first = index;
                snapshot(group, index, self.term)
            }
            Step::Install { ahead } => {
                let index = self.last + ahead;
                *self = Self { first: index, last: index, term: self.term, term_start: index };
                snapshot(group, index, self.term)
            }
            Step::HardState => hard_state(group, self.term, self.first),
            Step::Remove => {
                *self = Self { term: self.term + 1, ..Self::default() };
                record(group, Record::Removed)
            }
        }
    }

    fn append(&mut self, group: u32, from: u64, count: u64) -> GroupRecord {
        self.last = from + count - 1;
        append(group, from..=self.last, self.term)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_reopened_log_holds_what_was_appended(
        steps in prop::collection::vec((1..4_u32, step()), 1..60),
        reopen_every in 5..40_usize,
    ) {
        let folder = tempfile::tempdir().unwrap();
        let (mut wal, _) = open(folder.path(), 300).unwrap();
        let mut cursors = [Cursor::default(); 4];
        let mut records = Vec::new();
        for (count, (group, step)) in steps.iter().enumerate() {
            let generated = cursors[*group as usize].record(*group, step);
            records.push(generated.clone());
            write(&wal, vec![generated]).unwrap();
            if count % reopen_every == 0 {
                wal.close();
                let (reopened, recovered) = open(folder.path(), 300).unwrap();
                prop_assert_eq!(&recovered.groups, &replayed(&records));
                wal = reopened;
            }
        }
        wal.close();
        let (_, recovered) = open(folder.path(), 300).unwrap();
        prop_assert_eq!(recovered.groups, replayed(&records));
    }

    #[test]
    fn blocks_decode_to_what_was_encoded(
        synced in any::<u64>(),
        steps in prop::collection::vec((1..4_u32, step()), 0..20),
        rest in prop::collection::vec(any::<u8>(), 0..40),
    ) {
        let mut cursors = [Cursor::default(); 4];
        let records = steps.iter().map(|(g, s)| cursors[*g as usize].record(*g, s)).collect();
        let block = Block { synced, records };
        let mut bytes = block.encode().unwrap();
        let length = bytes.len();
        bytes.extend(rest);
        prop_assert_eq!(Block::decode(&bytes), Ok((block, length)));
    }
}

#[test]
fn segments_covered_by_snapshots_are_removed_and_pinning_groups_reported() {
    let folder = tempfile::tempdir().unwrap();
    let (wal, _) = open(folder.path(), 400).unwrap();
    write(&wal, vec![append(2, 1..=1, 1), hard_state(2, 1, 1)]).unwrap();
    for index in 1..=100 {
        write(&wal, vec![append(1, index..=index, 1)]).unwrap();
    }
    let before = wal.segments();
    assert!(before > 5);
    write(&wal, vec![snapshot(1, 99, 1)]).unwrap();
    assert_eq!(wal.segments(), before, "group 2 still needs the oldest segment");
    assert_eq!(wal.groups_pinning_oldest(3), vec![GroupId(2)]);
    write(&wal, vec![snapshot(2, 1, 1)]).unwrap();
    assert!(wal.segments() <= 2);
    assert!(wal.groups_pinning_oldest(0).len() <= 1);
    wal.close();
    let (_, recovered) = open(folder.path(), 400).unwrap();
    assert_eq!(recovered.groups[&GroupId(1)].entries, vec![support::entry(100, 1)]);
    assert_eq!(recovered.groups[&GroupId(2)].hard_state.commit, 1);
}

#[test]
fn a_snapshot_that_contradicts_the_log_replaces_it() {
    let folder = tempfile::tempdir().unwrap();
    let (wal, _) = open(folder.path(), 1 << 20).unwrap();
    write(&wal, vec![append(1, 1..=9, 1), snapshot(1, 5, 2)]).unwrap();
    write(&wal, vec![append(1, 6..=7, 2)]).unwrap();
    wal.close();
    let (_, recovered) = open(folder.path(), 1 << 20).unwrap();
    let entries = &recovered.groups[&GroupId(1)].entries;
    assert_eq!(entries, &vec![support::entry(6, 2), support::entry(7, 2)]);
}

#[test]
fn the_term_of_a_removed_replica_is_retained() {
    let folder = tempfile::tempdir().unwrap();
    let (wal, _) = open(folder.path(), 1 << 20).unwrap();
    write(&wal, vec![hard_state(1, 7, 3), append(1, 1..=3, 7)]).unwrap();
    write(&wal, vec![record(1, Record::Removed)]).unwrap();
    wal.close();
    let (_, recovered) = open(folder.path(), 1 << 20).unwrap();
    let group = &recovered.groups[&GroupId(1)];
    assert!(group.removed && group.entries.is_empty());
    assert_eq!(group.hard_state.term, 7);
}

#[test]
fn damaged_snapshots_are_refused() {
    let folder = tempfile::tempdir().unwrap();
    let store = SnapshotStore::open(Arc::new(OsFiles), folder.path()).unwrap();
    let group = GroupId(3);
    store.write(group, 5, b"five").unwrap();
    store.write(group, 9, b"nine").unwrap();
    assert_eq!(store.read(group, 9).unwrap(), b"nine");
    store.remove_before(group, 9).unwrap();
    assert_eq!(store.indexes(group).unwrap(), vec![9]);
    let path = std::fs::read_dir(folder.path()).unwrap().next().unwrap().unwrap().path();
    let bytes = std::fs::read(&path).unwrap();
    for position in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[position] ^= 1;
        std::fs::write(&path, &damaged).unwrap();
        assert!(
            matches!(store.read(group, 9), Err(WalError::Corrupt { .. })),
            "flip at {position}"
        );
    }
}
