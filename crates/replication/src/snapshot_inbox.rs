//! Assembles incoming snapshots from chunks and verifies their digest. Performs no I/O.

use std::collections::BTreeMap;

use hooklug_protocol::store::SnapshotChunk;
use hooklug_raft::{Snapshot, SnapshotMeta};
use hooklug_types::{Digest, GroupId, NodeId};

/// Maximum size of an accepted snapshot in bytes.
const MAX_SNAPSHOT_BYTES: usize = 4 << 30;

#[derive(Debug)]
struct Partial {
    from: NodeId,
    term: u64,
    meta: SnapshotMeta,
    data: Vec<u8>,
}

/// Result of receiving a chunk.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ChunkOutcome {
    /// The snapshot is incomplete; the chunk at this offset is expected next.
    ExpectOffset(u64),
    /// The snapshot is complete and its digest matches.
    Complete(Snapshot),
}

/// Partially received snapshots, at most one per group.
#[derive(Debug, Default)]
pub(crate) struct SnapshotInbox {
    partial: BTreeMap<GroupId, Partial>,
}

impl SnapshotInbox {
    /// Adds a chunk. The first chunk of a snapshot discards a partial one of the same group.
    pub(crate) fn receive(&mut self, chunk: &SnapshotChunk) -> ChunkOutcome {
        let group = chunk.group;
        if chunk.offset == 0 {
            let partial = Partial {
                from: chunk.from,
                term: chunk.term,
                meta: chunk.meta.clone(),
                data: Vec::new(),
            };
            self.partial.insert(group, partial);
        }
        let Some(partial) = self.partial.get_mut(&group) else {
            return ChunkOutcome::ExpectOffset(0);
        };
        let same =
            (partial.from, partial.term) == (chunk.from, chunk.term) && partial.meta == chunk.meta;
        if !same || partial.data.len() + chunk.data.len() > MAX_SNAPSHOT_BYTES {
            return ChunkOutcome::ExpectOffset(0);
        }
        if partial.data.len() as u64 != chunk.offset {
            return ChunkOutcome::ExpectOffset(partial.data.len() as u64);
        }
        partial.data.extend_from_slice(&chunk.data);
        match chunk.digest {
            None => ChunkOutcome::ExpectOffset(partial.data.len() as u64),
            Some(digest) => self.finish(group, digest),
        }
    }

    fn finish(&mut self, group: GroupId, digest: Digest) -> ChunkOutcome {
        match self.partial.remove(&group) {
            Some(Partial { meta, data, .. }) if Digest::of(&data) == digest => {
                ChunkOutcome::Complete(Snapshot { meta, data })
            }
            _ => ChunkOutcome::ExpectOffset(0),
        }
    }
}

#[cfg(test)]
mod tests;
