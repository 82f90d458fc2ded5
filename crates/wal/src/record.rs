//! Records of the log.

use hooklug_raft::{Entry, HardState, SnapshotMeta};
use hooklug_types::GroupId;
use serde::{Deserialize, Serialize};

/// A change of a group's persistent state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Appends entries; existing entries from the first one's index on are replaced.
    Append(Vec<Entry>),
    /// Sets the term, vote and commit index.
    HardState(HardState),
    /// A snapshot file covers the log up to this index; the covered entries are no longer needed.
    Snapshot(SnapshotMeta),
    /// The replica was removed. Its hard state is retained, so that a vote is never lost.
    Removed,
}

/// A record and the group that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// The group.
    pub group: GroupId,
    /// The record.
    pub record: Record,
}
