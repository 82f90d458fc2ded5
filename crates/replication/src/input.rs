//! Inputs of the driver thread.

use bytes::Bytes;
use hooklug_protocol::store::ReplicaStatus;
use hooklug_raft::{ConfChange, ConfState, Message, Snapshot, SnapshotMeta};
use hooklug_types::{GroupId, NodeId};
use hooklug_wal::WalError;
use tokio::sync::oneshot;

use crate::{ReadWaiter, ReplicationError, Reply};

/// An input of the driver thread.
pub(crate) enum Input {
    /// Raft messages received from a store.
    Messages(Vec<(GroupId, Message)>),
    /// Proposes a command.
    Propose { group: GroupId, command: Bytes, reply: Reply },
    /// Proposes a membership change.
    ChangeMembers { group: GroupId, change: ConfChange, reply: Reply },
    /// Requests a linearizable read.
    Read { group: GroupId, read: ReadWaiter },
    /// Transfers leadership.
    Transfer { group: GroupId, to: NodeId, reply: oneshot::Sender<Result<(), ReplicationError>> },
    /// Starts an election.
    Campaign { group: GroupId },
    /// Creates the initial replica of a new group, unless a replica of it exists.
    Bootstrap {
        group: GroupId,
        conf: ConfState,
        reply: oneshot::Sender<Result<(), ReplicationError>>,
    },
    /// Removes a replica if its count of messages from leaders is still `leader_messages`.
    Remove {
        group: GroupId,
        leader_messages: u64,
        reply: oneshot::Sender<Result<(), ReplicationError>>,
    },
    /// Requests the status of all replicas.
    Status { reply: oneshot::Sender<Vec<ReplicaStatus>> },
    /// Reports that an append to the log completed or failed; `groups` are those that waited for
    /// the sync.
    Persisted { groups: Vec<GroupId>, outcome: Result<(), WalError> },
    /// Reports that a snapshot of the local state is durable.
    SnapshotWritten { group: GroupId, meta: SnapshotMeta, bytes: u64 },
    /// Reports that a leader's snapshot is complete, verified and durable.
    SnapshotReceived { group: GroupId, from: NodeId, term: u64, snapshot: Snapshot },
    /// Reports the result of a snapshot transfer.
    SnapshotSent { group: GroupId, to: NodeId, sent: bool },
    /// Reports a failure of the disk, a state machine or a thread.
    Failed { reason: String },
    /// Stops the driver.
    Stop,
}
