//! What a replica wants done: persist, send, apply.

use hooklug_types::NodeId;
use serde::{Deserialize, Serialize};

use crate::message::{ConfState, Entry, HardState, Message};

/// What a replica is at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Follows a leader, or none.
    Follower,
    /// Asks whether it would win.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads its term.
    Leader,
}

/// What a snapshot covers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Last entry that it covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Members at that entry.
    pub conf: ConfState,
}

/// A snapshot with its data.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// What it covers.
    pub meta: SnapshotMeta,
    /// The state machine's bytes.
    pub data: Vec<u8>,
}

/// One round of work for the shell, to be done in this order: persist `hard_state`, `entries` and
/// `snapshot` and sync when `must_sync`; then send `messages`; then apply `committed`; then `advance`.
/// A leader's `Append`s may go out before its own sync (`messages_before_sync`), votes and replies never.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ready {
    /// New hard state, if it changed.
    pub hard_state: Option<HardState>,
    /// Entries to append; overwrite what is there from the first one's index on.
    pub entries: Vec<Entry>,
    /// A received snapshot to install before anything is applied.
    pub snapshot: Option<Snapshot>,
    /// Whether the log must be synced before `messages` go out.
    pub must_sync: bool,
    /// Messages that do not rest on this round's writes.
    pub messages_before_sync: Vec<Message>,
    /// Messages that do.
    pub messages: Vec<Message>,
    /// Entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Reads that may be answered once `applied >= index`.
    pub reads: Vec<ReadState>,
    /// Read contexts that must be tried again elsewhere: leadership was lost.
    pub reads_lost: Vec<u64>,
    /// Followers that need a snapshot sent.
    pub snapshots_wanted: Vec<NodeId>,
}

/// A confirmed linearizable read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadState {
    /// The caller's number for it.
    pub context: u64,
    /// Index that must be applied before the read.
    pub index: u64,
}
