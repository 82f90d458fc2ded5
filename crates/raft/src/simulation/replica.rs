//! A replica of the simulated group: its disk, and its process while it runs.

use std::collections::BTreeMap;

use hooklug_types::NodeId;

use super::broken_rule::BrokenRule;
use super::disk::Disk;
use super::event::RunId;
use super::machine::StateMachine;
use crate::config::{Config, Restored};
use crate::message::ConfState;
use crate::node::RawNode;
use crate::raft_log::RaftLog;
use crate::ready::{ReadState, Ready};

/// In-memory state of a running replica.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) raw: RawNode,
    pub(crate) machine: StateMachine,
    /// Work that is waiting for its sync.
    pub(crate) syncing: Option<Ready>,
    /// Unacknowledged client writes: index and term.
    pub(crate) writes: BTreeMap<u64, u64>,
    /// Unanswered client reads: context, and the highest acknowledged index when the read started.
    pub(crate) reads: BTreeMap<u64, u64>,
    /// Confirmed reads that wait for their index to be applied.
    pub(crate) confirmed: Vec<ReadState>,
}

/// A simulated replica.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) id: NodeId,
    pub(crate) disk: Disk,
    pub(crate) process: Option<Process>,
    /// Whether its disk is lost; such a replica never restarts.
    pub(crate) lost: bool,
    /// Number of the current run, incremented at each start.
    pub(crate) run: u64,
    pub(crate) frozen_until: u64,
    /// Time units per tick; differs between replicas to simulate clock drift.
    pub(crate) tick_units: u64,
}

impl Replica {
    pub(crate) fn new(id: NodeId, conf: ConfState, tick_units: u64) -> Self {
        let disk = Disk::empty(conf);
        Self { id, disk, process: None, lost: false, run: 0, frozen_until: 0, tick_units }
    }

    /// Starts the process from the state on disk.
    pub(crate) fn start(&mut self, config: Config, broken: Option<BrokenRule>) {
        let (restored, state) = self.disk.restore();
        let mut raw = match RawNode::new(config, restored) {
            Ok(raw) => raw,
            Err(error) => panic!("replica {} can't restore its state from disk: {error}", self.id),
        };
        raw.broken_rule = broken;
        self.run += 1;
        self.process = Some(Process {
            raw,
            machine: StateMachine::decode(&state),
            syncing: None,
            writes: BTreeMap::new(),
            reads: BTreeMap::new(),
            confirmed: Vec::new(),
        });
    }

    pub(crate) fn current_run(&self) -> RunId {
        RunId { node: self.id, number: self.run }
    }

    /// The newest members and the newest committed members that the replica knows.
    pub(crate) fn confs(&self) -> Vec<ConfState> {
        if let Some(process) = &self.process {
            return confs_of(&process.raw.log);
        }
        let (Restored { hard_state, snapshot, entries }, _) = self.disk.restore();
        let Ok(mut log) = RaftLog::new(snapshot, entries) else { return Vec::new() };
        log.commit_to(hard_state.commit);
        confs_of(&log)
    }
}

fn confs_of(log: &RaftLog) -> Vec<ConfState> {
    vec![log.conf().clone(), log.conf_at(log.commit()).clone()]
}
