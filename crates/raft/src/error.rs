//! Errors of the consensus core.

use hooklug_types::NodeId;

/// Why a replica can't be built or a call on its log is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RaftError {
    /// A setting makes no sense.
    #[error("raft setting {0}")]
    InvalidConfig(&'static str),
    /// The restored entries leave a gap or go backwards.
    #[error("restored log has index {found} where {expected} belongs")]
    BrokenLog {
        /// Index that should have come.
        expected: u64,
        /// Index that came.
        found: u64,
    },
    /// Entries that are not applied yet can't be dropped.
    #[error("can't compact to {index}, applied is {applied}")]
    NotApplied {
        /// Index asked for.
        index: u64,
        /// Highest applied index.
        applied: u64,
    },
}

/// Why a proposal, a read or a transfer was not taken. Nothing was appended.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Another replica leads, or none.
    #[error("not the leader")]
    NotLeader {
        /// The leader as far as it is known.
        leader: Option<NodeId>,
    },
    /// Too much is uncommitted, or leadership is being handed over; try again.
    #[error("busy, try again")]
    Busy,
    /// The leader has committed nothing in its own term yet; try again.
    #[error("the leader has not committed in its term yet")]
    NotCommittedInTerm,
    /// Another membership change is not committed yet; try again.
    #[error("a membership change is under way")]
    ConfChangeUnderWay,
    /// The learner is not close enough to the leader's log to become a voter; try again.
    #[error("learner {node} lags: it has {matched} of {last_index}")]
    LearnerLags {
        /// The learner.
        node: NodeId,
        /// Highest index known to match.
        matched: u64,
        /// Leader's last index.
        last_index: u64,
    },
    /// The change does not fit the members: already there, not there, or the last voter.
    #[error("the membership change does not fit the members")]
    InvalidConfChange,
    /// Leadership can only go to another voter.
    #[error("node {0} is no other voter")]
    InvalidTransferTarget(NodeId),
}
