//! Replication settings.

use std::path::PathBuf;
use std::time::Duration;

use hooklug_types::NodeId;
use hooklug_wal::WalOptions;

/// Settings of all replicas of a process.
#[derive(Debug, Clone)]
pub struct ReplicationSettings {
    /// Node id of this process.
    pub node: NodeId,
    /// Directory of the log and the snapshots.
    pub folder: PathBuf,
    /// Duration of a raft tick.
    pub tick: Duration,
    /// Ticks without a leader before an election.
    pub election_ticks: u32,
    /// Ticks between heartbeats (default 2).
    pub heartbeat_ticks: u32,
    /// Number of applied commands after which a group takes a snapshot.
    pub snapshot_commands: u64,
    /// Number of sealed log segments (default 8) above which the groups that prevent the removal of
    /// the oldest one take a snapshot.
    pub max_segments: usize,
    /// Options of the write-ahead log.
    pub wal: WalOptions,
    /// Seed of the random election timeouts.
    pub seed: u64,
}

impl ReplicationSettings {
    /// Creates settings with default values.
    #[must_use]
    pub fn new(node: NodeId, folder: PathBuf) -> Self {
        Self {
            node,
            folder,
            tick: Duration::from_millis(50),
            election_ticks: 10,
            heartbeat_ticks: 2,
            snapshot_commands: 20_000,
            max_segments: 8,
            wal: WalOptions::default(),
            seed: node.0,
        }
    }

    /// Number of applied entries that are retained in memory after a snapshot, so that a slightly
    /// lagging replica is sent entries instead of the complete state.
    pub(crate) fn trailing_entries(&self) -> u64 {
        self.snapshot_commands / 4
    }

    pub(crate) fn raft_config(&self, group: hooklug_types::GroupId) -> hooklug_raft::Config {
        hooklug_raft::Config {
            id: self.node,
            election_ticks: self.election_ticks,
            heartbeat_ticks: self.heartbeat_ticks,
            max_append_bytes: MAX_APPEND_BYTES,
            max_inflight: MAX_INFLIGHT_APPENDS,
            seed: self.seed ^ (u64::from(group.0) << 48),
        }
    }
}

/// Maximum size of the entries in one append message.
const MAX_APPEND_BYTES: usize = 256 << 10;

/// Maximum number of unacknowledged append messages to one replica.
const MAX_INFLIGHT_APPENDS: usize = 64;
