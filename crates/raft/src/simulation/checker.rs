//! The promises, checked after every step from what the replicas hold. Everything is kept per
//! index of one log, and only what changed at the replica of the step is looked at.

use std::collections::{BTreeMap, HashMap};

use hooklug_types::NodeId;

use super::machine::{StateMachine, entry_digest};
use super::violation::Violation;
use crate::node::RawNode;
use crate::ready::Role;

/// An entry as first seen anywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SeenEntry {
    digest: u64,
    prev_term: Option<u64>,
}

/// A committed entry.
#[derive(Debug, Clone, Copy)]
struct CommittedEntry {
    term: u64,
    /// Term of the replica at which it was first seen committed, as a rule the leader's.
    committed_in: u64,
}

/// What was already checked of one run of one replica.
#[derive(Debug, Default)]
struct Checked {
    /// Term of each index whose entry was compared.
    terms: HashMap<u64, u64>,
    commit: u64,
    leader_term: Option<u64>,
}

/// Knows everything that any replica has shown.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    leaders: HashMap<u64, NodeId>,
    entries: HashMap<(u64, u64), SeenEntry>,
    committed: BTreeMap<u64, CommittedEntry>,
    /// State after each applied index.
    states: HashMap<u64, u64>,
    checked: HashMap<NodeId, Checked>,
    acknowledged: u64,
}

impl Checker {
    /// Forgets what was checked of a replica that crashed; what it has shown stays.
    pub(crate) fn restarted(&mut self, node: NodeId) {
        self.checked.remove(&node);
    }

    /// Highest index that a client was told of, by a write's acknowledgement or a read.
    pub(crate) fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// Highest committed index.
    pub(crate) fn committed(&self) -> u64 {
        self.committed.last_key_value().map_or(0, |(index, _)| *index)
    }

    /// Checks a replica after a step, and the other leaders against what it committed. Gives
    /// whether the replica has just become a leader.
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

    /// A write was acknowledged.
    pub(crate) fn write_acknowledged(&mut self, index: u64) {
        self.acknowledged = self.acknowledged.max(index);
    }

    /// A read that began when `acknowledged` was the highest index known was answered.
    pub(crate) fn read_answered(
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

    /// A replica applied an entry or installed a snapshot.
    pub(crate) fn state_reached(
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

    /// Log matching: each (index, term) has one entry and one term before it, so by induction one
    /// past. Goes down from the end to the first place already compared.
    fn check_log(&mut self, raw: &RawNode) -> Result<(), Violation> {
        let node = raw.config.id;
        let checked = self.checked.entry(node).or_default();
        let mut index = raw.log.last_index();
        while let Some(entry) = raw.log.entry(index) {
            let term = entry.term;
            if checked.terms.insert(index, term) == Some(term) {
                break;
            }
            let seen =
                SeenEntry { digest: entry_digest(entry), prev_term: raw.log.term_at(index - 1) };
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

    /// A leader holds what was committed in earlier terms. An old entry may be committed in a later
    /// term than that of a leader whose votes were long on their way; that leader may lack it.
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
