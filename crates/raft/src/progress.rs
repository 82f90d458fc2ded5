//! What a leader knows of one replica's log, and how much it may have on the way to it.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// How a leader sends to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProgressState {
    /// The matching place is unknown: one append at a time until it is found.
    Probe,
    /// The matching place is known: appends are pipelined.
    Replicate,
    /// A snapshot is on its way: no appends until the shell reports or the replica answers.
    Snapshot,
}

/// A leader's view of one replica.
#[derive(Debug, Clone)]
pub struct Progress {
    state: ProgressState,
    /// Highest index known to match.
    matched: u64,
    /// Next index to send.
    next: u64,
    /// Last index of each append that is not answered yet.
    inflight: VecDeque<u64>,
    /// Most appends that may be unanswered.
    max_inflight: usize,
    /// A probe was sent and is not answered.
    probe_sent: bool,
    /// Send an append though there is nothing new, to find out what was lost.
    check_wanted: bool,
    /// Highest commit index that an append carried.
    sent_commit: u64,
    /// Heard from since the last quorum check.
    active: bool,
    /// Heard from between the last two quorum checks.
    active_before: bool,
    /// Newest read round that it has answered.
    acked_round: u64,
}

impl Progress {
    /// A replica of which nothing is known but that the leader's log ends at `last_index`.
    #[must_use]
    pub fn new(last_index: u64, max_inflight: usize) -> Self {
        Self {
            state: ProgressState::Probe,
            matched: 0,
            next: last_index + 1,
            inflight: VecDeque::new(),
            max_inflight,
            probe_sent: false,
            check_wanted: false,
            sent_commit: 0,
            active: false,
            active_before: false,
            acked_round: 0,
        }
    }

    /// How the leader sends to it.
    #[must_use]
    pub fn state(&self) -> ProgressState {
        self.state
    }

    /// Highest index known to match.
    #[must_use]
    pub fn matched(&self) -> u64 {
        self.matched
    }

    /// Next index to send.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Appends that are not answered yet.
    #[must_use]
    pub fn inflight(&self) -> usize {
        self.inflight.len()
    }

    /// Whether it was heard from since the last quorum check.
    #[must_use]
    pub fn active(&self) -> bool {
        self.active
    }

    /// Whether it was heard from within the last one or two intervals between quorum checks: steady
    /// right after a check too, when nothing can have been heard yet.
    #[must_use]
    pub fn lately_active(&self) -> bool {
        self.active || self.active_before
    }

    /// Begins the next interval between quorum checks.
    pub fn begin_interval(&mut self) {
        self.active_before = std::mem::take(&mut self.active);
    }

    /// Notes whether it was heard from.
    pub fn set_active(&mut self, active: bool) {
        self.active = active;
    }

    /// Newest read round that it has answered.
    #[must_use]
    pub fn acked_round(&self) -> u64 {
        self.acked_round
    }

    /// Notes the answer to a read round.
    pub fn ack_round(&mut self, round: u64) {
        self.acked_round = self.acked_round.max(round);
    }

    /// Whether the pipeline has no room.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.inflight.len() >= self.max_inflight
    }

    /// Whether an append should go out, given the leader's last index and commit mark.
    #[must_use]
    pub fn wants_append(&self, last_index: u64, commit: u64) -> bool {
        match self.state {
            ProgressState::Snapshot => false,
            ProgressState::Probe => !self.probe_sent,
            ProgressState::Replicate => {
                let news = self.next <= last_index && !self.is_full();
                news || self.check_wanted || self.sent_commit < commit
            }
        }
    }

    /// Notes that an append up to `last` (`next - 1` when it was empty) with `commit` went out.
    pub fn sent(&mut self, last: u64, commit: u64) {
        self.check_wanted = false;
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

    /// Notes that the replica's log matches up to an index. `first_index` is the leader's first.
    pub fn accepted(&mut self, matched: u64, first_index: u64) {
        let grew = matched > self.matched;
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        match self.state {
            ProgressState::Replicate => self.free_to(self.matched),
            ProgressState::Probe => self.become_replicate(),
            ProgressState::Snapshot if grew && self.matched + 1 >= first_index => {
                self.become_replicate();
            }
            ProgressState::Snapshot => {}
        }
    }

    /// Notes a refusal of the append after `rejected_index`; the logs may agree up to `hint`.
    /// Gives `false` for a refusal that is out of date.
    pub fn rejected(&mut self, rejected_index: u64, hint: u64) -> bool {
        // A refusal at a place that matched before is out of date, or the replica has lost synced
        // entries; answering that with another probe would go round without end.
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

    /// Notes a sign of life. A replica that misses entries is asked again, as appends may be lost.
    pub fn heard(&mut self, last_index: u64) {
        self.active = true;
        self.probe_sent = false;
        self.check_wanted = self.matched < last_index;
    }

    /// Notes that the replica has lost its log: nothing of what it held counts any more.
    pub fn forget(&mut self) {
        if self.matched > 0 {
            self.matched = 0;
            self.become_probe(1);
        }
    }

    /// Goes to single appends from `next` on.
    pub fn become_probe(&mut self, next: u64) {
        self.state = ProgressState::Probe;
        self.next = next;
        self.probe_sent = false;
        self.inflight.clear();
    }

    /// Holds a probe back until the replica is heard from.
    pub fn pause(&mut self) {
        self.probe_sent = true;
    }

    /// Waits for a snapshot to arrive.
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
