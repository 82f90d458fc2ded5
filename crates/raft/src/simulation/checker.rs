//! Checks raft's safety properties after every step. Observations are stored per log index, and
//! only the changes at the replica of the last step are examined.

use std::collections::{BTreeMap, HashMap};

use hooklug_types::NodeId;

use super::machine::{StateMachine, entry_digest};
use super::violation::Violation;
use crate::node::RawNode;
use crate::ready::Role;

/// An entry as first observed at any replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ObservedEntry {
    digest: u64,
    prev_term: Option<u64>,
}

/// An entry observed as committed.
#[derive(Debug, Clone, Copy)]
struct CommittedEntry {
    term: u64,
    /// Term of the replica that was first observed to have committed it, usually the leader.
    committed_in: u64,
}

/// The part of a replica's state that was already checked in its current run.
#[derive(Debug, Default)]
struct Checked {
    /// Term by index of the entries already compared.
    terms: HashMap<u64, u64>,
    commit: u64,
    leader_term: Option<u64>,
}

/// Records the observed states of all replicas and checks them against each other.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    leaders: HashMap<u64, NodeId>,
    entries: HashMap<(u64, u64), ObservedEntry>,
    committed: BTreeMap<u64, CommittedEntry>,
    /// State digest after each applied index.
    states: HashMap<u64, u64>,
    checked: HashMap<NodeId, Checked>,
    acknowledged: u64,
}

impl Checker {
    /// Discards the check progress of a crashed replica; its observed entries and states are
    /// retained.
    pub(crate) fn reset_replica(&mut self, node: NodeId) {
        self.checked.remove(&node);
    }

    /// Highest index that a client has observed, by an acknowledged write or a read.
    pub(crate) fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// Highest committed index.
    pub(crate) fn committed(&self) -> u64 {
        self.committed.last_key_value().map_or(0, |(index, _)| *index)
    }

    /// Checks a replica after a step, and other leaders against the entries that it committed.
    /// Returns whether the replica has just become leader.
    pub(crate) fn check<'a>(
        &mut self,
        raw: &RawNode,
        others: impl Iterator<Item = &'a RawNode>,
    ) -> Result<bool, Violation> {
        self.check_log(raw)?;
        let before = self.committed();
        self.check_commit(raw)?;
        let is_new_leader = self.check_leader(raw)?;
        if self.committed() > before {
            for other in others.filter(|o| o.role == Role::Leader && o.term > raw.term) {
                self.check_complete(other, before + 1)?;
            }
        }
        Ok(is_new_leader)
    }

    /// Records an acknowledged write.
    pub(crate) fn record_acknowledged(&mut self, index: u64) {
        self.acknowledged = self.acknowledged.max(index);
    }

    /// Checks a read result; `acknowledged` is the highest acknowledged index when the read
    /// started.
    pub(crate) fn check_read(
        &mut self,
        node: NodeId,
        acknowledged: u64,
        seen: u64,
    ) -> Result<(), Violation> {
        if seen < acknowledged {
            return Err(Violation::StaleRead { node, seen, acknowledged });
        }
        self.acknowledged = self.acknowledged.max(seen);
        Ok(())
    }

    /// Checks the state that a replica reached by applying an entry or installing a snapshot.
    pub(crate) fn check_state(
        &mut self,
        node: NodeId,
        machine: StateMachine,
    ) -> Result<(), Violation> {
        let known = *self.states.entry(machine.applied).or_insert(machine.digest);
        if known == machine.digest {
            Ok(())
        } else {
            Err(Violation::StateMismatch { node, index: machine.applied })
        }
    }

    /// Log matching: each (index, term) has one entry and one preceding term, so by induction one
    /// prefix. Compares from the end of the log down to the first entry already compared.
    fn check_log(&mut self, raw: &RawNode) -> Result<(), Violation> {
        let node = raw.config.id;
        let checked = self.checked.entry(node).or_default();
        let mut index = raw.log.last_index();
        while let Some(entry) = raw.log.entry(index) {
            let term = entry.term;
            if checked.terms.insert(index, term) == Some(term) {
                break;
            }
            let seen = ObservedEntry {
                digest: entry_digest(entry),
                prev_term: raw.log.term_at(index - 1),
            };
            let known = *self.entries.entry((index, term)).or_insert(seen);
            if known != seen {
                return Err(Violation::LogMismatch { node, index, term });
            }
            index -= 1;
        }
        Ok(())
    }

    fn check_commit(&mut self, raw: &RawNode) -> Result<(), Violation> {
        let node = raw.config.id;
        let checked = self.checked.entry(node).or_default();
        let commit = raw.log.commit();
        for index in checked.commit + 1..=commit {
            let Some(term) = raw.log.term_at(index) else { continue };
            let committed = CommittedEntry { term, committed_in: raw.term };
            if self.committed.entry(index).or_insert(committed).term != term {
                return Err(Violation::CommitMismatch { node, index });
            }
        }
        checked.commit = commit;
        Ok(())
    }

    fn check_leader(&mut self, raw: &RawNode) -> Result<bool, Violation> {
        let (node, term) = (raw.config.id, raw.term);
        let checked = self.checked.entry(node).or_default();
        if raw.role != Role::Leader || checked.leader_term == Some(term) {
            return Ok(false);
        }
        checked.leader_term = Some(term);
        let first = *self.leaders.entry(term).or_insert(node);
        if first != node {
            return Err(Violation::TwoLeaders { term, first, second: node });
        }
        self.check_complete(raw, 1)?;
        Ok(true)
    }

    /// Leader completeness: a leader holds all entries committed in earlier terms. If its votes
    /// were delayed, an entry may have been committed in a later term than the leader's; it may
    /// lack that one.
    fn check_complete(&self, leader: &RawNode, from: u64) -> Result<(), Violation> {
        let first = from.max(leader.log.first_index() - 1);
        for (index, entry) in self.committed.range(first..) {
            let is_due = entry.committed_in < leader.term;
            if is_due && leader.log.term_at(*index) != Some(entry.term) {
                let node = leader.config.id;
                return Err(Violation::LeaderIncomplete { node, term: leader.term, index: *index });
            }
        }
        Ok(())
    }
}
