//! The snapshot thread, which encodes, writes and removes snapshots so that neither the driver nor
//! the appliers wait for them.

use std::sync::mpsc::{Receiver, Sender};

use hooklug_raft::SnapshotMeta;
use hooklug_state::FrozenState;
use hooklug_types::GroupId;
use hooklug_wal::SnapshotStore;
use tracing::warn;

use crate::input::Input;

/// A job of the snapshot thread.
pub(crate) enum SnapshotJob {
    /// Writes a snapshot of the local state.
    Write { group: GroupId, meta: SnapshotMeta, state: FrozenState },
    /// Removes snapshots that end before an index, after the log records a newer one.
    RemoveBefore { group: GroupId, index: u64 },
}

/// Processes jobs until all senders are dropped.
pub(crate) fn run(store: &SnapshotStore, jobs: &Receiver<SnapshotJob>, driver: &Sender<Input>) {
    while let Ok(job) = jobs.recv() {
        match job {
            SnapshotJob::Write { group, meta, state } => {
                let data = state();
                let input = match store.write(group, meta.index, &data) {
                    Ok(()) => Input::SnapshotWritten { group, meta, bytes: data.len() as u64 },
                    Err(error) => Input::Failed { reason: error.to_string() },
                };
                let _ = driver.send(input);
            }
            SnapshotJob::RemoveBefore { group, index } => {
                if let Err(error) = store.remove_before(group, index) {
                    warn!(%group, %error, "can't remove old snapshots; retrying after the next snapshot");
                }
            }
        }
    }
}
