//! Helpers for tests of a single replica without I/O.

use std::time::Instant;

use hooklug_raft::{
    ConfState, Config, Entry, EntryKind, HardState, Message, RawNode, Restored, SnapshotMeta,
};
use hooklug_replication::{Replica, ReplicaWork, split_batch};
use hooklug_types::{GroupId, NodeId};

pub const OWN: NodeId = NodeId(1);

/// A replica of a new group with the given initial voters.
pub fn replica(voters: &[u64]) -> Replica {
    let config = Config {
        id: OWN,
        election_ticks: 10,
        heartbeat_ticks: 2,
        max_append_bytes: 1 << 20,
        max_inflight: 16,
        seed: 7,
    };
    let voters = voters.iter().copied().map(NodeId).collect();
    let conf = ConfState { voters, learners: [].into() };
    let meta = SnapshotMeta { index: 1, term: 1, conf };
    let hard_state = HardState { term: 1, vote: None, commit: 1 };
    let restored = Restored { hard_state, snapshot: meta.clone(), entries: Vec::new() };
    let node = RawNode::new(config, restored).unwrap();
    Replica::new(GroupId(1), node, hard_state, Some(meta))
}

/// Processes all pending work as if each sync succeeded; returns it and the messages sent after the
/// syncs.
pub fn settle(replica: &mut Replica) -> (Vec<ReplicaWork>, Vec<Message>) {
    let (mut work_items, mut sent) = (Vec::new(), Vec::new());
    while let Some(work) = replica.next_work(Instant::now()) {
        if work.sync {
            sent.extend(replica.persisted(Instant::now()));
        }
        work_items.push(work);
    }
    (work_items, sent)
}

/// The commands of an entry, in order.
pub fn commands_in(entry: &Entry) -> Vec<Vec<u8>> {
    let EntryKind::Command(batch) = &entry.kind else { return Vec::new() };
    split_batch(batch).map(|command| command.expect("a complete command").to_vec()).collect()
}

/// The leader of a group with a single voter.
pub fn leader_alone() -> Replica {
    let mut replica = replica(&[1]);
    replica.campaign();
    settle(&mut replica);
    assert!(replica.leads());
    replica
}
