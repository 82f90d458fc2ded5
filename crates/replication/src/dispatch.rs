//! Dispatches the replicas' work to the log, the appliers and the transport.

use std::time::Instant;

use hooklug_raft::SnapshotMeta;
use hooklug_types::{GroupId, NodeId};
use hooklug_wal::{GroupRecord, Record, WalError};
use tracing::debug;

use crate::Round;
use crate::applier::ApplyTask;
use crate::compaction::SnapshotJob;
use crate::driver::Driver;
use crate::input::Input;
use crate::metrics;
use crate::snapshot_sender::Transfer;

impl Driver {
    /// Requests snapshots of the groups that prevent the removal of old log segments.
    pub(crate) fn relieve_log(&mut self) {
        for (group, replica) in &self.replicas {
            metrics::log_memory(*group, replica.log_memory());
        }
        for group in self.wal.groups_pinning_oldest(self.settings.max_segments) {
            self.ask_for_snapshot(group, 1);
        }
    }

    fn ask_for_snapshot(&mut self, group: GroupId, entries: u64) {
        let Some(replica) = self.replicas.get_mut(&group) else { return };
        if replica.wants_snapshot(entries) {
            replica.begin_snapshot();
            self.workers.apply(group, ApplyTask::Snapshot);
        }
    }

    /// Dispatches the pending work of all replicas; their records share one append to the log.
    pub(crate) fn turn_over(&mut self) {
        let now = Instant::now();
        let (mut records, mut waiting) = (Vec::new(), Vec::new());
        for group in std::mem::take(&mut self.dirty) {
            while let Some(round) = self.replicas.get_mut(&group).and_then(|r| r.round(now)) {
                if round.sync {
                    waiting.push(group);
                }
                self.do_round(group, round, &mut records);
            }
            self.ask_for_snapshot(group, self.settings.snapshot_commands);
        }
        self.transport.flush();
        if !records.is_empty() && self.failure.borrow().is_none() {
            let sync = !waiting.is_empty();
            self.append(records, waiting, sync);
        }
    }

    fn do_round(&mut self, group: GroupId, round: Round, records: &mut Vec<GroupRecord>) {
        self.transport.send(group, round.early);
        self.transport.send(group, round.late);
        if let Some(snapshot) = round.snapshot {
            self.workers.apply(group, ApplyTask::Install(snapshot));
        }
        if !round.committed.is_empty() {
            self.workers.apply(group, ApplyTask::Apply(round.committed));
        }
        if let Some(leading_since) = round.leading_since
            && !round.reads.is_empty()
        {
            self.workers.apply(group, ApplyTask::Answer { reads: round.reads, leading_since });
        }
        records.extend(round.records.into_iter().map(|record| GroupRecord { group, record }));
        for to in round.snapshot_requests {
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
        let transfer = Transfer { group, from: self.settings.node, to, term: replica.term(), meta };
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
        metrics::snapshot_taken(group, bytes);
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
