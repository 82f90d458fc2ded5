//! Snapshots on their way in: pieces in order, verified as a whole. No I/O.

use std::collections::BTreeMap;

use hooklug_protocol::store::SnapshotChunk;
use hooklug_raft::{Snapshot, SnapshotMeta};
use hooklug_types::{Digest, GroupId, NodeId};

/// Longest snapshot accepted, in bytes (ours).
const MAX_SNAPSHOT_BYTES: usize = 4 << 30;

#[derive(Debug)]
struct Partial {
    from: NodeId,
    term: u64,
    meta: SnapshotMeta,
    data: Vec<u8>,
}

/// What a piece came to.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ChunkOutcome {
    /// The piece was taken, or not: this offset is expected next.
    Expect(u64),
    /// The snapshot is whole and its digest fits.
    Whole(Snapshot),
}

/// Snapshots that are not whole yet, one a group.
#[derive(Debug, Default)]
pub(crate) struct SnapshotInbox {
    partial: BTreeMap<GroupId, Partial>,
}

impl SnapshotInbox {
    /// Takes a piece. The first piece of another snapshot replaces one that is not whole.
    pub(crate) fn take(&mut self, chunk: &SnapshotChunk) -> ChunkOutcome {
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
        let Some(partial) = self.partial.get_mut(&group) else { return ChunkOutcome::Expect(0) };
        let same =
            (partial.from, partial.term) == (chunk.from, chunk.term) && partial.meta == chunk.meta;
        if !same || partial.data.len() + chunk.data.len() > MAX_SNAPSHOT_BYTES {
            return ChunkOutcome::Expect(0);
        }
        if partial.data.len() as u64 != chunk.offset {
            return ChunkOutcome::Expect(partial.data.len() as u64);
        }
        partial.data.extend_from_slice(&chunk.data);
        match chunk.whole {
            None => ChunkOutcome::Expect(partial.data.len() as u64),
            Some(digest) => self.finish(group, digest),
        }
    }

    fn finish(&mut self, group: GroupId, digest: Digest) -> ChunkOutcome {
        match self.partial.remove(&group) {
            Some(Partial { meta, data, .. }) if Digest::of(&data) == digest => {
                ChunkOutcome::Whole(Snapshot { meta, data })
            }
            _ => ChunkOutcome::Expect(0),
        }
    }
}

#[cfg(test)]
mod tests;
