//! Fault injection: crashes, network partitions, freezes and lost disks.

use hooklug_types::NodeId;
use rand::RngExt;

use super::broken_rule::BrokenRule;
use super::disk::Disk;
use super::event::Event;
use super::fault_profile::TICK_UNITS;
use super::network::chance;
use super::replica::Replica;
use super::runner::Simulation;

impl Simulation {
    /// Draws the faults of the next tick.
    pub(super) fn next_faults(&mut self) {
        self.events.schedule(self.now + TICK_UNITS, Event::NextFaults);
        if chance(&mut self.random, self.fault_profile.crash) {
            self.crash_some();
        }
        if chance(&mut self.random, self.fault_profile.partition) {
            self.partition_some();
        }
        if chance(&mut self.random, self.fault_profile.freeze) {
            self.freeze_one();
        }
        if chance(&mut self.random, self.fault_profile.lose_disk) {
            self.lose_one_disk();
        }
        self.next_operator_actions();
    }

    fn draw_replica(&mut self) -> NodeId {
        let all: Vec<NodeId> = self.replicas.keys().copied().collect();
        all[self.random.random_range(0..all.len())]
    }

    /// Draws a replica, in half of the cases one that considers itself the leader: faults at
    /// leaders are the most likely to reveal violations.
    fn draw_leader_or_replica(&mut self) -> NodeId {
        let leaders = self.leaders();
        if !leaders.is_empty() && chance(&mut self.random, 500) {
            return leaders[self.random.random_range(0..leaders.len())];
        }
        self.draw_replica()
    }

    /// Crashes one replica, or sometimes all at once.
    fn crash_some(&mut self) {
        let all_at_once = chance(&mut self.random, 100);
        let nodes: Vec<NodeId> = if all_at_once {
            self.replicas.keys().copied().collect()
        } else {
            vec![self.draw_leader_or_replica()]
        };
        for node in nodes {
            self.crash(node);
        }
    }

    fn crash(&mut self, node: NodeId) {
        let Some(replica) = self.replicas.get_mut(&node) else { return };
        if replica.process.take().is_none() {
            return;
        }
        let retained = self.random.random_range(0..=replica.disk.unsynced());
        replica.disk.crash(retained);
        replica.frozen_until = 0;
        self.totals.crashes += 1;
        let downtime = self.random.random_range(1..=self.fault_profile.max_downtime);
        self.events.schedule(self.now + downtime, Event::Restart(node));
    }

    /// Draws whether and when a new leader fails.
    pub(super) fn schedule_leader_failure(&mut self, leader: NodeId) {
        if chance(&mut self.random, self.fault_profile.leader_failure) {
            let uptime = self.random.random_range(1..=self.fault_profile.max_leader_uptime);
            self.events.schedule(self.now + uptime, Event::LeaderFailure(leader));
        }
    }

    /// Crashes a leader or partitions all of its outgoing links.
    pub(super) fn fail_leader(&mut self, leader: NodeId) {
        if self.fault_profile.leader_failure == 0 {
            return;
        }
        if chance(&mut self.random, 500) {
            self.crash(leader);
            return;
        }
        let until = self.now + self.random.random_range(1..=self.fault_profile.max_partition);
        let others: Vec<NodeId> = self.replicas.keys().copied().filter(|n| *n != leader).collect();
        self.totals.partitions += 1;
        for other in others {
            self.block_link(leader, other, until);
        }
    }

    /// Partitions one link in one direction, or all links of a replica in one or both directions.
    fn partition_some(&mut self) {
        let node = self.draw_leader_or_replica();
        let other = self.draw_replica();
        let until = self.now + self.random.random_range(1..=self.fault_profile.max_partition);
        let others: Vec<NodeId> = self.replicas.keys().copied().filter(|n| *n != node).collect();
        self.totals.partitions += 1;
        match self.random.random_range(0..4) {
            0 => self.block_link(node, other, until),
            1 => others.iter().for_each(|other| self.block_link(node, *other, until)),
            2 => others.iter().for_each(|other| self.block_link(*other, node, until)),
            _ => {
                for other in others {
                    self.block_link(node, other, until);
                    self.block_link(other, node, until);
                }
            }
        }
    }

    fn block_link(&mut self, from: NodeId, to: NodeId, until: u64) {
        self.network.block(from, to);
        self.events.schedule(until, Event::HealLink { from, to });
    }

    fn freeze_one(&mut self) {
        let node = self.draw_leader_or_replica();
        let until = self.now + self.random.random_range(1..=self.fault_profile.max_freeze);
        if let Some(replica) = self.replicas.get_mut(&node) {
            replica.frozen_until = until;
            self.totals.freezes += 1;
        }
    }

    /// Makes a replica lose its disk permanently, if every configuration known to any replica still
    /// has a quorum without it. An empty replica with a new id is added as a replacement.
    fn lose_one_disk(&mut self) {
        let node = self.draw_replica();
        let confs: Vec<_> = self.replicas.values().flat_map(Replica::confs).collect();
        let quorums_survive = confs.iter().all(|conf| self.has_surviving_quorum(conf, Some(node)));
        let Some(replica) = self.replicas.get_mut(&node) else { return };
        if replica.lost || !quorums_survive {
            return;
        }
        replica.process = None;
        self.totals.lost_disks += 1;
        if self.scenario.broken_rule == Some(BrokenRule::EmptyDiskKeepsId) {
            let conf = self.first_conf.clone();
            replica.disk = Disk::empty(conf);
            self.events.schedule(self.now + 1, Event::Restart(node));
            return;
        }
        replica.lost = true;
        self.add_empty_replica();
    }

    /// Ends all faults and restarts all stopped replicas.
    pub(super) fn end_faults(&mut self) {
        self.network.heal_all();
        let nodes: Vec<NodeId> = self.replicas.keys().copied().collect();
        for node in nodes {
            if let Some(replica) = self.replicas.get_mut(&node) {
                replica.frozen_until = 0;
            }
            self.restart(node);
        }
    }
}
