//! Dispatches the replicas' work to the log, the appliers and the transport.

use std::time::Instant;

use hooklug_raft::SnapshotMeta;
use hooklug_types::{GroupId, NodeId};
use hooklug_wal::{GroupRecord, Record, WalError};
use tracing::debug;

use crate::ReplicaWork;
use crate::applier::ApplyTask;
use crate::driver::Driver;
use crate::input::Input;
use crate::metrics;
use crate::snapshot_sender::SnapshotTransfer;
use crate::snapshot_thread::SnapshotJob;

impl Driver {
    /// Requests snapshots of the groups that prevent the removal of old log segments.
    pub(crate) fn snapshot_groups_pinning_log(&mut self) {
        for (group, replica) in &self.replicas {
            metrics::set_log_memory(*group, replica.log_memory());
        }
        for group in self.wal.groups_pinning_oldest(self.settings.max_segments) {
            self.request_snapshot(group, 1);
        }
    }

    fn request_snapshot(&mut self, group: GroupId, entries: u64) {
        let Some(replica) = self.replicas.get_mut(&group) else { return };
        if replica.needs_snapshot(entries) {
            replica.mark_snapshot_started();
            self.workers.apply(group, ApplyTask::TakeSnapshot);
        }
    }

    /// Dispatches the pending work of all replicas; their records share one append to the log.
    pub(crate) fn dispatch_pending_work(&mut self) {
        let now = Instant::now();
        let (mut records, mut waiting) = (Vec::new(), Vec::new());
        for group in std::mem::take(&mut self.dirty) {
            while let Some(work) = self.replicas.get_mut(&group).and_then(|r| r.next_work(now)) {
                if work.sync {
                    waiting.push(group);
                }
                self.dispatch_work(group, work, &mut records);
            }
            self.request_snapshot(group, self.settings.snapshot_commands);
        }
        self.transport.flush();
        if !records.is_empty() && self.failure.borrow().is_none() {
            let sync = !waiting.is_empty();
            self.append(records, waiting, sync);
        }
    }

    fn dispatch_work(&mut self, group: GroupId, work: ReplicaWork, records: &mut Vec<GroupRecord>) {
        self.transport.send(group, work.messages_before_sync);
        self.transport.send(group, work.messages);
        if let Some(snapshot) = work.snapshot {
            self.workers.apply(group, ApplyTask::InstallSnapshot(snapshot));
        }
        if !work.committed.is_empty() {
            self.workers.apply(group, ApplyTask::Apply(work.committed));
        }
        if let Some(leading_since) = work.leading_since
            && !work.reads.is_empty()
        {
            self.workers.apply(group, ApplyTask::ServeReads { reads: work.reads, leading_since });
        }
        records.extend(work.records.into_iter().map(|record| GroupRecord { group, record }));
        for to in work.snapshot_requests {
            self.send_snapshot(group, to);
        }
    }

    pub(crate) fn append(&self, records: Vec<GroupRecord>, waiting: Vec<GroupId>, sync: bool) {
        let driver = self.workers.driver.clone();
        let done = move |outcome| {
            let _ = driver.send(Input::Persisted { groups: waiting, outcome });
        };
        self.wal.append(records, sync, Box::new(done));
    }

    fn send_snapshot(&mut self, group: GroupId, to: NodeId) {
        let Some(replica) = self.replicas.get(&group) else { return };
        let Some(meta) = replica.snapshot().cloned() else { return };
        let transfer =
            SnapshotTransfer { group, from: self.settings.node, to, term: replica.term(), meta };
        let (store, driver) = (self.snapshot_store.clone(), self.workers.driver.clone());
        let (client, addresses) = (self.context.client.clone(), self.context.addresses.clone());
        self.context.runtime.spawn(async move {
            let sent = transfer.run(store, client, addresses).await;
            let _ = driver.send(Input::SnapshotSent { group, to, sent });
        });
    }

    pub(crate) fn snapshot_written(&mut self, group: GroupId, meta: SnapshotMeta, bytes: u64) {
        let trailing = self.settings.trailing_entries();
        let index = meta.index;
        metrics::set_snapshot_size(group, bytes);
        debug!(%group, index, bytes, "snapshot written");
        let Ok(replica) = self.replica(group) else { return };
        let Some(record) = replica.finish_snapshot(meta, bytes, trailing) else { return };
        self.append_snapshot(group, index, record);
    }

    /// Appends a snapshot or removal record, and removes older snapshot files after it is synced.
    pub(crate) fn append_snapshot(&mut self, group: GroupId, index: u64, record: Record) {
        let (snapshots, driver) = (self.workers.snapshots.clone(), self.workers.driver.clone());
        let done = move |outcome: Result<(), WalError>| match outcome {
            Ok(()) => drop(snapshots.send(SnapshotJob::RemoveBefore { group, index })),
            Err(error) => drop(driver.send(Input::Failed { reason: error.to_string() })),
        };
        self.wal.append(vec![GroupRecord { group, record }], true, Box::new(done));
    }
}
