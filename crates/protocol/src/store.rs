//! Messages to stores and between stores.

use std::net::SocketAddr;

use bytes::Bytes;
use hooklug_raft::{ConfChange, ConfState, Message, ProgressState, Role, SnapshotMeta};
use hooklug_state::meta::{GroupPlacement, StoreRecord};
use hooklug_types::{Digest, EngineIncarnation, FencingEpoch, GroupId, NodeId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{Method, Request};

/// The reason why a store did not execute a request. None of these says whether a command was or
/// will be applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum StoreRequestError {
    /// This replica is not the leader of the group.
    #[error("this replica is not the leader of the group")]
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<SocketAddr>,
    },
    /// This store holds no replica of the group.
    #[error("this store holds no replica of the group")]
    NoReplica {
        /// Addresses of stores that hold a replica, if known.
        replicas: Vec<SocketAddr>,
    },
    /// The command's entry was lost, or leadership changed, before the entry was known to be
    /// committed.
    #[error("the command is not known to be committed")]
    Uncertain,
    /// Too many requests of the group are pending.
    #[error("too many requests of the group are pending")]
    Busy,
    /// The store's disk failed; the store no longer acknowledges any request.
    #[error("the store's disk failed: {reason}")]
    DiskFailed {
        /// The error reported by the operating system.
        reason: String,
    },
    /// The cluster is not formed yet.
    #[error("the cluster is not formed yet")]
    NotFormed,
    /// The request does not decode, is not allowed for the caller, or does not fit the group; a
    /// retry does not help.
    #[error("the store refused the request: {reason}")]
    Refused {
        /// The reason.
        reason: String,
    },
}

/// Applies a command to a group's state machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execute {
    /// The group.
    pub group: GroupId,
    /// The encoded `ShardCommand` or `MetaCommand`.
    pub command: Bytes,
}

impl Request for Execute {
    type Reply = Result<Bytes, StoreRequestError>;
    const METHOD: Method = Method::Execute;
}

/// A linearizable read of a group's state machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// The group.
    pub group: GroupId,
    /// The encoded `ShardQuery` or `MetaQuery`.
    pub query: Vec<u8>,
}

impl Request for Query {
    type Reply = Result<Vec<u8>, StoreRequestError>;
    const METHOD: Method = Method::Query;
}

/// The lease to expire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseSubject {
    /// The lease of a session-host engine, in the shard of its engine id.
    Engine(EngineIncarnation),
    /// The core leader's lease under this epoch, in the meta group.
    CoreLeader(FencingEpoch),
    /// The core leader's lease, held by the requesting core's own former run at the same address.
    /// That run has ended, so the lease can be expired without waiting.
    FormerRun {
        /// The epoch of the lease.
        epoch: FencingEpoch,
        /// RPC address of the requesting core.
        address: SocketAddr,
    },
}

/// Asks a group's leader to expire a lease. The leader decides by its own monotonic clock alone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpireLease {
    /// The group that holds the lease.
    pub group: GroupId,
    /// The lease.
    pub subject: LeaseSubject,
}

/// The outcome of [`ExpireLease`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseStatus {
    /// The lease is expired permanently; the expiry is committed.
    Expired,
    /// The lease is still held; the request can be repeated after `left_ms`.
    Held {
        /// Remaining time in milliseconds, including the safety margin.
        left_ms: u64,
    },
    /// No such lease was ever granted. It is committed as expired.
    Unknown,
}

impl Request for ExpireLease {
    type Reply = Result<LeaseStatus, StoreRequestError>;
    const METHOD: Method = Method::ExpireLease;
}

/// Raft messages of several groups from one store to another, in one frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RaftBatch {
    /// Node id of the intended recipient; a store with another id drops the batch.
    pub to: NodeId,
    /// The messages, each with its group.
    pub messages: Vec<(GroupId, Message)>,
}

impl Request for RaftBatch {
    type Reply = ();
    const METHOD: Method = Method::RaftBatch;
}

/// A chunk of a group's snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Node id of the intended recipient.
    pub to: NodeId,
    /// Node id of the leader.
    pub from: NodeId,
    /// Term of the leader.
    pub term: u64,
    /// The group.
    pub group: GroupId,
    /// Log position and members that the snapshot covers.
    pub meta: SnapshotMeta,
    /// Byte offset of this chunk.
    pub offset: u64,
    /// Bytes of the chunk.
    pub data: Vec<u8>,
    /// Digest of the complete snapshot; set on the last chunk.
    pub digest: Option<Digest>,
}

/// Reply to a snapshot chunk: the progress of the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotProgress {
    /// Offset that the receiver expects next; 0 means that the transfer must start over.
    pub next_offset: u64,
}

impl Request for SnapshotChunk {
    type Reply = Result<SnapshotProgress, StoreRequestError>;
    const METHOD: Method = Method::SnapshotChunk;
}

/// The plan by which a new cluster is formed. All its stores sync the plan to disk before any of
/// them acts on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormationPlan {
    /// Id of the new cluster.
    pub cluster: u64,
    /// The store that collects the promises; only this store may decide on the plan.
    pub coordinator: NodeId,
    /// The stores that form the cluster.
    pub stores: Vec<StoreRecord>,
    /// Initial placement of each group's replicas.
    pub placements: Vec<(GroupId, GroupPlacement)>,
}

/// Sent between stores during formation, with the sender's state. Stores of a formed cluster send
/// it too, to learn each other's addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormationOffer {
    /// Node id of the sender.
    pub node: NodeId,
    /// RPC address.
    pub address: SocketAddr,
    /// Zone of the store.
    pub zone: ZoneName,
    /// Cluster id that the sender has promised to another coordinator; asks whether that plan is
    /// still valid.
    pub promised_cluster: Option<u64>,
    /// Proposed plan; set by the store with the lowest node id once `expect_stores` stores see each
    /// other.
    pub plan: Option<FormationPlan>,
}

/// Reply to a formation offer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormationReply {
    /// Node id of the replying store.
    pub node: NodeId,
    /// RPC address.
    pub address: SocketAddr,
    /// Zone of the store.
    pub zone: ZoneName,
    /// Cluster that the store is a member of; 0 while its disk is empty.
    pub cluster: u64,
    /// Whether the store has synced the proposed plan or, if asked about a promised plan, whether
    /// that plan is still valid.
    pub accepted: bool,
    /// Addresses of other empty stores that the store knows.
    pub known_stores: Vec<SocketAddr>,
}

impl Request for FormationOffer {
    type Reply = FormationReply;
    const METHOD: Method = Method::FormationOffer;
}

/// Asks a store for the status of its replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus;

/// Status of one replica, as seen by its store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The group.
    pub group: GroupId,
    /// Raft role of the replica.
    pub role: Role,
    /// Current term of the replica.
    pub term: u64,
    /// The group's leader, if known.
    pub leader: Option<NodeId>,
    /// Number of messages accepted from leaders since the replica was opened. Comparing two
    /// readings shows whether the replica is in contact with a leader.
    pub leader_messages: u64,
    /// Highest committed index.
    pub commit: u64,
    /// Highest applied index.
    pub applied: u64,
    /// Last index of the replica's log.
    pub last_index: u64,
    /// Members according to the applied entries; uncommitted changes are not included.
    pub conf: ConfState,
    /// Members according to the latest configuration in the log, committed or not.
    pub newest_conf: ConfState,
    /// Replication progress of each member; filled by the leader only.
    pub progress: Vec<MemberProgress>,
}

/// Replication progress of a group member, as seen by the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberProgress {
    /// The member.
    pub node: NodeId,
    /// Highest index that the member is known to hold.
    pub matched: u64,
    /// Whether the member responded within the last election timeout.
    pub active: bool,
    /// Replication state, which determines how the leader sends to the member.
    pub state: ProgressState,
}

impl Request for GroupStatus {
    type Reply = Vec<ReplicaStatus>;
    const METHOD: Method = Method::GroupStatus;
}

/// Requests one membership change of a group; sent by the core leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeReplicas {
    /// The group.
    pub group: GroupId,
    /// The change.
    pub change: ConfChange,
    /// Epoch of the core leader; checked against the newest epoch of the meta group that the store
    /// knows.
    pub epoch: FencingEpoch,
}

impl Request for ChangeReplicas {
    type Reply = Result<(), StoreRequestError>;
    const METHOD: Method = Method::ChangeReplicas;
}
