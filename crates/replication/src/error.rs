//! Why the groups could not be opened, or a request was not answered.

use hooklug_raft::{ProposeError, RaftError};
use hooklug_state::MachineError;
use hooklug_types::{GroupId, NodeId};
use hooklug_wal::WalError;

/// Why a request was not answered. Only `NotLeader`, `NoReplica`, `Busy` and `Refused` say that
/// nothing was appended.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReplicationError {
    /// This replica does not lead the group.
    #[error("not the leader")]
    NotLeader {
        /// Who does, as far as it knows.
        leader: Option<NodeId>,
    },
    /// This process holds no replica of the group.
    #[error("no replica of {0} here")]
    NoReplica(GroupId),
    /// The entry was lost or leadership went before it was known to be committed.
    #[error("not known to be committed")]
    Uncertain,
    /// Too much is waiting, or something else is under way; try again.
    #[error("busy: {0}")]
    Busy(String),
    /// The request does not fit the group's state.
    #[error("refused: {0}")]
    Refused(String),
    /// The disk or a state machine failed; nothing is acknowledged any more.
    #[error("failed: {0}")]
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

/// Why the groups could not be opened. The process must not serve then.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The log or a snapshot is damaged or cannot be read.
    #[error(transparent)]
    Wal(#[from] WalError),
    /// The log of a group makes no sense.
    #[error("{group}: {error}")]
    Raft {
        /// The group.
        group: GroupId,
        /// What does not fit.
        error: RaftError,
    },
    /// A snapshot does not decode.
    #[error("{group}: {error}")]
    Machine {
        /// The group.
        group: GroupId,
        /// What does not fit.
        error: MachineError,
    },
    /// A thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] std::io::Error),
}
