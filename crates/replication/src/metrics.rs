//! Metrics of the replicas.

use ::metrics::gauge;
use hooklug_types::GroupId;

/// Sets the size of a group's log entries in memory.
pub(crate) fn set_log_memory(group: GroupId, bytes: usize) {
    gauge!("hooklug_log_memory_bytes", "group" => group.to_string()).set(bytes as f64);
}

/// Sets the size of the newest snapshot of a group that was taken on this node.
pub(crate) fn set_snapshot_size(group: GroupId, bytes: u64) {
    gauge!("hooklug_snapshot_bytes", "group" => group.to_string()).set(bytes as f64);
}
