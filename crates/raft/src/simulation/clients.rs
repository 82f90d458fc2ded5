//! Simulated clients: writes and linearizable reads, mostly sent to a replica that considers itself
//! the leader.

use hooklug_types::NodeId;
use rand::RngExt;

use super::event::Event;
use super::network::chance;
use super::runner::Simulation;
use super::violation::Violation;
use crate::ready::Role;

/// Probability per mille that a request is sent to a replica that considers itself the leader.
const TO_LEADER: u32 = 850;
/// Probability per mille that a request is a write.
const WRITES: u32 = 600;

impl Simulation {
    /// Schedules a client request now and the draw of the one after it.
    pub(super) fn next_request(&mut self) {
        if self.clients_stopped {
            return;
        }
        let interval = self.random.random_range(1..=self.fault_profile.max_request_interval);
        self.events.schedule(self.now + interval, Event::NextRequest);
        let leaders = self.leaders();
        let all: Vec<NodeId> = self.replicas.keys().copied().collect();
        let to_leader = !leaders.is_empty() && chance(&mut self.random, TO_LEADER);
        let choices = if to_leader { leaders } else { all };
        let node = choices[self.random.random_range(0..choices.len())];
        let write = chance(&mut self.random, WRITES);
        let event = if write { Event::Write(node) } else { Event::Read(node) };
        self.events.schedule(self.now, event);
    }

    pub(super) fn write(&mut self, node: NodeId) {
        self.requests += 1;
        let command = self.requests.to_le_bytes().to_vec();
        let Some(process) = self.process_mut(node) else { return };
        if let Ok(position) = process.raw.propose(command) {
            process.writes.insert(position.index, position.term);
        }
    }

    pub(super) fn read(&mut self, node: NodeId) {
        self.requests += 1;
        let context = self.requests;
        let acknowledged = self.checker.acknowledged();
        let Some(process) = self.process_mut(node) else { return };
        if process.raw.read_index(context).is_ok() {
            process.reads.insert(context, acknowledged);
        }
    }

    /// Completes the confirmed reads whose index the replica has applied.
    pub(super) fn complete_reads(&mut self, node: NodeId) -> Result<(), Violation> {
        let Some(process) = self.replicas.get_mut(&node).and_then(|r| r.process.as_mut()) else {
            return Ok(());
        };
        let applied = process.machine.applied;
        let (due, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut process.confirmed).into_iter().partition(|r| r.index <= applied);
        process.confirmed = waiting;
        for read in due {
            if let Some(acknowledged) = process.reads.remove(&read.context) {
                self.totals.reads += 1;
                self.checker.check_read(node, acknowledged, applied)?;
            }
        }
        Ok(())
    }

    /// Running replicas that consider themselves the leader.
    pub(super) fn leaders(&self) -> Vec<NodeId> {
        let processes = self.replicas.values().filter_map(|r| Some((r.id, r.process.as_ref()?)));
        let leading = processes.filter(|(_, process)| process.raw.role == Role::Leader);
        leading.map(|(id, _)| id).collect()
    }
}
