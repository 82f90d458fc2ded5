//! One replica: consensus with the requests that wait on it. No I/O; time comes in as an argument.

use std::collections::BTreeMap;
use std::time::Instant;

use hooklug_protocol::store::{MemberProgress, ReplicaStatus};
use hooklug_raft::{
    ConfChange, Entry, EntryKind, HardState, Message, MessageBody, RawNode, Ready, Role, Snapshot,
    SnapshotMeta,
};
use hooklug_types::{GroupId, NodeId};
use hooklug_wal::Record;

use crate::proposals::Proposals;
use crate::{Proposal, ReadWaiter, ReplicationError, Reply, Round, split};

/// Bytes of commands after which a group takes a snapshot, however few they are (ours).
const SNAPSHOT_LOG_BYTES: u64 = 32 << 20;

/// Bytes of entries that stay in memory behind a snapshot at most (ours).
const TRAILING_LOG_BYTES: usize = 8 << 20;
/// One replica of one group.
#[derive(Debug)]
pub struct Replica {
    group: GroupId,
    node: RawNode,
    /// The newest hard state that was handed out.
    hard_state: HardState,
    proposals: Proposals,
    /// Reads that wait for their round, by context.
    unconfirmed: BTreeMap<u64, Vec<ReadWaiter>>,
    /// Reads that wait for entries up to an index.
    confirmed: Vec<(u64, Vec<ReadWaiter>)>,
    /// Reads of this driver cycle; they share one context.
    arrived: Vec<ReadWaiter>,
    next_context: u64,
    /// Highest index handed to the state machine.
    handed_over: u64,
    /// The newest durable snapshot.
    snapshot: Option<SnapshotMeta>,
    snapshotting: bool,
    /// Bytes of that snapshot, as far as it was taken here.
    snapshot_bytes: u64,
    /// Bytes of commands handed to the state machine since the snapshot.
    log_bytes: u64,
    /// Commands, and entries without any, handed to the state machine since the snapshot.
    log_commands: u64,
    leading_since: Option<Instant>,
    /// Messages of leaders that were taken.
    leader_messages: u64,
    /// Messages that wait for the sync under way; `None` when none is.
    after_sync: Option<Vec<Message>>,
}

impl Replica {
    /// A replica around a consensus core that has applied nothing after its snapshot.
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
            unconfirmed: BTreeMap::new(),
            confirmed: Vec::new(),
            arrived: Vec::new(),
            next_context: 1,
            handed_over: snapshot.as_ref().map_or(0, |meta| meta.index),
            snapshot,
            snapshotting: false,
            snapshot_bytes: 0,
            log_bytes: 0,
            log_commands: 0,
            leading_since: None,
            leader_messages: 0,
            after_sync: None,
        }
    }

    /// One tick.
    pub fn tick(&mut self, now: Instant) {
        self.node.tick();
        self.note_role(now);
    }

    /// A message of another replica.
    pub fn step(&mut self, message: Message, now: Instant) {
        self.leader_messages += u64::from(is_from_leader(&message));
        self.node.step(message);
        self.note_role(now);
    }

    /// A verified snapshot of the leader.
    pub fn receive_snapshot(&mut self, from: NodeId, term: u64, snapshot: Snapshot, now: Instant) {
        self.leader_messages += 1;
        self.node.receive_snapshot(from, term, snapshot);
        self.note_role(now);
    }

    /// How a snapshot transfer ended.
    pub fn report_snapshot(&mut self, to: NodeId, sent: bool) {
        self.node.report_snapshot(to, sent);
    }

    /// A command; its result or an error goes to `reply`. Commands that come while a round is under
    /// way share the entries of the next one.
    pub fn propose(&mut self, command: &[u8], reply: impl Into<Reply>) {
        if self.node.role() == Role::Leader {
            self.proposals.gather(command, reply.into());
        } else {
            reply.into().send(Err(self.not_leader()));
        }
    }

    /// A membership change; `reply` gets empty bytes once it is committed.
    pub fn change_members(&mut self, change: ConfChange, reply: impl Into<Reply>) {
        self.append_gathered();
        let position = self.node.propose_conf_change(change);
        self.proposals.wait_for_change(position, reply.into());
    }

    fn append_gathered(&mut self) {
        let Self { proposals, node, .. } = self;
        proposals.append_gathered(|bytes| node.propose(bytes));
    }

    fn not_leader(&self) -> ReplicationError {
        ReplicationError::NotLeader { leader: self.node.leader() }
    }

    /// A linearizable read; all reads of one cycle share a round.
    pub fn read(&mut self, read: ReadWaiter) {
        if self.node.role() == Role::Leader {
            self.arrived.push(read);
        } else {
            drop(read.reply.send(Err(self.not_leader())));
        }
    }

    /// Hands leadership over.
    ///
    /// # Errors
    /// When this replica does not lead or the target has no vote.
    pub fn transfer(&mut self, to: NodeId) -> Result<(), ReplicationError> {
        self.node.transfer_leadership(to).map_err(ReplicationError::from)
    }

    /// Asks for leadership.
    pub fn campaign(&mut self) {
        self.node.campaign();
    }

    /// The next round of work, if there is any and none is under way.
    pub fn round(&mut self, now: Instant) -> Option<Round> {
        self.start_reads();
        if self.after_sync.is_some() {
            return None;
        }
        self.append_gathered();
        if !self.node.has_ready() {
            return None;
        }
        let ready = self.node.ready();
        self.note_role(now);
        Some(self.turn_into_work(ready))
    }

    fn start_reads(&mut self) {
        if self.arrived.is_empty() {
            return;
        }
        let reads = std::mem::take(&mut self.arrived);
        let context = self.next_context;
        self.next_context += 1;
        match self.node.read_index(context) {
            Ok(()) => drop(self.unconfirmed.insert(context, reads)),
            Err(error) => fail_reads(reads, &error.into()),
        }
    }

    fn turn_into_work(&mut self, mut ready: Ready) -> Round {
        self.hard_state = ready.hard_state.unwrap_or(self.hard_state);
        let records = take_records(&mut ready);
        if let Some(snapshot) = &ready.snapshot {
            self.handed_over = snapshot.meta.index;
            self.snapshot = Some(snapshot.meta.clone());
            (self.log_bytes, self.log_commands) = (0, 0);
        }
        let committed = ready.committed.into_iter().map(|entry| self.commit(entry)).collect();
        for context in ready.aborted_reads {
            let reads = self.unconfirmed.remove(&context).unwrap_or_default();
            fail_reads(reads, &self.not_leader());
        }
        for read in ready.reads {
            let waiters = self.unconfirmed.remove(&read.context).unwrap_or_default();
            self.confirmed.push((read.index, waiters));
        }
        let mut round = Round {
            early: ready.messages_before_sync,
            snapshot: ready.snapshot,
            committed,
            reads: self.due_reads(),
            leading_since: self.leading_since,
            records,
            sync: ready.must_sync,
            late: Vec::new(),
            snapshot_requests: ready.snapshot_requests,
        };
        if round.sync {
            self.after_sync = Some(ready.messages);
        } else {
            round.late = ready.messages;
            self.node.advance();
        }
        round
    }

    /// Notes that the last round is synced; gives the messages that waited for it.
    pub fn persisted(&mut self, now: Instant) -> Vec<Message> {
        let Some(messages) = self.after_sync.take() else { return Vec::new() };
        self.node.advance();
        self.note_role(now);
        messages
    }

    fn commit(&mut self, entry: Entry) -> Proposal {
        self.handed_over = entry.index;
        match &entry.kind {
            EntryKind::Command(joined) => {
                self.log_bytes += joined.len() as u64;
                self.log_commands += split(joined).count() as u64;
            }
            EntryKind::ConfChange(change) => {
                self.node.apply_conf_change(*change);
                self.log_commands += 1;
            }
            EntryKind::Noop => self.log_commands += 1,
        }
        let replies = self.proposals.committed(&entry);
        Proposal { entry, replies }
    }

    fn due_reads(&mut self) -> Vec<ReadWaiter> {
        let handed_over = self.handed_over;
        let mut due = Vec::new();
        self.confirmed.retain_mut(|(index, reads)| {
            let is_due = *index <= handed_over;
            if is_due {
                due.append(reads);
            }
            !is_due
        });
        due
    }

    /// Notes since when this replica leads. One that stopped leading answers what waits at once, so
    /// that callers turn to the new leader.
    fn note_role(&mut self, now: Instant) {
        let leads = self.node.role() == Role::Leader;
        if leads == self.leading_since.is_some() {
            return;
        }
        self.leading_since = leads.then_some(now);
        if !leads {
            // What is not in the log can be sent to the next leader at once.
            let error = self.not_leader();
            self.proposals.fail_gathered(&error);
            self.fail_waiting(&ReplicationError::Uncertain);
        }
    }

    /// Answers all commands, membership changes and new reads with an error.
    pub fn fail_waiting(&mut self, error: &ReplicationError) {
        self.proposals.fail_all(error);
        fail_reads(std::mem::take(&mut self.arrived), error);
    }

    /// Whether enough was applied since the last snapshot to take another: so many commands, or
    /// more bytes than both a fixed amount and the last snapshot, so that a large state is not
    /// written too often.
    #[must_use]
    pub fn wants_snapshot(&self, snapshot_commands: u64) -> bool {
        let is_large = self.log_bytes >= SNAPSHOT_LOG_BYTES.max(self.snapshot_bytes);
        let is_long = self.log_commands >= snapshot_commands;
        !self.snapshotting && self.log_commands > 0 && (is_long || is_large)
    }

    /// Notes that a snapshot of the state was asked for.
    pub fn begin_snapshot(&mut self) {
        self.snapshotting = true;
        (self.log_bytes, self.log_commands) = (0, 0);
    }

    /// Notes that a snapshot of the state is durable and drops the entries that it covers, but for
    /// some. Gives the record to persist; `None` when a newer snapshot stands already.
    pub fn finish_snapshot(
        &mut self,
        meta: SnapshotMeta,
        bytes: u64,
        trailing: u64,
    ) -> Option<Record> {
        self.snapshotting = false;
        self.snapshot_bytes = bytes;
        if self.snapshot.as_ref().is_some_and(|newest| newest.index >= meta.index) {
            return None;
        }
        // Applied when the round that held the entries is advanced; until then it stays whole.
        let _ = self.node.compact_with_trailing(meta.index, trailing, TRAILING_LOG_BYTES);
        self.snapshot = Some(meta.clone());
        Some(Record::Snapshot(meta))
    }

    /// The newest durable snapshot.
    #[must_use]
    pub fn snapshot(&self) -> Option<&SnapshotMeta> {
        self.snapshot.as_ref()
    }

    /// Whether it has members to vote with: one that joins gets them with its first snapshot.
    #[must_use]
    pub fn has_members(&self) -> bool {
        self.snapshot.is_some()
    }

    /// Whether it leads.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.leading_since.is_some()
    }

    /// Whether the group may have let this replica go, as it was when it had taken so many messages
    /// of leaders. One that has heard a leader since may be a member again, and its leader may
    /// count on what it holds.
    ///
    /// # Errors
    /// [`ReplicationError::Refused`] says why it must stay.
    pub fn check_let_go(&self, leader_messages: u64) -> Result<(), ReplicationError> {
        if self.leads() {
            return Err(ReplicationError::Refused("it leads the group".to_owned()));
        }
        if self.leader_messages != leader_messages {
            return Err(ReplicationError::Refused("it has heard a leader since".to_owned()));
        }
        Ok(())
    }

    /// Term and vote that a later replica of the group on this node must not forget.
    #[must_use]
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// The replica for operators and for repair. Its members are those of the applied entries: a
    /// store must not act on a removal that may yet be undone.
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

    /// Bytes of the log's entries that are held in memory.
    #[must_use]
    pub fn log_memory(&self) -> usize {
        self.node.log_bytes()
    }

    /// The leader's term, for the messages of a snapshot transfer.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.node.status().term
    }
}

/// Whether only a leader sends such a message.
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

fn fail_reads(reads: Vec<ReadWaiter>, error: &ReplicationError) {
    for read in reads {
        drop(read.reply.send(Err(error.clone())));
    }
}
