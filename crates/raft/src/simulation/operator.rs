//! Simulated operator actions: membership changes, replacement of lost replicas, log compaction and
//! leadership transfer.

use hooklug_types::NodeId;
use rand::RngExt;

use super::disk::Write;
use super::fault_profile::TICK_UNITS;
use super::network::chance;
use super::replica::Replica;
use super::runner::Simulation;
use crate::message::{ConfChange, ConfState};
use crate::ready::Snapshot;

/// Maximum number of replicas created in a run, including lost and removed ones.
const MAX_REPLICAS: usize = 12;
/// Maximum number of voters of a group.
const MAX_VOTERS: usize = 5;
/// Maximum number of applied entries that a compaction retains.
const MAX_TRAILING_ENTRIES: u64 = 8;

impl Simulation {
    pub(super) fn next_operator_actions(&mut self) {
        if chance(&mut self.random, self.fault_profile.change_members) {
            self.change_members();
        }
        if chance(&mut self.random, self.fault_profile.compact) {
            self.compact_one();
        }
        if chance(&mut self.random, self.fault_profile.transfer) {
            self.transfer();
        }
    }

    /// Creates a replica with an empty disk and without members.
    pub(super) fn add_empty_replica(&mut self) -> Option<NodeId> {
        if self.replicas.len() >= MAX_REPLICAS {
            return None;
        }
        let id = NodeId(self.replicas.len() as u64 + 1);
        self.add_replica(id, ConfState::default());
        Some(id)
    }

    pub(super) fn add_replica(&mut self, id: NodeId, conf: ConfState) {
        let drift = self.random.random_range(0..=TICK_UNITS / 2);
        let tick_units = TICK_UNITS - TICK_UNITS / 4 + drift;
        self.replicas.insert(id, Replica::new(id, conf, tick_units));
        self.start(id);
    }

    fn change_members(&mut self) {
        let Some(leader) = self.pick_leader() else { return };
        let Some(conf) = self.conf_at(leader) else { return };
        let Some(change) = self.draw_change(&conf) else { return };
        if !self.has_surviving_quorum(&conf.with(change), None) {
            return;
        }
        let Some(process) = self.process_mut(leader) else { return };
        if process.raw.propose_conf_change(change).is_ok() {
            self.totals.conf_changes += 1;
        }
    }

    /// Chooses the removal of a member with a lost disk if there is one, else a random change.
    fn draw_change(&mut self, conf: &ConfState) -> Option<ConfChange> {
        let lost = conf.members().find(|node| self.replicas.get(node).is_some_and(|r| r.lost));
        if let Some(lost) = lost {
            return Some(ConfChange::Remove(lost));
        }
        let members: Vec<NodeId> = conf.members().collect();
        match self.random.random_range(0..3) {
            0 => self.pick_non_member(conf).map(ConfChange::AddLearner),
            1 if conf.voters.len() < MAX_VOTERS => {
                conf.learners.first().copied().map(ConfChange::PromoteVoter)
            }
            _ if conf.voters.len() > 1 => {
                let node = members[self.random.random_range(0..members.len())];
                Some(ConfChange::Remove(node))
            }
            _ => None,
        }
    }

    /// Returns a replica that is not a member (new or removed before), or creates one.
    fn pick_non_member(&mut self, conf: &ConfState) -> Option<NodeId> {
        let idle = self.replicas.values().find(|r| !r.lost && !conf.contains(r.id));
        match idle.map(|replica| replica.id) {
            Some(id) => Some(id),
            None => self.add_empty_replica(),
        }
    }

    fn compact_one(&mut self) {
        let all: Vec<NodeId> = self.replicas.keys().copied().collect();
        let node = all[self.random.random_range(0..all.len())];
        let retained = self.random.random_range(0..=MAX_TRAILING_ENTRIES);
        self.compact(node, retained);
    }

    /// Syncs a snapshot at the applied index, then removes the entries that it covers, except the
    /// last `retained` ones.
    fn compact(&mut self, node: NodeId, retained: u64) {
        let broken = self.scenario.broken_rule;
        let Some(replica) = self.replicas.get_mut(&node) else { return };
        let Some(process) = &mut replica.process else { return };
        let meta = process.raw.snapshot_meta();
        if process.syncing.is_some() || meta.index == 0 {
            return;
        }
        let index = meta.index.saturating_sub(retained);
        let snapshot = Snapshot { meta, data: process.machine.encode() };
        replica.disk.write(Write::Snapshot(snapshot));
        replica.disk.sync(broken);
        if process.raw.compact(index).is_ok() {
            self.totals.compactions += 1;
        }
    }

    fn transfer(&mut self) {
        let Some(leader) = self.pick_leader() else { return };
        let Some(conf) = self.conf_at(leader) else { return };
        let voters: Vec<NodeId> = conf.voters.into_iter().collect();
        let to = voters[self.random.random_range(0..voters.len())];
        let Some(process) = self.process_mut(leader) else { return };
        if process.raw.transfer_leadership(to).is_ok() {
            self.totals.transfers += 1;
        }
    }

    fn pick_leader(&mut self) -> Option<NodeId> {
        let leaders = self.leaders();
        if leaders.is_empty() {
            return None;
        }
        Some(leaders[self.random.random_range(0..leaders.len())])
    }

    fn conf_at(&self, node: NodeId) -> Option<ConfState> {
        let process = self.replicas.get(&node)?.process.as_ref()?;
        Some(process.raw.log.conf().clone())
    }

    /// Whether a majority of the voters still has its disk if the given replica loses its own too.
    pub(super) fn has_surviving_quorum(&self, conf: &ConfState, losing: Option<NodeId>) -> bool {
        let keeps =
            |node| Some(node) != losing && self.replicas.get(&node).is_some_and(|r| !r.lost);
        conf.voters.is_empty() || conf.is_quorum(keeps)
    }
}
