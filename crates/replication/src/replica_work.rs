//! Work that a replica hands to the driver.

use std::time::Instant;

use hooklug_raft::{Entry, Message, Snapshot};
use hooklug_types::NodeId;
use hooklug_wal::Record;
use tokio::sync::oneshot;

use crate::{ConfirmedRead, ReplicationError, Reply};

/// A committed entry and the replies to its proposers.
#[derive(Debug)]
pub struct CommittedEntry {
    /// The entry.
    pub entry: Entry,
    /// One reply per command of the entry, in order; empty if the entry was proposed elsewhere.
    pub replies: Vec<Reply>,
}

/// A pending read.
#[derive(Debug)]
pub struct ReadWaiter {
    /// The encoded query.
    pub query: Vec<u8>,
    /// Receives the result.
    pub reply: oneshot::Sender<Result<ConfirmedRead, ReplicationError>>,
}

/// The work of a raft `Ready` for the driver: send `messages_before_sync` and `messages`; install
/// `snapshot`, apply `committed` and serve `reads`, in this order; persist `records`. If `sync` is
/// set, sync them and then send the messages that [`Replica::persisted`](crate::Replica::persisted)
/// returns.
#[derive(Debug, Default)]
pub struct ReplicaWork {
    /// Messages that do not depend on `records`.
    pub messages_before_sync: Vec<Message>,
    /// A snapshot that replaces the state.
    pub snapshot: Option<Snapshot>,
    /// Committed entries to apply.
    pub committed: Vec<CommittedEntry>,
    /// Reads to serve after applying `committed`.
    pub reads: Vec<ReadWaiter>,
    /// Time since which this replica is the leader, for the results of reads.
    pub leading_since: Option<Instant>,
    /// Records to persist.
    pub records: Vec<Record>,
    /// Whether the replica waits for the records to be synced.
    pub sync: bool,
    /// Messages that would have to wait for the sync; empty if `sync` is set.
    pub messages: Vec<Message>,
    /// Replicas to which a snapshot must be sent.
    pub snapshot_requests: Vec<NodeId>,
}
