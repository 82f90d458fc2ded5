//! How replicas run.

use std::path::PathBuf;
use std::time::Duration;

use hooklug_types::NodeId;
use hooklug_wal::WalOptions;

/// Settings of all replicas of one process.
#[derive(Debug, Clone)]
pub struct ReplicationSettings {
    /// This process's node id.
    pub node: NodeId,
    /// Folder of the log and the snapshots.
    pub folder: PathBuf,
    /// Time of one raft tick.
    pub tick: Duration,
    /// Ticks without a leader before an election.
    pub election_ticks: u32,
    /// Ticks between heartbeats (ours: 2).
    pub heartbeat_ticks: u32,
    /// Applied commands after which a group takes a snapshot.
    pub snapshot_commands: u64,
    /// Closed log segments after which the groups that hold the oldest take a snapshot (ours: 8).
    pub max_segments: usize,
    /// How the log behaves.
    pub wal: WalOptions,
    /// Seed of election timeouts.
    pub seed: u64,
}

impl ReplicationSettings {
    /// Settings with the usual values.
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

    /// Applied entries that stay in memory behind a snapshot, so that a replica that lags a little
    /// gets entries and not the whole state.
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

/// Entries of one append, in bytes (ours).
const MAX_APPEND_BYTES: usize = 256 << 10;

/// Appends to one replica that may be unanswered (ours).
const MAX_INFLIGHT_APPENDS: usize = 64;
