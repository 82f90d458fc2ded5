//! A leader's view of one replica's log, and flow control of the appends sent to it.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// Replication mode of a leader towards one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProgressState {
    /// The matching index is unknown: one append is sent at a time until it is found.
    Probe,
    /// The matching index is known: appends are pipelined.
    Replicate,
    /// A snapshot is being sent: no appends until the driver reports the result or the replica
    /// replies.
    Snapshot,
}

/// Replication state of one replica, as tracked by the leader.
#[derive(Debug, Clone)]
pub struct Progress {
    state: ProgressState,
    /// Highest index known to match the leader's log.
    matched: u64,
    /// Next index to send.
    next: u64,
    /// Last index of each unacknowledged append.
    inflight: VecDeque<u64>,
    /// Maximum number of unacknowledged appends.
    max_inflight: usize,
    /// A probe was sent and is unacknowledged.
    probe_sent: bool,
    /// Send an append although there are no new entries, to detect lost appends.
    append_check_due: bool,
    /// Highest commit index sent in an append.
    sent_commit: u64,
    /// Whether the replica was heard from since the last quorum check.
    active: bool,
    /// Whether the replica was heard from between the last two quorum checks.
    previously_active: bool,
    /// Newest read round that the replica has acknowledged.
    acked_read_round: u64,
}

impl Progress {
    /// Creates the progress of a replica with unknown log; `last_index` is the end of the leader's
    /// log.
    #[must_use]
    pub fn new(last_index: u64, max_inflight: usize) -> Self {
        Self {
            state: ProgressState::Probe,
            matched: 0,
            next: last_index + 1,
            inflight: VecDeque::new(),
            max_inflight,
            probe_sent: false,
            append_check_due: false,
            sent_commit: 0,
            active: false,
            previously_active: false,
            acked_read_round: 0,
        }
    }

    /// The replication mode.
    #[must_use]
    pub fn state(&self) -> ProgressState {
        self.state
    }

    /// Highest index known to match the leader's log.
    #[must_use]
    pub fn matched(&self) -> u64 {
        self.matched
    }

    /// Next index to send.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Number of unacknowledged appends.
    #[must_use]
    pub fn inflight(&self) -> usize {
        self.inflight.len()
    }

    /// Whether the replica was heard from since the last quorum check.
    #[must_use]
    pub fn active(&self) -> bool {
        self.active
    }

    /// Whether the replica was heard from in the current or the previous interval between quorum
    /// checks. Unlike [`Progress::active`], this does not turn false right after a check.
    #[must_use]
    pub fn recently_active(&self) -> bool {
        self.active || self.previously_active
    }

    /// Starts the next interval between quorum checks.
    pub fn start_interval(&mut self) {
        self.previously_active = std::mem::take(&mut self.active);
    }

    /// Records whether the replica was heard from.
    pub fn set_active(&mut self, active: bool) {
        self.active = active;
    }

    /// Newest read round that the replica has acknowledged.
    #[must_use]
    pub fn acked_read_round(&self) -> u64 {
        self.acked_read_round
    }

    /// Records the acknowledgement of a read round.
    pub fn ack_read_round(&mut self, round: u64) {
        self.acked_read_round = self.acked_read_round.max(round);
    }

    /// Whether the limit of unacknowledged appends is reached.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.inflight.len() >= self.max_inflight
    }

    /// Whether an append should be sent, given the leader's last index and commit index.
    #[must_use]
    pub fn needs_append(&self, last_index: u64, commit: u64) -> bool {
        match self.state {
            ProgressState::Snapshot => false,
            ProgressState::Probe => !self.probe_sent,
            ProgressState::Replicate => {
                let has_new_entries = self.next <= last_index && !self.is_full();
                has_new_entries || self.append_check_due || self.sent_commit < commit
            }
        }
    }

    /// Records that an append with the given commit index was sent. `last` is its last entry's
    /// index, or `next - 1` if it was empty.
    pub fn append_sent(&mut self, last: u64, commit: u64) {
        self.append_check_due = false;
        self.sent_commit = self.sent_commit.max(commit);
        match self.state {
            ProgressState::Probe => self.probe_sent = true,
            ProgressState::Replicate if last >= self.next => {
                self.next = last + 1;
                self.inflight.push_back(last);
            }
            ProgressState::Replicate | ProgressState::Snapshot => {}
        }
    }

    /// Records that the replica's log matches up to an index. `first_index` is the first index of
    /// the leader's log.
    pub fn append_accepted(&mut self, matched: u64, first_index: u64) {
        let advanced = matched > self.matched;
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        match self.state {
            ProgressState::Replicate => self.free_to(self.matched),
            ProgressState::Probe => self.become_replicate(),
            ProgressState::Snapshot if advanced && self.matched + 1 >= first_index => {
                self.become_replicate();
            }
            ProgressState::Snapshot => {}
        }
    }

    /// Records the rejection of the append after `rejected_index`; the logs may agree up to `hint`.
    /// Returns `false` for a stale rejection.
    pub fn append_rejected(&mut self, rejected_index: u64, hint: u64) -> bool {
        // A rejection at an index that matched before is stale, or the replica has lost synced
        // entries; probing again would then loop forever.
        if rejected_index <= self.matched {
            return false;
        }
        match self.state {
            ProgressState::Snapshot => false,
            ProgressState::Replicate => {
                self.become_probe(self.matched + 1);
                true
            }
            ProgressState::Probe if self.next - 1 != rejected_index => false,
            ProgressState::Probe => {
                self.become_probe(rejected_index.min(hint + 1).max(self.matched + 1));
                true
            }
        }
    }

    /// Records a heartbeat reply. If the replica lacks entries, an append is scheduled, since
    /// earlier ones may have been lost.
    pub fn heartbeat_acked(&mut self, last_index: u64) {
        self.active = true;
        self.probe_sent = false;
        self.append_check_due = self.matched < last_index;
    }

    /// Resets the progress of a replica that has lost its log.
    pub fn reset(&mut self) {
        if self.matched > 0 {
            self.matched = 0;
            self.become_probe(1);
        }
    }

    /// Switches to probing, starting at `next`.
    pub fn become_probe(&mut self, next: u64) {
        self.state = ProgressState::Probe;
        self.next = next;
        self.probe_sent = false;
        self.inflight.clear();
    }

    /// Delays the next probe until the replica is heard from.
    pub fn pause(&mut self) {
        self.probe_sent = true;
    }

    /// Stops appends until a snapshot has been sent.
    pub fn become_snapshot(&mut self) {
        self.state = ProgressState::Snapshot;
        self.inflight.clear();
    }

    fn become_replicate(&mut self) {
        self.state = ProgressState::Replicate;
        self.next = self.matched + 1;
        self.probe_sent = false;
        self.inflight.clear();
    }

    fn free_to(&mut self, index: u64) {
        while self.inflight.front().is_some_and(|last| *last <= index) {
            self.inflight.pop_front();
        }
    }
}
