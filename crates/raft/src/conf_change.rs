//! Membership of a group: applying membership changes and computing quorums.
//!
//! A change takes effect when its entry is **appended**, not when it is applied (Raft dissertation,
//! section 4.1), and is reverted when the entry is truncated. Two consecutive configurations differ
//! by one voter, so any quorum of one intersects any quorum of the other. This holds because a
//! leader appends a change only after the previous change and an entry of its own term are
//! committed.

use hooklug_types::NodeId;

use crate::message::{ConfChange, ConfState};

impl ConfState {
    /// Returns the members after a change. An inapplicable change leaves the members unchanged.
    #[must_use]
    pub fn with(&self, change: ConfChange) -> Self {
        let mut next = self.clone();
        match change {
            ConfChange::AddLearner(node) => {
                if !next.voters.contains(&node) {
                    next.learners.insert(node);
                }
            }
            ConfChange::PromoteVoter(node) => {
                next.learners.remove(&node);
                next.voters.insert(node);
            }
            ConfChange::Remove(node) => {
                next.learners.remove(&node);
                if next.voters.len() > 1 {
                    next.voters.remove(&node);
                }
            }
        }
        next
    }

    /// Whether a replica is a voter or a learner.
    #[must_use]
    pub fn contains(&self, node: NodeId) -> bool {
        self.voters.contains(&node) || self.learners.contains(&node)
    }

    /// All members, voters first.
    pub fn members(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Whether a majority of the voters satisfies a predicate; false for an empty voter set.
    pub fn is_quorum(&self, holds: impl Fn(NodeId) -> bool) -> bool {
        self.voters.iter().filter(|node| holds(**node)).count() > self.voters.len() / 2
    }

    /// Highest value that a majority of the voters has reached; 0 for an empty voter set.
    pub fn quorum_value(&self, value: impl Fn(NodeId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters.iter().map(|node| value(*node)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(values.len() / 2).copied().unwrap_or(0)
    }
}
