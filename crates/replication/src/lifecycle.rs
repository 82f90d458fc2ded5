//! Lifecycle of replicas: restoring, creating and removing them.

use std::sync::PoisonError;

use hooklug_raft::{ConfState, HardState, RawNode, Restored, SnapshotMeta};
use hooklug_types::GroupId;
use hooklug_wal::{GroupRecord, Record, RecoveredGroup, WalError};
use tracing::info;

use crate::applier::ApplyTask;
use crate::driver::Driver;
use crate::{OpenError, Replica, ReplicationError};

/// Term and index of the initial snapshot of a group: the empty state with the initial members. A
/// replica that joins later lacks it, and therefore receives a snapshot with the members first.
const FIRST_INDEX: u64 = 1;

impl Driver {
    /// Restores a replica from its recovered state.
    pub(crate) fn restore(
        &mut self,
        group: GroupId,
        state: RecoveredGroup,
    ) -> Result<(), OpenError> {
        let meta = match state.snapshot {
            Some(meta) if !state.removed => meta,
            // The replica was removed, or it joined and never received the members.
            _ => {
                self.removed.insert(group, state.hard_state);
                return Ok(());
            }
        };
        let mut machine = (self.factory.machine)(group);
        let data = self.snapshot_store.read(group, meta.index)?;
        machine.restore(&data).map_err(|error| OpenError::Machine { group, error })?;
        let restored = Restored {
            hard_state: state.hard_state,
            snapshot: meta.clone(),
            entries: state.entries,
        };
        let node = RawNode::new(self.settings.raft_config(group), restored)
            .map_err(|error| OpenError::Raft { group, error })?;
        self.workers.apply(group, ApplyTask::AddGroup { machine, meta: meta.clone() });
        self.add_replica(group, Replica::new(group, node, state.hard_state, Some(meta)));
        self.dirty.insert(group);
        Ok(())
    }

    fn add_replica(&mut self, group: GroupId, replica: Replica) {
        let clock = (self.factory.clock)(group);
        self.replicas.insert(group, replica.with_clock(clock));
    }

    /// Returns the replica of a group. A missing replica is created without members, to be filled
    /// by a snapshot.
    pub(crate) fn replica_or_new(
        &mut self,
        group: GroupId,
    ) -> Result<&mut Replica, ReplicationError> {
        if !self.replicas.contains_key(&group) && self.failure.borrow().is_none() {
            info!(%group, "creating a replica at the leader's request");
            let conf = ConfState::default();
            let empty = SnapshotMeta { index: 0, term: 0, conf };
            self.create_replica(group, empty, None)?;
        }
        self.replica(group)
    }

    fn create_replica(
        &mut self,
        group: GroupId,
        meta: SnapshotMeta,
        snapshot: Option<SnapshotMeta>,
    ) -> Result<(), ReplicationError> {
        let mut hard_state = self.removed.remove(&group).unwrap_or_default();
        hard_state.commit = meta.index;
        hard_state.term = hard_state.term.max(meta.term);
        let restored = Restored { hard_state, snapshot: meta.clone(), entries: Vec::new() };
        let node = RawNode::new(self.settings.raft_config(group), restored)
            .map_err(|error| ReplicationError::Failed(error.to_string()))?;
        let machine = (self.factory.machine)(group);
        self.workers.apply(group, ApplyTask::AddGroup { machine, meta });
        self.add_replica(group, Replica::new(group, node, hard_state, snapshot));
        self.publish_groups();
        Ok(())
    }

    /// Creates the initial replica of a new group with the given members.
    pub(crate) fn bootstrap(
        &mut self,
        group: GroupId,
        conf: ConfState,
    ) -> Result<(), ReplicationError> {
        if self.replicas.contains_key(&group) || self.removed.contains_key(&group) {
            return Ok(());
        }
        let failed = |error: WalError| ReplicationError::Failed(error.to_string());
        let meta = SnapshotMeta { index: FIRST_INDEX, term: FIRST_INDEX, conf };
        let state = (self.factory.machine)(group).snapshot();
        self.snapshot_store.write(group, meta.index, &state).map_err(failed)?;
        let hard_state = HardState { term: meta.term, vote: None, commit: meta.index };
        let records = vec![
            GroupRecord { group, record: Record::HardState(hard_state) },
            GroupRecord { group, record: Record::Snapshot(meta.clone()) },
        ];
        let (done, outcome) = std::sync::mpsc::channel();
        self.wal.append(records, true, Box::new(move |written| drop(done.send(written))));
        let disconnected = |_| ReplicationError::Failed("the log writer has exited".to_owned());
        outcome.recv().map_err(disconnected)?.map_err(failed)?;
        self.create_replica(group, meta.clone(), Some(meta))
    }

    pub(crate) fn remove(
        &mut self,
        group: GroupId,
        leader_messages: u64,
    ) -> Result<(), ReplicationError> {
        let replica = self.replica(group)?;
        replica.check_removable(leader_messages)?;
        replica.fail_waiting(&ReplicationError::NoReplica(group));
        info!(%group, "removing the replica");
        let hard_state = replica.hard_state();
        self.replicas.remove(&group);
        self.removed.insert(group, hard_state);
        self.workers.apply(group, ApplyTask::RemoveGroup);
        self.append_snapshot(group, u64::MAX, Record::Removed);
        self.publish_groups();
        Ok(())
    }

    pub(crate) fn publish_groups(&self) {
        let groups = self.replicas.keys().copied().collect();
        *self.groups.lock().unwrap_or_else(PoisonError::into_inner) = groups;
    }
}
