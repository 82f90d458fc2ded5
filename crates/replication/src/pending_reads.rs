//! Linearizable reads that wait for a heartbeat round, and then for the entries before them.

use std::collections::BTreeMap;

use hooklug_raft::{RawNode, ReadState};

use crate::{ReadWaiter, ReplicationError};

/// Reads of one replica. Those that arrive in a driver cycle share a heartbeat round.
#[derive(Debug)]
pub(crate) struct PendingReads {
    /// Reads that arrived in this driver cycle; they share one context.
    new: Vec<ReadWaiter>,
    /// Reads that wait for their heartbeat round, by context.
    unconfirmed: BTreeMap<u64, Vec<ReadWaiter>>,
    /// Confirmed reads that wait until the given index is passed to the state machine.
    confirmed: Vec<(u64, Vec<ReadWaiter>)>,
    next_context: u64,
}

impl Default for PendingReads {
    fn default() -> Self {
        let (new, unconfirmed, confirmed) = (Vec::new(), BTreeMap::new(), Vec::new());
        Self { new, unconfirmed, confirmed, next_context: 1 }
    }
}

impl PendingReads {
    pub(crate) fn add(&mut self, read: ReadWaiter) {
        self.new.push(read);
    }

    /// Starts a heartbeat round for the new reads.
    pub(crate) fn start(&mut self, node: &mut RawNode) {
        if self.new.is_empty() {
            return;
        }
        let reads = std::mem::take(&mut self.new);
        let context = self.next_context;
        self.next_context += 1;
        match node.read_index(context) {
            Ok(()) => drop(self.unconfirmed.insert(context, reads)),
            Err(error) => fail(reads, &error.into()),
        }
    }

    /// Records that a heartbeat round is complete.
    pub(crate) fn confirm(&mut self, read: ReadState) {
        let waiters = self.unconfirmed.remove(&read.context).unwrap_or_default();
        self.confirmed.push((read.index, waiters));
    }

    /// Fails the reads of a heartbeat round that will not be complete.
    pub(crate) fn abort(&mut self, context: u64, error: &ReplicationError) {
        fail(self.unconfirmed.remove(&context).unwrap_or_default(), error);
    }

    /// Fails the reads whose heartbeat round has not started.
    pub(crate) fn fail_new(&mut self, error: &ReplicationError) {
        fail(std::mem::take(&mut self.new), error);
    }

    /// Returns the confirmed reads up to an index.
    pub(crate) fn take_due(&mut self, dispatched_index: u64) -> Vec<ReadWaiter> {
        let mut due = Vec::new();
        self.confirmed.retain_mut(|(index, reads)| {
            let is_due = *index <= dispatched_index;
            if is_due {
                due.append(reads);
            }
            !is_due
        });
        due
    }
}

fn fail(reads: Vec<ReadWaiter>, error: &ReplicationError) {
    for read in reads {
        drop(read.reply.send(Err(error.clone())));
    }
}
