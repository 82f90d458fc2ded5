//! Names of the metrics of replicas, and what sets them.

use hooklug_types::GroupId;
use metrics::gauge;

/// Bytes of a group's log entries that are held in memory.
pub(crate) fn log_memory(group: GroupId, bytes: usize) {
    gauge!("hooklug_log_memory_bytes", "group" => group.to_string()).set(bytes as f64);
}

/// Bytes of the newest snapshot of a group that was taken here.
pub(crate) fn snapshot_taken(group: GroupId, bytes: u64) {
    gauge!("hooklug_snapshot_bytes", "group" => group.to_string()).set(bytes as f64);
}
