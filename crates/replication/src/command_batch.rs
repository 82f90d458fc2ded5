//! Batching of commands: commands that wait together share one log entry, one record and one
//! applier task.
//!
//! A batch holds its commands in order, each preceded by its length (u32, little endian). Replicas
//! apply them one by one, so the resulting state is the same as with one entry per command.

use std::collections::VecDeque;

use bytes::Bytes;
use hooklug_state::MachineError;

use crate::Reply;

/// Maximum size of a batch in bytes. A command that exceeds it gets a batch of its own.
pub const MAX_BATCH_BYTES: usize = 64 << 10;
/// Maximum number of commands in a batch.
pub const MAX_BATCH_COMMANDS: usize = 1_024;
/// Size of the length prefix of each command.
const LENGTH_BYTES: usize = size_of::<u32>();

/// Commands of one log entry that is not appended yet.
#[derive(Debug, Default)]
pub(crate) struct CommandBatch {
    /// The encoded commands.
    pub(crate) bytes: Vec<u8>,
    /// The replies to the commands, in the same order.
    pub(crate) replies: Vec<Reply>,
}

impl CommandBatch {
    fn has_capacity_for(&self, command: &[u8]) -> bool {
        let length = self.bytes.len() + LENGTH_BYTES + command.len();
        length <= MAX_BATCH_BYTES && self.replies.len() < MAX_BATCH_COMMANDS
    }

    fn append_bytes(&mut self, command: &[u8]) {
        // RPC frames are limited to less than `u32::MAX` bytes, so the conversion can't fail.
        let length = u32::try_from(command.len()).unwrap_or(u32::MAX);
        self.bytes.extend_from_slice(&length.to_le_bytes());
        self.bytes.extend_from_slice(command);
    }

    fn push(&mut self, command: &[u8], reply: Reply) {
        self.append_bytes(command);
        self.replies.push(reply);
    }
}

/// Queue of batches that wait to be appended.
#[derive(Debug, Default)]
pub(crate) struct BatchQueue {
    batches: VecDeque<CommandBatch>,
    bytes: usize,
}

impl BatchQueue {
    /// Adds a command to the last batch, or to a new one if that is full.
    pub(crate) fn push(&mut self, command: &[u8], reply: Reply) {
        self.bytes += command.len();
        if !self.batches.back().is_some_and(|batch| batch.has_capacity_for(command)) {
            self.batches.push_back(CommandBatch::default());
        }
        if let Some(batch) = self.batches.back_mut() {
            batch.push(command, reply);
        }
    }

    /// Removes and returns the first batch.
    pub(crate) fn pop(&mut self) -> Option<CommandBatch> {
        let batch = self.batches.pop_front();
        if self.batches.is_empty() {
            self.bytes = 0;
        }
        batch
    }

    /// Whether the queue is empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Total size of the queued commands.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }
}

/// Returns a batch with a single command, whose result nobody waits for.
pub(crate) fn single_command_batch(command: &[u8]) -> Vec<u8> {
    let mut batch = CommandBatch::default();
    batch.append_bytes(command);
    batch.bytes
}

/// Iterates over the commands of a batch, in order.
///
/// # Errors
/// If the bytes end within a command, the last item is an error.
pub fn split_batch(batch: &Bytes) -> impl Iterator<Item = Result<&[u8], MachineError>> {
    let mut rest = batch.as_ref();
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let command = take_command(rest);
        rest = command.map_or(&[], |command| &rest[LENGTH_BYTES + command.len()..]);
        Some(command.ok_or_else(|| MachineError::Decode {
            what: "command batch",
            reason: "truncated command".to_owned(),
        }))
    })
}

fn take_command(bytes: &[u8]) -> Option<&[u8]> {
    let (length, rest) = bytes.split_first_chunk::<LENGTH_BYTES>()?;
    rest.get(..u32::from_le_bytes(*length) as usize)
}
