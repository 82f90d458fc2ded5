//! Settings of one replica and what it restores from disk.

use hooklug_types::NodeId;

use crate::error::RaftError;
use crate::message::{Entry, HardState};
use crate::ready::SnapshotMeta;

/// Settings of one replica.
#[derive(Debug, Clone)]
pub struct Config {
    /// This replica's node; an empty disk is a new one.
    pub id: NodeId,
    /// Ticks without a leader until an election; each wait is drawn from one to two times this.
    pub election_ticks: u32,
    /// Ticks between heartbeats; less than `election_ticks`.
    pub heartbeat_ticks: u32,
    /// Bytes of entries in one append; an append always holds at least one entry.
    pub max_append_bytes: usize,
    /// Appends to one replica that may be unanswered.
    pub max_inflight: usize,
    /// Seed of the random election waits.
    pub seed: u64,
}

impl Config {
    /// Checks the settings against each other.
    ///
    /// # Errors
    /// [`RaftError::InvalidConfig`] says which setting is wrong.
    pub fn validate(&self) -> Result<(), RaftError> {
        if self.heartbeat_ticks == 0 {
            return Err(RaftError::InvalidConfig("heartbeat_ticks must be above 0"));
        }
        if self.election_ticks <= self.heartbeat_ticks {
            return Err(RaftError::InvalidConfig("election_ticks must be above heartbeat_ticks"));
        }
        if self.max_inflight == 0 {
            return Err(RaftError::InvalidConfig("max_inflight must be above 0"));
        }
        Ok(())
    }
}

/// What a replica had on disk.
#[derive(Debug, Clone)]
pub struct Restored {
    /// The hard state. A commit mark beyond the last entry (a torn tail) is lowered to it.
    pub hard_state: HardState,
    /// The newest snapshot; without one, index and term 0 and the group's first members. A replica
    /// that joins a running group has no members here: it takes nothing but a snapshot first.
    pub snapshot: SnapshotMeta,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}
