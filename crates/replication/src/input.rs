//! What the driver thread is told.

use bytes::Bytes;
use hooklug_protocol::store::ReplicaStatus;
use hooklug_raft::{ConfChange, ConfState, Message, Snapshot, SnapshotMeta};
use hooklug_types::{GroupId, NodeId};
use hooklug_wal::WalError;
use tokio::sync::oneshot;

use crate::{ReadWaiter, ReplicationError, Reply};

/// One input of the driver.
pub(crate) enum Input {
    /// Messages of other replicas, all from one store.
    Messages(Vec<(GroupId, Message)>),
    /// A command.
    Propose { group: GroupId, command: Bytes, reply: Reply },
    /// A membership change.
    ChangeMembers { group: GroupId, change: ConfChange, reply: Reply },
    /// A linearizable read.
    Read { group: GroupId, read: ReadWaiter },
    /// Hands leadership over.
    Transfer { group: GroupId, to: NodeId, reply: oneshot::Sender<Result<(), ReplicationError>> },
    /// Asks for leadership.
    Campaign { group: GroupId },
    /// Makes a replica of a group that begins now, unless there is one.
    Bootstrap {
        group: GroupId,
        conf: ConfState,
        reply: oneshot::Sender<Result<(), ReplicationError>>,
    },
    /// Removes a replica, if it has heard no leader since it had taken so many messages of them.
    Remove {
        group: GroupId,
        leader_messages: u64,
        reply: oneshot::Sender<Result<(), ReplicationError>>,
    },
    /// Asks for all replicas.
    Status { reply: oneshot::Sender<Vec<ReplicaStatus>> },
    /// Records of these groups are written, and synced, or never will be.
    Persisted { groups: Vec<GroupId>, outcome: Result<(), WalError> },
    /// A snapshot of the own state is durable.
    SnapshotWritten { group: GroupId, meta: SnapshotMeta, bytes: u64 },
    /// A leader's snapshot is whole, verified and durable.
    SnapshotReceived { group: GroupId, from: NodeId, term: u64, snapshot: Snapshot },
    /// How the transfer of a snapshot ended.
    SnapshotSent { group: GroupId, to: NodeId, sent: bool },
    /// A disk or a state machine failed.
    Failed { reason: String },
    /// Ends the driver.
    Stop,
}
