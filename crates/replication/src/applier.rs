//! Applier threads, which own the state machines: they apply entries, serve reads and take
//! snapshots.

use std::collections::BTreeMap;
use std::sync::mpsc::{Receiver, Sender};
use std::time::Instant;

use hooklug_raft::{EntryKind, Snapshot, SnapshotMeta};
use hooklug_state::{MachineError, StateMachine};
use hooklug_types::GroupId;
use tokio::sync::oneshot;
use tracing::error;

use crate::input::Input;
use crate::snapshot_thread::SnapshotJob;
use crate::{
    CommittedEntry, ConfirmedRead, ReadWaiter, ReplicaDigest, ReplicationError, split_batch,
};

/// A task of an applier thread for one group.
pub(crate) enum ApplyTask {
    /// Adds a group with its state machine.
    AddGroup { machine: Box<dyn StateMachine>, meta: SnapshotMeta },
    /// Removes the group.
    RemoveGroup,
    /// Replaces the state by a snapshot.
    InstallSnapshot(Snapshot),
    /// Applies entries and completes their replies.
    Apply(Vec<CommittedEntry>),
    /// Serves confirmed reads.
    ServeReads { reads: Vec<ReadWaiter>, leading_since: Instant },
    /// Serves a query from the current local state, which may be stale.
    QueryLocal { query: Vec<u8>, reply: oneshot::Sender<Result<Vec<u8>, ReplicationError>> },
    /// Freezes the current state and passes it to the snapshot thread.
    TakeSnapshot,
    /// Computes the digest of the state.
    Digest(oneshot::Sender<ReplicaDigest>),
}

/// A task and the group that it is for.
pub(crate) type GroupTask = (GroupId, ApplyTask);

/// A state machine and the position up to which it has applied entries.
struct AppliedState {
    machine: Box<dyn StateMachine>,
    meta: SnapshotMeta,
}

/// State of an applier thread.
pub(crate) struct Applier {
    groups: BTreeMap<GroupId, AppliedState>,
    snapshots: Sender<SnapshotJob>,
    driver: Sender<Input>,
}

impl Applier {
    pub(crate) fn new(snapshots: Sender<SnapshotJob>, driver: Sender<Input>) -> Self {
        Self { groups: BTreeMap::new(), snapshots, driver }
    }

    /// Processes tasks until all senders are dropped.
    pub(crate) fn run(mut self, tasks: &Receiver<GroupTask>) {
        while let Ok((group, task)) = tasks.recv() {
            if let Err(fault) = self.handle(group, task) {
                // The state of this replica may now differ from that of the others.
                error!(%group, %fault, "state machine failed");
                self.groups.remove(&group);
                let reason = format!("{group}: {fault}");
                let _ = self.driver.send(Input::Failed { reason });
            }
        }
    }

    fn handle(&mut self, group: GroupId, task: ApplyTask) -> Result<(), MachineError> {
        if let ApplyTask::AddGroup { machine, meta } = task {
            self.groups.insert(group, AppliedState { machine, meta });
            return Ok(());
        }
        let Some(applied) = self.groups.get_mut(&group) else { return Ok(()) };
        match task {
            ApplyTask::AddGroup { .. } => {}
            ApplyTask::RemoveGroup => drop(self.groups.remove(&group)),
            ApplyTask::InstallSnapshot(snapshot) => {
                applied.machine.restore(&snapshot.data)?;
                applied.meta = snapshot.meta;
            }
            ApplyTask::Apply(entries) => {
                for committed in entries {
                    applied.apply(committed)?;
                }
            }
            ApplyTask::ServeReads { reads, leading_since } => {
                reads.into_iter().for_each(|read| applied.serve_read(read, leading_since));
            }
            ApplyTask::QueryLocal { query, reply } => {
                drop(reply.send(applied.query(&query)));
            }
            ApplyTask::TakeSnapshot => {
                let (meta, state) = (applied.meta.clone(), applied.machine.freeze());
                let _ = self.snapshots.send(SnapshotJob::Write { group, meta, state });
            }
            ApplyTask::Digest(reply) => {
                let (applied, digest) = (applied.meta.index, applied.machine.digest());
                let _ = reply.send(ReplicaDigest { applied, digest });
            }
        }
        Ok(())
    }
}

impl AppliedState {
    fn apply(&mut self, committed: CommittedEntry) -> Result<(), MachineError> {
        let CommittedEntry { entry, replies } = committed;
        let mut replies = replies.into_iter();
        let mut answer = |result| replies.next().map(|reply| reply.send(Ok(result)));
        match &entry.kind {
            EntryKind::Command(batch) => {
                for command in split_batch(batch) {
                    answer(self.machine.apply(command?)?);
                }
            }
            EntryKind::ConfChange(change) => {
                self.meta.conf = self.meta.conf.with(*change);
                answer(Vec::new());
            }
            EntryKind::Noop => {}
        }
        (self.meta.index, self.meta.term) = (entry.index, entry.term);
        Ok(())
    }

    fn serve_read(&self, read: ReadWaiter, leading_since: Instant) {
        let answer = self.query(&read.query);
        let read_reply = answer.map(|answer| ConfirmedRead { answer, leading_since });
        drop(read.reply.send(read_reply));
    }

    fn query(&self, query: &[u8]) -> Result<Vec<u8>, ReplicationError> {
        self.machine.query(query).map_err(|e| ReplicationError::Refused(e.to_string()))
    }
}
