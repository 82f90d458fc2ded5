//! Handle through which the rest of the process uses its raft groups.

use std::collections::BTreeSet;
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use hooklug_protocol::store::{ReplicaStatus, SnapshotChunk, SnapshotProgress};
use hooklug_raft::{ConfChange, ConfState, Message};
use hooklug_types::{Digest, GroupId, NodeId};
use hooklug_wal::SnapshotStore;
use tokio::sync::{oneshot, watch};

use crate::applier::{ApplyTask, GroupTask};
use crate::input::Input;
use crate::snapshot_inbox::{ChunkOutcome, SnapshotInbox};
use crate::{ReadWaiter, ReplicationError, Reply};

/// Result of a linearizable read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfirmedRead {
    /// The encoded query result.
    pub answer: Vec<u8>,
    /// Time since which the replica that served the read is the leader.
    pub leading_since: Instant,
}

/// Digest of a replica's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaDigest {
    /// Highest index applied to the state.
    pub applied: u64,
    /// The digest.
    pub digest: Digest,
}

/// Handle of the raft groups of this process. Cheap to clone.
#[derive(Clone)]
pub struct Replicator {
    pub(crate) node: NodeId,
    pub(crate) driver: Sender<Input>,
    pub(crate) appliers: Vec<Sender<GroupTask>>,
    pub(crate) inbox: Arc<Mutex<SnapshotInbox>>,
    pub(crate) snapshots: SnapshotStore,
    pub(crate) failure: watch::Receiver<Option<String>>,
    pub(crate) stopped: watch::Receiver<()>,
    pub(crate) groups: Arc<Mutex<BTreeSet<GroupId>>>,
}

impl std::fmt::Debug for Replicator {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Replicator").field("node", &self.node).finish_non_exhaustive()
    }
}

/// Error for a dropped reply channel: the driver has stopped or has discarded the request.
fn reply_dropped<T>(_: T) -> ReplicationError {
    ReplicationError::Uncertain
}

impl Replicator {
    /// Replicates and applies an encoded command; returns the state machine's result. Dropping the
    /// future does not cancel the command.
    ///
    /// # Errors
    /// [`ReplicationError`]; after `Uncertain`, the request may or may not take effect.
    pub async fn execute(
        &self,
        group: GroupId,
        command: Vec<u8>,
    ) -> Result<Vec<u8>, ReplicationError> {
        let (reply, result) = oneshot::channel();
        self.propose(group, command.into(), reply.into());
        result.await.map_err(reply_dropped)?
    }

    /// Replicates and applies an encoded command; the state machine's result or an error is sent to
    /// `reply`.
    pub fn propose(&self, group: GroupId, command: Bytes, reply: Reply) {
        self.send_input(Input::Propose { group, command, reply });
    }

    /// Serves an encoded query as a linearizable read.
    ///
    /// # Errors
    /// [`ReplicationError`].
    pub async fn read(
        &self,
        group: GroupId,
        query: Vec<u8>,
    ) -> Result<ConfirmedRead, ReplicationError> {
        let (reply, result) = oneshot::channel();
        self.send_input(Input::Read { group, read: ReadWaiter { query, reply } });
        result.await.map_err(reply_dropped)?
    }

    /// Serves an encoded query from the local replica, whose state may be stale.
    ///
    /// # Errors
    /// [`ReplicationError::NoReplica`], or `Refused` if the query can't be decoded.
    pub async fn read_local(
        &self,
        group: GroupId,
        query: Vec<u8>,
    ) -> Result<Vec<u8>, ReplicationError> {
        let (reply, result) = oneshot::channel();
        self.apply(group, ApplyTask::QueryLocal { query, reply });
        result.await.map_err(|_| ReplicationError::NoReplica(group))?
    }

    /// Proposes a membership change and waits until it is committed.
    ///
    /// # Errors
    /// [`ReplicationError`]; after `Uncertain`, the request may or may not take effect.
    pub async fn change_members(
        &self,
        group: GroupId,
        change: ConfChange,
    ) -> Result<(), ReplicationError> {
        let (reply, result) = oneshot::channel();
        self.send_input(Input::ChangeMembers { group, change, reply: reply.into() });
        result.await.map_err(reply_dropped)?.map(drop)
    }

    /// Starts a leadership transfer.
    ///
    /// # Errors
    /// If this replica is not the leader or the target is not another voter.
    pub async fn transfer_leadership(
        &self,
        group: GroupId,
        to: NodeId,
    ) -> Result<(), ReplicationError> {
        let (reply, result) = oneshot::channel();
        self.send_input(Input::Transfer { group, to, reply });
        result.await.map_err(reply_dropped)?
    }

    /// Starts an election in a group without waiting for the election timeout.
    pub fn campaign(&self, group: GroupId) {
        self.send_input(Input::Campaign { group });
    }

    /// Creates the initial replica of a new group with the given members; it is durable when this
    /// returns. An existing replica is left unchanged.
    ///
    /// # Errors
    /// [`ReplicationError::Failed`].
    pub async fn bootstrap(&self, group: GroupId, conf: ConfState) -> Result<(), ReplicationError> {
        let (reply, result) = oneshot::channel();
        self.send_input(Input::Bootstrap { group, conf, reply });
        result.await.map_err(reply_dropped)?
    }

    /// Removes a local replica that, according to the status `seen`, is no longer a member of its
    /// group. Its term and vote are retained.
    ///
    /// # Errors
    /// [`ReplicationError::Refused`] if it is the leader or has heard from a leader since that
    /// status.
    pub async fn remove(&self, seen: &ReplicaStatus) -> Result<(), ReplicationError> {
        let (reply, result) = oneshot::channel();
        let (group, leader_messages) = (seen.group, seen.leader_messages);
        self.send_input(Input::Remove { group, leader_messages, reply });
        result.await.map_err(reply_dropped)?
    }

    /// Status of all local replicas.
    pub async fn status(&self) -> Vec<ReplicaStatus> {
        let (reply, result) = oneshot::channel();
        self.send_input(Input::Status { reply });
        result.await.unwrap_or_default()
    }

    /// Digest of the state of a local replica; `None` if there is none.
    pub async fn digest(&self, group: GroupId) -> Option<ReplicaDigest> {
        let (reply, result) = oneshot::channel();
        self.apply(group, ApplyTask::Digest(reply));
        result.await.ok()
    }

    /// Groups that have a local replica.
    #[must_use]
    pub fn groups(&self) -> BTreeSet<GroupId> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Forwards messages from another store to the driver. Messages with a different sender or receiver are
    /// dropped.
    pub fn deliver(&self, from: NodeId, mut messages: Vec<(GroupId, Message)>) {
        messages.retain(|(_, message)| message.from == from && message.to == self.node);
        if !messages.is_empty() {
            self.send_input(Input::Messages(messages));
        }
    }

    /// Receives a chunk of a snapshot. For the last chunk, this returns after the snapshot is
    /// durable.
    ///
    /// # Errors
    /// [`ReplicationError::Failed`] if the snapshot can't be written.
    pub async fn receive_chunk(
        &self,
        chunk: SnapshotChunk,
    ) -> Result<SnapshotProgress, ReplicationError> {
        let (group, from, term) = (chunk.group, chunk.from, chunk.term);
        let outcome = self.inbox.lock().unwrap_or_else(PoisonError::into_inner).receive(&chunk);
        let snapshot = match outcome {
            ChunkOutcome::ExpectOffset(next_offset) => return Ok(SnapshotProgress { next_offset }),
            ChunkOutcome::Complete(snapshot) => snapshot,
        };
        let next_offset = snapshot.data.len() as u64;
        let store = self.snapshots.clone();
        let written = tokio::task::spawn_blocking(move || {
            store.write(group, snapshot.meta.index, &snapshot.data).map(|()| snapshot)
        });
        let failed = |reason: String| {
            self.send_input(Input::Failed { reason: reason.clone() });
            ReplicationError::Failed(reason)
        };
        let snapshot =
            written.await.map_err(|e| failed(e.to_string()))?.map_err(|e| failed(e.to_string()))?;
        self.send_input(Input::SnapshotReceived { group, from, term, snapshot });
        Ok(SnapshotProgress { next_offset })
    }

    /// The failure because of which no request is acknowledged any more; `None` without one.
    #[must_use]
    pub fn failure(&self) -> Option<String> {
        self.failure.borrow().clone()
    }

    /// Watches for changes of [`Replicator::failure`].
    #[must_use]
    pub fn watch_failure(&self) -> watch::Receiver<Option<String>> {
        self.failure.clone()
    }

    /// Stops all replicas and waits until the log is closed.
    pub async fn stop(&self) {
        self.send_input(Input::Stop);
        self.wait_stopped().await;
    }

    /// Waits until the driver has stopped or panicked. No request is served after that.
    pub async fn wait_stopped(&self) {
        let mut stopped = self.stopped.clone();
        while stopped.changed().await.is_ok() {}
    }

    fn send_input(&self, input: Input) {
        // If the driver has stopped, the input's reply channel is dropped, which the caller
        // notices.
        let _ = self.driver.send(input);
    }

    fn apply(&self, group: GroupId, task: ApplyTask) {
        let applier = group.0 as usize % self.appliers.len();
        let _ = self.appliers[applier].send((group, task));
    }
}
