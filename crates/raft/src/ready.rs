//! The work that a replica hands to its driver: data to persist, messages to send, entries to
//! apply.

use hooklug_types::NodeId;
use serde::{Deserialize, Serialize};

use crate::message::{ConfState, Entry, HardState, Message};

/// Role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Runs a pre-vote to find out whether it could win an election.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// The leader of its term.
    Leader,
}

/// Metadata of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Members as of that entry.
    pub conf: ConfState,
}

/// A snapshot with its data.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The metadata.
    pub meta: SnapshotMeta,
    /// The encoded state of the state machine.
    pub data: Vec<u8>,
}

/// Work for the driver, to be processed in this order: persist `hard_state`, `entries` and
/// `snapshot`, and sync if `must_sync` is set; send `messages`; apply `committed`; call `advance`.
/// A leader's appends may be sent before its own sync (`messages_before_sync`); votes and replies
/// must not.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ready {
    /// New hard state, if it changed.
    pub hard_state: Option<HardState>,
    /// Entries to append; they replace existing entries from the first one's index on.
    pub entries: Vec<Entry>,
    /// A received snapshot to install before applying `committed`.
    pub snapshot: Option<Snapshot>,
    /// Whether the log must be synced before `messages` are sent.
    pub must_sync: bool,
    /// Messages that do not depend on the data persisted by this `Ready`.
    pub messages_before_sync: Vec<Message>,
    /// Messages that depend on the data persisted by this `Ready`.
    pub messages: Vec<Message>,
    /// Committed entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Confirmed reads, which may be served once `applied >= index`.
    pub reads: Vec<ReadState>,
    /// Contexts of reads that were not confirmed because leadership was lost. Callers must retry
    /// them at the new leader.
    pub aborted_reads: Vec<u64>,
    /// Replicas to which the driver must send a snapshot.
    pub snapshot_requests: Vec<NodeId>,
}

/// A confirmed linearizable read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadState {
    /// Identifier that the caller passed to `read_index`.
    pub context: u64,
    /// Index that must be applied before the read is served.
    pub index: u64,
}
