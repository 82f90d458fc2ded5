//! The simulator's replicated state machine: a digest over all applied entries, so that two states
//! are equal only if the same entries were applied in the same order.

use super::fingerprint::Fingerprint;
use crate::message::{ConfChange, Entry, EntryKind};

/// State after applying a prefix of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct StateMachine {
    /// Last applied index.
    pub(crate) applied: u64,
    /// Digest of all applied entries.
    pub(crate) digest: u64,
}

impl StateMachine {
    pub(crate) fn apply(&mut self, entry: &Entry) {
        let mut digest = Fingerprint::resume(self.digest);
        digest.number(entry_digest(entry));
        self.digest = digest.value();
        self.applied = entry.index;
    }

    /// Encodes the state for a snapshot.
    pub(crate) fn encode(self) -> Vec<u8> {
        [self.applied.to_le_bytes(), self.digest.to_le_bytes()].concat()
    }

    /// Decodes the state from a snapshot; empty data is the state before the first entry.
    pub(crate) fn decode(bytes: &[u8]) -> Self {
        let number = |from: usize| {
            let bytes = bytes.get(from..from + 8).and_then(|bytes| bytes.try_into().ok());
            bytes.map_or(0, u64::from_le_bytes)
        };
        Self { applied: number(0), digest: number(8) }
    }
}

/// Digest of one entry.
pub(crate) fn entry_digest(entry: &Entry) -> u64 {
    let mut digest = Fingerprint::default();
    digest.number(entry.index);
    digest.number(entry.term);
    match &entry.kind {
        EntryKind::Noop => digest.number(0),
        EntryKind::Command(command) => {
            digest.number(1);
            digest.bytes(command);
        }
        EntryKind::ConfChange(change) => {
            let (kind, node) = match change {
                ConfChange::AddLearner(node) => (2, node),
                ConfChange::PromoteVoter(node) => (3, node),
                ConfChange::Remove(node) => (4, node),
            };
            digest.number(kind);
            digest.number(node.0);
        }
    }
    digest.value()
}
