//! Compares the log with a model that uses a plain list.

use crate::common::voters;
use hooklug_raft::raft_log::{RaftLog, entry_bytes};
use hooklug_raft::{ConfChange, Entry, EntryKind, SnapshotMeta};
use hooklug_types::NodeId;
use proptest::prelude::*;

/// An operation on the log; positions are limited to the range that the log allows.
#[derive(Debug, Clone)]
enum Operation {
    /// Appends an entry as leader: a membership change if `member` is set.
    Append {
        member: Option<u64>,
    },
    /// Replaces the last `back` entries with entries of a new leader.
    Replace {
        back: u64,
        count: u64,
    },
    /// Receives the last `back` entries a second time.
    Repeat {
        back: u64,
    },
    Commit(u64),
    Stable(u64),
    Apply(u64),
    Compact(u64),
}

fn operations() -> impl Strategy<Value = Vec<Operation>> {
    let operation = prop_oneof![
        4 => proptest::option::weighted(0.3, 4u64..8).prop_map(|member| Operation::Append { member }),
        2 => (0u64..6, 0u64..4).prop_map(|(back, count)| Operation::Replace { back, count }),
        1 => (0u64..6).prop_map(|back| Operation::Repeat { back }),
        2 => (0u64..20).prop_map(Operation::Commit),
        2 => (0u64..20).prop_map(Operation::Stable),
        2 => (0u64..20).prop_map(Operation::Apply),
        1 => (0u64..20).prop_map(Operation::Compact),
    ];
    proptest::collection::vec(operation, 1..80)
}

/// The complete log from index 1, never compacted, and the expected indexes.
#[derive(Debug, Default)]
struct Model {
    entries: Vec<Entry>,
    term: u64,
    stable: u64,
    commit: u64,
    applied: u64,
    compacted: u64,
}

impl Model {
    fn last(&self) -> u64 {
        self.entries.len() as u64
    }

    fn term_at(&self, index: u64) -> u64 {
        if index == 0 { 0 } else { self.entries[index as usize - 1].term }
    }

    fn run(&mut self, log: &mut RaftLog, operation: &Operation) {
        match *operation {
            Operation::Append { member } => self.append(log, member),
            Operation::Replace { back, count } => self.replace(log, back, count),
            Operation::Repeat { back } => {
                let prev = self.last().saturating_sub(back).max(self.compacted);
                let again = self.entries[prev as usize..].to_vec();
                assert_eq!(log.append_matched(prev, again), Some(self.last()));
            }
            Operation::Commit(index) => {
                self.commit = self.commit.max(index.min(self.last()));
                log.commit_to(index);
            }
            Operation::Stable(index) => {
                let index = index.min(self.last());
                self.stable = self.stable.max(index);
                log.stable_to(index, self.term_at(index));
            }
            Operation::Apply(index) => {
                self.applied = self.applied.max(index.min(self.commit));
                log.applied_to(index);
            }
            Operation::Compact(index) => {
                assert_eq!(log.compact(index).is_ok(), index <= self.applied);
                if index <= self.applied {
                    self.compacted = self.compacted.max(index);
                    self.stable = self.stable.max(index);
                    log.stable_to(index, self.term_at(index));
                }
            }
        }
    }

    fn append(&mut self, log: &mut RaftLog, member: Option<u64>) {
        self.term = self.term.max(1);
        let change = |node| EntryKind::ConfChange(ConfChange::AddLearner(NodeId(node)));
        let kind = member.map_or(EntryKind::Noop, change);
        let index = log.append(self.term, kind.clone());
        self.entries.push(Entry { term: self.term, index, kind });
        assert_eq!(index, self.last());
    }

    fn replace(&mut self, log: &mut RaftLog, back: u64, count: u64) {
        self.term += 1;
        let prev = self.last().saturating_sub(back).max(self.commit);
        let new = |index| Entry { term: self.term, index, kind: EntryKind::Noop };
        let entries: Vec<Entry> = (prev + 1..=prev + count).map(new).collect();
        assert_eq!(log.append_matched(prev, entries.clone()), Some(prev + count));
        if !entries.is_empty() {
            self.entries.truncate(prev as usize);
            self.entries.extend(entries);
            self.stable = self.stable.min(prev);
        }
    }

    fn check(&self, log: &RaftLog) {
        assert_eq!(log.last_index(), self.last());
        assert_eq!(log.commit(), self.commit);
        assert_eq!(log.applied(), self.applied);
        assert_eq!(log.stable(), self.stable);
        assert_eq!(log.first_index(), self.compacted + 1);
        for index in self.compacted..=self.last() {
            assert_eq!(log.term_at(index), Some(self.term_at(index)), "term at {index}");
        }
        assert_eq!(log.term_at(self.last() + 1), None);
        assert_eq!(log.unstable_entries(), self.entries[self.stable as usize..]);
        let due = &self.entries[self.applied as usize..self.commit as usize];
        assert_eq!(log.committed_entries(usize::MAX), due);
        self.check_conf(log);
    }

    fn check_conf(&self, log: &RaftLog) {
        let mut conf = voters(&[1, 2, 3]);
        for index in 0..=self.last() {
            if index > 0
                && let EntryKind::ConfChange(change) = self.entries[index as usize - 1].kind
            {
                conf = conf.with(change);
            }
            if index >= self.compacted {
                assert_eq!(*log.conf_at(index), conf, "members at {index}");
            }
        }
        assert_eq!(*log.conf(), conf);
    }
}

proptest! {
    #[test]
    fn the_raft_log_matches_a_list_model(operations in operations()) {
        let base = SnapshotMeta { index: 0, term: 0, conf: voters(&[1, 2, 3]) };
        let mut log = RaftLog::new(base, Vec::new()).expect("an empty log");
        let mut model = Model::default();
        for operation in &operations {
            model.run(&mut log, operation);
            model.check(&log);
        }
    }

    #[test]
    fn a_committed_entry_is_never_replaced(committed in 1u64..10, at in 1u64..10) {
        let base = SnapshotMeta { index: 0, term: 0, conf: voters(&[1]) };
        let mut log = RaftLog::new(base, Vec::new()).expect("an empty log");
        for _ in 0..10 {
            log.append(1, EntryKind::Noop);
        }
        log.commit_to(committed);
        let other = Entry { term: 2, index: at, kind: EntryKind::Noop };
        let matched = log.append_matched(at - 1, vec![other]);
        prop_assert_eq!(matched.is_some(), at > committed);
        prop_assert_eq!(log.term_at(committed), Some(1));
    }

    #[test]
    fn entries_with_a_gap_are_refused(first in 0u64..5, gap in 1u64..5) {
        let base = SnapshotMeta { index: 0, term: 0, conf: voters(&[1]) };
        let entry = |index| Entry { term: 1, index, kind: EntryKind::Noop };
        let entries = vec![entry(first + 1), entry(first + 2 + gap)];
        prop_assert!(RaftLog::new(base.clone(), entries.clone()).is_err());
        let mut log = RaftLog::new(base, Vec::new()).expect("an empty log");
        prop_assert_eq!(log.append_matched(first, entries), None);
        prop_assert_eq!(log.last_index(), 0);
    }
}

#[test]
fn trailing_entries_are_bounded_by_count_and_bytes() {
    let base = SnapshotMeta { index: 0, term: 0, conf: voters(&[1]) };
    let mut log = RaftLog::new(base, Vec::new()).expect("an empty log");
    for _ in 0..10 {
        log.append(1, EntryKind::Command(vec![0; 100].into()));
    }
    let one = entry_bytes(log.entry(log.last_index()).unwrap());
    let last = log.last_index();
    assert_eq!(log.trailing_start(last, 3, usize::MAX), last - 3);
    assert_eq!(log.trailing_start(last, u64::MAX, 4 * one), last - 4);
    assert_eq!(log.trailing_start(last, 3, one - 1), last, "the limit is below one entry");
    assert_eq!(log.trailing_start(last, u64::MAX, usize::MAX), last - 10, "all entries");
}
