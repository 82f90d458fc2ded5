//! To and between stores.

use std::net::SocketAddr;

use bytes::Bytes;
use hooklug_raft::{ConfChange, ConfState, Message, ProgressState, Role, SnapshotMeta};
use hooklug_state::meta::{GroupPlacement, StoreRecord};
use hooklug_types::{Digest, EngineIncarnation, FencingEpoch, GroupId, NodeId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{Method, Request};

/// Why a store did not answer. None of these says whether a command was or will be applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum StoreFault {
    /// This replica does not lead the group.
    #[error("not the leader")]
    NotLeader {
        /// Who does, as far as it knows.
        leader: Option<SocketAddr>,
    },
    /// It holds no replica of the group.
    #[error("no replica of the group here")]
    NoReplica {
        /// Stores that do, as far as it knows.
        replicas: Vec<SocketAddr>,
    },
    /// The command's entry was lost or leadership changed before it was known to be committed.
    #[error("not known to be committed")]
    Uncertain,
    /// Too much is waiting.
    #[error("busy")]
    Busy,
    /// The disk failed; this store acknowledges nothing any more.
    #[error("the disk failed: {reason}")]
    DiskFailed {
        /// The system's words.
        reason: String,
    },
    /// The cluster is not formed yet.
    #[error("the cluster is not formed yet")]
    NotFormed,
    /// The request does not decode, is not the caller's to make, or does not fit the group; sending it
    /// again does not help.
    #[error("refused: {reason}")]
    Refused {
        /// Why.
        reason: String,
    },
}

/// Applies a command of a group's state machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execute {
    /// The group.
    pub group: GroupId,
    /// The encoded `ShardCommand` or `MetaCommand`.
    pub command: Bytes,
}

impl Request for Execute {
    type Reply = Result<Bytes, StoreFault>;
    const METHOD: Method = Method::Execute;
}

/// A linearizable read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// The group.
    pub group: GroupId,
    /// The encoded `ShardQuery` or `MetaQuery`.
    pub query: Vec<u8>,
}

impl Request for Query {
    type Reply = Result<Vec<u8>, StoreFault>;
    const METHOD: Method = Method::Query;
}

/// Whose lease to end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseSubject {
    /// A session-host engine's; in the shard of its engine id.
    Engine(EngineIncarnation),
    /// The core leader's, under this epoch; in the meta group.
    CoreLeader(FencingEpoch),
    /// The same, when the asking core's own former run holds it at the same address: that run has ended, so there is
    /// nothing to wait for.
    FormerRun {
        /// Its epoch.
        epoch: FencingEpoch,
        /// The asking core's rpc address.
        address: SocketAddr,
    },
}

/// Asks a group's leader to end a lease. Judged by its monotonic clock alone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpireLease {
    /// The group that holds it.
    pub group: GroupId,
    /// Whose.
    pub subject: LeaseSubject,
}

/// What came of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseVerdict {
    /// Expired, for ever; committed.
    Expired,
    /// Still held; ask again after this many milliseconds.
    Held {
        /// Time left, with the margin.
        left_ms: u64,
    },
    /// No such lease was ever granted: it holds nothing. Committed as expired.
    Unknown,
}

impl Request for ExpireLease {
    type Reply = Result<LeaseVerdict, StoreFault>;
    const METHOD: Method = Method::ExpireLease;
}

/// Raft messages of many groups between two stores, in one frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RaftBatch {
    /// Node id that the sender means; a store with another id drops the batch.
    pub to: NodeId,
    /// Messages by group.
    pub messages: Vec<(GroupId, Message)>,
}

impl Request for RaftBatch {
    type Reply = ();
    const METHOD: Method = Method::RaftBatch;
}

/// A piece of a group's snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Node id that the sender means.
    pub to: NodeId,
    /// The leader.
    pub from: NodeId,
    /// Its term.
    pub term: u64,
    /// The group.
    pub group: GroupId,
    /// What the snapshot covers.
    pub meta: SnapshotMeta,
    /// Place of this piece.
    pub offset: u64,
    /// The piece.
    pub data: Vec<u8>,
    /// Digest of the whole; set on the last piece.
    pub whole: Option<Digest>,
}

/// The offset that the receiver expects next; 0 asks to start again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotProgress {
    /// Bytes held.
    pub next_offset: u64,
}

impl Request for SnapshotChunk {
    type Reply = Result<SnapshotProgress, StoreFault>;
    const METHOD: Method = Method::SnapshotChunk;
}

/// How a cluster is to begin. All its stores sync it before any of them acts on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormationPlan {
    /// The new cluster's id.
    pub cluster: u64,
    /// The store that collects the promises and alone may decide.
    pub coordinator: NodeId,
    /// The stores that form it.
    pub stores: Vec<StoreRecord>,
    /// Where the replicas of each group begin.
    pub placements: Vec<(GroupId, GroupPlacement)>,
}

/// First start: what a store has and knows. Formed stores send it too, to learn each other's addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormationOffer {
    /// The asking store.
    pub node: NodeId,
    /// Its rpc address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Cluster id that it has promised to another coordinator: asks whether that plan still stands.
    pub propose: Option<u64>,
    /// Plan that it proposes: set by the store with the lowest node id once `expect_stores` see each other.
    pub plan: Option<FormationPlan>,
}

/// Answer to a formation offer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormationReply {
    /// The answering store.
    pub node: NodeId,
    /// Its rpc address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Cluster that it is a member of; 0 while its disk is empty.
    pub cluster: u64,
    /// Whether it has synced the proposed plan, or, asked for a promised one, whether that still stands.
    pub accepted: bool,
    /// Other empty stores that it has heard of.
    pub heard: Vec<SocketAddr>,
}

impl Request for FormationOffer {
    type Reply = FormationReply;
    const METHOD: Method = Method::FormationOffer;
}

/// Asks a store for its replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus;

/// One replica as its store sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The group.
    pub group: GroupId,
    /// What the replica is.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// Who leads.
    pub leader: Option<NodeId>,
    /// Messages of leaders that it has taken since it was opened: whether it has heard anything between two looks.
    pub leader_messages: u64,
    /// Highest committed index.
    pub commit: u64,
    /// Highest applied index.
    pub applied: u64,
    /// Last index of its log.
    pub last_index: u64,
    /// Members as of the applied entries; a change that is not committed yet does not show.
    pub conf: ConfState,
    /// Newest members in its log, committed or not.
    pub newest_conf: ConfState,
    /// At the leader: highest index that each member is known to hold, and whether it answered lately.
    pub progress: Vec<MemberProgress>,
}

/// How far a member of a group is, as its leader sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberProgress {
    /// The member.
    pub node: NodeId,
    /// Highest index that it is known to hold.
    pub matched: u64,
    /// Whether it answered within the last election time.
    pub active: bool,
    /// How the leader sends to it.
    pub state: ProgressState,
}

impl Request for GroupStatus {
    type Reply = Vec<ReplicaStatus>;
    const METHOD: Method = Method::GroupStatus;
}

/// One membership change of a group, asked by the core leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeReplicas {
    /// The group.
    pub group: GroupId,
    /// The change.
    pub change: ConfChange,
    /// Epoch of the core leader; checked against the meta group's newest that the store knows.
    pub epoch: FencingEpoch,
}

impl Request for ChangeReplicas {
    type Reply = Result<(), StoreFault>;
    const METHOD: Method = Method::ChangeReplicas;
}
