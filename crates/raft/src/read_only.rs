//! Linearizable reads: a read is answered from the state at the commit index of its start, once a
//! quorum has answered a heartbeat that was sent after the read came (Raft dissertation,
//! section 6.4). Reads that come while a round is under way share the next one.

use std::collections::VecDeque;

use crate::ready::ReadState;

/// Reads that wait for the same round.
#[derive(Debug, Clone)]
struct ReadBatch {
    round: u64,
    index: u64,
    contexts: Vec<u64>,
}

/// A leader's open reads.
#[derive(Debug, Clone, Default)]
pub struct ReadOnly {
    round: u64,
    waiting: Vec<u64>,
    confirming: VecDeque<ReadBatch>,
}

impl ReadOnly {
    /// Takes a read that waits for the next round.
    pub fn add(&mut self, context: u64) {
        self.waiting.push(context);
    }

    /// Newest round that was started in this term.
    #[must_use]
    pub fn round(&self) -> u64 {
        self.round
    }

    /// Whether reads wait and no round is under way.
    #[must_use]
    pub fn wants_round(&self) -> bool {
        !self.waiting.is_empty() && self.confirming.is_empty()
    }

    /// Starts a round for all waiting reads; `commit` is the leader's commit index now. Nothing
    /// happens when no read waits.
    pub fn start_round(&mut self, commit: u64) {
        if self.waiting.is_empty() {
            return;
        }
        self.round += 1;
        let contexts = std::mem::take(&mut self.waiting);
        self.confirming.push_back(ReadBatch { round: self.round, index: commit, contexts });
    }

    /// Reads whose round a quorum has answered.
    pub fn confirm(&mut self, confirmed_round: u64) -> Vec<ReadState> {
        let mut confirmed = Vec::new();
        while self.confirming.front().is_some_and(|batch| batch.round <= confirmed_round) {
            let Some(batch) = self.confirming.pop_front() else { break };
            let index = batch.index;
            confirmed.extend(batch.contexts.iter().map(|&context| ReadState { context, index }));
        }
        confirmed
    }

    /// Empties everything and gives the contexts of reads that were not confirmed.
    pub fn abandon(&mut self) -> Vec<u64> {
        let confirming = std::mem::take(&mut self.confirming);
        let mut lost: Vec<u64> = confirming.into_iter().flat_map(|batch| batch.contexts).collect();
        lost.append(&mut self.waiting);
        self.round = 0;
        lost
    }
}
