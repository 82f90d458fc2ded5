//! Status of a replica, for operators and for the driver.

use hooklug_types::NodeId;

use crate::message::ConfState;
use crate::node::RawNode;
use crate::progress::ProgressState;
use crate::ready::Role;

/// Position of a proposal in the log. The proposal is committed only if the entry committed at
/// `index` has this `term`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogPosition {
    /// Term of the entry.
    pub term: u64,
    /// Index of the entry.
    pub index: u64,
}

/// Replication progress of one replica, as seen by the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaProgress {
    /// The replica.
    pub node: NodeId,
    /// Highest index known to match the leader's log.
    pub matched: u64,
    /// Whether it was heard from within the last two election timeouts; always true for the leader.
    pub active: bool,
    /// Replication mode of the leader towards it.
    pub state: ProgressState,
}

/// Snapshot of a replica's raft state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// This replica.
    pub id: NodeId,
    /// Its current role.
    pub role: Role,
    /// Its current term.
    pub term: u64,
    /// The current leader, if known.
    pub leader: Option<NodeId>,
    /// Highest index known to be committed.
    pub commit: u64,
    /// Highest applied index.
    pub applied: u64,
    /// Last index of its log.
    pub last_index: u64,
    /// Newest members, whether or not the change is committed.
    pub conf: ConfState,
    /// Progress of all members; empty unless this replica is the leader.
    pub progress: Vec<ReplicaProgress>,
}

impl RawNode {
    /// The replica's current role.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// The current leader, if known.
    #[must_use]
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Returns the replica's current raft state.
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

    /// Total size of the log entries in memory.
    #[must_use]
    pub fn log_bytes(&self) -> usize {
        self.log.held_bytes()
    }

    fn replica_progress(&self) -> Vec<ReplicaProgress> {
        let describe = |(node, progress): (&NodeId, &crate::progress::Progress)| ReplicaProgress {
            node: *node,
            matched: progress.matched(),
            active: progress.recently_active() || *node == self.config.id,
            state: progress.state(),
        };
        self.progress.iter().map(describe).collect()
    }
}
