//! Errors of the raft state machine.

use hooklug_types::NodeId;

/// Error of building a replica or of compacting its log.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RaftError {
    /// A setting is invalid.
    #[error("invalid raft configuration: {0}")]
    InvalidConfig(&'static str),
    /// The indexes of the restored entries are not contiguous.
    #[error("restored log is not contiguous: expected index {expected}, found {found}")]
    NonContiguousLog {
        /// Index that follows the previous entry.
        expected: u64,
        /// Index found in its position.
        found: u64,
    },
    /// The log can't be compacted beyond the applied index.
    #[error("can't compact the log to index {index}: only {applied} is applied")]
    NotApplied {
        /// Requested compaction index.
        index: u64,
        /// Highest applied index.
        applied: u64,
    },
}

/// Reason for which a proposal, a read or a leadership transfer was rejected. Nothing was appended.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This replica is not the leader.
    #[error("not the leader")]
    NotLeader {
        /// The current leader, if known.
        leader: Option<NodeId>,
    },
    /// Too many entries are uncommitted, or a leadership transfer is in progress; retry later.
    #[error("too many uncommitted entries, or a leadership transfer is in progress")]
    Busy,
    /// The leader has not committed an entry of its own term yet; retry later.
    #[error("the leader has not committed an entry of its term yet")]
    NotCommittedInTerm,
    /// Another membership change is not committed yet; retry later.
    #[error("another membership change is not committed yet")]
    ConfChangePending,
    /// The learner is too far behind the leader's log to become a voter; retry later.
    #[error("learner {node} is too far behind: its log matches to index {matched} of {last_index}")]
    LearnerLags {
        /// The learner.
        node: NodeId,
        /// Highest index at which the learner's log is known to match the leader's.
        matched: u64,
        /// Last index of the leader's log.
        last_index: u64,
    },
    /// The change is not applicable: the node is already a member, is not one, or is the last
    /// voter.
    #[error("membership change is not applicable to the current members")]
    InvalidConfChange,
    /// The target of a leadership transfer must be another voter.
    #[error("leadership can't be transferred to node {0}: it is not another voter")]
    InvalidTransferTarget(NodeId),
}
