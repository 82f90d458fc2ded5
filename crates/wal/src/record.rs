//! What the log holds for each group.

use hooklug_raft::{Entry, HardState, SnapshotMeta};
use hooklug_types::GroupId;
use serde::{Deserialize, Serialize};

/// One change of a group's persistent state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Entries in order; what the log held from the first one's index on is overwritten.
    Append(Vec<Entry>),
    /// The newest term, vote and commit index.
    HardState(HardState),
    /// A snapshot file covers the log up to here; its entries are not needed any more.
    Snapshot(SnapshotMeta),
    /// The replica was removed. Its hard state stays, so that a vote is never forgotten.
    Removed,
}

/// A record and whose it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// The group.
    pub group: GroupId,
    /// The record.
    pub record: Record,
}
