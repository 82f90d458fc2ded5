//! One replica of the simulated group: its disk, and its process while it runs.

use std::collections::BTreeMap;

use hooklug_types::NodeId;

use super::broken_rule::BrokenRule;
use super::disk::Disk;
use super::event::Run;
use super::machine::StateMachine;
use crate::config::{Config, Restored};
use crate::message::ConfState;
use crate::node::RawNode;
use crate::raft_log::RaftLog;
use crate::ready::{ReadState, Ready};

/// What a process holds in memory.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) raw: RawNode,
    pub(crate) machine: StateMachine,
    /// Work that waits for its sync.
    pub(crate) syncing: Option<Ready>,
    /// Writes that clients wait for: index and term.
    pub(crate) writes: BTreeMap<u64, u64>,
    /// Reads that clients wait for: context, and the index acknowledged when each began.
    pub(crate) reads: BTreeMap<u64, u64>,
    /// Reads confirmed that wait for their index to be applied.
    pub(crate) confirmed: Vec<ReadState>,
}

/// One replica.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) id: NodeId,
    pub(crate) disk: Disk,
    pub(crate) process: Option<Process>,
    /// Its disk is gone; it never comes back.
    pub(crate) lost: bool,
    /// Number of its current run.
    pub(crate) run: u64,
    pub(crate) frozen_until: u64,
    /// Time units between its ticks: clocks differ.
    pub(crate) tick_units: u64,
}

impl Replica {
    pub(crate) fn new(id: NodeId, conf: ConfState, tick_units: u64) -> Self {
        let disk = Disk::empty(conf);
        Self { id, disk, process: None, lost: false, run: 0, frozen_until: 0, tick_units }
    }

    /// Starts the process from the disk.
    pub(crate) fn start(&mut self, config: Config, broken: Option<BrokenRule>) {
        let (restored, state) = self.disk.restore();
        let mut raw = match RawNode::new(config, restored) {
            Ok(raw) => raw,
            Err(error) => panic!("replica {} can't start from its disk: {error}", self.id),
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

    pub(crate) fn current_run(&self) -> Run {
        Run { node: self.id, number: self.run }
    }

    /// Members that it goes by: the newest and the newest committed.
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
