//! One replica of one group: its state, its clock of ticks, and the hand-over of work to the shell.

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

/// Most entries handed out for applying in one [`Ready`] (ours), so that a long replay does not
/// keep a replica from its timers.
const MAX_COMMITTED_PER_READY: usize = 1024;

/// What the last [`Ready`] held, noted as done by [`RawNode::advance`].
#[derive(Debug, Clone, Default)]
struct HandedOut {
    hard_state: Option<HardState>,
    last_entry: Option<(u64, u64)>,
    applied: Option<u64>,
}

/// One replica of one group.
#[derive(Debug)]
pub struct RawNode {
    pub(crate) config: Config,
    pub(crate) log: RaftLog,
    pub(crate) role: Role,
    pub(crate) term: u64,
    pub(crate) vote: Option<NodeId>,
    pub(crate) leader: Option<NodeId>,
    /// Answers to the current election or pre-vote.
    pub(crate) votes: BTreeMap<NodeId, bool>,
    /// All members while this replica leads, itself included; else empty.
    pub(crate) progress: BTreeMap<NodeId, Progress>,
    pub(crate) reads: ReadOnly,
    /// Voter that leadership is being handed to.
    pub(crate) transfer_to: Option<NodeId>,
    /// Ticks since the leader was heard from; at the leader, since the last quorum check.
    pub(crate) election_elapsed: u32,
    pub(crate) heartbeat_elapsed: u32,
    election_timeout: u32,
    random: ChaCha8Rng,
    /// Term that is on disk, with the vote given in it.
    persisted_term: u64,
    /// Hard state that was handed out last.
    handed_out_state: HardState,
    handed_out: Option<HandedOut>,
    applied_conf: ConfState,
    pub(crate) outbox_before_sync: Vec<Message>,
    pub(crate) outbox: Vec<Message>,
    pub(crate) confirmed_reads: Vec<ReadState>,
    pub(crate) lost_reads: Vec<u64>,
    pub(crate) snapshots_wanted: Vec<NodeId>,
    /// Rule broken on purpose, to show that the simulator notices.
    #[cfg(any(test, feature = "simulation"))]
    pub(crate) broken_rule: Option<crate::simulation::BrokenRule>,
}

impl RawNode {
    /// A replica as it was on disk; it starts as a follower of nobody.
    ///
    /// # Errors
    /// [`RaftError`] when a setting is wrong or the log has a gap.
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
            handed_out_state: hard_state,
            handed_out: None,
            applied_conf,
            outbox_before_sync: Vec::new(),
            outbox: Vec::new(),
            confirmed_reads: Vec::new(),
            lost_reads: Vec::new(),
            snapshots_wanted: Vec::new(),
            #[cfg(any(test, feature = "simulation"))]
            broken_rule: None,
            config,
        };
        node.reset_election_timer();
        Ok(node)
    }

    /// One tick of the shell's clock.
    pub fn tick(&mut self) {
        self.election_elapsed += 1;
        if self.role == Role::Leader {
            self.tick_leader();
        } else if self.election_elapsed >= self.election_timeout {
            self.campaign();
        }
    }

    /// Whether [`RawNode::ready`] would give work.
    #[must_use]
    pub fn has_ready(&self) -> bool {
        if self.handed_out.is_some() {
            return false;
        }
        self.hard_state() != self.handed_out_state
            || self.log.stable() < self.log.last_index()
            || self.log.has_pending_snapshot()
            || self.log.has_committed_entries()
            || self.has_output()
            || self.has_unsent()
    }

    /// The next round of work. Until [`RawNode::advance`] is called there is no other; a call in
    /// between gives an empty one.
    pub fn ready(&mut self) -> Ready {
        if self.handed_out.is_some() {
            return Ready::default();
        }
        self.start_read_round();
        self.send_appends();
        let mut ready = Ready {
            entries: self.log.unstable_entries(),
            snapshot: self.log.take_pending_snapshot(),
            committed: self.log.committed_entries(MAX_COMMITTED_PER_READY),
            reads: std::mem::take(&mut self.confirmed_reads),
            reads_lost: std::mem::take(&mut self.lost_reads),
            snapshots_wanted: std::mem::take(&mut self.snapshots_wanted),
            messages_before_sync: std::mem::take(&mut self.outbox_before_sync),
            messages: std::mem::take(&mut self.outbox),
            ..Ready::default()
        };
        self.hand_out_hard_state(&mut ready);
        if let Some(snapshot) = &ready.snapshot {
            self.applied_conf = snapshot.meta.conf.clone();
        }
        let snapshot_index = ready.snapshot.as_ref().map(|snapshot| snapshot.meta.index);
        self.handed_out = Some(HandedOut {
            hard_state: ready.hard_state,
            last_entry: ready.entries.last().map(|entry| (entry.index, entry.term)),
            applied: ready.committed.last().map(|entry| entry.index).or(snapshot_index),
        });
        ready
    }

    /// Notes that the last [`Ready`] is persisted and synced, sent and applied.
    pub fn advance(&mut self) {
        let Some(done) = self.handed_out.take() else { return };
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
        self.note_own_progress();
    }

    /// Notes that the shell applies a membership change; gives the members as of that entry. They
    /// have counted since the entry was appended, see [`crate::conf_change`].
    pub fn apply_conf_change(&mut self, change: ConfChange) -> ConfState {
        self.applied_conf = self.applied_conf.with(change);
        self.applied_conf.clone()
    }

    /// Drops entries up to an applied index; the shell holds a snapshot there.
    ///
    /// # Errors
    /// [`RaftError::NotApplied`] when the index is beyond the applied one.
    pub fn compact(&mut self, index: u64) -> Result<SnapshotMeta, RaftError> {
        self.log.compact(index)
    }

    /// Drops the entries that a snapshot at an applied index covers, but for the last ones: as many of them
    /// as both bounds allow stay for replicas that lag a little.
    ///
    /// # Errors
    /// [`RaftError::NotApplied`] when the index is beyond the applied one.
    pub fn compact_behind(
        &mut self,
        index: u64,
        kept_entries: u64,
        kept_bytes: usize,
    ) -> Result<SnapshotMeta, RaftError> {
        let start = self.log.start_of_last(index, kept_entries, kept_bytes);
        self.log.compact(start)
    }

    /// What a snapshot of the state machine covers now.
    #[must_use]
    pub fn snapshot_meta(&self) -> SnapshotMeta {
        self.log.meta_at(self.log.applied())
    }

    /// Starts the wait for a leader anew, with a new random length.
    pub(crate) fn reset_election_timer(&mut self) {
        self.election_elapsed = 0;
        let ticks = self.config.election_ticks;
        self.election_timeout = self.random.random_range(ticks..ticks * 2);
    }

    /// Queues a message that rests on what this round persists.
    pub(crate) fn send(&mut self, to: NodeId, body: MessageBody) {
        self.send_with_term(to, self.term, body);
    }

    /// Queues a message with a term other than the own one (a pre-vote and its answer).
    pub(crate) fn send_with_term(&mut self, to: NodeId, term: u64, body: MessageBody) {
        self.outbox.push(Message { from: self.config.id, to, term, body });
    }

    /// Queues a leader's message. It rests on nothing but the leader's term, which has been on
    /// disk since before the election was won.
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
            || !self.lost_reads.is_empty()
            || !self.snapshots_wanted.is_empty()
    }

    fn hand_out_hard_state(&mut self, ready: &mut Ready) {
        let state = self.hard_state();
        let before = self.handed_out_state;
        let vote_changed = (state.term, state.vote) != (before.term, before.vote);
        ready.must_sync = vote_changed || !ready.entries.is_empty() || ready.snapshot.is_some();
        if state != before {
            ready.hard_state = Some(state);
            self.handed_out_state = state;
        }
    }
}

/// Hard state that fits the log: entries of a newer term than the one on disk come from a write
/// that was torn before its sync, so no vote was given in their term.
fn restored_hard_state(on_disk: HardState, log: &RaftLog) -> HardState {
    if on_disk.term < log.last_term() {
        return HardState { term: log.last_term(), vote: None, commit: log.commit() };
    }
    HardState { commit: log.commit(), ..on_disk }
}
