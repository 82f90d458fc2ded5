//! The handle by which the rest of the process uses its groups.

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

/// The answer to a linearizable read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfirmedRead {
    /// The encoded answer.
    pub answer: Vec<u8>,
    /// Since when the replica that answered leads.
    pub leading_since: Instant,
}

/// Digest of a replica's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaDigest {
    /// Highest index applied to it.
    pub applied: u64,
    /// The digest.
    pub digest: Digest,
}

/// The groups of this process. Cheap to clone.
#[derive(Clone)]
pub struct Replicator {
    pub(crate) node: NodeId,
    pub(crate) driver: Sender<Input>,
    pub(crate) appliers: Vec<Sender<GroupTask>>,
    pub(crate) inbox: Arc<Mutex<SnapshotInbox>>,
    pub(crate) snapshots: SnapshotStore,
    pub(crate) failure: watch::Receiver<Option<String>>,
    pub(crate) ended: watch::Receiver<()>,
    pub(crate) groups: Arc<Mutex<BTreeSet<GroupId>>>,
}

impl std::fmt::Debug for Replicator {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Replicator").field("node", &self.node).finish_non_exhaustive()
    }
}

/// What a dropped reply channel means: the driver has ended, or let the request go.
fn gone<T>(_: T) -> ReplicationError {
    ReplicationError::Uncertain
}

impl Replicator {
    /// Applies an encoded command and gives the state machine's reply. Cancelling the call does not
    /// cancel the command.
    ///
    /// # Errors
    /// [`ReplicationError`]; `Uncertain` claims nothing.
    pub async fn execute(
        &self,
        group: GroupId,
        command: Vec<u8>,
    ) -> Result<Vec<u8>, ReplicationError> {
        let (reply, result) = oneshot::channel();
        self.propose(group, command.into(), reply.into());
        result.await.map_err(gone)?
    }

    /// Applies an encoded command; the state machine's reply, or an error, goes to `reply`.
    pub fn propose(&self, group: GroupId, command: Bytes, reply: Reply) {
        self.tell(Input::Propose { group, command, reply });
    }

    /// Answers an encoded query linearizably.
    ///
    /// # Errors
    /// [`ReplicationError`].
    pub async fn read(
        &self,
        group: GroupId,
        query: Vec<u8>,
    ) -> Result<ConfirmedRead, ReplicationError> {
        let (reply, result) = oneshot::channel();
        self.tell(Input::Read { group, read: ReadWaiter { query, reply } });
        result.await.map_err(gone)?
    }

    /// Answers an encoded query from the replica here, however old its state is.
    ///
    /// # Errors
    /// [`ReplicationError::NoReplica`], or `Refused` when the query does not decode.
    pub async fn read_local(
        &self,
        group: GroupId,
        query: Vec<u8>,
    ) -> Result<Vec<u8>, ReplicationError> {
        let (reply, result) = oneshot::channel();
        self.apply(group, ApplyTask::AnswerLocal { query, reply });
        result.await.map_err(|_| ReplicationError::NoReplica(group))?
    }

    /// Proposes a membership change and waits until it is committed.
    ///
    /// # Errors
    /// [`ReplicationError`]; `Uncertain` claims nothing.
    pub async fn change_members(
        &self,
        group: GroupId,
        change: ConfChange,
    ) -> Result<(), ReplicationError> {
        let (reply, result) = oneshot::channel();
        self.tell(Input::ChangeMembers { group, change, reply: reply.into() });
        result.await.map_err(gone)?.map(drop)
    }

    /// Starts to hand leadership of a group over.
    ///
    /// # Errors
    /// When this replica does not lead, or the target has no vote.
    pub async fn transfer(&self, group: GroupId, to: NodeId) -> Result<(), ReplicationError> {
        let (reply, result) = oneshot::channel();
        self.tell(Input::Transfer { group, to, reply });
        result.await.map_err(gone)?
    }

    /// Asks for leadership of a group without waiting for the election timeout.
    pub fn campaign(&self, group: GroupId) {
        self.tell(Input::Campaign { group });
    }

    /// Makes the first replica of a group that begins with these members; durable when this
    /// returns. A replica that is there already stays as it is.
    ///
    /// # Errors
    /// [`ReplicationError::Failed`].
    pub async fn bootstrap(&self, group: GroupId, conf: ConfState) -> Result<(), ReplicationError> {
        let (reply, result) = oneshot::channel();
        self.tell(Input::Bootstrap { group, conf, reply });
        result.await.map_err(gone)?
    }

    /// Removes the replica of a group that its group has let go, as its status showed. Its vote
    /// stays known.
    ///
    /// # Errors
    /// [`ReplicationError::Refused`] while it leads, or when it has heard a leader since that status.
    pub async fn remove(&self, seen: &ReplicaStatus) -> Result<(), ReplicationError> {
        let (reply, result) = oneshot::channel();
        let (group, leader_messages) = (seen.group, seen.leader_messages);
        self.tell(Input::Remove { group, leader_messages, reply });
        result.await.map_err(gone)?
    }

    /// All replicas here.
    pub async fn status(&self) -> Vec<ReplicaStatus> {
        let (reply, result) = oneshot::channel();
        self.tell(Input::Status { reply });
        result.await.unwrap_or_default()
    }

    /// Digest of a replica's state; `None` without a replica.
    pub async fn digest(&self, group: GroupId) -> Option<ReplicaDigest> {
        let (reply, result) = oneshot::channel();
        self.apply(group, ApplyTask::Digest(reply));
        result.await.ok()
    }

    /// Groups that have a replica here.
    #[must_use]
    pub fn groups(&self) -> BTreeSet<GroupId> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Takes messages from another store. Those that do not come from it or are not meant for this
    /// node are dropped.
    pub fn deliver(&self, from: NodeId, mut messages: Vec<(GroupId, Message)>) {
        messages.retain(|(_, message)| message.from == from && message.to == self.node);
        if !messages.is_empty() {
            self.tell(Input::Messages(messages));
        }
    }

    /// Takes a piece of a snapshot. The last one is answered when the snapshot is durable.
    ///
    /// # Errors
    /// [`ReplicationError::Failed`] when the disk fails.
    pub async fn receive_chunk(
        &self,
        chunk: SnapshotChunk,
    ) -> Result<SnapshotProgress, ReplicationError> {
        let (group, from, term) = (chunk.group, chunk.from, chunk.term);
        let outcome = self.inbox.lock().unwrap_or_else(PoisonError::into_inner).take(&chunk);
        let snapshot = match outcome {
            ChunkOutcome::Expect(next_offset) => return Ok(SnapshotProgress { next_offset }),
            ChunkOutcome::Whole(snapshot) => snapshot,
        };
        let next_offset = snapshot.data.len() as u64;
        let store = self.snapshots.clone();
        let written = tokio::task::spawn_blocking(move || {
            store.write(group, snapshot.meta.index, &snapshot.data).map(|()| snapshot)
        });
        let failed = |reason: String| {
            self.tell(Input::Failed { reason: reason.clone() });
            ReplicationError::Failed(reason)
        };
        let snapshot =
            written.await.map_err(|e| failed(e.to_string()))?.map_err(|e| failed(e.to_string()))?;
        self.tell(Input::SnapshotReceived { group, from, term, snapshot });
        Ok(SnapshotProgress { next_offset })
    }

    /// Why nothing is acknowledged any more; `None` while all is well.
    #[must_use]
    pub fn failure(&self) -> Option<String> {
        self.failure.borrow().clone()
    }

    /// Follows [`Replicator::failure`].
    #[must_use]
    pub fn watch_failure(&self) -> watch::Receiver<Option<String>> {
        self.failure.clone()
    }

    /// Stops all replicas at once, and waits until the log's files are let go.
    pub async fn stop(&self) {
        self.tell(Input::Stop);
        self.ended().await;
    }

    /// Waits until the driver has ended: it was told to stop, or it panicked. Nothing is answered
    /// then.
    pub async fn ended(&self) {
        let mut ended = self.ended.clone();
        while ended.changed().await.is_ok() {}
    }

    fn tell(&self, input: Input) {
        // After the driver's end the reply channel in the input closes, which the caller sees.
        let _ = self.driver.send(input);
    }

    fn apply(&self, group: GroupId, task: ApplyTask) {
        let applier = group.0 as usize % self.appliers.len();
        let _ = self.appliers[applier].send((group, task));
    }
}
