//! A replica: raft state machine plus the client requests that wait for it. Performs no I/O; the
//! current time is passed as an argument.

use std::time::Instant;

use hooklug_protocol::store::{MemberProgress, ReplicaStatus};
use hooklug_raft::{
    ConfChange, Entry, EntryKind, HardState, Message, MessageBody, RawNode, Ready, Role, Snapshot,
    SnapshotMeta,
};
use hooklug_types::{GroupId, NodeId};
use hooklug_wal::Record;

use crate::clock_source::NoClock;
use crate::command_batch::single_command_batch;
use crate::pending_reads::PendingReads;
use crate::proposals::Proposals;
use crate::{
    ClockSource, CommittedEntry, ReadWaiter, ReplicaWork, ReplicationError, Reply, StepOccasion,
    split_batch,
};

/// Size of applied commands after which a group takes a snapshot, regardless of their number.
const SNAPSHOT_LOG_BYTES: u64 = 32 << 20;

/// Maximum size of the entries retained in memory after a snapshot covers them.
const TRAILING_LOG_BYTES: usize = 8 << 20;

/// A replica of a group.
#[derive(Debug)]
pub struct Replica {
    group: GroupId,
    node: RawNode,
    /// The latest hard state passed to the driver.
    hard_state: HardState,
    proposals: Proposals,
    clock: Box<dyn ClockSource>,
    reads: PendingReads,
    /// Highest index passed to the state machine.
    dispatched_index: u64,
    /// The newest durable snapshot.
    snapshot: Option<SnapshotMeta>,
    snapshot_in_progress: bool,
    /// Size of the newest snapshot taken on this node.
    snapshot_bytes: u64,
    /// Size of the commands passed to the state machine since the snapshot.
    bytes_since_snapshot: u64,
    /// Number of commands and entries without commands passed to the state machine since the
    /// snapshot.
    commands_since_snapshot: u64,
    leading_since: Option<Instant>,
    /// Number of messages received from leaders.
    leader_messages: u64,
    /// Messages to send after the sync in progress; `None` if there is none.
    messages_after_sync: Option<Vec<Message>>,
}

impl Replica {
    /// Creates a replica from a raft node that has applied nothing after its snapshot.
    #[must_use]
    pub fn new(
        group: GroupId,
        node: RawNode,
        hard_state: HardState,
        snapshot: Option<SnapshotMeta>,
    ) -> Self {
        Self {
            group,
            node,
            hard_state,
            proposals: Proposals::default(),
            clock: Box::new(NoClock),
            reads: PendingReads::default(),
            dispatched_index: snapshot.as_ref().map_or(0, |meta| meta.index),
            snapshot,
            snapshot_in_progress: false,
            snapshot_bytes: 0,
            bytes_since_snapshot: 0,
            commands_since_snapshot: 0,
            leading_since: None,
            leader_messages: 0,
            messages_after_sync: None,
        }
    }

    /// Sets the source of the group's clock; without one, the clock never advances.
    #[must_use]
    pub fn with_clock(self, clock: Box<dyn ClockSource>) -> Self {
        Self { clock, ..self }
    }

    /// Advances the logical clock by one tick.
    pub fn tick(&mut self, now: Instant) {
        self.node.tick();
        self.update_leadership(now);
    }

    /// Processes a message of another replica.
    pub fn step(&mut self, message: Message, now: Instant) {
        if is_from_leader(&message) {
            self.hear_leader(now);
        }
        self.node.step(message);
        self.update_leadership(now);
    }

    /// Accepts a verified snapshot of the leader.
    pub fn receive_snapshot(&mut self, from: NodeId, term: u64, snapshot: Snapshot, now: Instant) {
        self.hear_leader(now);
        self.node.receive_snapshot(from, term, snapshot);
        self.update_leadership(now);
    }

    fn hear_leader(&mut self, now: Instant) {
        self.leader_messages += 1;
        self.clock.leader_heard(now);
    }

    /// Reports the result of a snapshot transfer.
    pub fn report_snapshot(&mut self, to: NodeId, sent: bool) {
        self.node.report_snapshot(to, sent);
    }

    /// Proposes a command; its result or an error is sent to `reply`. Commands that arrive during a
    /// sync share the next log entries.
    pub fn propose(&mut self, command: &[u8], reply: impl Into<Reply>) {
        if self.node.role() == Role::Leader {
            self.proposals.enqueue(command, reply.into());
        } else {
            reply.into().send(Err(self.not_leader()));
        }
    }

    /// Proposes a membership change; `reply` receives empty bytes after it is committed and
    /// applied.
    pub fn change_members(&mut self, change: ConfChange, reply: impl Into<Reply>, now: Instant) {
        self.append_batches(now);
        let position = self.node.propose_conf_change(change);
        self.proposals.wait_for_change(position, reply.into());
    }

    fn append_batches(&mut self, now: Instant) {
        self.append_clock_step(now);
        let Self { proposals, node, .. } = self;
        proposals.append_batches(|bytes| node.propose(bytes));
    }

    /// Appends a step of the group's clock if one is due, before the commands that wait.
    fn append_clock_step(&mut self, now: Instant) {
        self.update_leadership(now);
        if self.leading_since.is_none() {
            return;
        }
        let occasion = match self.proposals.has_unappended() {
            true => StepOccasion::CommandsWait,
            false => StepOccasion::Idle,
        };
        let Some(step) = self.clock.due_step(occasion, now) else { return };
        if self.node.propose(single_command_batch(&step)).is_ok() {
            self.clock.step_appended(now);
        }
    }

    fn not_leader(&self) -> ReplicationError {
        ReplicationError::NotLeader { leader: self.node.leader() }
    }

    /// Requests a linearizable read. All reads of a driver cycle share a heartbeat round.
    pub fn read(&mut self, read: ReadWaiter) {
        if self.node.role() == Role::Leader {
            self.reads.add(read);
        } else {
            drop(read.reply.send(Err(self.not_leader())));
        }
    }

    /// Transfers leadership.
    ///
    /// # Errors
    /// If this replica is not the leader or the target is not another voter.
    pub fn transfer_leadership(&mut self, to: NodeId) -> Result<(), ReplicationError> {
        self.node.transfer_leadership(to).map_err(ReplicationError::from)
    }

    /// Starts an election.
    pub fn campaign(&mut self) {
        self.node.campaign();
    }

    /// Returns the next work, if there is any and no sync is in progress.
    pub fn next_work(&mut self, now: Instant) -> Option<ReplicaWork> {
        self.reads.start(&mut self.node);
        if self.messages_after_sync.is_some() {
            return None;
        }
        self.append_batches(now);
        if !self.node.has_ready() {
            return None;
        }
        let ready = self.node.ready();
        self.update_leadership(now);
        Some(self.prepare_work(ready))
    }

    fn prepare_work(&mut self, mut ready: Ready) -> ReplicaWork {
        self.hard_state = ready.hard_state.unwrap_or(self.hard_state);
        let records = take_records(&mut ready);
        if let Some(snapshot) = &ready.snapshot {
            self.dispatched_index = snapshot.meta.index;
            self.snapshot = Some(snapshot.meta.clone());
            (self.bytes_since_snapshot, self.commands_since_snapshot) = (0, 0);
        }
        let committed = ready.committed.into_iter().map(|entry| self.commit(entry)).collect();
        for context in ready.aborted_reads {
            let error = self.not_leader();
            self.reads.abort(context, &error);
        }
        ready.reads.into_iter().for_each(|read| self.reads.confirm(read));
        let mut work = ReplicaWork {
            messages_before_sync: ready.messages_before_sync,
            snapshot: ready.snapshot,
            committed,
            reads: self.reads.take_due(self.dispatched_index),
            leading_since: self.leading_since,
            records,
            sync: ready.must_sync,
            messages: Vec::new(),
            snapshot_requests: ready.snapshot_requests,
        };
        if work.sync {
            self.messages_after_sync = Some(ready.messages);
        } else {
            work.messages = ready.messages;
            self.node.advance();
        }
        work
    }

    /// Records that the last work is synced; returns the messages that depended on it.
    pub fn persisted(&mut self, now: Instant) -> Vec<Message> {
        let Some(messages) = self.messages_after_sync.take() else { return Vec::new() };
        self.node.advance();
        self.update_leadership(now);
        messages
    }

    fn commit(&mut self, entry: Entry) -> CommittedEntry {
        self.dispatched_index = entry.index;
        match &entry.kind {
            EntryKind::Command(batch) => {
                self.bytes_since_snapshot += batch.len() as u64;
                self.commands_since_snapshot += split_batch(batch).count() as u64;
            }
            EntryKind::ConfChange(change) => {
                self.node.apply_conf_change(*change);
                self.commands_since_snapshot += 1;
            }
            EntryKind::Noop => self.commands_since_snapshot += 1,
        }
        let replies = self.proposals.committed(&entry);
        CommittedEntry { entry, replies }
    }

    /// Tracks since when this replica is the leader. A replica that lost leadership fails all
    /// waiting requests immediately, so that callers turn to the new leader.
    fn update_leadership(&mut self, now: Instant) {
        let leads = self.node.role() == Role::Leader;
        if leads == self.leading_since.is_some() {
            return;
        }
        self.leading_since = leads.then_some(now);
        if leads {
            self.clock.leadership_gained(now, &self.node.status().conf);
        } else {
            // Commands that are not in the log yet can safely be retried at the next leader.
            let error = self.not_leader();
            self.proposals.fail_unappended(&error);
            self.fail_waiting(&ReplicationError::Uncertain);
        }
    }

    /// Fails all commands, membership changes and unstarted reads with an error.
    pub fn fail_waiting(&mut self, error: &ReplicationError) {
        self.proposals.fail_all(error);
        self.reads.fail_new(error);
    }

    /// Whether enough was applied since the last snapshot to take another one: `snapshot_commands`
    /// commands, or more bytes than both a fixed limit and the size of the last snapshot. The
    /// latter prevents a large state from being written too often.
    #[must_use]
    pub fn needs_snapshot(&self, snapshot_commands: u64) -> bool {
        let is_large = self.bytes_since_snapshot >= SNAPSHOT_LOG_BYTES.max(self.snapshot_bytes);
        let is_long = self.commands_since_snapshot >= snapshot_commands;
        !self.snapshot_in_progress && self.commands_since_snapshot > 0 && (is_long || is_large)
    }

    /// Records that a snapshot of the state was requested.
    pub fn mark_snapshot_started(&mut self) {
        self.snapshot_in_progress = true;
        (self.bytes_since_snapshot, self.commands_since_snapshot) = (0, 0);
    }

    /// Records that a snapshot of the state is durable and compacts the log, except for `trailing`
    /// entries. Returns the record to persist, or `None` if a newer snapshot exists.
    pub fn finish_snapshot(
        &mut self,
        meta: SnapshotMeta,
        bytes: u64,
        trailing: u64,
    ) -> Option<Record> {
        self.snapshot_in_progress = false;
        self.snapshot_bytes = bytes;
        if self.snapshot.as_ref().is_some_and(|newest| newest.index >= meta.index) {
            return None;
        }
        // Compaction fails if the entries are not yet marked as applied, which happens when the
        // work that contained them is advanced. The log then stays uncompacted until the next
        // snapshot.
        let _ = self.node.compact_with_trailing(meta.index, trailing, TRAILING_LOG_BYTES);
        self.snapshot = Some(meta.clone());
        Some(Record::Snapshot(meta))
    }

    /// The newest durable snapshot.
    #[must_use]
    pub fn snapshot(&self) -> Option<&SnapshotMeta> {
        self.snapshot.as_ref()
    }

    /// Whether the replica knows the group's members. A joining replica receives them with its
    /// first snapshot.
    #[must_use]
    pub fn has_members(&self) -> bool {
        self.snapshot.is_some()
    }

    /// Whether this replica is the leader.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.leading_since.is_some()
    }

    /// Checks that the replica may be removed based on a status in which it had received
    /// `leader_messages` messages from leaders. If it has heard from a leader since, it may have
    /// been added to the group again, and the leader may rely on its log.
    ///
    /// # Errors
    /// [`ReplicationError::Refused`] with the reason why it must not be removed.
    pub fn check_removable(&self, leader_messages: u64) -> Result<(), ReplicationError> {
        if self.leads() {
            return Err(ReplicationError::Refused(
                "the replica is the leader of the group".to_owned(),
            ));
        }
        if self.leader_messages != leader_messages {
            return Err(ReplicationError::Refused(
                "the replica has received a message from a leader since its status was read"
                    .to_owned(),
            ));
        }
        Ok(())
    }

    /// Term and vote that a later replica of the group on this node must not lose.
    #[must_use]
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Status of the replica, for operators and for repair. `conf` holds the members as of the
    /// applied entries, since a store must not act on a removal that may still be reverted.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        let status = self.node.status();
        let progress = status.progress.into_iter().map(|member| MemberProgress {
            node: member.node,
            matched: member.matched,
            active: member.active,
            state: member.state,
        });
        ReplicaStatus {
            group: self.group,
            role: status.role,
            term: status.term,
            leader: status.leader,
            leader_messages: self.leader_messages,
            commit: status.commit,
            applied: status.applied,
            last_index: status.last_index,
            conf: self.node.snapshot_meta().conf,
            newest_conf: status.conf,
            progress: progress.collect(),
        }
    }

    /// Size of the log entries in memory.
    #[must_use]
    pub fn log_memory(&self) -> usize {
        self.node.log_bytes()
    }

    /// The current term, sent with the chunks of a snapshot.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.node.status().term
    }
}

/// Whether a message is of a type that only leaders send.
pub(crate) fn is_from_leader(message: &Message) -> bool {
    matches!(
        message.body,
        MessageBody::Append { .. }
            | MessageBody::Heartbeat { .. }
            | MessageBody::InstallSnapshot(_)
    )
}

fn take_records(ready: &mut Ready) -> Vec<Record> {
    let mut records = Vec::new();
    records.extend(ready.snapshot.as_ref().map(|snapshot| Record::Snapshot(snapshot.meta.clone())));
    records.extend(ready.hard_state.map(Record::HardState));
    if !ready.entries.is_empty() {
        records.push(Record::Append(std::mem::take(&mut ready.entries)));
    }
    records
}
