//! Members of a group: what a change does to them, and what a quorum of them is.
//!
//! Ours: a change takes effect when its entry is **appended**, not when it is applied (Raft
//! dissertation, section 4.1), and is undone when the entry is truncated. The invariant is that
//! two neighbouring configurations differ by one voter, so any quorum of one shares a replica with
//! any quorum of the other. It holds because a leader appends a change only when the change before
//! is committed and an entry of its own term is committed.

use hooklug_types::NodeId;

use crate::message::{ConfChange, ConfState};

impl ConfState {
    /// Members after a change. Total: a change that does not fit leaves the members as they are.
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

    /// Whether a replica is a member of either kind.
    #[must_use]
    pub fn contains(&self, node: NodeId) -> bool {
        self.voters.contains(&node) || self.learners.contains(&node)
    }

    /// Members of both kinds, voters first.
    pub fn members(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Whether a majority of the voters satisfies a condition; never for an empty voter set.
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
