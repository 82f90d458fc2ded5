//! Faults: crashes, cuts, freezes, lost disks.

use hooklug_types::NodeId;
use rand::RngExt;

use super::broken_rule::BrokenRule;
use super::disk::Disk;
use super::event::Event;
use super::fault_profile::TICK_UNITS;
use super::network::chance;
use super::replica::Replica;
use super::runner::World;

impl World {
    /// Draws the faults of the next tick.
    pub(super) fn next_faults(&mut self) {
        self.events.schedule(self.now + TICK_UNITS, Event::NextFaults);
        if chance(&mut self.random, self.weather.crash) {
            self.crash_some();
        }
        if chance(&mut self.random, self.weather.cut) {
            self.cut_some();
        }
        if chance(&mut self.random, self.weather.freeze) {
            self.freeze_one();
        }
        if chance(&mut self.random, self.weather.lose_disk) {
            self.lose_one_disk();
        }
        self.next_operations();
    }

    fn draw_replica(&mut self) -> NodeId {
        let all: Vec<NodeId> = self.replicas.keys().copied().collect();
        all[self.random.random_range(0..all.len())]
    }

    /// Half of the time a replica that believes it leads: faults at leaders are the ones that tell.
    fn draw_leader_or_replica(&mut self) -> NodeId {
        let leaders = self.leaders();
        if !leaders.is_empty() && chance(&mut self.random, 500) {
            return leaders[self.random.random_range(0..leaders.len())];
        }
        self.draw_replica()
    }

    /// One replica, or sometimes all at once.
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
        let kept = self.random.random_range(0..=replica.disk.unsynced());
        replica.disk.crash(kept);
        replica.frozen_until = 0;
        self.totals.crashes += 1;
        let down = self.random.random_range(1..=self.weather.max_down);
        self.events.schedule(self.now + down, Event::Restart(node));
    }

    /// Draws whether and when a new leader falls.
    pub(super) fn draw_fall(&mut self, leader: NodeId) {
        if chance(&mut self.random, self.weather.leader_falls) {
            let reign = self.random.random_range(1..=self.weather.max_reign);
            self.events.schedule(self.now + reign, Event::LeaderFalls(leader));
        }
    }

    /// A leader crashes, or none of its messages arrive any more.
    pub(super) fn fell_leader(&mut self, leader: NodeId) {
        if self.weather.leader_falls == 0 {
            return;
        }
        if chance(&mut self.random, 500) {
            self.crash(leader);
            return;
        }
        let until = self.now + self.random.random_range(1..=self.weather.max_cut);
        let others: Vec<NodeId> = self.replicas.keys().copied().filter(|n| *n != leader).collect();
        self.totals.cuts += 1;
        for other in others {
            self.cut_link(leader, other, until);
        }
    }

    /// One link in one direction, or a replica's links in one or both directions.
    fn cut_some(&mut self) {
        let node = self.draw_leader_or_replica();
        let other = self.draw_replica();
        let until = self.now + self.random.random_range(1..=self.weather.max_cut);
        let others: Vec<NodeId> = self.replicas.keys().copied().filter(|n| *n != node).collect();
        self.totals.cuts += 1;
        match self.random.random_range(0..4) {
            0 => self.cut_link(node, other, until),
            1 => others.iter().for_each(|other| self.cut_link(node, *other, until)),
            2 => others.iter().for_each(|other| self.cut_link(*other, node, until)),
            _ => {
                for other in others {
                    self.cut_link(node, other, until);
                    self.cut_link(other, node, until);
                }
            }
        }
    }

    fn cut_link(&mut self, from: NodeId, to: NodeId, until: u64) {
        self.network.cut(from, to);
        self.events.schedule(until, Event::HealLink { from, to });
    }

    fn freeze_one(&mut self) {
        let node = self.draw_leader_or_replica();
        let until = self.now + self.random.random_range(1..=self.weather.max_freeze);
        if let Some(replica) = self.replicas.get_mut(&node) {
            replica.frozen_until = until;
            self.totals.freezes += 1;
        }
    }

    /// A replica loses its disk for good, if every group of members that counts anywhere keeps a
    /// majority; an empty replica with a new id stands by in its place.
    fn lose_one_disk(&mut self) {
        let node = self.draw_replica();
        let confs: Vec<_> = self.replicas.values().flat_map(Replica::confs).collect();
        let bearable = confs.iter().all(|conf| self.has_live_quorum(conf, Some(node)));
        let Some(replica) = self.replicas.get_mut(&node) else { return };
        if replica.lost || !bearable {
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

    /// Ends every fault.
    pub(super) fn calm_down(&mut self) {
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
