//! Linearizable reads (`ReadIndex`): a read is served at the leader's commit index after a quorum
//! has acknowledged a heartbeat that was sent after the read arrived (Raft dissertation, section
//! 6.4). Reads that arrive during a heartbeat round share the next one.

use std::collections::VecDeque;

use crate::ready::ReadState;

/// Reads that wait for the same heartbeat round.
#[derive(Debug, Clone)]
struct ReadBatch {
    round: u64,
    index: u64,
    contexts: Vec<u64>,
}

/// A leader's unconfirmed reads.
#[derive(Debug, Clone, Default)]
pub struct ReadOnly {
    round: u64,
    waiting: Vec<u64>,
    confirming: VecDeque<ReadBatch>,
}

impl ReadOnly {
    /// Adds a read, which waits for the next round.
    pub fn add(&mut self, context: u64) {
        self.waiting.push(context);
    }

    /// Number of the newest round started in this term.
    #[must_use]
    pub fn round(&self) -> u64 {
        self.round
    }

    /// Whether reads are waiting and no round is in progress.
    #[must_use]
    pub fn needs_round(&self) -> bool {
        !self.waiting.is_empty() && self.confirming.is_empty()
    }

    /// Starts a round for all waiting reads, if any. `commit` is the leader's current commit index.
    pub fn start_round(&mut self, commit: u64) {
        if self.waiting.is_empty() {
            return;
        }
        self.round += 1;
        let contexts = std::mem::take(&mut self.waiting);
        self.confirming.push_back(ReadBatch { round: self.round, index: commit, contexts });
    }

    /// Returns the reads whose round a quorum has acknowledged.
    pub fn confirm(&mut self, confirmed_round: u64) -> Vec<ReadState> {
        let mut confirmed = Vec::new();
        while self.confirming.front().is_some_and(|batch| batch.round <= confirmed_round) {
            let Some(batch) = self.confirming.pop_front() else { break };
            let index = batch.index;
            confirmed.extend(batch.contexts.iter().map(|&context| ReadState { context, index }));
        }
        confirmed
    }

    /// Removes all reads and returns the contexts of those that were not confirmed.
    pub fn abandon(&mut self) -> Vec<u64> {
        let confirming = std::mem::take(&mut self.confirming);
        let mut lost: Vec<u64> = confirming.into_iter().flat_map(|batch| batch.contexts).collect();
        lost.append(&mut self.waiting);
        self.round = 0;
        lost
    }
}
