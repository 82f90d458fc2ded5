//! Settings of one replica and the state that it restores from disk.

use hooklug_types::NodeId;

use crate::error::RaftError;
use crate::message::{Entry, HardState};
use crate::ready::SnapshotMeta;

/// Settings of one replica.
#[derive(Debug, Clone)]
pub struct Config {
    /// Node id of this replica. A node that lost its disk must return under a new id.
    pub id: NodeId,
    /// Ticks without a leader before an election. Each election timeout is drawn at random between
    /// one and two times this value.
    pub election_ticks: u32,
    /// Ticks between heartbeats; must be less than `election_ticks`.
    pub heartbeat_ticks: u32,
    /// Maximum bytes of entries in one append message. A single entry may exceed it.
    pub max_append_bytes: usize,
    /// Maximum number of unacknowledged append messages to one replica.
    pub max_inflight: usize,
    /// Seed of the random election timeouts.
    pub seed: u64,
}

impl Config {
    /// Checks that the settings are consistent.
    ///
    /// # Errors
    /// [`RaftError::InvalidConfig`] names the invalid setting.
    pub fn validate(&self) -> Result<(), RaftError> {
        if self.heartbeat_ticks == 0 {
            return Err(RaftError::InvalidConfig("heartbeat_ticks must be greater than 0"));
        }
        if self.election_ticks <= self.heartbeat_ticks {
            return Err(RaftError::InvalidConfig(
                "election_ticks must be greater than heartbeat_ticks",
            ));
        }
        if self.max_inflight == 0 {
            return Err(RaftError::InvalidConfig("max_inflight must be greater than 0"));
        }
        Ok(())
    }
}

/// Persistent state of a replica, as read from disk at startup.
#[derive(Debug, Clone)]
pub struct Restored {
    /// The hard state. A commit index beyond the last entry (possible after a torn write) is
    /// lowered to the last entry.
    pub hard_state: HardState,
    /// The newest snapshot. Without one, index and term are 0 and the members are the group's
    /// initial ones. A replica that joins a running group has no members here and accepts only a
    /// snapshot at first.
    pub snapshot: SnapshotMeta,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}
