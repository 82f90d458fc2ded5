//! Several commands in one log entry: what waits together costs one entry, one record and one task.
//!
//! A joined entry holds its commands in order, each after its length (u32, little endian). Replicas
//! apply them one after another, so the state is the same as with an entry each.

use std::collections::VecDeque;

use bytes::Bytes;
use hooklug_state::MachineError;

use crate::Reply;

/// Bytes of commands after which an entry takes no more (ours); a longer command has one of its
/// own.
pub const MAX_JOINED_BYTES: usize = 64 << 10;
/// Commands in one entry at most (ours).
pub const MAX_JOINED_COMMANDS: usize = 1_024;
/// Bytes of the length before each command.
const LENGTH_BYTES: usize = size_of::<u32>();

/// An entry that is not in the log yet.
#[derive(Debug, Default)]
pub(crate) struct JoinedEntry {
    /// The commands as the log holds them.
    pub(crate) bytes: Vec<u8>,
    /// Who waits for their results, in the same order.
    pub(crate) replies: Vec<Reply>,
}

impl JoinedEntry {
    fn has_room(&self, command: &[u8]) -> bool {
        let length = self.bytes.len() + LENGTH_BYTES + command.len();
        length <= MAX_JOINED_BYTES && self.replies.len() < MAX_JOINED_COMMANDS
    }

    fn push(&mut self, command: &[u8], reply: Reply) {
        // The rpc's frames are shorter than a u32 can say.
        let length = u32::try_from(command.len()).unwrap_or(u32::MAX);
        self.bytes.extend_from_slice(&length.to_le_bytes());
        self.bytes.extend_from_slice(command);
        self.replies.push(reply);
    }
}

/// Commands that wait for the next round, joined into entries.
#[derive(Debug, Default)]
pub(crate) struct Gathered {
    entries: VecDeque<JoinedEntry>,
    bytes: usize,
}

impl Gathered {
    /// Adds a command behind all others.
    pub(crate) fn push(&mut self, command: &[u8], reply: Reply) {
        self.bytes += command.len();
        if !self.entries.back().is_some_and(|entry| entry.has_room(command)) {
            self.entries.push_back(JoinedEntry::default());
        }
        if let Some(entry) = self.entries.back_mut() {
            entry.push(command, reply);
        }
    }

    /// The next entry, in order.
    pub(crate) fn pop(&mut self) -> Option<JoinedEntry> {
        let entry = self.entries.pop_front();
        if self.entries.is_empty() {
            self.bytes = 0;
        }
        entry
    }

    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of the commands that wait.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }
}

/// The commands of a joined entry, in order.
///
/// # Errors
/// An item is an error when the bytes end inside a command; nothing follows it.
pub fn split(entry: &Bytes) -> impl Iterator<Item = Result<&[u8], MachineError>> {
    let mut rest = entry.as_ref();
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let command = take_command(rest);
        rest = command.map_or(&[], |command| &rest[LENGTH_BYTES + command.len()..]);
        Some(command.ok_or_else(|| MachineError::Decode {
            what: "joined entry",
            reason: "it ends inside a command".to_owned(),
        }))
    })
}

fn take_command(bytes: &[u8]) -> Option<&[u8]> {
    let (length, rest) = bytes.split_first_chunk::<LENGTH_BYTES>()?;
    rest.get(..u32::from_le_bytes(*length) as usize)
}
