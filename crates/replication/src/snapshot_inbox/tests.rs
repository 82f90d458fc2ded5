//! Tests of receiving snapshot chunks in and out of order.

use hooklug_protocol::store::SnapshotChunk;
use hooklug_raft::SnapshotMeta;
use hooklug_types::{Digest, GroupId, NodeId};

use super::{ChunkOutcome, SnapshotInbox};

const DATA: &[u8] = b"the whole state";

fn chunk(offset: usize, end: usize, term: u64) -> SnapshotChunk {
    let meta = SnapshotMeta { index: 9, term: 2, conf: Default::default() };
    SnapshotChunk {
        to: NodeId(1),
        from: NodeId(2),
        term,
        group: GroupId(3),
        meta,
        offset: offset as u64,
        data: DATA[offset..end].to_vec(),
        digest: (end == DATA.len()).then(|| Digest::of(DATA)),
    }
}

#[test]
fn chunks_received_in_order_complete_the_snapshot() {
    let mut inbox = SnapshotInbox::default();
    assert_eq!(inbox.receive(&chunk(0, 4, 5)), ChunkOutcome::ExpectOffset(4));
    assert_eq!(inbox.receive(&chunk(4, 9, 5)), ChunkOutcome::ExpectOffset(9));
    let outcome = inbox.receive(&chunk(9, DATA.len(), 5));
    assert!(matches!(outcome, ChunkOutcome::Complete(snapshot) if snapshot.data == DATA));
}

#[test]
fn a_duplicate_or_early_chunk_returns_the_expected_offset() {
    let mut inbox = SnapshotInbox::default();
    inbox.receive(&chunk(0, 4, 5));
    inbox.receive(&chunk(4, 9, 5));
    assert_eq!(inbox.receive(&chunk(4, 9, 5)), ChunkOutcome::ExpectOffset(9));
    assert_eq!(inbox.receive(&chunk(12, DATA.len(), 5)), ChunkOutcome::ExpectOffset(9));
}

#[test]
fn chunks_from_different_terms_are_never_combined() {
    let mut inbox = SnapshotInbox::default();
    inbox.receive(&chunk(0, 4, 5));
    assert_eq!(inbox.receive(&chunk(4, DATA.len(), 6)), ChunkOutcome::ExpectOffset(0));
    assert_eq!(inbox.receive(&chunk(0, 2, 6)), ChunkOutcome::ExpectOffset(2));
    assert_eq!(inbox.receive(&chunk(4, DATA.len(), 5)), ChunkOutcome::ExpectOffset(0));
}

#[test]
fn a_snapshot_with_a_wrong_digest_restarts_the_transfer() {
    let mut inbox = SnapshotInbox::default();
    let mut damaged = chunk(0, DATA.len(), 5);
    damaged.data[3] ^= 1;
    assert_eq!(inbox.receive(&damaged), ChunkOutcome::ExpectOffset(0));
    assert_eq!(
        inbox.receive(&chunk(4, 9, 5)),
        ChunkOutcome::ExpectOffset(0),
        "nothing is retained"
    );
}
