//! Pending commands and membership changes of a leader.

use std::collections::BTreeMap;

use hooklug_raft::{Entry, LogPosition, ProposeError};

use crate::command_batch::{BatchQueue, CommandBatch};
use crate::{ReplicationError, Reply};

/// Maximum number of commands that wait for their results at a leader.
const MAX_WAITING_COMMANDS: usize = 65_536;
/// Maximum size of the commands that wait to be appended. A single command may exceed it.
const MAX_QUEUED_BYTES: usize = 64 << 20;

/// An appended entry that is not committed yet.
#[derive(Debug)]
struct PendingEntry {
    term: u64,
    replies: Vec<Reply>,
}

/// Pending proposals of a leader.
#[derive(Debug, Default)]
pub(crate) struct Proposals {
    /// Commands that are not appended to the log yet.
    batches: BatchQueue,
    /// Uncommitted entries in the log, by index.
    pending: BTreeMap<u64, PendingEntry>,
    /// Number of replies in `batches` and `pending`.
    waiting: usize,
}

impl Proposals {
    /// Queues a command for the next log entry, or rejects it if the queue is full.
    pub(crate) fn enqueue(&mut self, command: &[u8], reply: Reply) {
        if self.is_full(command) {
            reply.send(Err(ReplicationError::Busy("too many commands are pending".to_owned())));
        } else {
            self.waiting += 1;
            self.batches.push(command, reply);
        }
    }

    fn is_full(&self, command: &[u8]) -> bool {
        let bytes = self.batches.bytes() + command.len();
        let exceeds_byte_limit = !self.batches.is_empty() && bytes > MAX_QUEUED_BYTES;
        self.waiting >= MAX_WAITING_COMMANDS || exceeds_byte_limit
    }

    /// Whether commands wait to be appended to the log.
    pub(crate) fn has_unappended(&self) -> bool {
        !self.batches.is_empty()
    }

    /// Appends all queued commands to the log, in order.
    pub(crate) fn append_batches(
        &mut self,
        mut append: impl FnMut(Vec<u8>) -> Result<LogPosition, ProposeError>,
    ) {
        while let Some(CommandBatch { bytes, replies }) = self.batches.pop() {
            let position = append(bytes);
            self.wait_for(position, replies);
        }
    }

    /// Adds a membership change that waits to be committed.
    pub(crate) fn wait_for_change(
        &mut self,
        position: Result<LogPosition, ProposeError>,
        reply: Reply,
    ) {
        self.waiting += 1;
        self.wait_for(position, vec![reply]);
    }

    fn wait_for(&mut self, position: Result<LogPosition, ProposeError>, replies: Vec<Reply>) {
        match position {
            Ok(LogPosition { term, index }) => {
                if let Some(lost) = self.pending.insert(index, PendingEntry { term, replies }) {
                    self.fail(lost.replies, &ReplicationError::Uncertain);
                }
            }
            Err(error) => self.fail(replies, &error.into()),
        }
    }

    /// Returns the replies to a committed entry. If a different entry was pending at its index,
    /// that entry's replies are completed as uncertain.
    pub(crate) fn committed(&mut self, entry: &Entry) -> Vec<Reply> {
        let Some(PendingEntry { term, replies }) = self.pending.remove(&entry.index) else {
            return Vec::new();
        };
        if term != entry.term {
            self.fail(replies, &ReplicationError::Uncertain);
            return Vec::new();
        }
        self.waiting -= replies.len();
        replies
    }

    /// Fails all commands that are not in the log with an error.
    pub(crate) fn fail_unappended(&mut self, error: &ReplicationError) {
        while let Some(batch) = self.batches.pop() {
            self.fail(batch.replies, error);
        }
    }

    /// Fails all pending proposals with an error.
    pub(crate) fn fail_all(&mut self, error: &ReplicationError) {
        self.fail_unappended(error);
        for (_, pending) in std::mem::take(&mut self.pending) {
            self.fail(pending.replies, error);
        }
    }

    fn fail(&mut self, replies: Vec<Reply>, error: &ReplicationError) {
        self.waiting -= replies.len();
        for reply in replies {
            reply.send(Err(error.clone()));
        }
    }
}
