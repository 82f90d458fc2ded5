//! A replica's state for operators and for decisions of the shell.

use hooklug_types::NodeId;

use crate::message::ConfState;
use crate::node::RawNode;
use crate::progress::ProgressState;
use crate::ready::Role;

/// Place of a proposal in the log. It is committed only if the entry that commits at `index` has
/// this `term`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogPosition {
    /// Term of the entry.
    pub term: u64,
    /// Index of the entry.
    pub index: u64,
}

/// What a leader knows of one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaProgress {
    /// The replica.
    pub node: NodeId,
    /// Highest index known to match the leader's log.
    pub matched: u64,
    /// Whether it was heard from within the last two election timeouts; the leader itself always.
    pub active: bool,
    /// How the leader sends to it.
    pub state: ProgressState,
}

/// A replica's state at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// This replica.
    pub id: NodeId,
    /// What it is.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// The leader, as far as it is known.
    pub leader: Option<NodeId>,
    /// Highest index known to be committed.
    pub commit: u64,
    /// Highest applied index.
    pub applied: u64,
    /// Last index of its log.
    pub last_index: u64,
    /// Newest members, committed or not.
    pub conf: ConfState,
    /// Progress of all members; empty unless it leads.
    pub progress: Vec<ReplicaProgress>,
}

impl RawNode {
    /// What the replica is.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// The leader, as far as it is known.
    #[must_use]
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// State at this moment.
    #[must_use]
    pub fn status(&self) -> Status {
        Status {
            id: self.config.id,
            role: self.role,
            term: self.term,
            leader: self.leader,
            commit: self.log.commit(),
            applied: self.log.applied(),
            last_index: self.log.last_index(),
            conf: self.log.conf().clone(),
            progress: self.replica_progress(),
        }
    }

    /// Bytes of the log's entries that are held in memory.
    #[must_use]
    pub fn log_bytes(&self) -> usize {
        self.log.held_bytes()
    }

    fn replica_progress(&self) -> Vec<ReplicaProgress> {
        let of = |(node, progress): (&NodeId, &crate::progress::Progress)| ReplicaProgress {
            node: *node,
            matched: progress.matched(),
            active: progress.lately_active() || *node == self.config.id,
            state: progress.state(),
        };
        self.progress.iter().map(of).collect()
    }
}
