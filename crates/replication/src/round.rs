//! What a replica asks of the threads around it, one round at a time.

use std::time::Instant;

use hooklug_raft::{Entry, Message, Snapshot};
use hooklug_types::NodeId;
use hooklug_wal::Record;
use tokio::sync::oneshot;

use crate::{ConfirmedRead, ReplicationError, Reply};

/// A committed entry and who waits for its results.
#[derive(Debug)]
pub struct Proposal {
    /// The entry.
    pub entry: Entry,
    /// One for each command of the entry, in order; none when nobody waits here.
    pub replies: Vec<Reply>,
}

/// A read and who waits for its answer.
#[derive(Debug)]
pub struct ReadWaiter {
    /// The encoded query.
    pub query: Vec<u8>,
    /// Gets the answer, and since when this replica leads.
    pub reply: oneshot::Sender<Result<ConfirmedRead, ReplicationError>>,
}

/// One `Ready` as work for the shell: send `early`; install `snapshot`, apply `committed` and answer
/// `reads`, in this order; persist `records` and, if `sync`, wait for it; then send what
/// [`Replica::persisted`](crate::Replica::persisted) gives.
#[derive(Debug, Default)]
pub struct Round {
    /// Messages that do not rest on this round's writes.
    pub early: Vec<Message>,
    /// A snapshot to put in place of the state.
    pub snapshot: Option<Snapshot>,
    /// Entries to apply.
    pub committed: Vec<Proposal>,
    /// Reads to answer after them.
    pub reads: Vec<ReadWaiter>,
    /// Since when this replica leads, for the answers to reads.
    pub leading_since: Option<Instant>,
    /// What to persist.
    pub records: Vec<Record>,
    /// Whether the replica waits for the sync.
    pub sync: bool,
    /// Messages that rest on nothing that waits for a sync.
    pub late: Vec<Message>,
    /// Replicas that need a snapshot.
    pub snapshot_requests: Vec<NodeId>,
}
