//! A small raft group without faults, driven until it is idle.

use std::collections::{BTreeMap, BTreeSet};

use hooklug_raft::{
    ConfState, Config, Entry, EntryKind, HardState, Message, RawNode, ReadState, Restored, Role,
    Snapshot, SnapshotMeta,
};
use hooklug_types::NodeId;

/// Node id `n`.
pub fn node(n: u64) -> NodeId {
    NodeId(n)
}

/// Settings with short timers.
pub fn config(id: u64) -> Config {
    Config {
        id: node(id),
        election_ticks: 10,
        heartbeat_ticks: 2,
        max_append_bytes: 4096,
        max_inflight: 4,
        seed: 7,
    }
}

/// A configuration with the given voters and no learners.
pub fn voters(ids: &[u64]) -> ConfState {
    ConfState { voters: ids.iter().map(|id| node(*id)).collect(), learners: BTreeSet::new() }
}

/// Persistent state that holds only the initial members.
pub fn empty_disk(conf: ConfState) -> Restored {
    Restored {
        hard_state: HardState::default(),
        snapshot: SnapshotMeta { index: 0, term: 0, conf },
        entries: Vec::new(),
    }
}

/// A group whose messages are delivered immediately and in order.
pub struct Group {
    pub nodes: BTreeMap<u64, RawNode>,
    pub applied: BTreeMap<u64, Vec<Entry>>,
    pub reads: Vec<ReadState>,
    pub aborted_reads: Vec<u64>,
    pub partitioned: BTreeSet<u64>,
}

impl Group {
    /// Starts a group of voters with the given ids.
    pub fn new(ids: &[u64]) -> Self {
        let mut group = Self {
            nodes: BTreeMap::new(),
            applied: BTreeMap::new(),
            reads: Vec::new(),
            aborted_reads: Vec::new(),
            partitioned: BTreeSet::new(),
        };
        for id in ids {
            group.start(*id, voters(ids));
        }
        group
    }

    /// Starts a replica with an empty disk.
    pub fn start(&mut self, id: u64, conf: ConfState) {
        let raw = RawNode::new(config(id), empty_disk(conf)).expect("valid settings");
        self.nodes.insert(id, raw);
    }

    /// Replica `id`.
    pub fn at(&mut self, id: u64) -> &mut RawNode {
        self.nodes.get_mut(&id).expect("a known replica")
    }

    /// Processes work and delivers messages until no replica has any.
    pub fn settle(&mut self) {
        loop {
            let ids: Vec<u64> = self.nodes.keys().copied().collect();
            let mut sent = Vec::new();
            for id in ids {
                while self.at(id).has_ready() {
                    sent.extend(self.work(id));
                }
            }
            if sent.is_empty() {
                return;
            }
            for message in sent {
                if self.partitioned.contains(&message.from.0)
                    || self.partitioned.contains(&message.to.0)
                {
                    continue;
                }
                if let Some(receiver) = self.nodes.get_mut(&message.to.0) {
                    receiver.step(message);
                }
            }
        }
    }

    /// Ticks every replica and settles, the given number of times.
    pub fn tick(&mut self, ticks: u32) {
        for _ in 0..ticks {
            let ids: Vec<u64> = self.nodes.keys().copied().collect();
            for id in ids {
                self.at(id).tick();
            }
            self.settle();
        }
    }

    /// The leader of the highest term, if there is one.
    pub fn leader(&self) -> Option<u64> {
        let leaders = self.nodes.values().map(RawNode::status).filter(|s| s.role == Role::Leader);
        leaders.max_by_key(|status| status.term).map(|status| status.id.0)
    }

    /// Commands that a replica has applied.
    pub fn commands(&self, id: u64) -> Vec<Vec<u8>> {
        let applied = self.applied.get(&id).into_iter().flatten();
        let command = |entry: &Entry| match &entry.kind {
            EntryKind::Command(command) => Some(command.to_vec()),
            EntryKind::Noop | EntryKind::ConfChange(_) => None,
        };
        applied.filter_map(command).collect()
    }

    fn work(&mut self, id: u64) -> Vec<Message> {
        let ready = self.at(id).ready();
        let mut sent = ready.messages_before_sync;
        sent.extend(ready.messages);
        for entry in ready.committed {
            if let EntryKind::ConfChange(change) = entry.kind {
                self.at(id).apply_conf_change(change);
            }
            self.applied.entry(id).or_default().push(entry);
        }
        self.reads.extend(ready.reads);
        self.aborted_reads.extend(ready.aborted_reads);
        self.at(id).advance();
        for receiver in ready.snapshot_requests {
            self.send_snapshot(id, receiver.0);
        }
        sent
    }

    fn send_snapshot(&mut self, from: u64, to: u64) {
        let status = self.at(from).status();
        let meta = self.at(from).snapshot_meta();
        if !self.partitioned.contains(&to) {
            let snapshot = Snapshot { meta, data: Vec::new() };
            let applied = self.applied.get(&from).cloned().unwrap_or_default();
            self.applied.insert(to, applied);
            self.at(to).receive_snapshot(node(from), status.term, snapshot);
        }
        self.at(from).report_snapshot(node(to), true);
    }
}
