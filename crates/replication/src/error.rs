//! Errors of opening the groups and of requests.

use hooklug_raft::{ProposeError, RaftError};
use hooklug_state::MachineError;
use hooklug_types::{GroupId, NodeId};
use hooklug_wal::WalError;

/// Error of a request. Only `NotLeader`, `NoReplica`, `Busy` and `Refused` guarantee that nothing
/// was appended.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReplicationError {
    /// This replica is not the leader of the group.
    #[error("not the leader")]
    NotLeader {
        /// The current leader, if known.
        leader: Option<NodeId>,
    },
    /// This process holds no replica of the group.
    #[error("no replica of {0} on this node")]
    NoReplica(GroupId),
    /// The entry was replaced, or leadership was lost, before it was known to be committed.
    #[error("not known to be committed")]
    Uncertain,
    /// A queue is full, or a conflicting operation is in progress; retry later.
    #[error("busy: {0}")]
    Busy(String),
    /// The request is not applicable to the group's state.
    #[error("refused: {0}")]
    Refused(String),
    /// The disk, a state machine or a thread failed; no request is acknowledged any more.
    #[error("replication failed: {0}")]
    Failed(String),
}

impl From<ProposeError> for ReplicationError {
    fn from(error: ProposeError) -> Self {
        match error {
            ProposeError::NotLeader { leader } => Self::NotLeader { leader },
            ProposeError::InvalidConfChange | ProposeError::InvalidTransferTarget(_) => {
                Self::Refused(error.to_string())
            }
            other => Self::Busy(other.to_string()),
        }
    }
}

/// Error of opening the groups, on which the process must not serve.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The log or a snapshot is corrupt or can't be read.
    #[error(transparent)]
    Wal(#[from] WalError),
    /// The raft state of a group can't be restored.
    #[error("can't restore the raft state of group {group}: {error}")]
    Raft {
        /// The group.
        group: GroupId,
        /// The cause.
        error: RaftError,
    },
    /// A snapshot can't be decoded.
    #[error("can't restore the snapshot of group {group}: {error}")]
    Machine {
        /// The group.
        group: GroupId,
        /// The cause.
        error: MachineError,
    },
    /// A thread could not be started.
    #[error("can't start a thread: {0}")]
    Thread(#[from] std::io::Error),
}
