//! The raft state machine of one replica: its state, its timers and its interface to the driver.

use std::collections::BTreeMap;

use hooklug_types::NodeId;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::config::{Config, Restored};
use crate::error::RaftError;
use crate::message::{ConfChange, ConfState, HardState, Message, MessageBody};
use crate::progress::Progress;
use crate::raft_log::RaftLog;
use crate::read_only::ReadOnly;
use crate::ready::{ReadState, Ready, Role, SnapshotMeta};

/// Maximum number of committed entries in one [`Ready`], so that replaying a long log does not
/// delay the replica's ticks.
const MAX_COMMITTED_PER_READY: usize = 1024;

/// The parts of the last [`Ready`] that [`RawNode::advance`] marks as done.
#[derive(Debug, Clone, Default)]
struct ReadyRecord {
    hard_state: Option<HardState>,
    last_entry: Option<(u64, u64)>,
    applied: Option<u64>,
}

/// The raft state machine of one replica of a group.
#[derive(Debug)]
pub struct RawNode {
    pub(crate) config: Config,
    pub(crate) log: RaftLog,
    pub(crate) role: Role,
    pub(crate) term: u64,
    pub(crate) vote: Option<NodeId>,
    pub(crate) leader: Option<NodeId>,
    /// Replies received in the current election or pre-vote.
    pub(crate) votes: BTreeMap<NodeId, bool>,
    /// Progress of all members, including this replica, while it is the leader; otherwise empty.
    pub(crate) progress: BTreeMap<NodeId, Progress>,
    pub(crate) reads: ReadOnly,
    /// Target of the leadership transfer in progress.
    pub(crate) transfer_to: Option<NodeId>,
    /// Ticks since the leader was last heard from; on the leader, since the last quorum check.
    pub(crate) election_elapsed: u32,
    pub(crate) heartbeat_elapsed: u32,
    election_timeout: u32,
    random: ChaCha8Rng,
    /// Term that is on disk, together with the vote in it.
    persisted_term: u64,
    /// Hard state as of the last [`Ready`].
    last_ready_hard_state: HardState,
    pending_ready: Option<ReadyRecord>,
    applied_conf: ConfState,
    pub(crate) outbox_before_sync: Vec<Message>,
    pub(crate) outbox: Vec<Message>,
    pub(crate) confirmed_reads: Vec<ReadState>,
    pub(crate) aborted_reads: Vec<u64>,
    pub(crate) snapshot_requests: Vec<NodeId>,
    /// Protocol rule that is broken deliberately, to test that the simulator detects it.
    #[cfg(any(test, feature = "simulation"))]
    pub(crate) broken_rule: Option<crate::simulation::BrokenRule>,
}

impl RawNode {
    /// Creates a replica from its persistent state. It starts as a follower without a known leader.
    ///
    /// # Errors
    /// [`RaftError`] if a setting is invalid or the log has a gap.
    pub fn new(config: Config, restored: Restored) -> Result<Self, RaftError> {
        config.validate()?;
        let Restored { hard_state, snapshot, entries } = restored;
        let applied_conf = snapshot.conf.clone();
        let mut log = RaftLog::new(snapshot, entries)?;
        log.commit_to(hard_state.commit);
        let restored_state = restored_hard_state(hard_state, &log);
        let mut node = Self {
            random: ChaCha8Rng::seed_from_u64(config.seed ^ config.id.0.rotate_left(32)),
            log,
            role: Role::Follower,
            term: restored_state.term,
            vote: restored_state.vote,
            leader: None,
            votes: BTreeMap::new(),
            progress: BTreeMap::new(),
            reads: ReadOnly::default(),
            transfer_to: None,
            election_elapsed: 0,
            heartbeat_elapsed: 0,
            election_timeout: 0,
            persisted_term: hard_state.term,
            last_ready_hard_state: hard_state,
            pending_ready: None,
            applied_conf,
            outbox_before_sync: Vec::new(),
            outbox: Vec::new(),
            confirmed_reads: Vec::new(),
            aborted_reads: Vec::new(),
            snapshot_requests: Vec::new(),
            #[cfg(any(test, feature = "simulation"))]
            broken_rule: None,
            config,
        };
        node.reset_election_timer();
        Ok(node)
    }

    /// Advances the logical clock by one tick.
    pub fn tick(&mut self) {
        self.election_elapsed += 1;
        if self.role == Role::Leader {
            self.tick_leader();
        } else if self.election_elapsed >= self.election_timeout {
            self.campaign();
        }
    }

    /// Whether [`RawNode::ready`] would return any work.
    #[must_use]
    pub fn has_ready(&self) -> bool {
        if self.pending_ready.is_some() {
            return false;
        }
        self.hard_state() != self.last_ready_hard_state
            || self.log.stable() < self.log.last_index()
            || self.log.has_pending_snapshot()
            || self.log.has_committed_entries()
            || self.has_output()
            || self.has_unsent_requests()
    }

    /// Returns the next work for the driver. Until [`RawNode::advance`] is called, further calls
    /// return an empty [`Ready`].
    pub fn ready(&mut self) -> Ready {
        if self.pending_ready.is_some() {
            return Ready::default();
        }
        self.start_read_round();
        self.send_appends();
        let mut ready = Ready {
            entries: self.log.unstable_entries(),
            snapshot: self.log.take_pending_snapshot(),
            committed: self.log.committed_entries(MAX_COMMITTED_PER_READY),
            reads: std::mem::take(&mut self.confirmed_reads),
            aborted_reads: std::mem::take(&mut self.aborted_reads),
            snapshot_requests: std::mem::take(&mut self.snapshot_requests),
            messages_before_sync: std::mem::take(&mut self.outbox_before_sync),
            messages: std::mem::take(&mut self.outbox),
            ..Ready::default()
        };
        self.fill_hard_state(&mut ready);
        if let Some(snapshot) = &ready.snapshot {
            self.applied_conf = snapshot.meta.conf.clone();
        }
        let snapshot_index = ready.snapshot.as_ref().map(|snapshot| snapshot.meta.index);
        self.pending_ready = Some(ReadyRecord {
            hard_state: ready.hard_state,
            last_entry: ready.entries.last().map(|entry| (entry.index, entry.term)),
            applied: ready.committed.last().map(|entry| entry.index).or(snapshot_index),
        });
        ready
    }

    /// Marks the last [`Ready`] as persisted and synced, sent and applied.
    pub fn advance(&mut self) {
        let Some(done) = self.pending_ready.take() else { return };
        if let Some(hard_state) = done.hard_state {
            self.persisted_term = hard_state.term;
        }
        if let Some((index, term)) = done.last_entry {
            self.log.stable_to(index, term);
        }
        if let Some(index) = done.applied {
            self.log.applied_to(index);
        }
        self.count_own_vote(self.persisted_term);
        self.update_own_progress();
    }

    /// Records that the driver applied a membership change and returns the members as of that
    /// entry. The change has been in effect since the entry was appended, see
    /// [`crate::conf_change`].
    pub fn apply_conf_change(&mut self, change: ConfChange) -> ConfState {
        self.applied_conf = self.applied_conf.with(change);
        self.applied_conf.clone()
    }

    /// Removes entries up to an applied index, at which the driver must hold a snapshot.
    ///
    /// # Errors
    /// [`RaftError::NotApplied`] if the index is beyond the applied one.
    pub fn compact(&mut self, index: u64) -> Result<SnapshotMeta, RaftError> {
        self.log.compact(index)
    }

    /// Removes the entries that a snapshot at an applied index covers, except the most recent ones:
    /// as many as both limits allow are retained for replicas that are slightly behind.
    ///
    /// # Errors
    /// [`RaftError::NotApplied`] if the index is beyond the applied one.
    pub fn compact_with_trailing(
        &mut self,
        index: u64,
        trailing_entries: u64,
        trailing_bytes: usize,
    ) -> Result<SnapshotMeta, RaftError> {
        let start = self.log.trailing_start(index, trailing_entries, trailing_bytes);
        self.log.compact(start)
    }

    /// Metadata for a snapshot of the state machine at the applied index.
    #[must_use]
    pub fn snapshot_meta(&self) -> SnapshotMeta {
        self.log.meta_at(self.log.applied())
    }

    /// Restarts the election timer with a new random timeout.
    pub(crate) fn reset_election_timer(&mut self) {
        self.election_elapsed = 0;
        let ticks = self.config.election_ticks;
        self.election_timeout = self.random.random_range(ticks..ticks * 2);
    }

    /// Queues a message that may be sent only after the next [`Ready`] is synced.
    pub(crate) fn send(&mut self, to: NodeId, body: MessageBody) {
        self.send_with_term(to, self.term, body);
    }

    /// Queues a message with a term other than the current one (a pre-vote or its reply).
    pub(crate) fn send_with_term(&mut self, to: NodeId, term: u64, body: MessageBody) {
        self.outbox.push(Message { from: self.config.id, to, term, body });
    }

    /// Queues a leader's message that may be sent before the sync. It depends only on the leader's
    /// term, which was synced before the election was won.
    pub(crate) fn send_before_sync(&mut self, to: NodeId, body: MessageBody) {
        let message = Message { from: self.config.id, to, term: self.term, body };
        self.outbox_before_sync.push(message);
    }

    fn hard_state(&self) -> HardState {
        HardState { term: self.term, vote: self.vote, commit: self.log.commit() }
    }

    fn has_output(&self) -> bool {
        !self.outbox.is_empty()
            || !self.outbox_before_sync.is_empty()
            || !self.confirmed_reads.is_empty()
            || !self.aborted_reads.is_empty()
            || !self.snapshot_requests.is_empty()
    }

    fn fill_hard_state(&mut self, ready: &mut Ready) {
        let state = self.hard_state();
        let before = self.last_ready_hard_state;
        let vote_changed = (state.term, state.vote) != (before.term, before.vote);
        ready.must_sync = vote_changed || !ready.entries.is_empty() || ready.snapshot.is_some();
        if state != before {
            ready.hard_state = Some(state);
            self.last_ready_hard_state = state;
        }
    }
}

/// Hard state adjusted to the log. Entries of a newer term than the hard state stem from a write
/// that was interrupted before its sync, so no vote was cast in their term.
fn restored_hard_state(on_disk: HardState, log: &RaftLog) -> HardState {
    if on_disk.term < log.last_term() {
        return HardState { term: log.last_term(), vote: None, commit: log.commit() };
    }
    HardState { commit: log.commit(), ..on_disk }
}
