//! Clients: writes and linearizable reads, most of them at a replica that believes it leads.

use hooklug_types::NodeId;
use rand::RngExt;

use super::event::Event;
use super::network::chance;
use super::runner::World;
use super::violation::Violation;
use crate::ready::Role;

/// Chance per mille that a call goes to a replica that believes it leads.
const TO_LEADER: u32 = 850;
/// Chance per mille that a call is a write.
const WRITES: u32 = 600;

impl World {
    /// Draws the next call and schedules the one after it.
    pub(super) fn next_call(&mut self) {
        if self.clients_stopped {
            return;
        }
        let pause = self.random.random_range(1..=self.weather.max_client_pause);
        self.events.schedule(self.now + pause, Event::NextCall);
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
        self.calls += 1;
        let command = self.calls.to_le_bytes().to_vec();
        let Some(process) = self.process_mut(node) else { return };
        if let Ok(position) = process.raw.propose(command) {
            process.writes.insert(position.index, position.term);
        }
    }

    pub(super) fn read(&mut self, node: NodeId) {
        self.calls += 1;
        let context = self.calls;
        let acknowledged = self.checker.acknowledged();
        let Some(process) = self.process_mut(node) else { return };
        if process.raw.read_index(context).is_ok() {
            process.reads.insert(context, acknowledged);
        }
    }

    /// Answers writes and reads that a replica's applied index has reached.
    pub(super) fn answer(&mut self, node: NodeId) -> Result<(), Violation> {
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
                self.checker.read_answered(node, acknowledged, applied)?;
            }
        }
        Ok(())
    }

    /// Replicas that run and believe they lead.
    pub(super) fn leaders(&self) -> Vec<NodeId> {
        let processes = self.replicas.values().filter_map(|r| Some((r.id, r.process.as_ref()?)));
        let leading = processes.filter(|(_, process)| process.raw.role == Role::Leader);
        leading.map(|(id, _)| id).collect()
    }
}
